use serde::Serialize;
use speedy::{Readable, Writable};

/// Version of a value that is carried to all: a higher epoch wins, then a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable, Serialize,
)]
pub struct Version {
    /// Epoch of the voters that settled it.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// Version of the register.
    pub no: u64,
}

/// A daemon in one of its incarnations.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize,
)]
pub struct PeerRef {
    /// Name from its settings.
    pub name: String,
    /// Random number of this incarnation.
    pub incarnation: u64,
}

/// What the scaler wants: every runner with its owner and quota, and the membership of fronts.
/// It is one value of the register, so an old scaler's write loses by the expected version.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Plan {
    /// Term of the scaler's role under which it was written.
    pub term: u64,
    /// Version of the plan that last changed the membership.
    pub membership_since: Version,
    /// Names of the fronts of which a majority gives a quorum lease.
    pub membership: Vec<String>,
    /// All runners that are wanted, draining, or whose address rests.
    pub runners: Vec<RunnerEntry>,
}

/// One runner in the plan.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct RunnerEntry {
    /// Id, never used again.
    pub id: String,
    /// Function that it runs.
    pub function: String,
    /// Worker that it is placed on.
    pub worker: String,
    /// Zone of that worker.
    pub zone: String,
    /// Address (ip and port) chosen for it.
    pub address: String,
    /// Key that it seals its answers with.
    pub key: Vec<u8>,
    /// Memory that it takes, in megabytes.
    pub memory_mb: u64,
    /// Milliseconds that one of its answers takes, as learnt from routed requests; 0 until seen.
    pub response_time_ms: u32,
    /// Requests that it may hold at once, never above its listing's concurrency.
    pub quota: u32,
    /// The front that alone hands out its seats.
    pub owner: PeerRef,
    /// Grows with each new owner; 1 is the first.
    pub owner_epoch: u64,
    /// Version of the plan that named this owner.
    pub owner_since: Version,
    /// Its lifecycle state.
    pub state: RunnerState,
}

/// The lifecycle state of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum RunnerState {
    /// Wanted: it is started and serves as soon as it answers.
    Wanted,
    /// Gets no new seats; what is in flight finishes.
    Draining,
    /// Drained: the platform is asked to stop it.
    Stopping,
    /// Confirmed stopped; its address may not be used again yet.
    Resting,
}

impl Plan {
    /// The entry of a runner.
    pub fn runner(&self, id: &str) -> Option<&RunnerEntry> {
        self.runners.iter().find(|entry| entry.id == id)
    }
}
