//! A voter with its durable state, and how an empty voter joins a voter set. The crate uses no threads and no clock, so daemons
//! and simulations run the same code.
//!
//! * [`Voter`] is an [`Acceptor`](register::Acceptor) with a journal, which makes its promises durable before it responds.
//! * [`VoterDisk`] manages the data folder under one identity at a time, so that a voter can discard all its state.
//! * [`MembershipChange`] decides how an empty voter becomes a member of a set.
//! * [`Bootstrap`] decides how the first set of an epoch is formed. Only the older `core` daemon uses it; controllers form their
//!   first set in `consensus`.
//!
//! Invariants:
//!
//! * A response is sent only after [`Voter::sync`] succeeded for it.
//! * A voter whose disk failed or is damaged never responds from memory.
//! * No two voters vote under the same identity, and no voter votes under the identity of a disk that was emptied.
//!
//! Start reading at [`Voter::handle`] and [`Voter::sync`].
#![warn(missing_docs)]

mod bootstrap;
mod membership_change;
mod voter;
mod voter_disk;

pub use bootstrap::{
    median_wall_clock, Bootstrap, BootstrapStep, BootstrapView, GatewayEvidence, PeerStatus,
};
pub use membership_change::{MembershipChange, MembershipStep, MembershipView};
pub use voter::{Installation, Voter, VoterError};
pub use voter_disk::{OpenFolder, VoterDisk};
