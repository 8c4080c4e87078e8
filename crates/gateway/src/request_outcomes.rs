//! Phase 6: answers, retries or rejects a request.

use crate::client_response::ClientResponse;
use crate::failure_log::RequestFailure;
use crate::gateway::Gateway;
use crate::pending_request::{PendingRequest, RequestPhase};
use crate::request_accounting::RequestEnd;
use crate::response_classification::{classify, ResponseClass};
use crate::upstream_session::UpstreamResponse;
use event_loop::ConnectionId;
use http1::{end_to_end, ErrorStatus, Response};
use protocol::{JobResult, LeaseOutcome, RequestId, ABORTED_DURATION_MS};

/// Minimum time after which a rejected client may retry, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 150;

const SERVER_ERROR_MIN: u16 = 500;

impl Gateway {
    /// Handles the owner's rejection of a lease request: the request has not run and is rejected at once.
    pub fn lease_rejected(&mut self, id: RequestId, retry_after_ms: u32) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if matches!(request.phase, RequestPhase::AwaitingLease { .. }) {
            self.reject(id, u64::from(retry_after_ms), "no seat in time");
        }
    }

    /// Handles a runner's response to a request.
    pub fn response_received(&mut self, id: RequestId, received: &UpstreamResponse) {
        let response = &received.response;
        match classify(response, &self.options.conventions) {
            ResponseClass::Completed => self.request_completed(id, response),
            ResponseClass::Rejected => {
                self.request_not_run(id, received, LeaseOutcome::Rejected);
            }
            ResponseClass::Misdirected => self.request_not_run(id, received, LeaseOutcome::Gone),
            ResponseClass::Untrusted(reason) => self.attempt_lost(id, reason),
        }
    }

    /// Handles the response to a request that has run.
    fn request_completed(&mut self, id: RequestId, response: &Response) {
        let now = self.now;
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        let duration_ms = now - attempt.started_at;
        let runner = attempt.runner.clone();
        let lease = request.held_lease();
        request.may_have_run = true;
        self.response_times.record(&request.function, duration_ms);
        if let Some(lease) = lease {
            self.release_lease(&lease, LeaseOutcome::Succeeded, duration_ms);
        }
        if response.status >= SERVER_ERROR_MIN && self.retry_after_error(id, runner) {
            return;
        }
        let Some(request) = self.requests.remove(id, RequestEnd::Answered) else {
            return;
        };
        let protected = self.options.conventions.protected_headers();
        let headers = end_to_end(&response.headers, &protected).collect();
        let forwarded = ClientResponse::from_runner(response.status, headers, &response.body);
        self.respond(&request, forwarded);
        self.complete_job_with(&request, response);
    }

    /// Retries an idempotent request at another runner after an error response. Returns whether it is retried.
    fn retry_after_error(&mut self, id: RequestId, runner: String) -> bool {
        let request = self.requests.get(id);
        let Some(request) = request.filter(|request| !request.at_most_once) else {
            return false;
        };
        request.excluded_runners.push(runner);
        self.retry_sent(id)
    }

    /// Handles a runner's statement that it did not run the request.
    fn request_not_run(
        &mut self,
        id: RequestId,
        received: &UpstreamResponse,
        outcome: LeaseOutcome,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        let duration_ms = now - attempt.started_at;
        let runner = attempt.runner.clone();
        let lease = request.held_lease();
        request.attempt_rejected(received.is_certain);
        request.excluded_runners.push(runner);
        if let Some(lease) = lease {
            self.release_lease(&lease, outcome, duration_ms);
        }
        if !self.retry_sent(id) {
            self.reject(id, RETRY_AFTER_MIN_MS, "the runner turned it away");
        }
    }

    /// Handles an attempt that the runner may have run and for which no valid response was received.
    pub fn attempt_lost(&mut self, id: RequestId, reason: &'static str) {
        self.end_lost_attempt(id, 0, reason);
    }

    /// Like [`attempt_lost`](Self::attempt_lost), for an attempt that this gateway broke off and that the runner may
    /// still be processing.
    pub fn attempt_broken_off(&mut self, id: RequestId, reason: &'static str) {
        self.end_lost_attempt(id, u64::from(ABORTED_DURATION_MS), reason);
    }

    fn end_lost_attempt(&mut self, id: RequestId, duration_ms: u64, reason: &'static str) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        let runner = attempt.runner.clone();
        let lease = request.held_lease();
        request.may_have_run = true;
        request.exclude_runner(runner);
        if let Some(lease) = lease {
            self.release_lease(&lease, LeaseOutcome::Lost, duration_ms);
        }
        if !self.retry_sent(id) {
            self.reject(id, RETRY_AFTER_MIN_MS, reason);
        }
    }

    /// Ends a request without a runner's response: with 503 if it cannot have run, with 502 if it may have run.
    pub fn reject(&mut self, id: RequestId, retry_after_ms: u64, reason: &'static str) {
        let Some(request) = self.requests.remove(id, RequestEnd::Rejected) else {
            return;
        };
        let conventions = self.options.conventions;
        let retry_after_s = retry_after_ms.max(RETRY_AFTER_MIN_MS) as f64 / 1_000.0;
        let retry_after = format!("{retry_after_s:.3}");
        let mut headers: Vec<(&str, &[u8])> =
            vec![(conventions.request_id, &request.client_request_id)];
        let (status, result) = if request.may_have_run {
            (ErrorStatus::BAD_GATEWAY, JobResult::Lost)
        } else {
            request.check_has_not_run();
            headers.push((conventions.retry_after, retry_after.as_bytes()));
            (ErrorStatus::SERVICE_UNAVAILABLE, JobResult::NotRun)
        };
        self.complete_job(&request, result);
        self.record_error(&request, status, reason);
        self.respond(&request, ClientResponse::error(status, headers, reason));
    }

    /// Responds with an error from the gateway itself to a request that is no longer in flight.
    pub fn respond_with_error(
        &mut self,
        request: &PendingRequest,
        status: ErrorStatus,
        reason: &'static str,
    ) {
        self.record_error(request, status, reason);
        let request_id = self.options.conventions.request_id;
        let headers: Vec<(&str, &[u8])> = vec![(request_id, &request.client_request_id)];
        self.respond(request, ClientResponse::error(status, headers, reason));
    }

    fn record_error(
        &mut self,
        request: &PendingRequest,
        status: ErrorStatus,
        reason: &'static str,
    ) {
        if let Some(client) = &request.client {
            self.tenant_counts.record_rejected(client.name());
        }
        let failure = request.failure(self.now, Some(status), reason);
        self.failures.record(self.now, &failure);
    }

    /// Records the failure of a request whose head could not be read.
    pub fn record_unread_request(&mut self, status: ErrorStatus, reason: &'static str) {
        let failure = RequestFailure::before_admission(b"", status, reason);
        self.failures.record(self.now, &failure);
    }

    /// Records a request whose client has disconnected.
    pub fn record_client_left(&mut self, request: &PendingRequest) {
        let failure = request.failure(self.now, None, "the client has left");
        self.failures.record(self.now, &failure);
    }

    /// Ends a request whose deadline has passed.
    pub fn request_timed_out(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match request.attempt() {
            Some(attempt) => {
                let (connection, runner) = (attempt.connection, attempt.runner.clone());
                self.attempt_timed_out(id, connection, &runner);
            }
            None => self.cancel_lease_request(id),
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if !request.may_have_run && !request.may_have_run_elsewhere() {
            let reason = "the time is over, and it was not run";
            self.reject(id, RETRY_AFTER_MIN_MS, reason);
            return;
        }
        let Some(request) = self.requests.remove(id, RequestEnd::Rejected) else {
            return;
        };
        let (result, reason) = if request.may_have_run {
            (JobResult::Lost, "the runner did not answer in time")
        } else {
            let reason = "another copy may have run, and did not end in time";
            (JobResult::NotRun, reason)
        };
        self.complete_job(&request, result);
        self.respond_with_error(&request, ErrorStatus::GATEWAY_TIMEOUT, reason);
    }

    /// Ends the current attempt of a request whose deadline has passed, whether or not it was sent.
    fn attempt_timed_out(&mut self, id: RequestId, connection: ConnectionId, runner: &str) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let is_sent = request.is_sent();
        let duration_ms = request.broken_off_duration_ms();
        request.may_have_run |= is_sent;
        let outcome = if is_sent {
            LeaseOutcome::Lost
        } else if request.awaits_claim() {
            LeaseOutcome::Unused
        } else {
            LeaseOutcome::Unreachable
        };
        let lease = request.held_lease();
        self.close_upstream(connection, runner);
        if let Some(lease) = lease {
            self.release_lease(&lease, outcome, duration_ms);
        }
    }
}
