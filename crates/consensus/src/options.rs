//! Configuration of the consensus of one controller.

/// Configuration of the consensus of one controller.
#[derive(Clone, Debug)]
pub struct ConsensusOptions {
    /// Name of the controller.
    pub name: String,
    /// Address at which other controllers reach this one.
    pub address: String,
    /// Addresses at which other controllers may be found; they may be outdated.
    pub seeds: Vec<String>,
    /// Whether the whole system is starting for the first time.
    pub is_first_start: bool,
    /// Random identity that was created with the voter's disk.
    pub disk_id: u64,
    /// Time after the role holder's last heartbeat until the scaler role becomes vacant, in milliseconds.
    pub lease_ms: u64,
    /// Heartbeat interval in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Silence after which a member may be replaced by another controller, in milliseconds.
    pub replacement_timeout_ms: u64,
    /// Seed of the random number generator. It must be unique among all incarnations of all controllers.
    pub seed: u64,
    /// Number of voters up to which controllers are added to the set.
    pub target_voter_count: usize,
}
