//! What the daemon does for its consensus.

use crate::disk_work::DiskWork;
use crate::message::ConsensusMessage;
use register::ChangeOutcome;

/// What the daemon does for its consensus. The order of actions counts.
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
        /// Token that it was requested with.
        token: u64,
        /// How it ended.
        outcome: ChangeOutcome,
    },
    /// A newer value is known to be committed.
    ValueCommitted {
        /// Key of the register.
        key: String,
        /// Version of the value.
        version: u64,
    },
    /// This controller holds the scaler role from now on.
    RoleAcquired {
        /// Number that fences all that the holder does.
        term: u64,
    },
    /// This controller holds the scaler role no more.
    RoleLost,
}
