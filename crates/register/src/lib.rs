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

pub use acceptor::{Acceptor, Held, Record, KEYS_MAX};
pub use changing::{grown, merged, relocated, replaced, VOTERS_KEY};
pub use client::{RegisterClient, VoterPort};
pub use jobs::{is_job, JOB_PREFIX};
pub use message::{Ballot, Stored, VoterAsk, VoterMessage, VoterRef, VoterReply, VoterSet};
pub use proposal::{Proposal, ProposalStep};
pub use round::{Change, Outcome, Round, Step};
