//! The register that records the last winner of the scaler role.

use crate::keys::SCALER_ROLE_KEY;
use register::VoterOperation;
use speedy::{Readable, Writable};

/// Number of bits of a term below the voter set's epoch.
const EPOCH_SHIFT: u32 = 40;

/// Value of the scaler role's register: the controller that last won the role.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RoleHolder {
    /// Address of the holder.
    pub address: String,
    /// Name of the holder.
    pub name: String,
    /// Random id of the holder's incarnation.
    pub incarnation: u64,
}

impl RoleHolder {
    /// Decodes the register's value. Invalid values decode to an empty holder.
    pub(crate) fn decode(bytes: &[u8]) -> Self {
        Self::read_from_buffer(bytes).unwrap_or_default()
    }
}

/// Key of the register that an operation addresses.
pub(crate) fn key_of(operation: &VoterOperation) -> &str {
    match operation {
        VoterOperation::Query { key }
        | VoterOperation::Prepare { key, .. }
        | VoterOperation::Accept { key, .. } => key,
    }
}

/// Whether an operation is a prepare or accept request for the scaler role's register.
pub(crate) fn is_role_round(operation: &VoterOperation) -> bool {
    key_of(operation) == SCALER_ROLE_KEY && !matches!(operation, VoterOperation::Query { .. })
}

/// Fencing term of a role holder: the epoch of the voter set, followed by the register version at which the role was
/// won.
pub(crate) fn term_of(epoch: u64, version: u64) -> u64 {
    (epoch << EPOCH_SHIFT) | version
}
