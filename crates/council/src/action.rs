use crate::disk::DiskWork;
use crate::message::CouncilMessage;
use register::Outcome;

/// What a core knows of itself when its council begins.
#[derive(Clone, Debug)]
pub struct CouncilOptions {
    /// Name of the core.
    pub name: String,
    /// Address at which other cores reach this one.
    pub address: String,
    /// Addresses at which other cores may be found; they may be stale.
    pub seeds: Vec<String>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Random id made with the disk.
    pub disk: u64,
    /// Time after the last beat of a holder at which its duty is vacant.
    pub lease_ms: u64,
    /// Time between beats.
    pub beat_ms: u64,
    /// Silence after which a newcomer may take a member's place.
    pub patience_ms: u64,
    /// Seed of all random numbers; no two lives of any core may share one.
    pub seed: u64,
    /// Number of voters up to which newcomers are added to the set.
    pub voters_wanted: usize,
}

/// What the daemon does for its council.
#[derive(Clone, Debug, PartialEq)]
pub enum CouncilAction {
    /// Send a message to the core at an address. It may get lost.
    Send {
        /// The core's address.
        to: String,
        /// The message.
        message: CouncilMessage,
    },
    /// Give this to the disk's thread, in the order of the actions.
    Disk(DiskWork),
    /// A read or write has ended.
    Done {
        /// Token that it was asked with.
        token: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// A newer value is known to be settled.
    News {
        /// Key of the register.
        key: String,
        /// Version of the value.
        version: u64,
    },
    /// This core holds the scaling duty from now on.
    DutyWon {
        /// Number that fences all that the holder does.
        term: u64,
    },
    /// This core holds the scaling duty no more.
    DutyLost,
}
