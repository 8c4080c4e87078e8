//! Runs the daemons' own state machines on virtual time with injected faults. An oracle that shares no decision code
//! with them checks the invariants. A run is deterministic: the same seed always gives the same sequence of events.
#![warn(missing_docs)]

mod config;
mod core_bootstrap;
mod core_membership;
mod core_node;
mod core_puts;
mod core_roles;
mod core_update;
mod fault_injection;
mod faults;
mod front_claims;
mod front_node;
mod front_requests;
mod net;
mod oracle;
mod platform;
mod start;
mod world;

pub use config::{Config, Verdict};
pub use faults::{Fault, FaultPlan};
pub use oracle::Oracle;
pub use world::World;
