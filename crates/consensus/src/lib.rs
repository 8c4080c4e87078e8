//! Consensus among controllers, as a pure state machine without threads, clock or I/O.
//!
//! # Purpose
//!
//! Controllers agree on a few registers (the operator's configuration, evacuated zones, jobs), on the set of voters, and
//! on which controller holds the scaler role. Each register is changed by its own Paxos proposal at a majority of voters
//! (crate `register`). Each controller has a voter on its own disk, the local voter (crate `voter`).
//!
//! # Safety requirements
//!
//! * A value is never lost, or replaced by another one of the same version, once a caller was told that it is committed.
//! * A controller never returns to an older voter set. A voter counts only if it holds everything that was committed
//!   before it joined.
//! * Two controllers never hold the scaler role at the same time, and a controller is never told that it holds a role
//!   whose lease has expired.
//! * State is never presented as current without contact with a majority ([`Consensus::is_current`]).
//! * Nothing is reported as durable before the disk has synced it.
//!
//! # Inputs and outputs
//!
//! | call | input |
//! |---|---|
//! | [`Consensus::on_message`] | a message from another controller |
//! | [`Consensus::on_disk`] | a completion of the disk thread ([`execute_batch_on_disk`]) |
//! | [`Consensus::tick`] | the passage of time |
//! | [`Consensus::read`], [`Consensus::write`] | a change requested by the daemon |
//! | [`Consensus::begin_shutdown`] | a stop signal |
//! | [`Consensus::take_actions`] | none; it returns the actions to carry out, in order |
//!
//! # Ownership of state
//!
//! The coordinator (`consensus.rs`) owns one component for each invariant. The fields of a component are private; the
//! coordinator and its submodules access them through methods.
//!
//! | component | owns |
//! |---|---|
//! | `voter_sets::VoterSets` | the newest committed set, its predecessor, and the local voter's set |
//! | `replicated_values::ReplicatedValues` | committed values, the local voter's values, and missing values |
//! | `unsettled_values::UnsettledValues` | accepted values that are not known to be committed |
//! | `required_reads::RequiredReads` | which registers must be read from a majority before this controller is current |
//! | `pending_changes::PendingChanges` | pending changes (`pending_change.rs`), their ballots and request numbers |
//! | `peers::PeerTable` | other controllers and their newest heartbeats |
//! | `heartbeat_schedule::HeartbeatSchedule` | when the next heartbeat is due |
//! | `contact_lease::ContactLease` | how long a majority counts as in contact |
//! | `scaler_role::ScalerRole` | this controller's lease on the scaler role, and what the local voter may promise about it |
//! | `replica_copies::ReplicaCopies` | copies of other members' replicas, for an empty voter |
//! | `departure::Departure` | the progress of a replaced member that is leaving |
//! | `shutdown::Shutdown` | when a controller that shuts down may end |
//!
//! # Message handlers
//!
//! | message | handled in | changes |
//! |---|---|---|
//! | `Heartbeat` | `consensus/heartbeats.rs` | peers, contact, observed role lease, missing values |
//! | `RoleLeaseAck` | `consensus/scaler_role.rs` | this controller's role lease |
//! | `VoterRequest`, `VoterResponse` | `consensus/changes.rs` | the local voter's disk; pending changes |
//! | `RequestVoterSet`, `VoterSet`, `FormVoterSet` | `consensus/membership.rs` | voter sets |
//! | `ConfirmInstalled`, `Installed` | `consensus/leaving.rs` | the departure |
//! | `ShuttingDown` | `consensus/shutdown.rs` | peers; the next proposed voter set |
//! | `RequestReplica`, `Replica` | `consensus/installation.rs` | replica copies, then the local voter's disk |
//! | `RequestValue`, `Value` | `consensus/replication.rs` | committed values, repair of the local voter |
//!
//! # Where to start reading
//!
//! `message.rs` and `action.rs` define the inputs and outputs, and `consensus.rs` dispatches each input to its handler.
//! From there, `consensus/changes.rs` follows one change from request to outcome, and `voter_sets.rs` and
//! `scaler_role.rs` maintain the two most delicate invariants. `docs/control-safety.md` contains the safety arguments.

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
mod shutdown;
mod snapshot;
mod unsettled_values;
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
pub use shutdown::ShutdownTimes;
pub use snapshot::{RegisterSnapshot, VoterSnapshot};
pub use value::ValueId;
pub use voter_sets::MembershipState;
