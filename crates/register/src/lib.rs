//! Replicated registers: one compare-and-swap register per key, replicated across a small set of voters.
//!
//! Each change of a register runs single-decree Paxos (prepare and accept) at a majority of the voters, with the version that
//! the proposer expects. A read asks a majority for the value accepted last and, if the answers differ, commits the newest
//! value before returning it. There is no replicated log and no leader, so registers are independent of one another.
//!
//! The crate performs no I/O, except for [`RegisterClient`]:
//!
//! * [`Proposal`] is the proposer's side of one change, which may take several ballots (one [`Round`] each);
//! * [`Acceptor`] is the voter's side. It returns a [`Record`] with each response that promises or accepts something;
//! * [`VoterSet`] is the membership. [`merge_replicas`] computes the state that a joining voter starts from.
//!
//! Invariants:
//!
//! * A response that comes with a [`Record`] is sent only after the record is durable.
//! * A voter never accepts a ballot below one that it promised, nor serves a request for a [`SetVersion`] other than its own.
//! * At most one value is committed for each version of a register within an epoch.
//!
//! Start reading at [`Round`], then [`Acceptor::handle`].
#![warn(missing_docs)]

mod acceptor;
mod claims;
mod client;
mod job_window;
mod message;
mod promise_check;
mod proposal;
mod record;
mod round;
mod table;
mod value;
mod voter_set;

#[cfg(test)]
#[path = "../tests/unit/broken_invariants.rs"]
mod broken_invariants_tests;

pub use acceptor::Acceptor;
pub use claims::ClaimFloors;
pub use client::{NumberedResponse, RegisterClient, VoterPort};
pub use job_window::{is_job_key, JOB_KEY_PREFIX};
pub use message::{VoterOperation, VoterRequest, VoterResponse};
pub use proposal::{Proposal, ProposalStep};
pub use record::Record;
pub use round::{Change, ChangeOutcome, Round, RoundStep};
pub use table::MAX_KEYS;
pub use value::{merge_replicas, Ballot, RegisterState, VersionedValue};
pub use voter_set::{SetVersion, VoterRef, VoterSet, VOTERS_KEY};
