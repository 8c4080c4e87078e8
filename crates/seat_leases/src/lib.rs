//! Leases of the seats of a function's runners. A seat is the right to have one request at a runner; each function's
//! seats are owned by one gateway, which leases them to the requests of all gateways, by priority and then by age, and
//! never more of a runner at once than its quota.
//!
//! Everything here is a state machine without I/O: calls come in with the time, in milliseconds of a steady clock, and
//! what is to be done is taken out as [`LeaseAction`]s.
//!
//! - `ownership_table`, `legacy_hash`: which gateway owns a function.
//! - `seat_ownership`: whether this gateway may lease a function's seats now, or who does.
//! - `lease_owner`: the owner's entry points, over all functions that fell to it, with `handover` from owner to owner, `confirmation`
//!   of leases that may have ended unheard, `pauses` of the process, and `reporting`.
//! - `cancelled_requests`: which answers of an owner are void.
//! - `relayed_requests`: lease requests that are passed on to an owner which their own gateway cannot reach.
//! - `function_seats`: the seats of one function: who waits, who is issued a lease, who is rejected.
//! - `list_confirmation`: whether seats may be leased by the list of a function's runners that there is.
//! - `pause_recovery`: what may be leased by after the process stood still.
//! - `runner_set`: the runners of one function, and which of them suits a request best.
//! - `seat_runner`, `rejection_backoff`: one runner, and how much of its quota is leased after it rejected a request.
//! - `wait_queue`: requests that wait for a seat.
//! - `start_block`: requests that nothing can serve in time.
//! - `probe_schedule`, `report_state`: when starting runners are probed, and when the scaler is reported to.
//! - `request_end`: how a request ends at an owner, and the message that tells of it.
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
