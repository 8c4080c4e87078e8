//! Decisions on operators' orders. A pure machine reads the replicated register, decides, and writes with the
//! register's expected version; it has no I/O and no clock, so the daemon and the tests run the same code.
#![warn(missing_docs)]

mod configuration;
mod decision;
mod evacuation;
mod execution;
mod order;
mod taken;

pub use configuration::Configuration;
pub use decision::{decide, Decision, RefusalKind, Reply};
pub use evacuation::{Evacuations, ZoneChange};
pub use execution::{Execution, Step, ROUNDS_MAX};
pub use order::{BaseVersion, Order, OrderKind};
pub use taken::{Lookup, OrderDigest, TakenOrder, TakenOrders, TAKEN_MAX};
