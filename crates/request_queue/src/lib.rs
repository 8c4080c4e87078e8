//! Scheduling of requests in a front: priority queues, requests for seats, owners that lease seats, the quorum
//! lease and the retry budget. Pure state machines without I/O: events and the time go in, actions come out.
#![warn(missing_docs)]

mod action;
mod index;
mod message;
mod owned;
mod ownership;
mod queue;
mod quorum_lease;
mod reporting;
mod resending;
mod retry_budget;
mod scheduler;
mod seat_leasing;
mod seat_requests;

pub use action::{Action, AttemptOutcome, QueuedRequest, Rejection, SeatGrant};
pub use queue::{Admission, RequestQueue};
pub use retry_budget::RetryBudget;
pub use scheduler::SeatScheduler;

pub use message::{
    FrontMessage, FrontReport, FunctionReport, PriorityCount, Return, RunnerReport, SeatAssignment,
    MAX_LIST_ENTRIES,
};
pub use quorum_lease::QuorumLease;
