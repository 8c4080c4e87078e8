//! Seats of a function's runners, lent by one keeper: waiting requests bid, by rank and then by age, and a runner
//! never gets more at once than its quota. A pure machine; the gateway that keeps the function runs it.
#![warn(missing_docs)]

mod lease_owner;
mod owner_selection;
mod refusal_backoff;
mod retry_budget;
mod runner;
mod seats;
mod start_block;

pub use lease_owner::{LeaseAction, LeaseOwner, RunnerUsage};
pub use owner_selection::select_owner;
pub use retry_budget::RetryBudget;
