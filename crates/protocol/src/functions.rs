use speedy::{Readable, Writable};

/// What the keeper of a function tells the scaler about it. Counters only grow within the keeper's life.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FunctionReport {
    /// The function.
    pub function: String,
    /// Number of the news that the keeper holds for it; 0 where it holds none.
    pub update_number: u64,
    /// Requests that came in, by the district of the gateway that took them.
    pub arrivals: Vec<(String, u64)>,
    /// Requests that wait for a seat now.
    pub waiting: u32,
    /// Requests that were given up for want of a seat.
    pub abandoned: u64,
    /// What is known of each runner.
    pub runners: Vec<RunnerReport>,
}

/// What a keeper knows of one runner.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerReport {
    /// Id that the platform gave it.
    pub id: String,
    /// Requests that it holds now.
    pub in_use: u32,
    /// Good answers that it gave.
    pub succeeded: u64,
    /// Milliseconds that these answers took, summed.
    pub total_duration_ms: u64,
    /// Requests that it turned away as over its concurrency.
    pub rejected: u64,
    /// It was reached at least once.
    pub is_up: bool,
    /// It cannot be reached any more, or another runner has its address.
    pub is_gone: bool,
}

/// All runners of one function, as the scaler wants them.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FunctionUpdate {
    /// The function.
    pub function: String,
    /// Term of the scaler and number of the news within it; a higher pair wins.
    pub version: (u64, u64),
    /// Its runners.
    pub runners: Vec<RunnerUpdate>,
    /// Set while no worker has room for a runner of it and it has none.
    pub start_block: Option<StartBlock>,
}

/// The scaler's statement that a function has no runner and that no worker can take one now. It holds for a bounded
/// time and is repeated, so that it ends by itself where the scaler that made it is gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct StartBlock {
    /// Milliseconds within which no new runner can be up; none where nothing is known that would make room.
    pub earliest_ready_ms: Option<u32>,
    /// Milliseconds after which a refused request may find a runner.
    pub retry_after_ms: u32,
    /// Milliseconds for which the statement may be acted on.
    pub valid_ms: u32,
}

/// One runner as the scaler wants it.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerUpdate {
    /// Id that the platform gave it.
    pub id: String,
    /// Address (ip and port).
    pub address: String,
    /// District of its worker.
    pub zone: String,
    /// Requests that it may hold at once, never above its function's concurrency.
    pub quota: u32,
    /// Where it is in its life.
    pub stage: RunnerStage,
    /// Milliseconds until it is expected to be up; 0 once it is.
    pub starts_in_ms: u32,
}

/// Where a runner is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum RunnerStage {
    /// It was started and is not known to be up.
    #[default]
    Starting,
    /// It serves.
    Serving,
    /// It gets no new requests; those that it holds end.
    Draining,
}
