use register::{
    Ballot, ClaimFloors, RegisterState, SetVersion, VersionedValue, VoterRequest, VoterResponse,
    VoterSet,
};
use speedy::{Readable, Writable};

/// What controllers say to one another.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ConsensusMessage {
    /// Whose link this is. The daemon says it first on each link; the consensus machine ignores it.
    Link {
        /// Address of the controller that opened the link.
        address: String,
    },
    /// A controller lives, and knows this.
    Heartbeat(Heartbeat),
    /// A member's voter backs the claim of a heartbeat.
    RoleLeaseAck(RoleLeaseAck),
    /// A question to a voter.
    VoterRequest {
        /// Number that the answer bears.
        number: u64,
        /// Version and tag of a value that the asker has, which need not travel.
        known: (u64, u64),
        /// The question.
        message: VoterRequest,
    },
    /// A voter's answer.
    VoterResponse {
        /// Identity of the disk that the answer was given from.
        disk: u64,
        /// Number of the question.
        number: u64,
        /// Whether the value is left out, since it is the one that the asker has.
        is_known: bool,
        /// The answer.
        reply: VoterResponse,
    },
    /// Tell the newest set.
    RequestVoterSet,
    /// The newest set that is known to be settled.
    VoterSet(VoterSetUpdate),
    /// The first set, to a member that is still empty.
    FormVoterSet(VoterSet),
    /// Say so once the set of this version, or a later one, is durable at the receiver's voter.
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
    /// Tell what is held after a key, under the set of this version.
    RequestReplica {
        /// Version of the set.
        set_version: SetVersion,
        /// The last key that is known; empty at the beginning.
        after: String,
    },
    /// Part of what a member holds.
    Replica(ReplicaPage),
    /// Tell the settled value of a key, if it is not older than this version.
    RequestValue {
        /// Key of the register.
        key: String,
        /// Version that is known to be settled.
        version: u64,
    },
    /// A settled value.
    Value {
        /// Key of the register.
        key: String,
        /// Ballot under which the sender's voter accepted it; blank where it did not.
        ballot: Ballot,
        /// The value.
        value: VersionedValue,
    },
}

/// The newest set that a controller knows to be settled.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct VoterSetUpdate {
    /// The set.
    pub set: VoterSet,
    /// The set before it, where that is known. Copies of a majority of its members are enough for a
    /// newcomer.
    pub previous: Option<VoterSet>,
}

/// A controller's sign of life.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Heartbeat {
    /// Id of the controller's disk.
    pub disk: u64,
    /// Random id of the controller's incarnation.
    pub incarnation: u64,
    /// Counted up with each heartbeat of a incarnation.
    pub number: u64,
    /// Version of the set that the controller's voter is in; epoch 0 where it is empty.
    pub own_set: SetVersion,
    /// Version of the newest set that the controller knows.
    pub known_set: SetVersion,
    /// Version and tag of the settled values of all keys that are kept up, in their order.
    pub committed: Vec<(u64, u64)>,
    /// Term under which the controller holds the duty or has just won it; 0 for none.
    pub role_term: u64,
    /// Whether the controller's voter would let the receiver have the duty.
    pub grants_role: bool,
    /// Places of the set whose members the controller hears, one bit for each.
    pub reachable_members: u64,
    /// Controllers outside the set that the controller hears.
    pub spare_controllers: u8,
    /// Whether the controller takes this for the first start of the whole system.
    pub is_first_start: bool,
    /// Whether the controller is in contact with a majority.
    pub is_in_contact: bool,
    /// The newest heartbeat that the controller has heard from the receiver.
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

/// A member's word that its voter backs a claim.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct RoleLeaseAck {
    /// Id of the member's disk.
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
    /// Id of the member's disk.
    pub disk: u64,
    /// Version of the set that the member is in.
    pub set_version: SetVersion,
    /// Times before which claims are forgotten, and before which unknown ones are refused.
    pub claim_floors: ClaimFloors,
    /// The key after which this part begins.
    pub after: String,
    /// Keys with what is held.
    pub keys: Vec<(String, RegisterState)>,
    /// Whether nothing comes after this part.
    pub is_last: bool,
}
