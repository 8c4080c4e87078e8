//! A voter with its disk, and an empty voter's way into a set. No threads and no clock: daemons and simulations run the same
//! code.
//!
//! * [`Voter`] is an [`Acceptor`](register::Acceptor) with its journal: it answers only once what it promised is durable.
//! * [`VoterDisk`] keeps the data folder under one identity at a time, so that a voter can give up all that it held.
//! * [`MembershipChange`] decides how an empty voter becomes a member of a set.
//! * [`Bootstrap`] decides how the first set of an epoch is formed. Only the older `core` daemon uses it; controllers form their
//!   first set in `consensus`.
//!
//! What must never happen:
//!
//! * An answer leaves before [`Voter::sync`] succeeded for it.
//! * A voter whose disk failed or is damaged answers from memory.
//! * Two voters vote under one identity, or one voter under the identity of a disk that was emptied.
//!
//! Begin to read at [`Voter::handle`] and [`Voter::sync`].
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
