//! State of functions and their runners, between the controller that scales and the functions' owners.

use crate::identifiers::UpdateVersion;
use speedy::{Readable, Writable};

/// What a function's owner reports to the controller that scales. Counters only grow within the owner's incarnation.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FunctionReport {
    /// The function.
    pub function: String,
    /// Number of the update that the owner has for it; 0 where it has none.
    pub update_number: u64,
    /// Requests that came in, by the zone of the gateway that received them.
    pub arrivals: Vec<ZoneArrivals>,
    /// Requests that wait for a seat now.
    pub waiting: u32,
    /// Requests that were abandoned for want of a seat.
    pub abandoned: u64,
    /// What is known of each runner.
    pub runners: Vec<RunnerReport>,
}

/// Requests that the gateways of one zone received for a function.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ZoneArrivals {
    /// The zone.
    pub zone: String,
    /// Requests since the owner's start.
    pub count: u64,
}

/// What a function's owner knows of one runner.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerReport {
    /// Id that the platform gave it.
    pub id: String,
    /// Requests that are in flight there now.
    pub in_use: u32,
    /// Successful responses.
    pub succeeded: u64,
    /// Milliseconds that these responses took, summed.
    pub total_duration_ms: u64,
    /// Requests that it rejected as over its concurrency.
    pub rejected: u64,
    /// It was reached at least once.
    pub is_up: bool,
    /// It cannot be reached any more, or another runner has its address.
    pub is_unreachable: bool,
}

/// All runners of one function, as the controller that scales wants them.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FunctionUpdate {
    /// The function.
    pub function: String,
    /// Version of the update; the highest one wins.
    pub version: UpdateVersion,
    /// Its runners.
    pub runners: Vec<RunnerUpdate>,
    /// Set while no worker has capacity for a runner of it and it has none.
    pub start_block: Option<StartBlock>,
}

/// The statement that a function has no runner and that no worker has capacity for one now. It is valid for a bounded
/// time and is repeated, so that it expires where the controller that made it is gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct StartBlock {
    /// Milliseconds within which no new runner can be up; none where nothing is known that would free capacity.
    pub earliest_ready_ms: Option<u32>,
    /// Milliseconds after which a rejected request may find a runner.
    pub retry_after_ms: u32,
    /// Milliseconds for which the statement may be acted on.
    pub valid_ms: u32,
}

/// One runner as the controller that scales wants it.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerUpdate {
    /// Id that the platform gave it.
    pub id: String,
    /// Address (ip and port).
    pub address: String,
    /// Zone of its worker.
    pub zone: String,
    /// Requests that may be in flight there at once, never above its function's concurrency.
    pub quota: u32,
    /// Where it is in its lifecycle.
    pub stage: RunnerStage,
    /// Milliseconds until it is expected to be up; 0 once it is.
    pub starts_in_ms: u32,
}

/// Where a runner is in its lifecycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum RunnerStage {
    /// It was started and is not known to be up.
    #[default]
    Starting,
    /// It serves requests.
    Serving,
    /// It gets no new requests; those in flight are completed.
    Draining,
}
