//! Seat leases: a gateway requests a lease from the function's owner, uses it for one request and releases it.

use crate::identifiers::RequestId;
use crate::jobs::JobAttempt;
use speedy::{Readable, Writable};

/// Requests a seat at one of a function's runners, for one client request.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct LeaseRequest {
    /// Id of the request at its gateway.
    pub request_id: RequestId,
    /// Name of the function.
    pub function: String,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time in milliseconds after which a lease is no longer useful.
    pub timeout_ms: u32,
    /// Ids of runners to which this request has already been sent.
    pub excluded_runners: Vec<String>,
    /// The job attempt, if the client sent an idempotency key.
    pub job: Option<JobAttempt>,
    /// Regions to which the request is restricted; empty if all regions are allowed. The list is sent separately, in
    /// [`Message::RestrictedLeaseRequest`](crate::Message::RestrictedLeaseRequest). Daemons without support for restrictions
    /// cannot decode that message, so no owner ignores the restriction.
    #[speedy(skip)]
    pub allowed_regions: Vec<String>,
    /// The tenant that sent the request, if any. It is sent separately, in
    /// [`Message::TenantLeaseRequest`](crate::Message::TenantLeaseRequest), and only to daemons that support this message.
    #[speedy(skip)]
    pub tenant: Option<RequestTenant>,
}

/// The properties of a request's tenant that seat owners need.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct RequestTenant {
    /// Name of the tenant.
    pub name: String,
    /// Priority of the tenant, compared before the priority of the request; 0 is the highest.
    pub priority: u8,
}

/// A seat at a runner, leased for one request.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct SeatLease {
    /// The request that holds the lease.
    pub request_id: RequestId,
    /// Id of the runner.
    pub runner: String,
    /// Address of the runner (IP and port).
    pub address: String,
    /// Zone of the runner's worker.
    pub zone: String,
}

/// How the use of a leased seat ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum LeaseOutcome {
    /// The runner responded successfully.
    #[default]
    Succeeded,
    /// The seat was not used.
    Unused,
    /// The runner was at its concurrency limit and did not run the request.
    Rejected,
    /// The runner no longer exists: nothing, or another runner, listens at its address.
    Gone,
    /// The runner could not be reached within the timeout.
    Unreachable,
    /// The runner may have run the request, but no usable response was received.
    Lost,
}

/// Reported in place of a duration if the gateway aborted the request while the runner was processing it. Older owners ignore
/// the duration of a request without a response.
pub const ABORTED_DURATION_MS: u32 = u32::MAX;

/// Releases a lease.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct LeaseRelease {
    /// The request that held the lease.
    pub request_id: RequestId,
    /// How the use of the seat ended.
    pub outcome: LeaseOutcome,
    /// Time in milliseconds from sending the request to the runner's response, or [`ABORTED_DURATION_MS`].
    pub duration_ms: u32,
}

impl LeaseRelease {
    /// Whether the gateway aborted the request while the runner was processing it. The seat stays occupied until the runner
    /// notices the abort.
    #[must_use]
    pub fn is_aborted(&self) -> bool {
        let has_no_response = matches!(self.outcome, LeaseOutcome::Unused | LeaseOutcome::Lost);
        has_no_response && self.duration_ms == ABORTED_DURATION_MS
    }
}

/// The requests that one gateway has in flight at one runner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct RunnerLeases {
    /// Id of the runner.
    pub runner: String,
    /// Address of the runner (IP and port).
    pub address: String,
    /// Zone of the runner's worker.
    pub zone: String,
    /// Ids of the requests.
    pub requests: Vec<RequestId>,
}
