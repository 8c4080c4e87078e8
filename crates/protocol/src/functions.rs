//! State of functions and their runners, exchanged between the scaler and the functions' owners.

use crate::identifiers::UpdateVersion;
use speedy::{Readable, Writable};

/// A function owner's report to the scaler. Counters are cumulative within the owner's incarnation.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FunctionReport {
    /// Name of the function.
    pub function: String,
    /// Number of the newest update that the owner has received for it; 0 if it has received none.
    pub update_number: u64,
    /// Requests received, by zone of the receiving gateway.
    pub arrivals: Vec<ZoneArrivals>,
    /// Requests currently waiting for a seat.
    pub waiting: u32,
    /// Requests abandoned because no seat was free.
    pub abandoned: u64,
    /// State of each known runner.
    pub runners: Vec<RunnerReport>,
}

/// Number of requests for a function that the gateways of one zone received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ZoneArrivals {
    /// Name of the zone.
    pub zone: String,
    /// Requests since the owner started.
    pub count: u64,
}

/// A function owner's view of one runner.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerReport {
    /// Id assigned by the platform.
    pub id: String,
    /// Requests currently in flight at the runner.
    pub in_use: u32,
    /// Successful responses.
    pub succeeded: u64,
    /// Total duration of these responses in milliseconds.
    pub total_duration_ms: u64,
    /// Requests that the runner rejected because it was at its concurrency limit.
    pub rejected: u64,
    /// Whether the runner has been reached at least once.
    pub is_up: bool,
    /// Whether the runner can no longer be reached, or another runner now uses its address.
    pub is_unreachable: bool,
}

/// The desired runners of one function, as published by the scaler.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FunctionUpdate {
    /// Name of the function.
    pub function: String,
    /// Version of the update; the highest version wins.
    pub version: UpdateVersion,
    /// All runners of the function.
    pub runners: Vec<RunnerUpdate>,
    /// Set while the function has no runner and no worker has capacity for one.
    pub start_block: Option<StartBlock>,
}

/// States that a function has no runner and that no worker currently has capacity for one. It is valid for a limited time
/// and is sent repeatedly, so that it expires if the scaler that sent it fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct StartBlock {
    /// Minimum time in milliseconds until a new runner can be up; `None` if nothing is known that would free capacity.
    pub earliest_ready_ms: Option<u32>,
    /// Time in milliseconds after which a rejected request may be retried.
    pub retry_after_ms: u32,
    /// Validity period in milliseconds.
    pub valid_ms: u32,
}

/// The desired state of one runner, as published by the scaler.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerUpdate {
    /// Id assigned by the platform.
    pub id: String,
    /// Address (IP and port).
    pub address: String,
    /// Zone of the runner's worker.
    pub zone: String,
    /// Maximum number of concurrent requests; never above the function's concurrency.
    pub quota: u32,
    /// Stage of its lifecycle.
    pub stage: RunnerStage,
    /// Expected time in milliseconds until the runner is up; 0 once it is up.
    pub starts_in_ms: u32,
}

/// Stage of a runner's lifecycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum RunnerStage {
    /// The runner was started and is not yet known to be up.
    #[default]
    Starting,
    /// The runner serves requests.
    Serving,
    /// The runner gets no new requests; requests in flight are completed.
    Draining,
}
