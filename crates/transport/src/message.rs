use configuration::{PeerRef, Plan, Version};
use peer_sampling::PeerDescriptor;
use register::{ClaimFloors, RegisterState, VoterRequest, VoterResponse, VoterSet};
use request_queue::{FrontMessage, FrontReport};
use speedy::{Readable, Writable};

/// Kind of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum PeerRole {
    /// Front: forwards requests to runners.
    Front,
    /// Core: stores the state and runs the scaler.
    Core,
}

/// A message with what the receiver needs to respond.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Envelope {
    /// Name and incarnation of the sender.
    pub from: PeerRef,
    /// Wire address of the sender.
    pub address: String,
    /// Kind of the sender.
    pub role: PeerRole,
    /// Number of the request; 0 if no response is expected.
    pub number: u64,
    /// Whether this is the response to the request of that number.
    pub is_answer: bool,
    /// The message.
    pub body: PeerMessage,
}

/// A committed configuration, as JSON text.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ConfigurationUpdate {
    /// Its version.
    pub version: Version,
    /// Its JSON text.
    pub text: String,
}

/// A committed plan.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct PlanUpdate {
    /// Its version.
    pub version: Version,
    /// The plan.
    pub plan: Plan,
}

/// Committed values that are newer than those of the requester, and the known members.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct StateUpdate {
    /// The configuration, if it is newer.
    pub configuration: Option<ConfigurationUpdate>,
    /// The plan, if it is newer.
    pub plan: Option<PlanUpdate>,
    /// Voter set as known to the responder.
    pub set: VoterSet,
    /// Addresses of all fronts known to the responder.
    pub fronts: Vec<(PeerRef, String)>,
    /// Addresses of all cores that respond to heartbeats for quorum leases.
    pub cores: Vec<(PeerRef, String)>,
    /// Whether the values were read at a majority of the voters after the request arrived.
    pub is_certain: bool,
}

/// Every message between daemons.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum PeerMessage {
    /// Message between fronts.
    Front(FrontMessage),
    /// Request to a voter.
    Voter(VoterRequest),
    /// Response of a voter.
    VoterResponse(VoterResponse),
    /// Request for updates (long poll): the response comes when there is an update, or after a while.
    AwaitUpdate {
        /// Configuration version that the requester has.
        configuration: Version,
        /// Plan version that the requester has.
        plan: Version,
        /// Whether the values must be read at a majority of the voters.
        wants_certain: bool,
    },
    /// Response to `AwaitUpdate`.
    StateUpdate(StateUpdate),
    /// A front's report for the scaler.
    Report(FrontReport),
    /// Request for the receiver's identity and state.
    Hello,
    /// Response to `Hello`.
    HelloResponse {
        /// Id of the responder's disk.
        disk: u64,
        /// The voter set that it holds; epoch 0 if it holds none.
        set: VoterSet,
        /// Newest epoch of which a front has reported that it holds a value.
        fronts_epoch: u64,
    },
    /// Sample of the sender's partial view; the response is a sample of the receiver's.
    Shuffle(Vec<PeerDescriptor>),
    /// Adopt this first voter set; claims issued before the given time remain rejected.
    Form(VoterSet, u64),
    /// Adopt this voter set, which was committed as the next one.
    Adopt(VoterSet),
    /// Response to `Adopt`: the set that the voter is in now.
    Adopted(VoterSet),
    /// Request for the digests of all key ranges (anti-entropy).
    Digests,
    /// Response to `Digests`: the voter's set, its claim floors and a digest for each range.
    DigestsResponse(ReplicaDigest),
    /// Request for the registers of one key range.
    Range(u16),
    /// Response to `Range`: all keys of the range with their states.
    RangeResponse(Vec<(String, RegisterState)>),
    /// Claims that a front still remembers after the voters lost their data.
    RememberedClaims(Vec<(String, RegisterState)>),
}

/// Summary of a voter's copy of the registers.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ReplicaDigest {
    /// Whether the voter's data is trusted, so that it votes.
    pub is_open: bool,
    /// The set that it is in.
    pub set: VoterSet,
    /// Times before which claims are expired, and before which unknown ones are rejected.
    pub claim_floors: ClaimFloors,
    /// A digest for each key range.
    pub ranges: Vec<u64>,
}
