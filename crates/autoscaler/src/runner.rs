//! A runner, its lifecycle states and its measured service time.

use protocol::RunnerStage;

/// Number of responses over which the mean service time is smoothed.
const SERVICE_TIME_RESPONSES: f64 = 20.0;
/// Milliseconds for which a runner must have been idle before it may be evicted to make room for another function.
const EVICTION_IDLE_MS: u64 = 1_000;

/// Reason why a runner is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainReason {
    /// The function has more runners than it needs. The runner can resume serving.
    Surplus,
    /// Its zone is evacuated.
    ZoneEvacuated,
    /// The configuration no longer contains its function.
    FunctionRemoved,
    /// No route of its function may use a runner in its region any more.
    RegionNotAllowed,
}

/// Lifecycle state of a runner. Times are in milliseconds of the caller's clock.
///
/// ```text
/// StartPending <-> StartRequested -> Starting -> Serving <-> Draining -> StopPending <-> StopRequested
/// ```
///
/// A start that was commanded but is no longer needed is `StartUnconfirmed`. A runner that owners cannot reach is
/// `Unreachable`. A runner that the platform terminates on its own is `Terminating`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunnerState {
    /// The start command will be sent, at `not_before` at the earliest.
    StartPending { not_before: u64 },
    /// The start command has been sent, and the response is outstanding.
    StartRequested,
    /// The platform has started the runner, but it is not known to be up yet.
    Starting,
    /// The runner serves requests.
    Serving,
    /// The runner receives no new requests and is stopped once none is in flight.
    Draining { reason: DrainReason, since: u64 },
    /// The platform terminates the runner.
    Terminating { since: u64 },
    /// Owners cannot reach the runner.
    Unreachable { since: u64 },
    /// The start command was sent but not answered, and the runner is no longer needed. It may exist.
    StartUnconfirmed { since: u64 },
    /// The stop command will be sent, at `not_before` at the earliest.
    StopPending { not_before: u64 },
    /// The stop command has been sent, and the response is outstanding.
    StopRequested,
}

impl RunnerState {
    /// The stop command is due immediately.
    pub const STOP_NOW: Self = Self::StopPending { not_before: 0 };

    /// Whether a runner in this state serves requests or is going to.
    pub fn counts_as_capacity(self) -> bool {
        matches!(
            self,
            Self::StartPending { .. } | Self::StartRequested | Self::Starting | Self::Serving
        )
    }
}

/// Mean time that a runner takes to respond to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTime {
    mean_ms: f64,
    responses: u64,
}

impl ServiceTime {
    /// Creates a mean without measurements that starts at the function's expected service time.
    pub fn unmeasured(initial_ms: f64) -> Self {
        Self {
            mean_ms: initial_ms,
            responses: 0,
        }
    }

    /// Adds a number of responses and their total duration in milliseconds.
    pub fn observe(&mut self, responses: u64, total_ms: u64) {
        if responses == 0 {
            return;
        }
        let mean_ms = (total_ms as f64 / responses as f64).max(1.0);
        self.responses += responses;
        let share = responses as f64 / (self.responses as f64).min(SERVICE_TIME_RESPONSES);
        self.mean_ms += share.min(1.0) * (mean_ms - self.mean_ms);
    }

    /// The mean in milliseconds; `None` before the first response.
    pub fn measured_ms(&self) -> Option<f64> {
        (self.responses > 0).then_some(self.mean_ms)
    }
}

/// A runner. It is modified only through [`RunnerTable`](crate::runner_table::RunnerTable), which keeps its indexes
/// consistent.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    /// Name of its function.
    pub function: String,
    /// Nonce of its start; empty if the runner was adopted from a list.
    pub nonce: String,
    /// Id assigned by the platform, once known.
    pub id: Option<String>,
    /// Address (ip and port), once known.
    pub address: String,
    /// Zone of its worker.
    pub zone: String,
    /// Name of its worker.
    pub worker: String,
    /// Memory that it uses, in megabytes.
    pub memory_mb: u64,
    /// Number of concurrent requests that owners may send to it.
    pub quota: u32,
    /// Upper limit of the quota.
    pub max_quota: u32,
    /// Maximum number of concurrent requests according to the platform's list.
    pub capacity: u32,
    /// Lifecycle state.
    pub state: RunnerState,
    /// Time at which its start was first commanded; `None` if it was not, or if the platform rejected it and no memory was
    /// allocated.
    pub start_requested_at: Option<u64>,
    /// Time at which its start began.
    pub started_at: u64,
    /// Number of failed attempts to start it.
    pub failed_attempts: u32,
    /// Time at which its id became known.
    pub id_known_at: u64,
    /// Whether it has been reached or listed at least once.
    pub is_up: bool,
    /// Whether an owner has reported it as unreachable.
    pub is_unreachable: bool,
    /// Whether a list has shown it.
    pub was_listed: bool,
    /// Time since which lists do not show it.
    pub unlisted_since: Option<u64>,
    /// Number of the first update that includes it as draining; 0 until that update is created.
    pub drain_update: u64,
    /// Time at which it was last reported to have requests in flight or new responses.
    pub last_used_at: u64,
    /// Measured service time.
    pub service_time: ServiceTime,
}

impl Runner {
    /// Whether it serves requests or is going to.
    pub fn counts_as_capacity(&self) -> bool {
        self.state.counts_as_capacity()
    }

    /// Whether it counts as capacity but is not serving yet.
    pub fn is_pending(&self) -> bool {
        self.counts_as_capacity() && self.state != RunnerState::Serving
    }

    /// Time from which it may be evicted if it is not used again.
    pub fn evictable_at(&self) -> u64 {
        self.last_used_at + EVICTION_IDLE_MS
    }

    /// Whether it is draining only because it was surplus, so that it may serve again.
    pub fn can_resume(&self) -> bool {
        matches!(
            self.state,
            RunnerState::Draining {
                reason: DrainReason::Surplus,
                ..
            }
        )
    }

    /// The stage shown in updates to owners; `None` if they do not include the runner.
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
