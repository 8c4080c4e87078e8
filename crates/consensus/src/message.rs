//! What controllers say to one another. Variants and fields are encoded in their order, which must stay.

use crate::value::ValueId;
use register::{
    Ballot, ClaimFloors, RegisterState, SetVersion, VersionedValue, VoterRequest, VoterResponse,
    VoterSet,
};
use speedy::{Readable, Writable};

/// A message from one controller to another. Any of them may get lost, come late, or come twice.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ConsensusMessage {
    /// Whose link this is. The daemon sends it first on each link; the consensus ignores it.
    Link {
        /// Address of the controller that opened the link.
        address: String,
    },
    /// A controller lives, and knows this.
    Heartbeat(Heartbeat),
    /// A member's voter backs the role lease that a heartbeat claimed.
    RoleLeaseAck(RoleLeaseAck),
    /// A request to a voter.
    VoterRequest {
        /// Number that the response bears.
        number: u64,
        /// A value that the sender has, which need not travel.
        known: ValueId,
        /// The request.
        request: VoterRequest,
    },
    /// A voter's response.
    VoterResponse {
        /// Identity of the disk that the response was given from.
        disk: u64,
        /// Number of the request.
        number: u64,
        /// Whether the value is left out, since it is the one that the receiver has.
        is_value_omitted: bool,
        /// The response.
        response: VoterResponse,
    },
    /// Asks for the newest voter set.
    RequestVoterSet,
    /// The newest voter set that is known to be committed.
    VoterSet(VoterSetUpdate),
    /// The first voter set, to a member that is still empty.
    FormVoterSet(VoterSet),
    /// Asks for [`ConsensusMessage::Installed`] where this set, or a later one, is durable at the receiver's voter.
    ConfirmInstalled {
        /// Version of the set.
        set_version: SetVersion,
    },
    /// A voter with all that it must hold is durably in a set.
    Installed {
        /// Identity of the voter's disk.
        disk: u64,
        /// Version of the set.
        set_version: SetVersion,
    },
    /// Asks for what a member holds after a key.
    RequestReplica {
        /// Version of the set that the member must be in.
        set_version: SetVersion,
        /// The last key that is known; empty at the beginning.
        after: String,
    },
    /// Part of what a member holds.
    Replica(ReplicaPage),
    /// Asks for the committed value of a key, if it is not older than this version.
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
        /// Ballot under which the sender's voter accepted it; blank where it did not.
        ballot: Ballot,
        /// The value.
        value: VersionedValue,
    },
}

/// The newest voter set that a controller knows to be committed.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct VoterSetUpdate {
    /// The set.
    pub set: VoterSet,
    /// The set before it, where that is known. Replicas of a majority of its members are enough for a newcomer.
    pub previous: Option<VoterSet>,
}

/// What a controller says of itself at regular intervals.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Heartbeat {
    /// Identity of the sender's disk.
    pub disk: u64,
    /// Random id of the sender's incarnation.
    pub incarnation: u64,
    /// Counted up with each heartbeat of an incarnation.
    pub number: u64,
    /// Version of the set that the sender's voter is in; epoch 0 where it is empty.
    pub own_set: SetVersion,
    /// Version of the newest set that the sender knows to be committed.
    pub known_set: SetVersion,
    /// Committed values of all replicated registers, in the order of their keys in `keys.rs`.
    pub committed: Vec<ValueId>,
    /// Term under which the sender holds the scaler role or has just won it; 0 for none.
    pub role_term: u64,
    /// Whether the sender's voter would let the receiver have the scaler role.
    pub grants_role: bool,
    /// Members of the set that the sender hears, one bit for each place in the set.
    pub reachable_members: u64,
    /// Controllers outside the set that the sender hears.
    pub spare_controllers: u8,
    /// Whether the sender takes this for the first start of the whole system.
    pub is_first_start: bool,
    /// Whether the sender is in contact with a majority.
    pub is_in_contact: bool,
    /// The newest heartbeat that the sender has heard from the receiver.
    pub acknowledged: HeartbeatAck,
}

/// Acknowledges a heartbeat: the newest one that its receiver has heard from the sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Readable, Writable)]
pub struct HeartbeatAck {
    /// Random id of the sender's incarnation; 0 where nothing was heard.
    pub incarnation: u64,
    /// Number of the heartbeat within that incarnation.
    pub number: u64,
}

/// Says that a member's voter backs a role lease.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct RoleLeaseAck {
    /// Identity of the member's disk.
    pub disk: u64,
    /// Version of the set that the member's voter is in.
    pub set_version: SetVersion,
    /// Term that was claimed.
    pub term: u64,
    /// Number of the heartbeat that claimed it.
    pub number: u64,
}

/// Part of what a member holds, in the order of keys.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ReplicaPage {
    /// Identity of the member's disk.
    pub disk: u64,
    /// Version of the set that the member is in.
    pub set_version: SetVersion,
    /// Times before which claims are forgotten, and before which unknown ones are refused.
    pub claim_floors: ClaimFloors,
    /// The key after which this part begins.
    pub after: String,
    /// Registers by key.
    pub registers: Vec<(String, RegisterState)>,
    /// Whether nothing comes after this part.
    pub is_last: bool,
}
