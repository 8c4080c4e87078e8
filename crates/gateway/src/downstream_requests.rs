//! Phase 1: reads requests from clients. A client's next request is read only after the response to the previous one.

use crate::connections::ConnectionRole;
use crate::downstream_connection::DownstreamConnection;
use crate::gateway::{Gateway, TimerEvent};
use crate::pending_request::RequestPhase;
use crate::request_accounting::RequestEnd;
use event_loop::ConnectionId;
use http1::{ErrorStatus, MessageLimits, CONTINUE};

/// Allowance for a request's framing in addition to its head and body, in bytes.
const FRAMING_BYTES: usize = 1 << 10;

impl Gateway {
    /// Handles a newly accepted client connection.
    pub fn downstream_accepted(&mut self, id: ConnectionId) {
        let connection = DownstreamConnection::accepted(self.now);
        self.connections
            .set_role(id, ConnectionRole::Downstream(connection));
        let idle_ms = self.configuration.limits().idle_timeout_ms;
        // The default user timeout is meant for daemons and too short for a client that reads slowly.
        self.connections.set_user_timeout(id, idle_ms);
        self.timers
            .schedule(self.now + idle_ms, TimerEvent::DownstreamTimeout(id));
    }

    /// Reads a request from the bytes that a client has sent.
    pub fn downstream_readable(&mut self, id: ConnectionId) {
        let limits = self.configuration.limits();
        let message_limits = MessageLimits {
            header_bytes: limits.header_bytes,
            body_bytes: limits.body_bytes,
        };
        // The next request is read only after the client has read the previous response.
        if self.connections.unsent_bytes(id) > 0 {
            return;
        }
        let read_limit = limits.header_bytes + limits.body_bytes + FRAMING_BYTES;
        self.connections.set_read_limit(id, read_limit);
        let Some((connection, buffer)) = self.connections.downstream_input(id) else {
            return;
        };
        if connection.request.is_some() {
            return;
        }
        match connection.reader.read(buffer, &message_limits) {
            Ok(Some(request)) => {
                connection.is_arriving = false;
                connection.has_sent_continue = false;
                self.admit_request(id, request);
            }
            Ok(None) => self.request_is_incomplete(id, limits.header_timeout_ms),
            Err(error) => self.reject_bytes(id, &error),
        }
    }

    /// Handles a partial request: starts its timeout, and sends `100 Continue` if the client waits for it.
    fn request_is_incomplete(&mut self, id: ConnectionId, wait_ms: u64) {
        let Some((connection, buffer)) = self.connections.downstream_input(id) else {
            return;
        };
        let has_begun = connection.reader.has_begun(buffer);
        if has_begun && !connection.is_arriving {
            connection.is_arriving = true;
            connection.since = self.now;
            self.timers
                .schedule(self.now + wait_ms, TimerEvent::DownstreamTimeout(id));
        }
        if connection.reader.expects_continue() && !connection.has_sent_continue {
            connection.has_sent_continue = true;
            self.connections.send(id, CONTINUE);
        }
    }

    /// Marks a connection whose next request may already have arrived. It is read in the next turn rather than
    /// recursively from the previous response, because a client may send any number of requests at once.
    pub fn read_next_turn(&mut self, id: ConnectionId) {
        if self.connections.has_unread_bytes(id) {
            self.pipelined_connections.push(id);
        }
    }

    /// Reads one more request from each client that pipelines requests.
    pub fn read_pipelined(&mut self) {
        for id in std::mem::take(&mut self.pipelined_connections) {
            self.downstream_readable(id);
        }
    }

    /// Closes a client's connection if it was idle, or its request incomplete, for too long.
    pub fn downstream_timeout(&mut self, id: ConnectionId) {
        let limits = self.configuration.limits();
        let Some(connection) = self.connections.downstream(id) else {
            return;
        };
        connection.has_timer = false;
        if connection.request.is_some() {
            return;
        }
        let is_arriving = connection.is_arriving;
        let wait_ms = if is_arriving {
            limits.header_timeout_ms
        } else {
            limits.idle_timeout_ms
        };
        let ends_at = connection.since + wait_ms;
        if self.now < ends_at {
            connection.has_timer = true;
            self.timers
                .schedule(ends_at, TimerEvent::DownstreamTimeout(id));
            return;
        }
        if is_arriving {
            let (status, reason) = (ErrorStatus::REQUEST_TIMEOUT, "the request came too slowly");
            self.record_unread_request(status, reason);
            self.send_last_error(id, status, reason);
            return;
        }
        self.connections.close_after_flush(id);
    }

    /// Handles a client's disconnect. A request that was sent to a runner and must not run twice continues, because
    /// its outcome may be stored for a copy of it or looked up later. Any other request is cancelled and its runner
    /// released.
    pub fn downstream_closed(&mut self, id: ConnectionId) {
        let connection = self.connections.downstream(id);
        let Some(request_id) = connection.and_then(|connection| connection.request) else {
            return;
        };
        let Some(request) = self.requests.get(request_id) else {
            return;
        };
        request.downstream = None;
        match &request.phase {
            RequestPhase::Upstream(attempt) if attempt.is_sent && request.runs_to_completion() => {
                return
            }
            _ => self.withdraw_request(request_id),
        }
        let removed = self.requests.remove(request_id, RequestEnd::ClientLeft);
        if let Some(request) = removed {
            self.record_client_left(&request);
        }
    }

    /// Closes the client connections without a request in flight or arriving.
    pub fn close_idle_downstream(&mut self) {
        for id in self.connections.idle_downstream() {
            if !self.connections.has_unread_bytes(id) {
                self.connections.close_after_flush(id);
            }
        }
    }
}
