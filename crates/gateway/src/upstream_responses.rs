//! Phase 5: matches a runner's bytes, or the end of its connection, to the request on the connection.

use crate::connections::ConnectionRole;
use crate::gateway::Gateway;
use crate::upstream_session::{SessionEvent, UpstreamResponse};
use event_loop::{CloseReason, ConnectionId};
use http1::idle_seconds;
use protocol::{LeaseOutcome, RequestId};

/// Time for which an idle connection is pooled if the runner announces no keep-alive timeout, in milliseconds.
pub(crate) const DEFAULT_IDLE_MS: u64 = 5_000;
/// Longest time for which an idle connection is pooled, in milliseconds.
const IDLE_MAX_MS: u64 = 30_000;
/// Margin by which an idle connection is closed before the runner would close it, in milliseconds.
const IDLE_MARGIN_MS: u64 = 500;

impl Gateway {
    /// Handles bytes received from a runner.
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

    /// Applies a session event to the request on the connection.
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
            // Without a sent request, bytes on the connection belong to none. A request that was assigned to it but
            // not sent is retried on another connection.
            _ => {
                self.close_upstream(id, &runner);
                if let Some(request_id) = request_id {
                    self.attempt_failed(request_id, false);
                }
            }
        }
    }

    /// Handles the end of a connection to a runner.
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

    /// Handles the timeout for connecting to a runner.
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

    /// Whether the current attempt of a request was sent on this connection.
    fn is_sent_on(&mut self, request_id: RequestId, id: ConnectionId) -> bool {
        let request = self.requests.get(request_id);
        let attempt = request.and_then(|request| request.attempt());
        attempt.is_some_and(|attempt| attempt.connection == id && attempt.is_sent)
    }

    /// Pools a connection whose request has its response, or closes it if it cannot be reused.
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
        // If the response arrived before the whole request was sent, the unsent rest would look like the next
        // request.
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

    /// Handles an attempt whose connection failed or ended. `is_refused` states that nothing accepts connections at
    /// the runner's address.
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
        // The end of an established connection before its request may be sent does not indicate a faulty runner.
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

/// Keep-alive timeout that the runner announces in a response, less a safety margin, in milliseconds.
fn idle_ms(response: &UpstreamResponse) -> u64 {
    let keep_alive_s = idle_seconds(&response.response.headers);
    keep_alive_s.map_or(DEFAULT_IDLE_MS, |seconds| {
        seconds.saturating_mul(1_000).saturating_sub(IDLE_MARGIN_MS)
    })
}
