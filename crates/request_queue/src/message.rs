use configuration::Version;
use speedy::{Readable, Writable};

/// Maximum length of a list in a message between fronts.
pub const MAX_LIST_ENTRIES: usize = 20_000;

/// Number of requests of one priority that are queued at a front.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct PriorityCount {
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of queued requests.
    pub count: u32,
    /// Age of the oldest one, in milliseconds.
    pub oldest_ms: u64,
}

/// A seat leased by its owner to another front.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct SeatAssignment {
    /// Stamp of the newest seat request that the owner had received.
    pub stamp: u64,
    /// The function.
    pub function: String,
    /// The runner.
    pub runner: String,
    /// Owner epoch of the runner.
    pub epoch: u64,
    /// Number of the seat; increases with each seat leased to the same front.
    pub seat_no: u64,
}

/// A seat returned to its owner.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Return {
    /// The runner.
    pub runner: String,
    /// Number of the seat.
    pub seat_no: u64,
    /// Response time in milliseconds, if the response was valid.
    pub took_ms: Option<u64>,
    /// Whether the runner was at fault.
    pub is_bad: bool,
    /// Whether the runner was unreachable.
    pub is_absent: bool,
}

/// Messages between fronts. Any of them may be lost, duplicated or delayed.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum FrontMessage {
    /// Heartbeat, stamped with the sender's clock.
    Heartbeat {
        /// The sender's time.
        stamp: u64,
        /// Version of the plan that the sender holds.
        plan: Version,
        /// Version of the configuration that the sender holds.
        configuration: Version,
        /// Number of the last seat that the sender leased to the receiver.
        last_assignment: u64,
    },
    /// Response to a heartbeat; repeats its stamp.
    HeartbeatResponse {
        /// Stamp of the heartbeat.
        stamp: u64,
        /// Version of the plan that the responder holds.
        plan: Version,
        /// Version of the configuration that the responder holds.
        configuration: Version,
    },
    /// Request for seats of a function; valid until the next one replaces it.
    SeatRequest {
        /// Time of the requesting front.
        stamp: u64,
        /// Incarnation of the owner that the seat numbers refer to.
        incarnation: u64,
        /// Highest seat number seen from the owner in that incarnation.
        seen_assignment: u64,
        /// The function.
        function: String,
        /// Queued requests by priority.
        priorities: Vec<PriorityCount>,
    },
    /// An owner leases a seat to the receiver.
    SeatAssignment(SeatAssignment),
    /// A seat is returned to its owner.
    Return(Return),
    /// All of the receiver's seats that the sender holds.
    Holds {
        /// The sender's time.
        stamp: u64,
        /// Incarnation of the owner that the seat numbers refer to.
        incarnation: u64,
        /// Highest seat number seen from the owner in that incarnation.
        seen_assignment: u64,
        /// Numbers of the seats held.
        seats: Vec<u64>,
    },
    /// A former owner tells the next one how many seats are still leased.
    Handover {
        /// The runner.
        runner: String,
        /// Epoch of the former owner.
        epoch: u64,
        /// Number of seats still leased.
        leased: u32,
        /// Milliseconds after which the last of them can no longer be in use.
        over_in_ms: u64,
    },
}

impl FrontMessage {
    /// Versions of configuration and plan that the sender holds, if the message carries them.
    pub fn versions(&self) -> Option<(Version, Version)> {
        match self {
            Self::Heartbeat {
                plan,
                configuration,
                ..
            }
            | Self::HeartbeatResponse {
                plan,
                configuration,
                ..
            } => Some((*configuration, *plan)),
            _ => None,
        }
    }
}

/// A front's report to the scaler.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FrontReport {
    /// Zone of the front.
    pub zone: String,
    /// Address at which the front serves callers and operators.
    pub http: String,
    /// The front's wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Whether the sender is a core, which only responds to heartbeats for quorum leases and never owns a runner.
    pub is_witness: bool,
    /// Whether the front is draining.
    pub is_draining: bool,
    /// Whether the front has a quorum lease.
    pub has_quorum: bool,
    /// Version of the plan that the front holds.
    pub plan: Version,
    /// Version of the configuration that the front holds.
    pub configuration: Version,
    /// Functions that have had traffic.
    pub functions: Vec<FunctionReport>,
    /// Runners that the front owns.
    pub runners: Vec<RunnerReport>,
}

/// Totals of one function at one front since the front started.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FunctionReport {
    /// The function.
    pub function: String,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests queued now.
    pub waiting: u32,
}

/// One runner as its owner sees it.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerReport {
    /// The runner.
    pub runner: String,
    /// Owner epoch of the runner.
    pub epoch: u64,
    /// Whether this owner may lease the runner's seats yet.
    pub is_active: bool,
    /// Whether the runner accepts connections.
    pub is_warm: bool,
    /// Number of leased seats.
    pub leased: u32,
    /// Valid responses since this owner took over.
    pub answered: u64,
    /// Total response time of these, in milliseconds.
    pub took_ms: u64,
    /// Whether the runner is ejected for a while after consecutive faults.
    pub is_unfit: bool,
    /// Whether the runner is far slower than a typical one of its function, so that it gets only trial requests.
    pub is_slow: bool,
    /// Milliseconds since the runner became unreachable; 0 if it is reachable or never was.
    pub absent_ms: u64,
}
