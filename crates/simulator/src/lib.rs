//! The daemons' own state machines on virtual time, with seeded failures and an oracle that shares
//! no decision code with them. One seed gives one course of events, always.
#![warn(missing_docs)]

mod config;
mod core_founding;
mod core_joining;
mod core_node;
mod core_puts;
mod core_roles;
mod core_update;
mod failing;
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
