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
pub use consensus::{
    Consensus, CONFIGURATION_KEY, EVACUATIONS_KEY, REQUIRED_KEYS, SCALER_ROLE_KEY,
};
pub use contact::ContactLease;
pub use disk::{
    execute_batch, execute_batch_on_disk, DiskCompletion, DiskWork, RegisterSnapshot, VoterSnapshot,
};
pub use duty::RoleHolder;
pub use leaving::MembershipState;
pub use message::{
    ConsensusMessage, Heartbeat, HeartbeatAck, ReplicaPage, RoleLeaseAck, VoterSetUpdate,
};
