//! Leases for the seats of a function's runners. A seat is the right to run one request at a runner. The seats of each
//! function are owned by one gateway, which leases them to requests of all gateways by priority and then by age, and
//! never leases more seats of a runner than its quota.
//!
//! All types here are state machines without I/O. Callers pass the current time in milliseconds of a monotonic clock and
//! carry out the resulting [`LeaseAction`]s.
//!
//! - `ownership_table`, `legacy_hash`: which gateway owns a function.
//! - `seat_ownership`: whether this gateway may currently lease a function's seats, and otherwise which gateway may.
//! - `lease_owner`: the owner's entry points for all functions that it owns, with `handover` between owners,
//!   `confirmation` of leases that may have ended unnoticed, process `pauses` and `reporting`.
//! - `cancelled_requests`: which messages of an owner refer to cancelled requests.
//! - `relayed_requests`: lease requests forwarded to an owner that their own gateway cannot reach.
//! - `function_seats`: the seats of one function: queueing, leasing and rejection of requests.
//! - `list_confirmation`: whether the known runner list of a function may be used for leases.
//! - `pause_recovery`: which state may be used for leases after a process pause.
//! - `runner_set`: the runners of one function, and the choice of a runner for a request.
//! - `seat_runner`, `rejection_backoff`: one runner, and how much of its quota is used after it rejected a request.
//! - `wait_queue`: requests waiting for a seat.
//! - `start_block`: rejection of requests that no runner can serve in time.
//! - `probe_schedule`, `report_state`: when to probe starting runners and when to report to the scaler.
//! - `request_end`: how a request ends at its owner, and the corresponding message.
//! - `retry_budget`: how many retries a gateway may send.
#![warn(missing_docs)]

mod action;
mod cancelled_requests;
mod function_seats;
mod lease_holder;
mod lease_owner;
mod lease_rules;
mod legacy_hash;
mod list_confirmation;
mod ownership_table;
mod pause_recovery;
mod probe_schedule;
mod rejection_backoff;
mod relayed_requests;
mod report_state;
mod request_end;
mod retry_budget;
mod runner_set;
mod seat_ownership;
mod seat_runner;
mod start_block;
mod unconfirmed_leases;
mod wait_queue;

#[cfg(test)]
#[path = "../tests/unit/broken_invariants.rs"]
mod broken_invariants_tests;

pub use action::{LeaseAction, LeaseSnapshot, OwnerSnapshot, OwnerUsage, RunnerUsage};
pub use cancelled_requests::CancelledRequests;
pub use lease_owner::LeaseOwner;
pub use list_confirmation::UpdateAge;
pub use ownership_table::{changed_members, OwnershipTable};
pub use relayed_requests::{GatewayLeaseRequest, RelayedId, RelayedRequests};
pub use request_end::LeaseRequestEnd;
pub use retry_budget::RetryBudget;
pub use seat_ownership::{HandoverRefusal, SeatStatus};
