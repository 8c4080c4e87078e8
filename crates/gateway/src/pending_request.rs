//! A client request, from its admission to its response.

use crate::client_identity::ClientIdentity;
use crate::failure_log::RequestFailure;
use event_loop::ConnectionId;
use http1::{ErrorStatus, Request};
use invariants::{check, Invariant};
use jobs::JobAdmission;
use locality::Topology;
use protocol::{RequestId, ABORTED_DURATION_MS};
use std::sync::Arc;

/// Name of the gateway that owns the seats of a function.
pub(crate) type OwnerName = String;

/// Progress of a request towards a runner.
#[derive(Debug)]
pub(crate) enum RequestPhase {
    /// It has requested a lease from the owner and waits for it.
    AwaitingLease { owner: OwnerName, since: u64 },
    /// It holds a lease; it was sent to the runner or is about to be.
    Upstream(UpstreamAttempt),
    /// It requests a lease again later, because its function has no owner or the lease could not be used.
    Backoff,
}

/// One attempt to run a request at the runner of a lease.
#[derive(Debug)]
pub(crate) struct UpstreamAttempt {
    /// The owner that granted the lease.
    pub owner: OwnerName,
    /// Later owners of the function's seats to which the lease was reported.
    pub reported_to: Vec<OwnerName>,
    pub runner: String,
    pub address: String,
    pub zone: String,
    pub connection: ConnectionId,
    /// When the lease was received or the request was sent, whichever is later, in milliseconds of the gateway's
    /// clock.
    pub started_at: u64,
    /// Whether the runner may have received the first byte and may therefore run the request.
    pub is_sent: bool,
}

/// The part of a request's lease that is needed to release it.
pub(crate) struct HeldLease {
    pub request: RequestId,
    /// The owner that granted it, and all later owners to which it was reported.
    pub owners: Vec<OwnerName>,
    pub function: String,
}

/// A complete request that has no response yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// Assigned when the request is added to the requests in flight.
    pub id: RequestId,
    /// The client's connection; `None` after the client has disconnected.
    pub downstream: Option<ConnectionId>,
    pub request: Request,
    /// The id set by the client, which the response repeats.
    pub client_request_id: Vec<u8>,
    /// Name of the binding that matches its host and path.
    pub route: String,
    pub function: String,
    /// Whether it may run at most once; such a request is not retried after it may have run.
    pub at_most_once: bool,
    /// Priority among waiting requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of times it may be sent to a runner.
    pub max_attempts: u32,
    /// Regions in which it may run; empty if all are allowed.
    pub allowed_regions: Vec<String>,
    /// The tenant that sent it; `None` if the request needs no key.
    pub client: Option<ClientIdentity>,
    /// Number of times it was sent to a runner.
    pub attempts: u32,
    /// Number of times that connecting to the runner of a lease failed.
    pub connect_failures: u32,
    pub may_have_run: bool,
    pub received_at: u64,
    pub deadline: u64,
    /// Runners at which an attempt failed.
    pub excluded_runners: Vec<String>,
    pub phase: RequestPhase,
    /// Its participation in a job, if the client set an idempotency key.
    pub job: Option<Box<JobAdmission>>,
}

/// Minimum time left until the deadline for another attempt, in milliseconds.
const RETRY_TIME_MIN_MS: u64 = 5;
/// Maximum number of connect failures after which it is still retried.
const CONNECT_FAILURES_MAX: u32 = 8;

impl PendingRequest {
    /// The current attempt, if it holds a lease.
    pub fn attempt(&self) -> Option<&UpstreamAttempt> {
        match &self.phase {
            RequestPhase::Upstream(attempt) => Some(attempt),
            RequestPhase::AwaitingLease { .. } | RequestPhase::Backoff => None,
        }
    }

    /// The runner of the last attempt; empty if there was none.
    pub fn last_runner(&self) -> &str {
        let attempt = self.attempt().map(|attempt| attempt.runner.as_str());
        let excluded = self.excluded_runners.last().map(String::as_str);
        attempt.or(excluded).unwrap_or_default()
    }

    /// Name of the sending tenant, if any.
    pub fn tenant(&self) -> Option<&Arc<str>> {
        self.client.as_ref().map(ClientIdentity::name)
    }

    /// Describes the failure of a request that ends with an error from the gateway itself.
    pub fn failure(
        &self,
        now: u64,
        status: Option<ErrorStatus>,
        reason: &'static str,
    ) -> RequestFailure<'_> {
        RequestFailure {
            request_id: &self.client_request_id,
            route: &self.route,
            function: &self.function,
            tenant: self.tenant().map_or("", AsRef::as_ref),
            status,
            reason,
            runner: self.last_runner(),
            attempts: self.attempts,
            connect_failures: self.connect_failures,
            may_have_run: self.may_have_run,
            held_ms: now.saturating_sub(self.received_at),
            left_ms: self.deadline.saturating_sub(now),
        }
    }

    /// The lease it holds.
    pub fn held_lease(&self) -> Option<HeldLease> {
        let attempt = self.attempt()?;
        let granted_by = std::iter::once(&attempt.owner);
        Some(HeldLease {
            request: self.id,
            owners: granted_by.chain(&attempt.reported_to).cloned().collect(),
            function: self.function.clone(),
        })
    }

    /// Records that the lease was reported to a later owner of the function's seats.
    pub fn lease_reported(&mut self, owner: &str) {
        let RequestPhase::Upstream(attempt) = &mut self.phase else {
            return;
        };
        if attempt.owner != owner && !attempt.reported_to.iter().any(|known| known == owner) {
            attempt.reported_to.push(owner.into());
        }
    }

    /// Whether the runner may have received the first byte of the current attempt.
    pub fn is_sent(&self) -> bool {
        self.attempt().is_some_and(|attempt| attempt.is_sent)
    }

    /// The duration to report to the owner if the gateway breaks off the current attempt now.
    pub fn broken_off_duration_ms(&self) -> u64 {
        match self.is_sent() {
            true => u64::from(ABORTED_DURATION_MS),
            false => 0,
        }
    }

    /// Whether it continues at its runner after its client has disconnected.
    pub fn runs_to_completion(&self) -> bool {
        self.at_most_once || self.job.is_some()
    }

    /// Whether it holds a lease but may not be sent yet because its job is not claimed.
    pub fn awaits_claim(&self) -> bool {
        let is_unsent = self.attempt().is_some_and(|attempt| !attempt.is_sent);
        is_unsent && self.job.as_ref().is_some_and(|job| !job.may_be_sent())
    }

    /// Whether its connection is established and it only waits for the claim on its job.
    pub fn is_ready_for_claim(&self) -> bool {
        self.job.as_ref().is_some_and(|job| job.is_connected())
    }

    /// Whether another copy of it may have run, as far as this gateway knows.
    pub fn may_have_run_elsewhere(&self) -> bool {
        self.job
            .as_ref()
            .is_some_and(|job| job.may_have_run_elsewhere())
    }

    /// The owner whose response it waits for, and since when.
    pub fn awaited_owner(&self) -> Option<(&OwnerName, u64)> {
        match &self.phase {
            RequestPhase::AwaitingLease { owner, since } => Some((owner, *since)),
            RequestPhase::Upstream(attempt) if self.awaits_claim() => {
                Some((&attempt.owner, attempt.started_at))
            }
            _ => None,
        }
    }

    /// Records that the runner states it did not run the current attempt. If `is_certain` is false, the rejection may
    /// belong to another request and does not prove that this one has not run.
    pub fn attempt_rejected(&mut self, is_certain: bool) {
        self.may_have_run |= !is_certain;
        if let RequestPhase::Upstream(attempt) = &mut self.phase {
            attempt.is_sent &= !is_certain;
        }
    }

    /// Excludes a runner that failed from further attempts.
    pub fn exclude_runner(&mut self, runner: String) {
        if !self.excluded_runners.contains(&runner) {
            self.excluded_runners.push(runner);
        }
    }

    /// Checks the invariants of a request that is about to be sent: an at-most-once request has not run, an attempt
    /// is left, its job is claimed, and its runner is in an allowed region.
    pub fn check_may_be_sent(&self, topology: &Topology) {
        let zone = self.attempt().map(|attempt| attempt.zone.as_str());
        let is_allowed = zone.is_none_or(|zone| topology.allows(&self.allowed_regions, zone));
        check(Invariant::RequestStaysInItsRegions, is_allowed, || {
            self.explain()
        });
        let may_run_again = !(self.at_most_once && self.may_have_run);
        check(Invariant::AtMostOnceIsSentOnce, may_run_again, || {
            self.explain()
        });
        let has_attempt_left = self.attempts < self.max_attempts;
        check(Invariant::AttemptsAreBounded, has_attempt_left, || {
            self.explain()
        });
        let is_claimed = self.job.as_ref().is_none_or(|job| job.may_be_sent());
        check(Invariant::JobIsClaimedBeforeItIsSent, is_claimed, || {
            self.explain()
        });
    }

    /// Checks that no runner may have run a request whose client is about to be informed that it has not run.
    pub fn check_has_not_run(&self) {
        let has_not_run = !self.may_have_run && !self.is_sent();
        check(Invariant::RejectedHasNotRun, has_not_run, || self.explain());
    }

    /// Describes its state for a report of an invariant violation.
    fn explain(&self) -> String {
        format!(
            "request={} route={} at_most_once={} may_have_run={} attempts={} max_attempts={} phase={:?}",
            self.id.0,
            self.route,
            self.at_most_once,
            self.may_have_run,
            self.attempts,
            self.max_attempts,
            self.phase
        )
    }

    /// Whether another attempt is allowed: the client is still connected, there is time left, connecting has not
    /// failed too often, and an at-most-once request has not run.
    pub fn may_be_retried(&self, now: u64) -> bool {
        let has_time = self.deadline > now + RETRY_TIME_MIN_MS;
        if self.downstream.is_none() || !has_time {
            return false;
        }
        if self.connect_failures > CONNECT_FAILURES_MAX {
            return false;
        }
        if self.may_have_run && self.at_most_once {
            return false;
        }
        true
    }
}
