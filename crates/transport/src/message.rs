use configuration::{PeerRef, Plan, Version};
use peer_sampling::PeerDescriptor;
use register::{ClaimFloors, RegisterState, VoterRequest, VoterResponse, VoterSet};
use request_queue::{FrontMessage, FrontReport};
use speedy::{Readable, Writable};

/// What a daemon is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum PeerRole {
    /// Carries traffic.
    Front,
    /// Keeps state and scales.
    Core,
}

/// One message with what is needed to answer it.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Envelope {
    /// Who sends it, in which of its incarnations.
    pub from: PeerRef,
    /// Wire address at which the sender is reached.
    pub address: String,
    /// What the sender is.
    pub role: PeerRole,
    /// Number of the question; 0 where no answer is wanted.
    pub number: u64,
    /// Whether this is the answer to the question of that number.
    pub is_answer: bool,
    /// The message.
    pub body: PeerMessage,
}

/// A configuration that is known to be settled, as JSON text.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ConfigurationUpdate {
    /// Its version.
    pub version: Version,
    /// Its text.
    pub text: String,
}

/// A plan that is known to be settled.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct PlanUpdate {
    /// Its version.
    pub version: Version,
    /// The plan.
    pub plan: Plan,
}

/// Settled values that are newer than what the asker has.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct StateUpdate {
    /// The configuration, where it is newer.
    pub configuration: Option<ConfigurationUpdate>,
    /// The plan, where it is newer.
    pub plan: Option<PlanUpdate>,
    /// The voters as the answerer knows them.
    pub set: VoterSet,
    /// Addresses of all fronts that the answerer knows.
    pub fronts: Vec<(PeerRef, String)>,
    /// Addresses of all cores that bear witness.
    pub cores: Vec<(PeerRef, String)>,
    /// Whether the answer was read at a majority of voters after the question came.
    pub is_certain: bool,
}

/// Everything that daemons say to each other.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum PeerMessage {
    /// Between fronts.
    Front(FrontMessage),
    /// To a voter.
    Voter(VoterRequest),
    /// From a voter.
    VoterResponse(VoterResponse),
    /// Question for updates; it is answered when there is some, or after a while.
    AwaitUpdate {
        /// Configuration version that the asker has.
        configuration: Version,
        /// Plan version that the asker has.
        plan: Version,
        /// Whether the answer must be read at a majority of voters.
        wants_certain: bool,
    },
    /// Answer to a question for updates.
    StateUpdate(StateUpdate),
    /// A front's report for the scaler.
    Report(FrontReport),
    /// Who are you?
    Hello,
    /// Answer to a hello.
    HelloResponse {
        /// Id of the disk.
        disk: u64,
        /// The set that it believes in; epoch 0 where it is empty.
        set: VoterSet,
        /// The newest epoch of which a front reported that it holds a value.
        fronts_epoch: u64,
    },
    /// A part of the sender's view; the answer is a part of the receiver's.
    Shuffle(Vec<PeerDescriptor>),
    /// Take this first set; claims that were issued before the time stay refused.
    Form(VoterSet, u64),
    /// Take this set, which was settled as the one that follows.
    Adopt(VoterSet),
    /// Answer to an adoption: the set that the voter is in now.
    Adopted(VoterSet),
    /// What are the digests of your ranges?
    Digests,
    /// Answer: the voter's set, its floors, and a digest for each range.
    DigestsResponse(ReplicaDigest),
    /// What do you hold in this range?
    Range(u16),
    /// Answer: all keys of the range.
    RangeResponse(Vec<(String, RegisterState)>),
    /// Claims that a front still knows after the ledger was lost.
    RememberedClaims(Vec<(String, RegisterState)>),
}

/// A voter's copy in short.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ReplicaDigest {
    /// Whether its disk can be trusted, so that it votes.
    pub is_open: bool,
    /// The set that it is in.
    pub set: VoterSet,
    /// Times before which claims are forgotten, and before which unknown ones are refused.
    pub claim_floors: ClaimFloors,
    /// A digest for each range.
    pub ranges: Vec<u64>,
}
