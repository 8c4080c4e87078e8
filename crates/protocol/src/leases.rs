//! Leases of seats at runners: a gateway requests one from the function's owner, uses it for one request and
//! releases it.

use crate::identifiers::RequestId;
use crate::jobs::JobAttempt;
use speedy::{Readable, Writable};

/// A request that needs a seat at one of its function's runners.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct LeaseRequest {
    /// The request, as its gateway numbers it.
    pub request_id: RequestId,
    /// The function.
    pub function: String,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// Milliseconds within which a lease is still of use.
    pub timeout_ms: u32,
    /// Ids of runners that this request was sent to before.
    pub excluded_runners: Vec<String>,
    /// The job that the request asks for, where its client named one.
    pub job: Option<JobAttempt>,
    /// Regions that the request must not leave; empty where all are allowed. It travels in
    /// [`Message::RestrictedLeaseRequest`](crate::Message::RestrictedLeaseRequest), which a daemon that does not know it cannot read,
    /// so that no owner overlooks it.
    #[speedy(skip)]
    pub allowed_regions: Vec<String>,
    /// The tenant that sends the request, if any. It travels in [`Message::TenantLeaseRequest`](crate::Message::TenantLeaseRequest), to
    /// daemons that understand it.
    #[speedy(skip)]
    pub tenant: Option<RequestTenant>,
}

/// The tenant that sends a request, as far as owners of seats need it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct RequestTenant {
    /// Its name.
    pub name: String,
    /// Its priority, which goes before that of the request; 0 goes first.
    pub priority: u8,
}

/// A seat at a runner, leased for one request.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct SeatLease {
    /// The request that it is for.
    pub request_id: RequestId,
    /// Id of the runner.
    pub runner: String,
    /// Address of the runner (ip and port).
    pub address: String,
    /// Zone of the runner's worker.
    pub zone: String,
}

/// How the use of a seat ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum LeaseOutcome {
    /// The runner responded with success.
    #[default]
    Succeeded,
    /// The seat was not used.
    Unused,
    /// The runner was at its concurrency limit and did not run the request.
    Rejected,
    /// Nothing listens at the runner's address, or another runner does.
    Gone,
    /// The runner could not be reached in time.
    Unreachable,
    /// The runner may have run the request, and no usable response came.
    Lost,
}

/// Stands for the duration of a request that its gateway broke off at a runner. Owners of before do not look at the duration where there is
/// no response.
pub const ABORTED_DURATION_MS: u32 = u32::MAX;

/// A lease that its gateway gives back.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct LeaseRelease {
    /// The request that the lease was for.
    pub request_id: RequestId,
    /// How its use ended.
    pub outcome: LeaseOutcome,
    /// Milliseconds from the request's departure to the runner's response, or [`ABORTED_DURATION_MS`].
    pub duration_ms: u32,
}

impl LeaseRelease {
    /// Whether the gateway broke the request off while its runner was at work: the runner holds the seat until it notices.
    #[must_use]
    pub fn is_aborted(&self) -> bool {
        let has_no_response = matches!(self.outcome, LeaseOutcome::Unused | LeaseOutcome::Lost);
        has_no_response && self.duration_ms == ABORTED_DURATION_MS
    }
}

/// The requests of one gateway that are in flight at one runner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct RunnerLeases {
    /// Id of the runner.
    pub runner: String,
    /// Address of the runner (ip and port).
    pub address: String,
    /// Zone of the runner's worker.
    pub zone: String,
    /// The requests.
    pub requests: Vec<RequestId>,
}
