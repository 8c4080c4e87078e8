//! A soak of the daemons: seeded faults that overlap in time, traffic and operators' commands meanwhile, and a judgement by what the runners
//! received and what clients and operators were answered.
//!
//! A seed gives one schedule of faults and one sequence of requests. The schedule is printed and can be repeated; the real times of a run
//! differ a little, as the processes and sockets are real.

mod calm;
pub mod disturbances;
pub mod drains;
pub mod fault;
mod injector;
mod jobs;
pub mod ledger;
pub mod limits;
mod misbehaving;
mod operators;
mod oracle;
mod planned_work;
pub mod rolling;
mod run;
mod schedule;
pub mod tenants;
mod traffic;

pub use run::{run, SoakOptions, SoakReport};
pub use schedule::{Schedule, ScheduledFault};
