//! Phase 5: the bytes of a runner, or the end of its connection, are matched to the request on the connection.

use crate::connections::ConnectionRole;
use crate::gateway::Gateway;
use crate::upstream_session::{SessionEvent, UpstreamResponse};
use event_loop::{CloseReason, ConnectionId};
use http1::idle_seconds;
use protocol::{LeaseOutcome, RequestId};

/// Milliseconds for which an idle connection is pooled where the runner names no time.
pub(crate) const DEFAULT_IDLE_MS: u64 = 5_000;
/// Most milliseconds for which an idle connection is pooled.
const IDLE_MAX_MS: u64 = 30_000;
/// Milliseconds by which an idle connection is closed earlier than by its runner.
const IDLE_MARGIN_MS: u64 = 500;

impl Gateway {
    /// Bytes of a runner have arrived.
    pub fn upstream_readable(&mut self, id: ConnectionId) {
        let Some((upstream, buffer)) = self.connections.upstream_input(id) else {
            return;
        };
        let conventions = &self.options.conventions;
        let event = upstream.session.bytes_received(buffer, conventions);
        self.session_event(id, event);
        if self.large_responses.waiting() > 0 {
            self.resume_large_responses();
        }
    }

    /// Does what a connection's bytes mean for its request.
    fn session_event(&mut self, id: ConnectionId, event: SessionEvent) {
        let Some(upstream) = self.connections.upstream(id) else {
            return;
        };
        let (request_id, runner) = (upstream.request, upstream.runner.clone());
        let sent = request_id.filter(|request_id| self.is_sent_on(*request_id, id));
        match (event, sent) {
            (SessionEvent::Incomplete, _) => self.throttle_large_response(id),
            (SessionEvent::Response(response), Some(request_id)) => {
                self.pool_or_close(id, &response);
                self.response_received(request_id, &response);
            }
            (SessionEvent::Failed(reason), Some(request_id)) => {
                self.close_upstream(id, &runner);
                self.attempt_lost(request_id, reason);
            }
            // Bytes without a request that was sent belong to nobody; a request that was not sent yet finds another
            // connection.
            _ => {
                self.close_upstream(id, &runner);
                if let Some(request_id) = request_id {
                    self.attempt_failed(request_id, false);
                }
            }
        }
    }

    /// A connection to a runner has ended.
    pub fn upstream_closed(&mut self, id: ConnectionId, reason: CloseReason) {
        let Some(upstream) = self.connections.upstream(id) else {
            return;
        };
        let event = upstream.session.connection_closed();
        let (request_id, runner) = (upstream.request, upstream.runner.clone());
        self.close_upstream(id, &runner);
        let Some(request_id) = request_id else {
            return;
        };
        match event {
            SessionEvent::Failed(reason) if self.is_sent_on(request_id, id) => {
                self.attempt_lost(request_id, reason);
            }
            _ => self.attempt_failed(request_id, reason == CloseReason::ConnectFailed),
        }
    }

    /// The time within which a connection to a runner must come up is over.
    pub fn connect_timeout(&mut self, id: ConnectionId) {
        match self.connections.role(id) {
            Some(ConnectionRole::Probe(probed)) => {
                let probed = probed.clone();
                self.connections.close(id);
                self.probe_finished(&probed, false);
            }
            Some(ConnectionRole::Upstream(upstream)) if upstream.session.requests() == 0 => {
                let Some(request_id) = upstream.request else {
                    return;
                };
                let request = self.requests.get(request_id);
                if request.is_some_and(|request| request.is_ready_for_claim()) {
                    return;
                }
                self.connections.close(id);
                self.attempt_failed(request_id, false);
            }
            _ => {}
        }
    }

    /// Whether a request was sent on this very connection.
    fn is_sent_on(&mut self, request_id: RequestId, id: ConnectionId) -> bool {
        let request = self.requests.get(request_id);
        let attempt = request.and_then(|request| request.attempt());
        attempt.is_some_and(|attempt| attempt.connection == id && attempt.is_sent)
    }

    /// A connection's request has its response: the connection is pooled where nothing speaks against it.
    fn pool_or_close(&mut self, id: ConnectionId, response: &UpstreamResponse) {
        let idle_ms = idle_ms(response);
        let Some(upstream) = self.connections.upstream(id) else {
            return;
        };
        let request_id = upstream.request.take();
        upstream.expires_at = self.now + idle_ms.min(IDLE_MAX_MS);
        let runner = upstream.runner.clone();
        let request = request_id.and_then(|request_id| self.requests.get(request_id));
        let limit = self.options.policy.upstream.idle_per_runner as usize;
        let configuration = &self.configuration;
        let max_idle = request.map_or(0, |request| {
            configuration.max_idle_connections(&request.function, limit)
        });
        // A response that came before its whole request was sent leaves a rest that would look like the next request.
        let is_request_sent = self.connections.unsent_bytes(id) == 0;
        let is_pooled = response.is_reusable
            && is_request_sent
            && self.connections.is_open(id)
            && idle_ms > 0
            && self.upstream_pool.put(&runner, id, max_idle);
        if !is_pooled {
            self.connections.close(id);
        }
    }

    /// An attempt failed before its request was sent, or its connection ended. `is_refused` says that nobody accepts
    /// connections at the runner's address.
    fn attempt_failed(&mut self, request_id: RequestId, is_refused: bool) {
        let Some(request) = self.requests.get(request_id) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        if attempt.is_sent {
            self.attempt_lost(request_id, "the runner broke off");
            return;
        }
        let runner = attempt.runner.clone();
        let lease = request.held_lease();
        // A connection that was up and ends before its request may be sent says nothing of the runner.
        let outcome = if request.is_ready_for_claim() {
            LeaseOutcome::Unused
        } else if is_refused {
            LeaseOutcome::Gone
        } else {
            LeaseOutcome::Unreachable
        };
        request.connect_failures += 1;
        request.excluded_runners.push(runner);
        if let Some(lease) = lease {
            self.release_lease(&lease, outcome, 0);
        }
        if !self.retry_unsent(request_id) {
            self.reject(request_id, 0, "no runner could be reached");
        }
    }
}

/// Milliseconds for which the runner keeps the connection of a response open, less the margin.
fn idle_ms(response: &UpstreamResponse) -> u64 {
    let keep_alive_s = idle_seconds(&response.response.headers);
    keep_alive_s.map_or(DEFAULT_IDLE_MS, |seconds| {
        seconds.saturating_mul(1_000).saturating_sub(IDLE_MARGIN_MS)
    })
}
