//! Phase 4: a lease came. A connection to its runner is taken from the pool or opened, and the request is sent.

use crate::connections::ConnectionRole;
use crate::gateway::{Gateway, TimerEvent};
use crate::large_responses::{LARGEST_RESPONSE_BYTES, SMALL_RESPONSE_BYTES};
use crate::pending_request::{PendingRequest, RequestPhase, UpstreamAttempt};
use crate::upstream_connection::UpstreamConnection;
use crate::upstream_session::OutstandingRequest;
use event_loop::ConnectionId;
use http1::{end_to_end, write_request};
use protocol::{LeaseOutcome, LeaseRelease, RequestId, SeatLease};

/// Milliseconds before a request whose lease was in an evacuated zone requests another.
const EVACUATED_BACKOFF_MS: u64 = 20;
/// Bytes of a request's head that are reserved beside its body.
const HEAD_ESTIMATE: usize = 512;

impl Gateway {
    /// A lease was granted: the request goes to its runner.
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

    /// Whether the regions that a request must not leave hold a zone.
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
        let request = self.requests.get(id);
        let at_most_once = request.is_some_and(|request| request.at_most_once);
        let connection = self.upstream_pool.take(runner)?;
        if self.is_reusable(connection, at_most_once) {
            return Some(connection);
        }
        self.connections.close(connection);
        None
    }

    // Nothing may lie unread on a connection that is used again: it would be no response to the next request. For work
    // that may run once the system is asked too, since a connection whose runner has closed it would take the request
    // and lose it.
    fn is_reusable(&mut self, connection: ConnectionId, at_most_once: bool) -> bool {
        self.connections.is_open(connection)
            && self.connections.has_no_unread_bytes(connection)
            && (!at_most_once || self.connections.has_nothing_to_read(connection))
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

    /// Sends the request that holds a connection, unless its job must be claimed first.
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
            // It is sent when its job is claimed.
            if let Some(job) = &mut request.job {
                job.connected();
            }
            return;
        }
        // A new configuration ends only what waits; this request may have been at another runner then.
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
        // Where no byte was accepted the connection's end is the next event, and the request was not sent.
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
        let kept = end_to_end(&request.headers).filter(|(name, _)| !is_replaced(name));
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

    /// The first byte of a request may be at its runner: from here on it may have run.
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
        // An idempotent request whose response is long overdue is retried elsewhere.
        let response_times = &self.response_times;
        let overdue_after_ms = response_times.overdue_after_ms(&request.function, request.attempts);
        let overdue = TimerEvent::ResponseOverdue(id, request.attempts);
        self.timers.schedule(self.now + overdue_after_ms, overdue);
    }

    /// A request that was not sent, or whose client has left, gives up its connection and its lease.
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

    /// Closes a connection to a runner, which may be pooled.
    pub fn close_upstream(&mut self, connection: ConnectionId, runner: &str) {
        self.upstream_pool.remove(runner, connection);
        self.connections.close(connection);
    }
}

/// Milliseconds until a request's deadline, as its runner gets them.
fn remaining_ms(request: &PendingRequest, now: u64) -> u64 {
    request.deadline.saturating_sub(now).max(1)
}
