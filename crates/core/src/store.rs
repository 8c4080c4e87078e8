use arc_swap::ArcSwap;
use configuration::{Blueprint, Plan, Version};
use register::{Change, ChangeOutcome, RegisterClient, VersionedValue, VoterSet};
use serde::Serialize;
use speedy::{Readable, Writable};
use std::sync::Arc;
use std::time::Duration;
use transport::{Links, News, WireVoters};

/// Key of the blueprint's register.
pub const BLUEPRINT: &str = "blueprint";
/// Key of the plan's register.
pub const PLAN: &str = "plan";
/// Lines of history kept with a blueprint.
const HISTORY_MAX: usize = 32;

/// What the blueprint's register holds.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct BlueprintValue {
    /// JSON text as it was put.
    pub text: String,
    /// How it came to be, the oldest first; the last line is this one.
    pub history: Vec<HistoryLine>,
}

/// One put in a blueprint's history.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable, Serialize)]
pub struct HistoryLine {
    /// Version that the put made.
    pub version: u64,
    /// When, in milliseconds since 1970 by the core's wall clock.
    pub at_unix_ms: u64,
    /// Core that took it.
    pub core: String,
    /// The operator's note.
    pub note: String,
}

impl BlueprintValue {
    /// The next value, with its line added to the history.
    pub fn next(&self, text: String, line: HistoryLine) -> Self {
        let mut history = self.history.clone();
        history.push(line);
        let surplus = history.len().saturating_sub(HISTORY_MAX);
        history.drain(..surplus);
        Self { text, history }
    }
}

/// Values that are known to be settled.
#[derive(Clone)]
pub struct Settled {
    pub blueprint_version: Version,
    pub blueprint: Arc<Blueprint>,
    pub value: Arc<BlueprintValue>,
    pub plan_version: Version,
    pub plan: Arc<Plan>,
}

impl Default for Settled {
    fn default() -> Self {
        Self {
            blueprint_version: Version::default(),
            blueprint: Arc::new(Blueprint::empty()),
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
    settled: ArcSwap<Settled>,
}

impl Store {
    pub fn new(links: Arc<Links>) -> Self {
        Self {
            client: RegisterClient::new(WireVoters::new(links)),
            set: ArcSwap::default(),
            settled: ArcSwap::default(),
        }
    }

    /// The voters that count, as far as is known; era 0 where none are.
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
    pub fn settled(&self) -> Arc<Settled> {
        self.settled.load_full()
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

    /// Starts a new era from the values that the fronts held. Where another core was faster its
    /// values stay.
    pub fn start_from(&self, news: &News) {
        let patience = Duration::from_secs(2);
        let blueprint = news.blueprint.as_ref().map(|news| {
            let line = HistoryLine {
                version: 1,
                note: format!("from era {} version {}", news.version.era, news.version.no),
                ..HistoryLine::default()
            };
            let value = BlueprintValue::default().next(news.text.clone(), line);
            (BLUEPRINT, value.write_to_vec().unwrap_or_default())
        });
        let plan = news.plan.as_ref();
        let plan = plan.map(|news| (PLAN, news.plan.write_to_vec().unwrap_or_default()));
        for (key, bytes) in blueprint.into_iter().chain(plan) {
            let change = Change::Write { expected: 0, bytes };
            let (era, outcome) = self.change(key, change, patience);
            match outcome {
                ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) => {
                    self.put_in_force(key, era, &stored);
                }
                other => log::error!("store: {key} of the last era was not taken: {other:?}"),
            }
        }
    }

    /// Whether an era after a loss has not got its values back yet; nothing is planned until then.
    pub fn is_blank(&self) -> bool {
        let era = self.set().epoch;
        era > 1 && self.settled().blueprint_version.era < era
    }

    /// Reads blueprint and plan at a majority and puts them in force. Gives whether both were read.
    pub fn refresh(&self, budget: Duration) -> bool {
        [BLUEPRINT, PLAN].into_iter().all(|key| {
            let (era, outcome) = self.change(key, Change::Read, budget);
            let ChangeOutcome::Committed(stored) = outcome else {
                return false;
            };
            self.put_in_force(key, era, &stored);
            true
        })
    }

    /// Puts a settled value in force where it is newer.
    pub fn put_in_force(&self, key: &str, era: u64, stored: &VersionedValue) {
        let version = Version {
            era,
            no: stored.version,
        };
        if stored.version == 0 {
            return;
        }
        if key == PLAN {
            self.plan_in_force(version, stored);
        } else {
            self.blueprint_in_force(version, stored);
        }
    }

    fn plan_in_force(&self, version: Version, stored: &VersionedValue) {
        let Ok(plan) = Plan::read_from_buffer(&stored.bytes) else {
            log::error!("store: settled plan {} cannot be read", version.no);
            return;
        };
        let plan = Arc::new(plan);
        self.settled.rcu(|settled| {
            let mut settled = Settled::clone(settled);
            if version > settled.plan_version {
                settled.plan_version = version;
                settled.plan = plan.clone();
            }
            settled
        });
    }

    fn blueprint_in_force(&self, version: Version, stored: &VersionedValue) {
        if version <= self.settled.load().blueprint_version {
            return;
        }
        let value = BlueprintValue::read_from_buffer(&stored.bytes).unwrap_or_default();
        let Ok(blueprint) = configuration::parse(&value.text) else {
            log::error!("store: settled blueprint {} cannot be read", version.no);
            return;
        };
        log::info!("store: blueprint {} is in force", version.no);
        let (blueprint, value) = (Arc::new(blueprint), Arc::new(value));
        self.settled.rcu(|settled| {
            let mut settled = Settled::clone(settled);
            if version > settled.blueprint_version {
                settled.blueprint_version = version;
                settled.blueprint = blueprint.clone();
                settled.value = value.clone();
            }
            settled
        });
    }
}
