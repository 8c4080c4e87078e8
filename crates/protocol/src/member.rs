//! Identity of a gateway.

use speedy::{Readable, Writable};

/// A gateway, as listed in the gateway membership that the scaler publishes.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Member {
    /// Name of the gateway, from its settings.
    pub name: String,
    /// Random number generated when the gateway starts; distinguishes its incarnations.
    pub incarnation: u64,
    /// Address for connections from other daemons (IP and port).
    pub address: String,
    /// Zone of the gateway.
    pub zone: String,
}
