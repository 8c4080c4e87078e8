/// A worker on the platform's list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerListing {
    /// Name.
    pub name: String,
    /// Zone that it stands in.
    pub zone: String,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Memory that was free when the list was made.
    pub free_mb: u64,
    /// It is being drained.
    pub is_draining: bool,
}

/// A runner on the platform's list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerListing {
    /// Id that the platform gave it.
    pub id: String,
    /// Its function.
    pub function: String,
    /// Address (ip and port).
    pub address: String,
    /// Zone of its worker.
    pub zone: String,
    /// Worker.
    pub worker: String,
    /// Most requests that it may hold at once.
    pub capacity: u32,
    /// The platform is going to end it.
    pub is_terminating: bool,
}

/// The runner that a start gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRunner {
    /// Id that the platform gave it.
    pub id: String,
    /// Address (ip and port).
    pub address: String,
}

/// Why a start gave no runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The worker has no room, is down, is leaving or is unknown (409).
    NoRoom,
    /// There is no such function (400).
    Refused,
    /// Too many orders (429).
    Busy,
    /// No answer came; it may have been done.
    Unanswered,
}

/// What the platform is to be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunnerCommand {
    /// A runner is to be started.
    Start {
        /// The function.
        function: String,
        /// Name of the worker.
        worker: String,
        /// The start's own nonce.
        nonce: String,
    },
    /// A runner is to be stopped.
    Stop {
        /// Id of the runner.
        id: String,
    },
}

/// What the autoscaler thinks of one function.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FunctionStatus {
    /// The function.
    pub function: String,
    /// Requests a second that were measured.
    pub measured: f64,
    /// Requests a second that are forecast.
    pub forecast: f64,
    /// Requests that wait for a seat.
    pub waiting: u32,
    /// Requests a second that are to be carried, with those that wait.
    pub demand: f64,
    /// Requests a second that its runners carry.
    pub capacity: f64,
    /// Milliseconds that one answer takes.
    pub pace_ms: f64,
    /// Runners that serve or start.
    pub runners: usize,
    /// Their quotas, summed.
    pub seats: u32,
    /// Last decision about it.
    pub reason: String,
}
