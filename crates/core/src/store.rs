use arc_swap::ArcSwap;
use configuration::{Configuration, Plan, Version};
use register::{Change, ChangeOutcome, RegisterClient, VersionedValue, VoterSet};
use serde::Serialize;
use speedy::{Readable, Writable};
use std::sync::Arc;
use std::time::Duration;
use transport::{Links, StateUpdate, WireVoters};

/// Key of the configuration's register.
pub const CONFIGURATION: &str = "blueprint";
/// Key of the plan's register.
pub const PLAN: &str = "plan";
/// Lines of history kept with a configuration.
const MAX_HISTORY_ENTRIES: usize = 32;

/// What the configuration's register holds.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct ConfigurationValue {
    /// JSON text as it was put.
    pub text: String,
    /// How it came to be, the oldest first; the last line is this one.
    pub history: Vec<HistoryEntry>,
}

/// One put in a configuration's history.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable, Serialize)]
pub struct HistoryEntry {
    /// Version that the put made.
    pub version: u64,
    /// When, in milliseconds since 1970 by the core's wall clock.
    pub at_unix_ms: u64,
    /// Core that took it.
    pub core: String,
    /// The operator's note.
    pub note: String,
}

impl ConfigurationValue {
    /// The next value, with its line added to the history.
    pub fn next(&self, text: String, line: HistoryEntry) -> Self {
        let mut history = self.history.clone();
        history.push(line);
        let surplus = history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        history.drain(..surplus);
        Self { text, history }
    }
}

/// Values that are known to be settled.
#[derive(Clone)]
pub struct CommittedState {
    pub configuration_version: Version,
    pub configuration: Arc<Configuration>,
    pub value: Arc<ConfigurationValue>,
    pub plan_version: Version,
    pub plan: Arc<Plan>,
}

impl Default for CommittedState {
    fn default() -> Self {
        Self {
            configuration_version: Version::default(),
            configuration: Arc::new(Configuration::empty()),
            value: Arc::default(),
            plan_version: Version::default(),
            plan: Arc::default(),
        }
    }
}

/// The registers as a core uses them.
pub struct Store {
    client: RegisterClient<WireVoters>,
    set: ArcSwap<VoterSet>,
    committed: ArcSwap<CommittedState>,
}

impl Store {
    pub fn new(links: Arc<Links>) -> Self {
        Self {
            client: RegisterClient::new(WireVoters::new(links)),
            set: ArcSwap::default(),
            committed: ArcSwap::default(),
        }
    }

    /// The voters that count, as far as is known; epoch 0 where none are.
    pub fn set(&self) -> Arc<VoterSet> {
        self.set.load_full()
    }

    /// Learns which voters count; an older set is ignored.
    pub fn learn_set(&self, set: &VoterSet) {
        if set.version() > self.set.load().version() {
            self.set.store(Arc::new(set.clone()));
        }
    }

    /// Values in force.
    pub fn committed(&self) -> Arc<CommittedState> {
        self.committed.load_full()
    }

    /// Reads or writes a register.
    pub fn change(&self, key: &str, change: Change, budget: Duration) -> (u64, ChangeOutcome) {
        let set = self.set();
        if set.epoch == 0 {
            let reason = "no voters are known yet".to_string();
            return (0, ChangeOutcome::NoQuorum(reason));
        }
        let outcome = self.client.change(&set, key, change, budget);
        if let ChangeOutcome::SetMismatch(set) = &outcome {
            self.learn_set(set);
        }
        (set.epoch, outcome)
    }

    /// Starts a new epoch from the values that the fronts held. Where another core was faster its
    /// values stay.
    pub fn start_from(&self, update: &StateUpdate) {
        let timeout = Duration::from_secs(2);
        let configuration = update.configuration.as_ref().map(|update| {
            let line = HistoryEntry {
                version: 1,
                note: format!(
                    "from era {} version {}",
                    update.version.epoch, update.version.no
                ),
                ..HistoryEntry::default()
            };
            let value = ConfigurationValue::default().next(update.text.clone(), line);
            (CONFIGURATION, value.write_to_vec().unwrap_or_default())
        });
        let plan = update.plan.as_ref();
        let plan = plan.map(|update| (PLAN, update.plan.write_to_vec().unwrap_or_default()));
        for (key, bytes) in configuration.into_iter().chain(plan) {
            let change = Change::Write { expected: 0, bytes };
            let (epoch, outcome) = self.change(key, change, timeout);
            match outcome {
                ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) => {
                    self.put_in_force(key, epoch, &stored);
                }
                other => log::error!("store: {key} of the last epoch was not taken: {other:?}"),
            }
        }
    }

    /// Whether an epoch after a loss has not got its values back yet; nothing is planned until then.
    pub fn is_blank(&self) -> bool {
        let epoch = self.set().epoch;
        epoch > 1 && self.committed().configuration_version.epoch < epoch
    }

    /// Reads configuration and plan at a majority and puts them in force. Gives whether both were read.
    pub fn refresh(&self, budget: Duration) -> bool {
        [CONFIGURATION, PLAN].into_iter().all(|key| {
            let (epoch, outcome) = self.change(key, Change::Read, budget);
            let ChangeOutcome::Committed(stored) = outcome else {
                return false;
            };
            self.put_in_force(key, epoch, &stored);
            true
        })
    }

    /// Puts a settled value in force where it is newer.
    pub fn put_in_force(&self, key: &str, epoch: u64, stored: &VersionedValue) {
        let version = Version {
            epoch,
            no: stored.version,
        };
        if stored.version == 0 {
            return;
        }
        if key == PLAN {
            self.plan_in_force(version, stored);
        } else {
            self.configuration_in_force(version, stored);
        }
    }

    fn plan_in_force(&self, version: Version, stored: &VersionedValue) {
        let Ok(plan) = Plan::read_from_buffer(&stored.bytes) else {
            log::error!("store: settled plan {} cannot be read", version.no);
            return;
        };
        let plan = Arc::new(plan);
        self.committed.rcu(|committed| {
            let mut committed = CommittedState::clone(committed);
            if version > committed.plan_version {
                committed.plan_version = version;
                committed.plan = plan.clone();
            }
            committed
        });
    }

    fn configuration_in_force(&self, version: Version, stored: &VersionedValue) {
        if version <= self.committed.load().configuration_version {
            return;
        }
        let value = ConfigurationValue::read_from_buffer(&stored.bytes).unwrap_or_default();
        let Ok(configuration) = configuration::parse(&value.text) else {
            log::error!("store: settled configuration {} cannot be read", version.no);
            return;
        };
        log::info!("store: configuration {} is in force", version.no);
        let (configuration, value) = (Arc::new(configuration), Arc::new(value));
        self.committed.rcu(|committed| {
            let mut committed = CommittedState::clone(committed);
            if version > committed.configuration_version {
                committed.configuration_version = version;
                committed.configuration = configuration.clone();
                committed.value = value.clone();
            }
            committed
        });
    }
}
