//! Leader election over a register: one daemon at a time leads, for as long as it renews its lease.
//!
//! A candidate becomes the leader by a conditional write of the register (with the expected version) and renews its lease by
//! further writes. The epoch and version at which it won form its term, a fencing token for everything that it does. Only the
//! older `core` daemon uses this; the controllers' role lease is in `consensus`.
//!
//! Invariant: [`LeaderElection::term`] returns a term at no more than one daemon at a time. A leader's term ends a fifth of the
//! lease before any other daemon may contend, counted from before the leader's own write began.
#![warn(missing_docs)]

mod election;

pub use election::{ElectionStep, LeaderElection, Leadership};
