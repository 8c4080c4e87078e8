use configuration::Version;
use speedy::{Readable, Writable};

/// Longest list within a message between fronts.
pub const DESK_LISTS_MAX: usize = 20_000;

/// Tickets of one rank that wait at a front.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct RankCount {
    /// The rank.
    pub rank: u8,
    /// How many wait.
    pub count: u32,
    /// Age of the oldest, in milliseconds.
    pub oldest_ms: u64,
}

/// A seat that a keeper lends.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Award {
    /// Stamp of the newest bid that the keeper had.
    pub stamp: u64,
    /// The function.
    pub function: String,
    /// The runner.
    pub runner: String,
    /// Epoch of the keeper.
    pub epoch: u64,
    /// Number of the seat; it grows with each seat lent to the same front.
    pub seat_no: u64,
}

/// A seat that goes back to its keeper.
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
pub enum DeskMessage {
    /// Heartbeat, with the sender's clock.
    Beat {
        /// The sender's time.
        stamp: u64,
        /// Version of the plan that the sender holds.
        plan: Version,
        /// Version of the blueprint that the sender holds.
        blueprint: Version,
        /// Number of the last seat that the sender lent to the receiver.
        last_award: u64,
    },
    /// Answer to a heartbeat, with its stamp.
    BeatAnswer {
        /// Stamp of the heartbeat.
        stamp: u64,
        /// Version of the plan that the answerer holds.
        plan: Version,
        /// Version of the blueprint that the answerer holds.
        blueprint: Version,
    },
    /// Standing bid for seats of a function; it replaces the one before.
    Bid {
        /// The bidder's time.
        stamp: u64,
        /// Life of the keeper whose seats are meant.
        life: u64,
        /// Highest seat number seen from the keeper in that life.
        seen_award: u64,
        /// The function.
        function: String,
        /// What waits, by rank.
        ranks: Vec<RankCount>,
    },
    /// A seat is lent.
    Award(Award),
    /// A seat goes back.
    Return(Return),
    /// All seats that the sender holds of the receiver's.
    Holds {
        /// The sender's time.
        stamp: u64,
        /// Life of the keeper whose seats are meant.
        life: u64,
        /// Highest seat number seen from the keeper in that life.
        seen_award: u64,
        /// Numbers of the seats held.
        seats: Vec<u64>,
    },
    /// A former keeper tells the next one how many seats are still out.
    Handover {
        /// The runner.
        runner: String,
        /// Epoch of the former keeper.
        epoch: u64,
        /// Seats still out.
        lent: u32,
        /// The last of them is surely over after this time, in milliseconds.
        over_in_ms: u64,
    },
}

impl DeskMessage {
    /// Versions of blueprint and plan that the sender holds, where the message tells them.
    pub fn versions(&self) -> Option<(Version, Version)> {
        match self {
            Self::Beat {
                plan, blueprint, ..
            }
            | Self::BeatAnswer {
                plan, blueprint, ..
            } => Some((*blueprint, *plan)),
            _ => None,
        }
    }
}

/// What a front tells the scaler.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FrontReport {
    /// Its district.
    pub district: String,
    /// Address at which it serves callers and operators.
    pub http: String,
    /// Its wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Whether it is a core, that only bears witness to standing and never keeps a runner.
    pub is_witness: bool,
    /// Whether it drains.
    pub is_draining: bool,
    /// Whether it has standing.
    pub has_standing: bool,
    /// Version of the plan it holds.
    pub plan: Version,
    /// Version of the blueprint it holds.
    pub blueprint: Version,
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
    /// Tickets that came in.
    pub arrived: u64,
    /// Tickets that were answered.
    pub answered: u64,
    /// Tickets that were refused.
    pub refused: u64,
    /// Tickets that wait now.
    pub waiting: u32,
}

/// One runner as its keeper sees it.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerReport {
    /// The runner.
    pub runner: String,
    /// Epoch of this keeper.
    pub epoch: u64,
    /// Whether this keeper may lend its seats yet.
    pub is_active: bool,
    /// Whether it takes connections.
    pub is_warm: bool,
    /// Seats out.
    pub lent: u32,
    /// Good answers since this keeper began.
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
