//! A voter with its disk, and an empty voter's way into the set. No threads and no clock: the core
//! daemon and the simulator run the same code.

mod joining;
mod keeper;

pub use joining::{JoinStep, Joining};
pub use keeper::{Installing, Voter, VoterError};
