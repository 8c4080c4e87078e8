use configuration::PeerRef;

/// A request as the scheduler knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Key of its continuation in the front's slab, with the generation.
    pub slot: u64,
    /// Function that it is for.
    pub function: String,
    /// Priority of its kind; 0 is the most urgent.
    pub priority: u8,
    /// When it came in.
    pub arrived: u64,
    /// When its budget is over.
    pub budget_end: u64,
    /// Attempts that provably never reached a runner.
    pub unsent: u32,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue was full and nothing in it ranked lower.
    QueueFull,
    /// It was shed from a full queue for one of a higher priority.
    Shed,
    /// Its budget was over before a seat was free.
    BudgetOver,
    /// This front is cut off from the majority of fronts.
    NoQuorum,
    /// The function is not listed (any more).
    Unlisted,
    /// This front is draining.
    Draining,
    /// Its attempts could not reach any runner.
    Unreachable,
}

/// The right to have one request in flight on one runner.
#[derive(Clone, Debug, PartialEq)]
pub struct SeatGrant {
    /// Runner that it is for.
    pub runner: String,
    /// Function of that runner.
    pub function: String,
    /// Address of the runner.
    pub address: String,
    /// Key that the runner seals with.
    pub key: Vec<u8>,
    /// Front that lent it.
    pub owner: PeerRef,
    /// Epoch of that owner.
    pub epoch: u64,
    /// Number among the owner's seats.
    pub seat_no: u64,
    /// It must start before this time.
    pub start_by: u64,
}

/// How a try ended, as far as its seat goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer came; it took so many milliseconds.
    Answered(u64),
    /// A whole answer came that was not good (unsealed, garbage).
    Bad,
    /// Provably nothing was sent, since the seat was no longer good.
    Unsent,
    /// Provably nothing was run, since the runner was not there or refused the id.
    Absent,
    /// The runner closed the connection before a whole answer; by its contract it works on the
    /// request no more.
    Broken,
    /// It may still run: the answer was lost.
    Lost,
}

/// What the front must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another front.
    Send(String, crate::FrontMessage),
    /// Start a try of the request on the seat.
    Launch(QueuedRequest, SeatGrant),
    /// Tell the caller at once that the request was not run.
    Refuse(QueuedRequest, Rejection),
    /// See whether the runner takes connections, then call [`crate::SeatScheduler::probe_finished`].
    Probe {
        /// Runner to look at.
        runner: String,
        /// Its address.
        address: String,
    },
}
