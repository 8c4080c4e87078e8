//! One client request from its admission to its response.

use crate::client_identity::ClientIdentity;
use crate::failure_log::RequestFailure;
use event_loop::ConnectionId;
use http1::Request;
use invariants::{check, Invariant};
use jobs::JobAdmission;
use locality::Topology;
use protocol::{RequestId, BROKEN_OFF_DURATION_MS};
use std::sync::Arc;

/// Name of the gateway that owns the seats of a function.
pub(crate) type OwnerName = String;

/// Where a request is on its way to a runner.
#[derive(Debug)]
pub(crate) enum RequestPhase {
    /// It has requested a lease from the owner.
    AwaitingLease { owner: OwnerName, since: u64 },
    /// It holds a lease, and is at the runner or on the way there.
    Upstream(UpstreamAttempt),
    /// It requests a lease again later: its function has no owner, or the lease was of no use.
    Backoff,
}

/// One attempt to have a request run by the runner of a lease.
#[derive(Debug)]
pub(crate) struct UpstreamAttempt {
    /// Owner that granted the lease.
    pub owner: OwnerName,
    /// Later owners of the function's seats that were told of the lease.
    pub reported_to: Vec<OwnerName>,
    pub runner: String,
    pub address: String,
    pub zone: String,
    pub connection: ConnectionId,
    /// Milliseconds of the gateway's clock at which the lease came or the request was sent, whichever is later.
    pub started_at: u64,
    /// Whether the first byte may be at the runner, so that the request may run.
    pub is_sent: bool,
}

/// A lease that a request holds, as far as its release needs it.
pub(crate) struct HeldLease {
    pub request: RequestId,
    /// The owner that granted it, and all later ones that were told of it.
    pub owners: Vec<OwnerName>,
    pub function: String,
}

/// A request that was read whole and has no response yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// Set as it is put in flight.
    pub id: RequestId,
    /// The client's connection; none once the client has left.
    pub downstream: Option<ConnectionId>,
    pub request: Request,
    /// The id that the client gave, which its response bears.
    pub client_request_id: Vec<u8>,
    /// Name of the binding that its host and path have.
    pub route: String,
    pub function: String,
    /// Whether it may run once at most, so that it is never retried after it may have run.
    pub at_most_once: bool,
    /// Priority among waiting requests; 0 goes first.
    pub priority: u8,
    /// Most times that it may be sent to a runner.
    pub max_attempts: u32,
    /// Regions that it must not leave; empty where all are allowed.
    pub allowed_regions: Vec<String>,
    /// The tenant that sends it; none where nobody need say who sends it.
    pub client: Option<ClientIdentity>,
    /// Times that it was sent to a runner.
    pub attempts: u32,
    /// Times that no connection to the runner of a lease came to be.
    pub connect_failures: u32,
    pub may_have_run: bool,
    pub received_at: u64,
    pub deadline: u64,
    /// Runners at which it failed.
    pub excluded_runners: Vec<String>,
    pub phase: RequestPhase,
    /// Its part in a job, where the client gave an idempotency key.
    pub job: Option<Box<JobAdmission>>,
}

/// Milliseconds that must be left before the deadline for another attempt.
const RETRY_TIME_MIN_MS: u64 = 5;
/// Most failures to connect after which there is another attempt.
const CONNECT_FAILURES_MAX: u32 = 8;

impl PendingRequest {
    /// The attempt under way, if it holds a lease.
    pub fn attempt(&self) -> Option<&UpstreamAttempt> {
        match &self.phase {
            RequestPhase::Upstream(attempt) => Some(attempt),
            RequestPhase::AwaitingLease { .. } | RequestPhase::Backoff => None,
        }
    }

    /// The runner of the last attempt; empty where there was none.
    pub fn last_runner(&self) -> &str {
        let attempt = self.attempt().map(|attempt| attempt.runner.as_str());
        let excluded = self.excluded_runners.last().map(String::as_str);
        attempt.or(excluded).unwrap_or_default()
    }

    /// Name of the tenant that sends it, if any.
    pub fn tenant(&self) -> Option<&Arc<str>> {
        self.client.as_ref().map(ClientIdentity::name)
    }

    /// What explains that it ends with a status of the gateway's own.
    pub fn failure(&self, now: u64, status: u16, reason: &'static str) -> RequestFailure<'_> {
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

    /// The lease that it holds.
    pub fn held_lease(&self) -> Option<HeldLease> {
        let attempt = self.attempt()?;
        let granted_by = std::iter::once(&attempt.owner);
        Some(HeldLease {
            request: self.id,
            owners: granted_by.chain(&attempt.reported_to).cloned().collect(),
            function: self.function.clone(),
        })
    }

    /// A later owner of the function's seats was told of the lease.
    pub fn lease_reported(&mut self, owner: &str) {
        let RequestPhase::Upstream(attempt) = &mut self.phase else {
            return;
        };
        if attempt.owner != owner && !attempt.reported_to.iter().any(|known| known == owner) {
            attempt.reported_to.push(owner.into());
        }
    }

    /// Whether the first byte of the attempt under way may be at the runner.
    pub fn is_sent(&self) -> bool {
        self.attempt().is_some_and(|attempt| attempt.is_sent)
    }

    /// The duration of the attempt under way, as its owner is told where the gateway breaks it off now.
    pub fn broken_off_duration_ms(&self) -> u64 {
        match self.is_sent() {
            true => u64::from(BROKEN_OFF_DURATION_MS),
            false => 0,
        }
    }

    /// Whether it goes on at its runner though its client has left.
    pub fn runs_to_completion(&self) -> bool {
        self.at_most_once || self.job.is_some()
    }

    /// Whether it holds a lease and may not be sent yet, since its job is not claimed.
    pub fn awaits_claim(&self) -> bool {
        let is_unsent = self.attempt().is_some_and(|attempt| !attempt.is_sent);
        is_unsent && self.job.as_ref().is_some_and(|job| !job.may_be_sent())
    }

    /// Whether its connection is up and only the claim on its job holds it back.
    pub fn is_ready_for_claim(&self) -> bool {
        self.job.as_ref().is_some_and(|job| job.is_connected())
    }

    /// Whether another copy of it may have run, as far as is known here.
    pub fn may_have_run_elsewhere(&self) -> bool {
        self.job
            .as_ref()
            .is_some_and(|job| job.may_have_run_elsewhere())
    }

    /// The owner from which a response is awaited, and since when.
    pub fn awaited_owner(&self) -> Option<(&OwnerName, u64)> {
        match &self.phase {
            RequestPhase::AwaitingLease { owner, since } => Some((owner, *since)),
            RequestPhase::Upstream(attempt) if self.awaits_claim() => {
                Some((&attempt.owner, attempt.started_at))
            }
            _ => None,
        }
    }

    /// The runner states that it did not run the attempt under way. What may be another request's rejection promises nothing
    /// for this one.
    pub fn attempt_rejected(&mut self, is_certain: bool) {
        self.may_have_run |= !is_certain;
        if let RequestPhase::Upstream(attempt) = &mut self.phase {
            attempt.is_sent &= !is_certain;
        }
    }

    /// Notes that a runner failed it.
    pub fn exclude_runner(&mut self, runner: String) {
        if !self.excluded_runners.contains(&runner) {
            self.excluded_runners.push(runner);
        }
    }

    /// Checks, as it is about to be sent, that it may be: it has not run where it must not run twice, it has an attempt
    /// left, its job is claimed, and its runner stands in a region that it may enter.
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

    /// Checks, as its client is about to be told that it has not run, that no runner may have run it.
    pub fn check_has_not_run(&self) {
        let has_not_run = !self.may_have_run && !self.is_sent();
        check(Invariant::RejectedHasNotRun, has_not_run, || self.explain());
    }

    /// Its state in a few words, for a violation.
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

    /// Whether it may be attempted again at all: there is a client and time for it, and it cannot run twice where it
    /// must not.
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
