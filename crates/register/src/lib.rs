//! A register for each key, on copies kept by voters, changed in two rounds at a majority with
//! the expected version. There is no log of changes and no leader.
#![warn(missing_docs)]

mod acceptor;
mod changing;
mod client;
mod jobs;
mod message;
mod proposal;
mod round;

pub use acceptor::{Acceptor, ClaimFloors, Record, RegisterState, MAX_KEYS};
pub use changing::{grown, merge_replicas, relocated, replaced, VOTERS_KEY};
pub use client::{RegisterClient, VoterPort};
pub use jobs::{is_job_key, JOB_KEY_PREFIX};
pub use message::{
    Ballot, SetVersion, VersionedValue, VoterOperation, VoterRef, VoterRequest, VoterResponse,
    VoterSet,
};
pub use proposal::{Proposal, ProposalStep};
pub use round::{Change, ChangeOutcome, Round, RoundStep};
