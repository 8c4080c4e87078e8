//! Jobs: requests that clients marked with one idempotency key. The function's owner lets one request run the job and
//! gives the others its response. A job that may run at most once is claimed in a register on the controllers' disks
//! before its request is sent to a runner.
//!
//! - `claim`: what a job's register holds;
//! - `job`, `job_table`, `register_requests`, `outbox`: the parts of the coordinator's state, each with its invariant;
//! - `coordinator` and, on top of it, `arrivals`, `completions`, `register_responses`, `timeouts`: the transitions of a
//!   job, by what causes them;
//! - `job_admission`, `unacknowledged_results`: the part of the gateway whose request it is.
//!
//! All of them are state machines without I/O: events come in as calls, [`JobAction`]s are taken out.

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
mod timeouts;
mod unacknowledged_results;

pub use abandoned_attempts::AbandonedAttempts;
pub use action::JobAction;
pub use claim::{
    is_valid_idempotency_key, job_key, register_key, request_digest, Claim, ClaimHolder,
    ClaimState, ClaimWriter, StoredClaim, MAX_KEY_CHARS, MAX_STORED_RESPONSE_BYTES,
};
pub use coordinator::JobCoordinator;
pub use job_admission::JobAdmission;
pub use unacknowledged_results::UnacknowledgedResults;
