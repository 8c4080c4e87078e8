//! All that controllers decide among themselves, as one pure state machine without threads, clock or I/O.
//!
//! # What it is for
//!
//! Controllers agree on a few registers (the operator's configuration, evacuated zones, jobs), on who votes about them,
//! and on which one of them holds the scaler role. Each register is changed by a Paxos proposal of its own at a majority
//! of voters (crate `register`); each controller has a voter on its own disk (crate `voter`).
//!
//! # What it must never do
//!
//! * Lose a value, or replace it by another of the same version, once a caller was notified that it is committed.
//! * Go back to an older voter set, or let a voter count that does not hold all that was committed before it joined.
//! * Let two controllers hold the scaler role at one time, or tell a controller that it holds a role whose lease is over.
//! * Pass what it knows off as current without contact with a majority ([`Consensus::is_current`]).
//! * Say that something is durable before the disk has synced it.
//!
//! # How it is driven
//!
//! | call | what it takes |
//! |---|---|
//! | [`Consensus::on_message`] | a message of another controller |
//! | [`Consensus::on_disk`] | what the disk's thread has done ([`execute_batch_on_disk`]) |
//! | [`Consensus::tick`] | that time has passed |
//! | [`Consensus::read`], [`Consensus::write`] | a change that the daemon wants |
//! | [`Consensus::take_actions`] | nothing: it gives out what is to be done, in its order |
//!
//! # Who owns what
//!
//! The coordinator (`consensus.rs`) owns one part for each invariant. A part's fields are private; the coordinator and
//! its files reach them through methods.
//!
//! | part | owns |
//! |---|---|
//! | `voter_sets::VoterSets` | the newest committed set, the one before it, the set that the own voter is in |
//! | `replicated_values::ReplicatedValues` | committed values, what the own voter holds, values that are missing |
//! | `required_reads::RequiredReads` | which registers are to be read at a majority before this controller is current |
//! | `pending_changes::PendingChanges` | changes under way (`pending_change.rs`), their ballots and numbers |
//! | `peers::PeerTable` | other controllers and their newest heartbeats |
//! | `heartbeat_schedule::HeartbeatSchedule` | when the next heartbeat leaves |
//! | `contact_lease::ContactLease` | until when a majority counts as in contact |
//! | `scaler_role::ScalerRole` | the own lease on the scaler role, and what the own voter may promise about it |
//! | `replica_copies::ReplicaCopies` | what has come of other members' replicas, for an empty voter |
//! | `departure::Departure` | how far a member that was replaced is with leaving |
//!
//! # Which message changes what
//!
//! | message | handled in | changes |
//! |---|---|---|
//! | `Heartbeat` | `consensus/heartbeats.rs` | peers, contact, observed role lease, missing values |
//! | `RoleLeaseAck` | `consensus/scaler_role.rs` | the own role lease |
//! | `VoterRequest`, `VoterResponse` | `consensus/changes.rs` | the own voter's disk; pending changes |
//! | `RequestVoterSet`, `VoterSet`, `FormVoterSet` | `consensus/membership.rs` | voter sets |
//! | `ConfirmInstalled`, `Installed` | `consensus/leaving.rs` | the departure |
//! | `RequestReplica`, `Replica` | `consensus/installation.rs` | replica copies, then the own voter's disk |
//! | `RequestValue`, `Value` | `consensus/replication.rs` | committed values, repair of the own voter |
//!
//! # Where to begin reading
//!
//! `message.rs` and `action.rs` say what goes in and out; `consensus.rs` gives each input to the file that handles it.
//! From there, `consensus/changes.rs` is the way of one change, and `voter_sets.rs` and `scaler_role.rs` hold the two
//! invariants that need the most care. `docs/control-safety.md` has the arguments.

mod action;
mod consensus;
mod contact_lease;
mod departure;
mod disk_execution;
mod disk_work;
mod heartbeat_schedule;
mod keys;
mod message;
mod options;
mod peers;
mod pending_change;
mod pending_changes;
mod replica_copies;
mod replicated_values;
mod required_reads;
mod role_register;
mod scaler_role;
mod snapshot;
mod value;
mod voter_sets;

#[cfg(test)]
#[path = "../tests/unit/committed_values.rs"]
mod committed_values_tests;

pub use action::ConsensusAction;
pub use consensus::Consensus;
pub use contact_lease::ContactLease;
pub use disk_execution::{execute_batch, execute_batch_on_disk};
pub use disk_work::{DiskCompletion, DiskWork};
pub use keys::{CONFIGURATION_KEY, EVACUATIONS_KEY, REQUIRED_KEYS, SCALER_ROLE_KEY};
pub use message::{
    ConsensusMessage, Heartbeat, HeartbeatAck, ReplicaPage, RoleLeaseAck, VoterSetUpdate,
};
pub use options::ConsensusOptions;
pub use role_register::RoleHolder;
pub use snapshot::{RegisterSnapshot, VoterSnapshot};
pub use value::ValueId;
pub use voter_sets::MembershipState;
