//! What a controller knows of itself when its consensus begins.

/// What a controller knows of itself when its consensus begins.
#[derive(Clone, Debug)]
pub struct ConsensusOptions {
    /// Name of the controller.
    pub name: String,
    /// Address at which other controllers reach this one.
    pub address: String,
    /// Addresses at which other controllers may be found; they may be stale.
    pub seeds: Vec<String>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Random identity that was made with the voter's disk.
    pub disk_id: u64,
    /// Time after the last heartbeat of the scaler role's holder at which the role is vacant, in milliseconds.
    pub lease_ms: u64,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Silence of a member after which a newcomer may take its place, in milliseconds.
    pub replacement_timeout_ms: u64,
    /// Seed of all random numbers; no two incarnations of any controller may share one.
    pub seed: u64,
    /// Number of voters up to which newcomers are added to the set.
    pub target_voter_count: usize,
}
