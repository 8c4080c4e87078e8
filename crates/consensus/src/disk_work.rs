//! Work for the thread that has the voter's disk, and what comes of it.

use crate::message::ReplicaPage;
use crate::role_register::{is_role_round, key_of};
use crate::snapshot::VoterSnapshot;
use crate::value::ValueId;
use register::{RegisterState, SetVersion, VoterOperation, VoterRequest, VoterResponse, VoterSet};
use voter::Installation;

/// Bytes that a register takes beside its key and its value.
const REGISTER_OVERHEAD_BYTES: usize = 80;

/// Work for the thread that has the voter's disk.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskWork {
    /// Give a request to the voter.
    VoterRequest {
        /// Address of the controller that sent it.
        to: String,
        /// Number of the request.
        number: u64,
        /// A value that the sender has, which the response leaves out.
        known: ValueId,
        /// The request.
        request: VoterRequest,
    },
    /// Take the first set, into an empty voter.
    FormSet(VoterSet),
    /// Take the set that follows the voter's own.
    AdoptSet(VoterSet),
    /// Take a set with all that its other members hold, into an empty voter.
    Install(Installation),
    /// Take a newer committed value of a register from another replica.
    Repair(String, RegisterState),
    /// Let one span pass for which jobs are remembered.
    RotateJobWindow,
    /// Confirm where the voter is durably in this set, or in a later one of its epoch.
    ConfirmInstalled {
        /// Address of the controller that asks.
        to: String,
        /// Version of the set.
        set_version: SetVersion,
    },
    /// Give up all that is held and begin as an empty voter under this identity.
    Reset(u64),
    /// Read part of what is held.
    ReadReplica {
        /// Address of the controller that asks.
        to: String,
        /// Version of the set that the voter must be in.
        set_version: SetVersion,
        /// The key after which the part begins.
        after: String,
    },
}

impl DiskWork {
    /// Bytes that the work takes while it waits for the disk.
    pub fn size(&self) -> usize {
        match self {
            Self::VoterRequest { request, .. } => operation_size(&request.operation),
            Self::Install(installation) => {
                let registers = installation.registers.iter();
                registers
                    .map(|(key, state)| register_size(key, state))
                    .sum()
            }
            Self::Repair(key, state) => register_size(key, state),
            Self::FormSet(_)
            | Self::AdoptSet(_)
            | Self::RotateJobWindow
            | Self::ConfirmInstalled { .. }
            | Self::Reset(_)
            | Self::ReadReplica { .. } => REGISTER_OVERHEAD_BYTES,
        }
    }

    /// What comes of work that was never given to the disk, since too much waits for it already. It is the same as a
    /// request whose response got lost, or work on the set that comes again.
    pub fn reject(self) -> Option<DiskCompletion> {
        match self {
            Self::VoterRequest {
                to,
                number,
                request,
                ..
            } => Some(DiskCompletion::VoterResponse {
                to,
                number,
                is_value_omitted: false,
                is_role_round: is_role_round(&request.operation),
                response: VoterResponse::Unavailable {
                    reason: "too much waits for the disk".into(),
                },
            }),
            Self::FormSet(_) | Self::AdoptSet(_) | Self::Install(_) => {
                Some(DiskCompletion::SetWorkEnded)
            }
            Self::Reset(_) => Some(DiskCompletion::ResetEnded(None)),
            Self::Repair(..)
            | Self::RotateJobWindow
            | Self::ConfirmInstalled { .. }
            | Self::ReadReplica { .. } => None,
        }
    }
}

fn operation_size(operation: &VoterOperation) -> usize {
    let value_size = match operation {
        VoterOperation::Accept { value, .. } => value.bytes.len(),
        VoterOperation::Query { .. } | VoterOperation::Prepare { .. } => 0,
    };
    key_of(operation).len() + value_size + REGISTER_OVERHEAD_BYTES
}

/// Bytes that a register takes in memory and in messages, about.
pub(crate) fn register_size(key: &str, state: &RegisterState) -> usize {
    key.len() + state.value.bytes.len() + REGISTER_OVERHEAD_BYTES
}

/// What came of the disk's work. Give it to the consensus in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskCompletion {
    /// What the voter holds now, of the replicated registers that have changed.
    VoterState(VoterSnapshot),
    /// A voter's response to a request.
    VoterResponse {
        /// Address of the controller that sent the request.
        to: String,
        /// Number of the request.
        number: u64,
        /// Whether the value is left out.
        is_value_omitted: bool,
        /// Whether the request was a round over the scaler role's register.
        is_role_round: bool,
        /// The response.
        response: VoterResponse,
    },
    /// Work on the voter's set is over; what came of it is in [`DiskCompletion::VoterState`].
    SetWorkEnded,
    /// The voter is durably in this set, or in a later one of its epoch.
    InstallationConfirmed {
        /// Address of the controller that asked.
        to: String,
        /// Version of the set that was asked about.
        set_version: SetVersion,
    },
    /// The voter is empty and has this identity; none where the disk failed and nothing is known to have changed.
    ResetEnded(Option<u64>),
    /// Part of what is held.
    ReplicaPage {
        /// Address of the controller that asked.
        to: String,
        /// The part.
        page: ReplicaPage,
    },
}
