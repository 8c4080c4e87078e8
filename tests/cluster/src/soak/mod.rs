//! Soak test of the daemons: seeded, overlapping faults under traffic and operator commands, checked against the requests that
//! runners received and the responses that clients and operators got.
//!
//! A seed determines the schedule of faults and the sequence of requests. The schedule is printed and reproducible; actual times
//! vary slightly because processes and sockets are real.

pub mod disturbances;
pub mod drains;
pub mod fault;
mod injector;
mod jobs;
pub mod ledger;
pub mod limits;
mod misbehaving;
mod operators;
pub mod oracle;
mod planned_work;
mod recovery;
pub mod rolling;
mod run;
mod schedule;
mod system_names;
pub mod tenants;
pub mod traffic;

pub use run::{run, SoakOptions, SoakReport};
pub use schedule::{Schedule, ScheduledFault};
