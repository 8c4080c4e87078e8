//! Deduplication of requests by idempotency key. A job is the work that all requests with the same key ask for, within one
//! function and tenant. The gateway that owns the function lets one request run the job and returns its response to the
//! others. An at-most-once job is first claimed in a replicated register on the controllers' disks, before its request is
//! sent to a runner.
//!
//! - `request_identity`: what the copies of a job have in common;
//! - `claim`: the value of a job's register;
//! - `job`, `job_table`, `register_requests`, `outbox`: the parts of the coordinator's state, each with its own invariant;
//! - `coordinator` and its `impl` blocks in `arrivals`, `completions`, `register_responses` and `timeouts`: the state
//!   transitions of a job, grouped by the event that causes them;
//! - `job_admission`, `unacknowledged_results`, `abandoned_attempts`: the state at the gateway that received the request.
//!
//! All of these are state machines without I/O: events are passed in as method calls, and the resulting [`JobAction`]s are
//! taken out by the caller.

mod abandoned_attempts;
mod action;
mod arrivals;
mod claim;
mod completions;
mod coordinator;
mod job;
mod job_admission;
mod job_table;
mod outbox;
mod register_requests;
mod register_responses;
mod request_identity;
mod timeouts;
mod unacknowledged_results;

pub use abandoned_attempts::AbandonedAttempts;
pub use action::JobAction;
pub use claim::{
    is_valid_idempotency_key, job_key, register_key, Claim, ClaimHolder, ClaimState, ClaimWriter,
    StoredClaim, MAX_KEY_CHARS, MAX_STORED_RESPONSE_BYTES,
};
pub use coordinator::JobCoordinator;
pub use job_admission::JobAdmission;
pub use request_identity::RequestIdentity;
pub use unacknowledged_results::UnacknowledgedResults;
