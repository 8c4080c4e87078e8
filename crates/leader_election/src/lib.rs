//! Leader election over a register: one daemon at a time leads, for as long as it renews its lease.
//!
//! A candidate becomes the leader by a write of the register with the expected version, and stays it by writing on. The version
//! at which it won is its term, which fences all that it does. Only the older `core` daemon uses this; the controllers' role
//! lease is in `consensus`.
//!
//! What must never happen: [`LeaderElection::term`] is given by two daemons at once. It ends a fifth of the lease before any
//! other daemon may contend, counted from before the leader's own write began.
#![warn(missing_docs)]

mod election;

pub use election::{ElectionStep, LeaderElection, Leadership};
