//! Replicated registers: one compare-and-swap register for each key, kept by a small set of voters.
//!
//! Each change of a register runs single-decree Paxos (prepare and accept) at a majority of the voters, with the version that
//! the proposer expects; a read asks a majority what it accepted last, and commits that value first where the majority does
//! not agree. There is no replicated log and no leader, so that registers are independent of one another.
//!
//! The crate does no input or output of its own, except for [`RegisterClient`]:
//!
//! * [`Proposal`] is a proposer's side of one change, over as many ballots ([`Round`]) as it takes;
//! * [`Acceptor`] is a voter's side. It gives a [`Record`] with each answer that promises or accepts something;
//! * [`VoterSet`] is the membership, and [`merge_replicas`] what a voter that joins it must start from.
//!
//! What must never happen:
//!
//! * An answer that goes with a [`Record`] leaves before the record is durable.
//! * A voter accepts below a ballot that it promised, or answers a request for another [`SetVersion`] than its own.
//! * Two values are committed at one version of a register within an epoch.
//!
//! Begin to read at [`Round`], then [`Acceptor::handle`].
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
