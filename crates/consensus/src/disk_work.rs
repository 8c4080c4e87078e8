//! Work for the disk thread, and its completions.

use crate::message::ReplicaPage;
use crate::role_register::{is_role_round, key_of};
use crate::snapshot::VoterSnapshot;
use crate::value::ValueId;
use register::{RegisterState, SetVersion, VoterOperation, VoterRequest, VoterResponse, VoterSet};
use voter::Installation;

/// Approximate overhead of a register beyond its key and value, in bytes.
const REGISTER_OVERHEAD_BYTES: usize = 80;

/// Work for the thread that owns the voter's disk.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskWork {
    /// Pass a request to the voter.
    VoterRequest {
        /// Address of the controller that sent the request.
        to: String,
        /// Number of the request.
        number: u64,
        /// A value that the sender already has; the response omits it.
        known: ValueId,
        /// The request.
        request: VoterRequest,
    },
    /// Install the first set into an empty voter.
    FormSet(VoterSet),
    /// Move the voter to the successor of its set.
    AdoptSet(VoterSet),
    /// Install a set into an empty voter, with the state copied from its other members.
    Install(Installation),
    /// Repair a register with a newer committed value from another replica.
    Repair(String, RegisterState),
    /// Rotate the time window for which jobs are remembered.
    RotateJobWindow,
    /// Confirm if the voter is durably in this set, or in a later one of its epoch.
    ConfirmInstalled {
        /// Address of the requesting controller.
        to: String,
        /// Version of the set.
        set_version: SetVersion,
    },
    /// Erase all state and start as an empty voter with this identity.
    Reset(u64),
    /// Read a page of the replica.
    ReadReplica {
        /// Address of the requesting controller.
        to: String,
        /// Version of the set that the voter must be in.
        set_version: SetVersion,
        /// The page starts after this key.
        after: String,
    },
}

impl DiskWork {
    /// Approximate memory used by the work while it is queued, in bytes.
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

    /// The completion of work that is rejected because the disk queue is full. It is equivalent to a request whose
    /// response was lost, or to set work that will be retried.
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

/// Approximate size of a register in memory and in messages, in bytes.
pub(crate) fn register_size(key: &str, state: &RegisterState) -> usize {
    key.len() + state.value.bytes.len() + REGISTER_OVERHEAD_BYTES
}

/// The result of disk work. Completions must be passed to the consensus in order.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskCompletion {
    /// Current state of the voter, with the replicated registers that have changed.
    VoterState(VoterSnapshot),
    /// A voter's response to a request.
    VoterResponse {
        /// Address of the controller that sent the request.
        to: String,
        /// Number of the request.
        number: u64,
        /// Whether the value was omitted because the requester has it.
        is_value_omitted: bool,
        /// Whether the request was a round on the scaler role's register.
        is_role_round: bool,
        /// The response.
        response: VoterResponse,
    },
    /// Work on the voter's set has ended; the result is in [`DiskCompletion::VoterState`].
    SetWorkEnded,
    /// The voter is durably in this set, or in a later one of its epoch.
    InstallationConfirmed {
        /// Address of the requesting controller.
        to: String,
        /// Version of the requested set.
        set_version: SetVersion,
    },
    /// The voter is empty and has this identity. `None` if the disk failed, in which case the state is assumed to be
    /// unchanged.
    ResetEnded(Option<u64>),
    /// A page of the replica.
    ReplicaPage {
        /// Address of the requesting controller.
        to: String,
        /// The page.
        page: ReplicaPage,
    },
}
