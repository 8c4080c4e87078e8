//! Actions that the consensus requests from the controller daemon.

use crate::disk_work::DiskWork;
use crate::message::ConsensusMessage;
use register::ChangeOutcome;

/// An action for the controller daemon. Actions must be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsensusAction {
    /// Send a message to another controller. Delivery is not guaranteed.
    Send {
        /// The controller's address.
        to: String,
        /// The message.
        message: ConsensusMessage,
    },
    /// Queue work for the disk thread, in the order of the actions.
    Disk(DiskWork),
    /// A read or write has completed.
    RequestCompleted {
        /// Token that the caller passed with the request.
        token: u64,
        /// Outcome of the request.
        outcome: ChangeOutcome,
    },
    /// A newer value is known to be committed.
    ValueCommitted {
        /// Key of the register.
        key: String,
        /// Version of the value.
        version: u64,
    },
    /// This controller now holds the scaler role.
    RoleAcquired {
        /// Fencing term for all commands of the role holder.
        term: u64,
    },
    /// This controller no longer holds the scaler role.
    RoleLost,
}
