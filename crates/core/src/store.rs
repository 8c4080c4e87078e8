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
/// Most history entries kept with a configuration.
const MAX_HISTORY_ENTRIES: usize = 32;

/// Value of the configuration's register.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct ConfigurationValue {
    /// JSON text as submitted.
    pub text: String,
    /// Changes that led to this value, oldest first; the last entry is the current version.
    pub history: Vec<HistoryEntry>,
}

/// One change in the history of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable, Serialize)]
pub struct HistoryEntry {
    /// Version that the change created.
    pub version: u64,
    /// Time of the change by the core's wall clock, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Name of the core that accepted it.
    pub core: String,
    /// Note given by the operator.
    pub note: String,
}

impl ConfigurationValue {
    /// The value that follows this one, with its entry appended to the history.
    pub fn next(&self, text: String, entry: HistoryEntry) -> Self {
        let mut history = self.history.clone();
        history.push(entry);
        let excess = history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        history.drain(..excess);
        Self { text, history }
    }
}

/// Newest values known to be committed.
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

/// Access to the registers, with a cache of the newest committed values.
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

    /// The newest known voter set; its epoch is 0 if none is known.
    pub fn set(&self) -> Arc<VoterSet> {
        self.set.load_full()
    }

    /// Replaces the known voter set if this one is newer.
    pub fn update_set(&self, set: &VoterSet) {
        if set.version() > self.set.load().version() {
            self.set.store(Arc::new(set.clone()));
        }
    }

    /// The newest known committed values.
    pub fn committed(&self) -> Arc<CommittedState> {
        self.committed.load_full()
    }

    /// Reads or writes a register. Returns the epoch it was done in, and the outcome.
    pub fn change(&self, key: &str, change: Change, budget: Duration) -> (u64, ChangeOutcome) {
        let set = self.set();
        if set.epoch == 0 {
            let reason = "no voters are known yet".to_string();
            return (0, ChangeOutcome::NoQuorum(reason));
        }
        let outcome = self.client.change(&set, key, change, budget);
        if let ChangeOutcome::SetMismatch(set) = &outcome {
            self.update_set(set);
        }
        (set.epoch, outcome)
    }

    /// Writes the values that fronts held as the first of a new epoch. If another core has already written
    /// some, those are kept.
    pub fn restore(&self, update: &StateUpdate) {
        let timeout = Duration::from_secs(2);
        let configuration = update.configuration.as_ref().map(|update| {
            let entry = HistoryEntry {
                version: 1,
                note: format!(
                    "from era {} version {}",
                    update.version.epoch, update.version.no
                ),
                ..HistoryEntry::default()
            };
            let value = ConfigurationValue::default().next(update.text.clone(), entry);
            (CONFIGURATION, value.write_to_vec().unwrap_or_default())
        });
        let plan = update.plan.as_ref();
        let plan = plan.map(|update| (PLAN, update.plan.write_to_vec().unwrap_or_default()));
        for (key, bytes) in configuration.into_iter().chain(plan) {
            let change = Change::Write { expected: 0, bytes };
            let (epoch, outcome) = self.change(key, change, timeout);
            match outcome {
                ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) => {
                    self.apply_if_newer(key, epoch, &stored);
                }
                other => log::error!("store: {key} of the last epoch was not taken: {other:?}"),
            }
        }
    }

    /// Whether the values of earlier epochs have yet to be restored in this one. No plan is made until then.
    pub fn awaits_restore(&self) -> bool {
        let epoch = self.set().epoch;
        epoch > 1 && self.committed().configuration_version.epoch < epoch
    }

    /// Reads configuration and plan at a majority and applies them. Returns whether both were read.
    pub fn refresh(&self, budget: Duration) -> bool {
        [CONFIGURATION, PLAN].into_iter().all(|key| {
            let (epoch, outcome) = self.change(key, Change::Read, budget);
            let ChangeOutcome::Committed(stored) = outcome else {
                return false;
            };
            self.apply_if_newer(key, epoch, &stored);
            true
        })
    }

    /// Applies a committed value if it is newer than the known one.
    pub fn apply_if_newer(&self, key: &str, epoch: u64, stored: &VersionedValue) {
        let version = Version {
            epoch,
            no: stored.version,
        };
        if stored.version == 0 {
            return;
        }
        if key == PLAN {
            self.apply_plan(version, stored);
        } else {
            self.apply_configuration(version, stored);
        }
    }

    fn apply_plan(&self, version: Version, stored: &VersionedValue) {
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

    fn apply_configuration(&self, version: Version, stored: &VersionedValue) {
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
