//! Seats of a function's runners, lent by one keeper: waiting requests bid, by rank and then by age, and a runner
//! never gets more at once than its quota. A pure machine; the gateway that keeps the function runs it.
#![warn(missing_docs)]

mod credit;
mod elect;
mod keeper;
mod refusal_backoff;
mod runner;
mod seats;
mod start_block;

pub use credit::Credit;
pub use elect::elect;
pub use keeper::{Action, Keeper};
