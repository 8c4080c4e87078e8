use crate::demand::Arrivals;
use crate::options::AutoscalerOptions;
use crate::start_block::NoRoom;
use protocol::RunnerReport;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds after which a keeper that tells nothing is taken as no keeper of the function.
pub(crate) const QUIET_MS: u64 = 3_000;
/// Milliseconds that an answer is thought to take before any is known.
pub(crate) const PACE_MS: f64 = 60.0;
const AIM_SLACK: f64 = 1.1;

/// What the description says of a function.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plan {
    pub memory_mb: u64,
    pub start_ms: u64,
    pub concurrency: u32,
    pub aim_ms: u32,
    pub rank: u8,
    pub timeout_ms: u64,
    pub is_described: bool,
}

impl Plan {
    /// A start does not fit in the smallest aim, so one runner is kept.
    pub fn is_prewarmed(&self) -> bool {
        self.is_described && self.start_ms as f64 * AIM_SLACK > f64::from(self.aim_ms)
    }

    pub fn retention_ms(&self, options: &AutoscalerOptions) -> u64 {
        (self.start_ms as f64 * options.retention_starts) as u64
    }

    pub fn cooldown_ms(&self, options: &AutoscalerOptions) -> u64 {
        (self.start_ms as f64 * options.cooldown_starts) as u64
    }
}

/// What one keeper told last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Keeper {
    pub heard_at: u64,
    pub news: u64,
    pub waiting: u32,
    pub arrived: BTreeMap<String, u64>,
    pub runners: BTreeMap<String, RunnerReport>,
}

impl Keeper {
    pub fn in_use(&self, id: &str) -> u32 {
        self.runners.get(id).map_or(0, |report| report.in_use)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Function {
    pub plan: Plan,
    pub arrivals: Arrivals,
    pub keepers: BTreeMap<String, Keeper>,
    /// Serials of its runners.
    pub runners: BTreeSet<u64>,
    pub pace_ms: f64,
    pub busy_at: Option<u64>,
    pub calm_since: Option<u64>,
    /// No start before this, since the platform knows no such function or no worker has room.
    pub held_until: u64,
    /// That the last start found no room, where it has no runner either.
    pub no_room: Option<NoRoom>,
    pub news: u64,
    pub reason: &'static str,
}

impl Function {
    pub fn new(plan: Plan) -> Self {
        Self {
            plan,
            arrivals: Arrivals::default(),
            keepers: BTreeMap::new(),
            runners: BTreeSet::new(),
            pace_ms: PACE_MS,
            busy_at: None,
            calm_since: None,
            held_until: 0,
            no_room: None,
            news: 0,
            reason: "",
        }
    }

    pub fn waiting(&self, now: u64) -> u32 {
        let current = self
            .keepers
            .values()
            .filter(|keeper| keeper.heard_at + QUIET_MS > now);
        current.fold(0, |sum, keeper| sum.saturating_add(keeper.waiting))
    }

    /// Requests in flight at a runner, as all keepers told last.
    pub fn in_use(&self, id: &str) -> u32 {
        let told = self.keepers.values().map(|keeper| keeper.in_use(id));
        told.fold(0, u32::saturating_add)
    }

    pub fn is_awake(&self, now: u64, options: &AutoscalerOptions) -> bool {
        let retention_ms = self.plan.retention_ms(options);
        self.waiting(now) > 0 || self.busy_at.is_some_and(|at| now < at + retention_ms)
    }
}
