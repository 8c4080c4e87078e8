//! Messages between controllers. Variants and fields are encoded by position, so their order must not change.

use crate::value::ValueId;
use register::{
    Ballot, ClaimFloors, RegisterState, SetVersion, VersionedValue, VoterRequest, VoterResponse,
    VoterSet,
};
use speedy::{Readable, Writable};

/// A message from one controller to another. Messages may be lost, delayed or duplicated.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ConsensusMessage {
    /// Identifies the sender of a link. The daemon sends it first on each link; the consensus ignores it.
    Link {
        /// Address of the controller that opened the link.
        address: String,
    },
    /// Announces that the sender is alive, and its state.
    Heartbeat(Heartbeat),
    /// A member's voter backs the role lease claimed in a heartbeat.
    RoleLeaseAck(RoleLeaseAck),
    /// A request to a voter.
    VoterRequest {
        /// Number that the response repeats.
        number: u64,
        /// A value that the sender already has and that the response may omit.
        known: ValueId,
        /// The request.
        request: VoterRequest,
    },
    /// A voter's response.
    VoterResponse {
        /// Identity of the disk of the responding voter.
        disk: u64,
        /// Number of the request.
        number: u64,
        /// Whether the value is omitted because the receiver already has it.
        is_value_omitted: bool,
        /// The response.
        response: VoterResponse,
    },
    /// Requests the newest voter set.
    RequestVoterSet,
    /// The newest voter set that is known to be committed.
    VoterSet(VoterSetUpdate),
    /// The first voter set, sent to a member that is still empty.
    FormVoterSet(VoterSet),
    /// Requests [`ConsensusMessage::Installed`] once the receiver's voter is durably in this set or a later one.
    ConfirmInstalled {
        /// Version of the set.
        set_version: SetVersion,
    },
    /// A fully installed voter is durably in a set.
    Installed {
        /// Identity of the voter's disk.
        disk: u64,
        /// Version of the set.
        set_version: SetVersion,
    },
    /// Requests the part of a member's replica that follows a key.
    RequestReplica {
        /// Version of the set that the member must be in.
        set_version: SetVersion,
        /// The last key received so far; empty at the beginning.
        after: String,
    },
    /// A page of a member's replica.
    Replica(ReplicaPage),
    /// Requests the committed value of a key, if it is not older than this version.
    RequestValue {
        /// Key of the register.
        key: String,
        /// Version that is known to be committed.
        version: u64,
    },
    /// A committed value.
    Value {
        /// Key of the register.
        key: String,
        /// Ballot under which the sender's voter accepted the value; the default ballot if it did not.
        ballot: Ballot,
        /// The value.
        value: VersionedValue,
    },
    /// A member shuts down. Sent to spare controllers, one of which should take its place in the voter set.
    ShuttingDown {
        /// Identity of the member's disk.
        disk: u64,
        /// Incarnation of the member that shuts down. A later one of the same disk does not.
        incarnation: u64,
    },
}

/// The newest voter set that a controller knows to be committed.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct VoterSetUpdate {
    /// The set.
    pub set: VoterSet,
    /// The previous set, if known. Replicas of a majority of its members are sufficient for a new member.
    pub previous: Option<VoterSet>,
}

/// State that a controller reports at regular intervals.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Heartbeat {
    /// Identity of the sender's disk.
    pub disk: u64,
    /// Random id of the sender's incarnation.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub number: u64,
    /// Version of the set that the sender's voter is in; epoch 0 if the voter is empty.
    pub own_set: SetVersion,
    /// Version of the newest set that the sender knows to be committed.
    pub known_set: SetVersion,
    /// Committed values of all replicated registers, in the order of their keys in `keys.rs`.
    pub committed: Vec<ValueId>,
    /// Term under which the sender holds the scaler role or has just won it; 0 if it does neither.
    pub role_term: u64,
    /// Whether the sender's voter would promise the scaler role to the receiver.
    pub grants_role: bool,
    /// Bitmap of the set's members that the sender hears from, in the order of the set.
    pub reachable_members: u64,
    /// Number of controllers outside the set that the sender hears from.
    pub spare_controllers: u8,
    /// Whether the sender was told that the whole system is starting for the first time.
    pub is_first_start: bool,
    /// Whether the sender is in contact with a majority of voters.
    pub is_in_contact: bool,
    /// The newest heartbeat that the sender has received from the receiver.
    pub acknowledged: HeartbeatAck,
}

/// Acknowledges the newest heartbeat received from a controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Readable, Writable)]
pub struct HeartbeatAck {
    /// Random id of the acknowledged incarnation; 0 if no heartbeat was received.
    pub incarnation: u64,
    /// Number of the acknowledged heartbeat within that incarnation.
    pub number: u64,
}

/// Reports that a member's voter backs a role lease.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct RoleLeaseAck {
    /// Identity of the member's disk.
    pub disk: u64,
    /// Version of the set that the member's voter is in.
    pub set_version: SetVersion,
    /// The claimed term.
    pub term: u64,
    /// Number of the heartbeat that claimed the role.
    pub number: u64,
}

/// A page of a member's replica, in key order.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ReplicaPage {
    /// Identity of the member's disk.
    pub disk: u64,
    /// Version of the set that the member is in.
    pub set_version: SetVersion,
    /// Time before which claims are forgotten, and time before which unknown claims are refused.
    pub claim_floors: ClaimFloors,
    /// The page starts after this key.
    pub after: String,
    /// Registers with their keys.
    pub registers: Vec<(String, RegisterState)>,
    /// Whether this is the last page.
    pub is_last: bool,
}
