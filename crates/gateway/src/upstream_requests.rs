//! Phase 4: takes a connection to the runner of a lease from the pool, or opens one, and sends the request.

use crate::connections::ConnectionRole;
use crate::gateway::{Gateway, TimerEvent};
use crate::large_responses::{LARGEST_RESPONSE_BYTES, SMALL_RESPONSE_BYTES};
use crate::pending_request::{PendingRequest, RequestPhase, UpstreamAttempt};
use crate::upstream_connection::UpstreamConnection;
use crate::upstream_session::OutstandingRequest;
use event_loop::ConnectionId;
use http1::{end_to_end, write_request};
use protocol::{LeaseOutcome, LeaseRelease, RequestId, SeatLease};

/// Backoff of a request whose lease was in an evacuated zone, in milliseconds.
const EVACUATED_BACKOFF_MS: u64 = 20;
/// Bytes reserved for a request's head in addition to its body.
const HEAD_ESTIMATE: usize = 512;

impl Gateway {
    /// Handles a granted lease: starts an attempt at its runner.
    pub fn lease_granted(&mut self, owner: &str, lease: SeatLease) {
        let id = lease.request_id;
        let is_evacuated = self.configuration.evacuated_zones().contains(&lease.zone);
        let is_awaited = self.requests.get(id).is_some_and(|request| {
            let is_from_owner = matches!(&request.phase,
                RequestPhase::AwaitingLease { owner: asked, .. } if asked == owner);
            is_from_owner && request.downstream.is_some()
        });
        if is_awaited && !self.may_run_in(id, &lease.zone) {
            log::error!(
                "gateway: lease outside the allowed regions owner={owner} zone={}",
                lease.zone
            );
            self.release_unused(owner, id);
            self.reject(id, 0, "no runner in an allowed region");
            return;
        }
        if !is_awaited || is_evacuated {
            self.release_unused(owner, id);
            if is_awaited {
                self.back_off(id, EVACUATED_BACKOFF_MS);
            }
            return;
        }
        let pooled = self.take_pooled(id, &lease.runner);
        let Some(connection) = pooled.or_else(|| self.open_upstream(&lease)) else {
            self.release_unused(owner, id);
            self.reject(id, 0, "no line to a runner could be opened");
            return;
        };
        self.begin_attempt(owner, lease, connection);
        if pooled.is_some() {
            self.send_upstream_request(connection);
        }
    }

    /// Whether a zone is in the allowed regions of a request.
    fn may_run_in(&mut self, id: RequestId, zone: &str) -> bool {
        let topology = &self.options.topology;
        let request = self.requests.get(id);
        request.is_some_and(|request| topology.allows(&request.allowed_regions, zone))
    }

    fn begin_attempt(&mut self, owner: &str, lease: SeatLease, connection: ConnectionId) {
        let id = lease.request_id;
        let now = self.now;
        if let Some(request) = self.requests.get(id) {
            log::debug!(
                "gateway: lease used request={} owner={owner} function={} runner={}",
                String::from_utf8_lossy(&request.client_request_id),
                request.function,
                lease.runner
            );
            request.phase = RequestPhase::Upstream(UpstreamAttempt {
                owner: owner.into(),
                reported_to: Vec::new(),
                runner: lease.runner,
                address: lease.address,
                zone: lease.zone,
                connection,
                started_at: now,
                is_sent: false,
            });
        }
        if let Some(upstream) = self.connections.upstream(connection) {
            upstream.request = Some(id);
        }
    }

    fn release_unused(&mut self, owner: &str, id: RequestId) {
        let release = LeaseRelease {
            request_id: id,
            outcome: LeaseOutcome::Unused,
            duration_ms: 0,
        };
        self.release_lease_at(owner, &release);
    }

    fn take_pooled(&mut self, id: RequestId, runner: &str) -> Option<ConnectionId> {
        let request = self.requests.get(id)?;
        let at_most_once = request.at_most_once;
        let request_id = &request.client_request_id;
        let connections = &self.connections;
        let connection = self
            .upstream_pool
            .take(runner, |one| connections.may_carry(one, request_id))?;
        if self.is_reusable(connection, at_most_once) {
            return Some(connection);
        }
        self.connections.close(connection);
        None
    }

    // A reused connection must have no unread bytes, which could not belong to the next request. For at-most-once
    // requests the socket is queried as well, because a connection that the runner has already closed would accept
    // the request and lose it.
    fn is_reusable(&mut self, connection: ConnectionId, at_most_once: bool) -> bool {
        self.connections.is_open(connection)
            && self.connections.has_no_unread_bytes(connection)
            && (!at_most_once || self.connections.has_no_pending_input(connection))
    }

    fn open_upstream(&mut self, lease: &SeatLease) -> Option<ConnectionId> {
        let role = ConnectionRole::Upstream(UpstreamConnection::new(&lease.runner));
        let connection = self
            .connections
            .connect(&lease.address, LARGEST_RESPONSE_BYTES, role)?;
        let timeout_ms = self.options.connect_timeout_ms();
        self.connections
            .set_user_timeout(connection, timeout_ms * 2);
        self.timers.schedule(
            self.now + timeout_ms,
            TimerEvent::ConnectTimeout(connection),
        );
        Some(connection)
    }

    /// Sends the request assigned to a connection, unless its job must be claimed first.
    pub fn send_upstream_request(&mut self, connection: ConnectionId) {
        self.large_responses.release(connection);
        self.connections
            .set_read_limit(connection, SMALL_RESPONSE_BYTES);
        let Some(upstream) = self.connections.upstream(connection) else {
            return;
        };
        let Some(id) = upstream.request else {
            return;
        };
        let Some(request) = self.requests.get(id) else {
            self.connections.close(connection);
            return;
        };
        if request.awaits_claim() {
            // It is sent once its job is claimed.
            if let Some(job) = &mut request.job {
                job.set_connected();
            }
            return;
        }
        // A new configuration ends only requests that were not sent. This one may have been at another runner at that
        // time, so its key is checked again.
        if !self.end_if_key_invalid(id) {
            self.write_upstream_request(connection, id);
        }
    }

    fn write_upstream_request(&mut self, connection: ConnectionId, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        request.check_may_be_sent(&self.options.topology);
        let RequestPhase::Upstream(attempt) = &mut request.phase else {
            return;
        };
        attempt.started_at = self.now;
        let Some(upstream) = self.connections.upstream(connection) else {
            return;
        };
        upstream.session.request_sent(OutstandingRequest {
            id: request.client_request_id.clone(),
            is_head: request.request.method == "HEAD",
            at_most_once: request.at_most_once,
        });
        let out = self.upstream_request_bytes(id);
        // If no byte was accepted, the next event is the end of the connection, and the request counts as not sent.
        if self.connections.send(connection, &out) {
            self.request_may_run(id);
        }
    }

    fn upstream_request_bytes(&mut self, id: RequestId) -> Vec<u8> {
        let conventions = &self.options.conventions;
        let Some(pending) = self.requests.get(id) else {
            return Vec::new();
        };
        let Some(attempt) = pending.attempt() else {
            return Vec::new();
        };
        let request = &pending.request;
        let timeout_ms = remaining_ms(pending, self.now).to_string();
        let own_names = [
            conventions.timeout,
            conventions.runner,
            conventions.tenant,
            conventions.credential,
        ];
        let is_replaced = |name: &str| own_names.iter().any(|own| name.eq_ignore_ascii_case(own));
        let protected = conventions.protected_headers();
        let kept = end_to_end(&request.headers, &protected);
        let kept = kept.filter(|(name, _)| !is_replaced(name));
        let tenant = pending.client.as_ref();
        let tenant = tenant.map(|client| (conventions.tenant, client.name().as_bytes()));
        let own: [(&str, &[u8]); 2] = [
            (conventions.timeout, timeout_ms.as_bytes()),
            (conventions.runner, attempt.runner.as_bytes()),
        ];
        let mut out = Vec::with_capacity(request.body.len() + HEAD_ESTIMATE);
        let headers = kept.chain(own).chain(tenant);
        write_request(
            &mut out,
            &request.method,
            &request.target,
            headers,
            &request.body,
        );
        out
    }

    /// Records that the runner may have received the first byte of a request, so that it may run from here on.
    fn request_may_run(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let RequestPhase::Upstream(attempt) = &mut request.phase {
            attempt.is_sent = true;
        }
        request.attempts += 1;
        if request.at_most_once || request.attempts >= request.max_attempts {
            return;
        }
        // An idempotent request whose response is long overdue is retried at another runner.
        let response_times = &self.response_times;
        let overdue_after_ms = response_times.overdue_after_ms(&request.function, request.attempts);
        let overdue = TimerEvent::ResponseOverdue(id, request.attempts);
        self.timers.schedule(self.now + overdue_after_ms, overdue);
    }

    /// Closes the connection and releases the lease of a request that was not sent or whose client has disconnected.
    pub fn abandon_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        let (connection, runner) = (attempt.connection, attempt.runner.clone());
        let duration_ms = request.broken_off_duration_ms();
        let lease = request.held_lease();
        self.close_upstream(connection, &runner);
        if let Some(lease) = lease {
            self.release_lease(&lease, LeaseOutcome::Unused, duration_ms);
        }
    }

    /// Closes a connection to a runner, whether or not it is pooled.
    pub fn close_upstream(&mut self, connection: ConnectionId, runner: &str) {
        self.upstream_pool.remove(runner, connection);
        self.connections.close(connection);
    }
}

/// Milliseconds until a request's deadline, as sent to the runner; at least 1.
fn remaining_ms(request: &PendingRequest, now: u64) -> u64 {
    request.deadline.saturating_sub(now).max(1)
}
