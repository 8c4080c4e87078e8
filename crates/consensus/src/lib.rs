//! All that controllers decide among themselves, as one pure state machine: registers changed at a majority
//! of voters, who the voters are, and which controller holds the scaling duty. No threads, no clock, no I/O.
#![warn(missing_docs)]

mod action;
mod asking;
mod catching_up;
mod consensus;
mod contact;
mod contending;
mod disk;
mod duty;
mod heartbeats;
mod installing;
mod job;
mod leaving;
mod membership;
mod message;
mod peer;
mod serving;

pub use action::{ConsensusAction, ConsensusOptions};
pub use consensus::{Consensus, CLOSURES_KEY, DESCRIPTION_KEY, DUTY_KEY, KEYS};
pub use contact::ContactLease;
pub use disk::{perform, perform_on, DiskDone, DiskWork, HeldSummary, HeldValue, Installation};
pub use duty::TermHolder;
pub use leaving::Membership;
pub use message::{Ack, ConsensusMessage, CopyPage, HeardHeartbeat, Heartbeat, SetNews};
