use crate::disk::DiskWork;
use crate::message::ConsensusMessage;
use register::ChangeOutcome;

/// What a controller knows of itself when its consensus machine begins.
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
    /// Random id made with the disk.
    pub disk_id: u64,
    /// Time after the last heartbeat of a holder at which its duty is vacant.
    pub lease_ms: u64,
    /// Time between heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Silence after which a newcomer may take a member's place.
    pub replacement_timeout_ms: u64,
    /// Seed of all random numbers; no two lives of any controller may share one.
    pub seed: u64,
    /// Number of voters up to which newcomers are added to the set.
    pub target_voter_count: usize,
}

/// What the daemon does for its consensus machine.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusAction {
    /// Send a message to the controller at an address. It may get lost.
    Send {
        /// The controller's address.
        to: String,
        /// The message.
        message: ConsensusMessage,
    },
    /// Give this to the disk's thread, in the order of the actions.
    Disk(DiskWork),
    /// A read or write has ended.
    RequestCompleted {
        /// Token that it was asked with.
        token: u64,
        /// How it ended.
        outcome: ChangeOutcome,
    },
    /// A newer value is known to be settled.
    ValueCommitted {
        /// Key of the register.
        key: String,
        /// Version of the value.
        version: u64,
    },
    /// This controller holds the scaling duty from now on.
    RoleAcquired {
        /// Number that fences all that the holder does.
        term: u64,
    },
    /// This controller holds the scaling duty no more.
    RoleLost,
}
