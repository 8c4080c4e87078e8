use configuration::{PeerRef, Plan, Version};
use peer_sampling::Neighbour;
use register::{ClaimFloors, RegisterState, VoterRequest, VoterResponse, VoterSet};
use request_queue::{DeskMessage, FrontReport};
use speedy::{Readable, Writable};

/// What a daemon is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Role {
    /// Carries traffic.
    Front,
    /// Keeps state and scales.
    Core,
}

/// One message with what is needed to answer it.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Envelope {
    /// Who sends it, in which of its lives.
    pub from: PeerRef,
    /// Wire address at which the sender is reached.
    pub address: String,
    /// What the sender is.
    pub role: Role,
    /// Number of the question; 0 where no answer is wanted.
    pub number: u64,
    /// Whether this is the answer to the question of that number.
    pub is_answer: bool,
    /// The message.
    pub body: Message,
}

/// A blueprint that is known to be settled, as JSON text.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct BlueprintNews {
    /// Its version.
    pub version: Version,
    /// Its text.
    pub text: String,
}

/// A plan that is known to be settled.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct PlanNews {
    /// Its version.
    pub version: Version,
    /// The plan.
    pub plan: Plan,
}

/// Settled values that are newer than what the asker has.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct News {
    /// The blueprint, where it is newer.
    pub blueprint: Option<BlueprintNews>,
    /// The plan, where it is newer.
    pub plan: Option<PlanNews>,
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
pub enum Message {
    /// Between fronts.
    Desk(DeskMessage),
    /// To a voter.
    Voter(VoterRequest),
    /// From a voter.
    VoterAnswer(VoterResponse),
    /// Question for news; it is answered when there is some, or after a while.
    Ask {
        /// Blueprint version that the asker has.
        blueprint: Version,
        /// Plan version that the asker has.
        plan: Version,
        /// Whether the answer must be read at a majority of voters.
        wants_certain: bool,
    },
    /// Answer to a question for news.
    News(News),
    /// A front's report for the scaler.
    Report(FrontReport),
    /// Who are you?
    Hello,
    /// Answer to a hello.
    HelloAnswer {
        /// Id of the disk.
        disk: u64,
        /// The set that it believes in; era 0 where it is empty.
        set: VoterSet,
        /// The newest era of which a front told it that it holds a value.
        fronts_era: u64,
    },
    /// A part of the sender's view; the answer is a part of the receiver's.
    Shuffle(Vec<Neighbour>),
    /// Take this first set; claims that were issued before the time stay refused.
    Form(VoterSet, u64),
    /// Take this set, which was settled as the one that follows.
    Adopt(VoterSet),
    /// Answer to an adoption: the set that the voter is in now.
    Adopted(VoterSet),
    /// What are the digests of your ranges?
    Digests,
    /// Answer: the voter's set, its floors, and a digest for each range.
    DigestsAnswer(Copy),
    /// What do you hold in this range?
    Range(u16),
    /// Answer: all keys of the range.
    RangeAnswer(Vec<(String, RegisterState)>),
    /// Claims that a front still knows after the ledger was lost.
    Remembered(Vec<(String, RegisterState)>),
}

/// A voter's copy in short.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Copy {
    /// Whether its disk can be trusted, so that it votes.
    pub is_open: bool,
    /// The set that it is in.
    pub set: VoterSet,
    /// Times before which claims are forgotten, and before which unknown ones are refused.
    pub claim_floors: ClaimFloors,
    /// A digest for each range.
    pub ranges: Vec<u64>,
}
