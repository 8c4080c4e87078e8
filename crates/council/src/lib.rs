//! All that cores decide among themselves, as one pure state machine: registers changed at a majority
//! of voters, who the voters are, and which core holds the scaling duty. No threads, no clock, no I/O.

mod action;
mod asking;
mod beating;
mod catching_up;
mod contact;
mod contending;
mod council;
mod disk;
mod duty;
mod installing;
mod job;
mod leaving;
mod membership;
mod message;
mod peer;
mod serving;

pub use action::{CouncilAction, CouncilOptions};
pub use contact::ContactLease;
pub use council::{Council, CLOSURES_KEY, DESCRIPTION_KEY, DUTY_KEY, KEYS};
pub use disk::{perform, perform_on, DiskDone, DiskWork, HeldSummary, HeldValue, Installation};
pub use duty::Tenure;
pub use leaving::Membership;
pub use message::{Ack, Beat, CopyPage, CouncilMessage, HeardHeartbeat, SetNews};
