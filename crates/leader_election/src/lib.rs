//! Duties that one daemon does. A duty is one register; it is won by a write with the expected
//! version each time that it falls vacant, and kept by writing on.
#![warn(missing_docs)]

mod duty;

pub use duty::{ElectionStep, LeaderElection, Leadership};
