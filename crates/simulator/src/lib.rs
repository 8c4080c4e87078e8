//! The daemons' own state machines on virtual time, with seeded failures and an oracle that shares
//! no decision code with them. One seed gives one course of events, always.
#![warn(missing_docs)]

mod config;
mod core_duties;
mod core_founding;
mod core_joining;
mod core_news;
mod core_node;
mod core_puts;
mod failing;
mod faults;
mod front_claims;
mod front_node;
mod front_wishes;
mod net;
mod oracle;
mod start;
mod world;
mod yard;

pub use config::{Config, Verdict};
pub use faults::{Fault, FaultPlan};
pub use oracle::Oracle;
pub use world::World;
