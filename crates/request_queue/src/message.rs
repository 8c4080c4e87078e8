use configuration::Version;
use speedy::{Readable, Writable};

/// Longest list within a message between fronts.
pub const MAX_LIST_ENTRIES: usize = 20_000;

/// Requests of one priority that wait at a front.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct PriorityCount {
    /// The priority.
    pub priority: u8,
    /// How many wait.
    pub count: u32,
    /// Age of the oldest, in milliseconds.
    pub oldest_ms: u64,
}

/// A seat that an owner lends.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct SeatAssignment {
    /// Stamp of the newest seat request that the owner had.
    pub stamp: u64,
    /// The function.
    pub function: String,
    /// The runner.
    pub runner: String,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the seat; it grows with each seat lent to the same front.
    pub seat_no: u64,
}

/// A seat that goes back to its owner.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Return {
    /// The runner.
    pub runner: String,
    /// Number of the seat.
    pub seat_no: u64,
    /// How the try ended: milliseconds of a good answer.
    pub took_ms: Option<u64>,
    /// Whether the runner was at fault.
    pub is_bad: bool,
    /// Whether the runner was not there at all.
    pub is_absent: bool,
}

/// Messages between fronts. Each may be lost, doubled or late.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum FrontMessage {
    /// Heartbeat, with the sender's clock.
    Heartbeat {
        /// The sender's time.
        stamp: u64,
        /// Version of the plan that the sender holds.
        plan: Version,
        /// Version of the configuration that the sender holds.
        configuration: Version,
        /// Number of the last seat that the sender lent to the receiver.
        last_assignment: u64,
    },
    /// Answer to a heartbeat, with its stamp.
    HeartbeatResponse {
        /// Stamp of the heartbeat.
        stamp: u64,
        /// Version of the plan that the answerer holds.
        plan: Version,
        /// Version of the configuration that the answerer holds.
        configuration: Version,
    },
    /// Request for seats of a function; it stands until the next one replaces it.
    SeatRequest {
        /// The bidder's time.
        stamp: u64,
        /// Incarnation of the owner whose seats are meant.
        incarnation: u64,
        /// Highest seat number seen from the owner in that incarnation.
        seen_assignment: u64,
        /// The function.
        function: String,
        /// What waits, by priority.
        priorities: Vec<PriorityCount>,
    },
    /// A seat is lent.
    SeatAssignment(SeatAssignment),
    /// A seat goes back.
    Return(Return),
    /// All seats that the sender holds of the receiver's.
    Holds {
        /// The sender's time.
        stamp: u64,
        /// Incarnation of the owner whose seats are meant.
        incarnation: u64,
        /// Highest seat number seen from the owner in that incarnation.
        seen_assignment: u64,
        /// Numbers of the seats held.
        seats: Vec<u64>,
    },
    /// A former owner tells the next one how many seats are still out.
    Handover {
        /// The runner.
        runner: String,
        /// Epoch of the former owner.
        epoch: u64,
        /// Seats still out.
        leased: u32,
        /// The last of them is surely over after this time, in milliseconds.
        over_in_ms: u64,
    },
}

impl FrontMessage {
    /// Versions of configuration and plan that the sender holds, where the message tells them.
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

/// What a front tells the scaler.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FrontReport {
    /// Its zone.
    pub zone: String,
    /// Address at which it serves callers and operators.
    pub http: String,
    /// Its wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Whether it is a core, which only answers heartbeats for quorum leases and never owns a runner.
    pub is_witness: bool,
    /// Whether it drains.
    pub is_draining: bool,
    /// Whether it has a quorum lease.
    pub has_quorum: bool,
    /// Version of the plan it holds.
    pub plan: Version,
    /// Version of the configuration it holds.
    pub configuration: Version,
    /// Functions with traffic.
    pub functions: Vec<FunctionReport>,
    /// Runners that it keeps.
    pub runners: Vec<RunnerReport>,
}

/// Totals of one function at one front since its start.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FunctionReport {
    /// The function.
    pub function: String,
    /// Requests that came in.
    pub arrived: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that wait now.
    pub waiting: u32,
}

/// One runner as its owner sees it.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerReport {
    /// The runner.
    pub runner: String,
    /// Epoch of this owner.
    pub epoch: u64,
    /// Whether this owner may lend its seats yet.
    pub is_active: bool,
    /// Whether it takes connections.
    pub is_warm: bool,
    /// Seats out.
    pub leased: u32,
    /// Good answers since this owner began.
    pub answered: u64,
    /// Milliseconds that they took in all.
    pub took_ms: u64,
    /// Whether it is left out for a while as unfit.
    pub is_unfit: bool,
    /// Whether it is far slower than a good runner of its function, and gets only trials.
    pub is_slow: bool,
    /// Milliseconds for which it has not been there though it once was.
    pub absent_ms: u64,
}
