use configuration::PeerRef;

/// A client request as the scheduler sees it. All times are in milliseconds on the front's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Key of the request's continuation in the front's slab; includes the slab generation.
    pub slot: u64,
    /// Name of the function to run.
    pub function: String,
    /// Priority of the request's kind; 0 is the most urgent.
    pub priority: u8,
    /// Time of arrival.
    pub arrived: u64,
    /// Deadline: the time at which its budget expires.
    pub budget_end: u64,
    /// Number of attempts that provably never reached a runner.
    pub unsent: u32,
}

/// Why a request was rejected without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue was full and held no request of a lower priority.
    QueueFull,
    /// Shed from a full queue to make room for a request of a higher priority.
    Shed,
    /// Its budget expired before a seat was free.
    BudgetOver,
    /// This front holds no quorum lease: it cannot reach a majority of the fronts.
    NoQuorum,
    /// The function is not in the configuration, or no longer.
    Unlisted,
    /// This front is draining.
    Draining,
    /// None of its attempts reached a runner.
    Unreachable,
}

/// A lease on one seat: the right to have one request in flight on one runner.
#[derive(Clone, Debug, PartialEq)]
pub struct SeatGrant {
    /// Id of the runner.
    pub runner: String,
    /// Function that the runner serves.
    pub function: String,
    /// Address (ip and port) of the runner.
    pub address: String,
    /// Key with which the runner seals its responses.
    pub key: Vec<u8>,
    /// Front that owns the runner and leased the seat.
    pub owner: PeerRef,
    /// Owner epoch of the runner when the seat was leased.
    pub epoch: u64,
    /// Number of the seat, unique per owner.
    pub seat_no: u64,
    /// The attempt must start before this time.
    pub start_by: u64,
}

/// How an attempt ended, which decides what happens to its seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response arrived after this many milliseconds.
    Answered(u64),
    /// A complete but invalid response arrived (without a seal, or malformed).
    Bad,
    /// Provably nothing was sent, because the seat was no longer valid.
    Unsent,
    /// Provably nothing was run, because the runner was unreachable or refused the id.
    Absent,
    /// The runner closed the connection before the response was complete. By its contract it has
    /// stopped working on the request.
    Broken,
    /// The response was lost; the request may still be running.
    Lost,
}

/// An action that the front must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the named front.
    Send(String, crate::FrontMessage),
    /// Start an attempt of the request on the seat.
    Launch(QueuedRequest, SeatGrant),
    /// Respond to the caller that the request was not run.
    Refuse(QueuedRequest, Rejection),
    /// Check whether the runner accepts connections, then call [`crate::SeatScheduler::probe_finished`].
    Probe {
        /// Id of the runner.
        runner: String,
        /// Address of the runner.
        address: String,
    },
}
