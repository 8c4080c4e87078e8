//! A runner and its lifecycle.

use protocol::RunnerStage;

/// Answers over which the mean service time is smoothed.
const SERVICE_TIME_ANSWERS: f64 = 20.0;
/// Milliseconds for which a runner must have been idle before it may be drained to make room for another function.
const EVICTION_IDLE_MS: u64 = 1_000;

/// Why a runner gets no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainReason {
    /// There are more than needed. It can be revived.
    Surplus,
    /// Its zone is evacuated.
    ZoneEvacuated,
    /// The configuration no longer names its function.
    FunctionRemoved,
    /// No route of its function may use a runner in its region any more.
    RegionNotAllowed,
}

/// State in the lifecycle of a runner. Times are in milliseconds of the caller's clock.
///
/// ```text
/// StartPending <-> StartRequested -> Starting -> Serving <-> Draining -> StopPending <-> StopRequested
/// ```
///
/// A start that was commanded but is not needed any more is `StartUnconfirmed`. A runner that owners cannot reach is
/// `Unreachable`. A runner that the platform ends by itself is `Terminating`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunnerState {
    /// Its start is to be commanded, at the earliest at that time.
    StartPending { not_before: u64 },
    /// Its start is commanded and not answered.
    StartRequested,
    /// It was started and is not known to be up.
    Starting,
    /// It serves.
    Serving,
    /// It gets no new requests and is stopped once it holds none.
    Draining { reason: DrainReason, since: u64 },
    /// The platform ends it.
    Terminating { since: u64 },
    /// Owners cannot reach it.
    Unreachable { since: u64 },
    /// Its start was commanded, is not answered and is not needed any more; the runner may exist.
    StartUnconfirmed { since: u64 },
    /// Its stop is to be commanded, at the earliest at that time.
    StopPending { not_before: u64 },
    /// Its stop is commanded and not answered.
    StopRequested,
}

impl RunnerState {
    /// The stop is to be commanded with the next commands.
    pub const STOP_NOW: Self = Self::StopPending { not_before: 0 };

    /// A runner in this state counts as capacity, now or soon.
    pub fn counts_as_capacity(self) -> bool {
        matches!(
            self,
            Self::StartPending { .. } | Self::StartRequested | Self::Starting | Self::Serving
        )
    }
}

/// Mean time that a runner takes to answer a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTime {
    mean_ms: f64,
    answers: u64,
}

impl ServiceTime {
    /// Nothing was measured yet; the mean starts from the function's value.
    pub fn unmeasured(initial_ms: f64) -> Self {
        Self {
            mean_ms: initial_ms,
            answers: 0,
        }
    }

    /// Adds a number of answers and the milliseconds that they took in total.
    pub fn observe(&mut self, answers: u64, total_ms: u64) {
        if answers == 0 {
            return;
        }
        let mean_ms = (total_ms as f64 / answers as f64).max(1.0);
        self.answers += answers;
        let share = answers as f64 / (self.answers as f64).min(SERVICE_TIME_ANSWERS);
        self.mean_ms += share.min(1.0) * (mean_ms - self.mean_ms);
    }

    /// The mean in milliseconds; none before the first answer.
    pub fn measured_ms(&self) -> Option<f64> {
        (self.answers > 0).then_some(self.mean_ms)
    }
}

/// A runner. Only [`RunnerTable`](crate::runner_table::RunnerTable) gives it out to be changed.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    /// Its function.
    pub function: String,
    /// Nonce of its start; empty where it was found on a list.
    pub nonce: String,
    /// Id that the platform gave it, once it is known.
    pub id: Option<String>,
    /// Address (ip and port), once it is known.
    pub address: String,
    /// Zone of its worker.
    pub zone: String,
    /// Its worker.
    pub worker: String,
    /// Memory that it takes, in megabytes.
    pub memory_mb: u64,
    /// Requests that owners may send it at once.
    pub quota: u32,
    /// Highest quota that it may have.
    pub max_quota: u32,
    /// Requests that it may hold at once according to the platform's list.
    pub capacity: u32,
    /// Its state.
    pub state: RunnerState,
    /// When its start was first commanded; none where it was not or where nothing was taken by it.
    pub start_requested_at: Option<u64>,
    /// When it began to start.
    pub started_at: u64,
    /// Attempts to start it that failed.
    pub failed_attempts: u32,
    /// When its id became known.
    pub id_known_at: u64,
    /// It was reached or listed at least once.
    pub is_up: bool,
    /// An owner reported that it is gone.
    pub is_unreachable: bool,
    /// A list showed it.
    pub was_listed: bool,
    /// Since when lists do not show it.
    pub unlisted_since: Option<u64>,
    /// Number of the update that first told owners that it drains; 0 until that is made.
    pub drain_update: u64,
    /// When it was last seen to hold or answer requests.
    pub last_used_at: u64,
    /// How long it takes for a request.
    pub service_time: ServiceTime,
}

impl Runner {
    /// Whether it counts as capacity, now or soon.
    pub fn counts_as_capacity(&self) -> bool {
        self.state.counts_as_capacity()
    }

    /// Whether it counts as capacity but does not serve yet.
    pub fn is_pending(&self) -> bool {
        self.counts_as_capacity() && self.state != RunnerState::Serving
    }

    /// Time from which it may be evicted, if it is not used again.
    pub fn evictable_at(&self) -> u64 {
        self.last_used_at + EVICTION_IDLE_MS
    }

    /// Whether it drains only because it was not needed, so that it may serve again.
    pub fn can_resume(&self) -> bool {
        matches!(
            self.state,
            RunnerState::Draining {
                reason: DrainReason::Surplus,
                ..
            }
        )
    }

    /// The stage that updates to owners give; none if they do not include it.
    pub fn stage(&self) -> Option<RunnerStage> {
        self.id.as_ref()?;
        match self.state {
            RunnerState::Starting => Some(RunnerStage::Starting),
            RunnerState::Serving => Some(RunnerStage::Serving),
            RunnerState::Draining { .. } | RunnerState::Terminating { .. } => {
                Some(RunnerStage::Draining)
            }
            _ => None,
        }
    }
}
