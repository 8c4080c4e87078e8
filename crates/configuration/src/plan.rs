use serde::Serialize;
use speedy::{Readable, Writable};

/// Version of the configuration or the plan: a higher epoch is newer, then a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable, Serialize,
)]
pub struct Version {
    /// Epoch of the voter set that committed it.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// Version of the register that holds it.
    pub no: u64,
}

/// A daemon in one incarnation (one run of its process).
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize,
)]
pub struct PeerRef {
    /// Name from its settings.
    pub name: String,
    /// Random number chosen at the start of the process.
    pub incarnation: u64,
}

/// The scaler's target state: all runners with their owners and quotas, and the membership of the fronts.
/// It is one register value, written with the expected version, so that a write of a former scaler fails.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Plan {
    /// Term of the scaler that wrote it.
    pub term: u64,
    /// Version of the plan that last changed the membership.
    pub membership_since: Version,
    /// Names of the fronts of which a majority must respond for a quorum lease.
    pub membership: Vec<String>,
    /// All runners that are wanted, draining or stopping, or whose address may not be reused yet.
    pub runners: Vec<RunnerEntry>,
}

/// One runner in the plan.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct RunnerEntry {
    /// Id; never reused.
    pub id: String,
    /// Function that it serves.
    pub function: String,
    /// Worker that it runs on.
    pub worker: String,
    /// Zone of that worker.
    pub zone: String,
    /// Address (ip and port) assigned to it.
    pub address: String,
    /// Key with which it seals its responses.
    pub key: Vec<u8>,
    /// Memory that it uses, in megabytes.
    pub memory_mb: u64,
    /// Average response time in milliseconds, measured on routed requests; 0 until known.
    pub response_time_ms: u32,
    /// Maximum number of concurrent requests, never above the function's concurrency.
    pub quota: u32,
    /// The front that leases its seats; no other front may.
    pub owner: PeerRef,
    /// Increases with each new owner; the first has 1.
    pub owner_epoch: u64,
    /// Version of the plan that assigned this owner.
    pub owner_since: Version,
    /// State in its lifecycle.
    pub state: RunnerState,
}

/// State of a runner in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum RunnerState {
    /// It is to be started, and gets requests as soon as it accepts connections.
    Wanted,
    /// No new seats are leased; requests in flight finish.
    Draining,
    /// It is drained, and the platform is asked to stop it.
    Stopping,
    /// It has stopped, but its address may not be reused yet.
    Resting,
}

impl Plan {
    /// Returns the entry of a runner.
    pub fn runner(&self, id: &str) -> Option<&RunnerEntry> {
        self.runners.iter().find(|entry| entry.id == id)
    }
}
