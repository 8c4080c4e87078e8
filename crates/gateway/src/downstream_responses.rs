//! Phase 7: sends the response to the client and frees its connection for the next request.

use crate::client_response::ClientResponse;
use crate::gateway::{Gateway, TimerEvent};
use crate::pending_request::PendingRequest;
use event_loop::ConnectionId;
use http1::{write_response, ErrorStatus, HttpError, Request};
use invariants::{check, Invariant};

/// Bytes reserved for a response's head in addition to its body.
const HEAD_ESTIMATE: usize = 256;

impl Gateway {
    /// Responds to a request that is no longer in flight. Sends nothing if the client has disconnected.
    pub fn respond(&mut self, request: &PendingRequest, response: ClientResponse<'_>) {
        if let Some(id) = request.downstream {
            self.check_recipient(id, request);
            self.respond_to(id, &request.request, response);
        }
    }

    /// Checks that the client's connection, if still open, waits for this request.
    fn check_recipient(&mut self, id: ConnectionId, request: &PendingRequest) {
        let connection = self.connections.downstream(id);
        let awaited = connection.map(|connection| connection.request);
        let is_awaited = awaited.is_none_or(|awaited| awaited == Some(request.id));
        check(Invariant::ResponseReachesItsRequest, is_awaited, || {
            format!(
                "request={} awaited={awaited:?} function={}",
                request.id.0, request.function
            )
        });
    }

    /// Responds to a request on a client's connection.
    pub fn respond_to(
        &mut self,
        id: ConnectionId,
        request: &Request,
        response: ClientResponse<'_>,
    ) {
        let response = self.sealed_or_error(response);
        let (headers, body) = (response.headers().iter().copied(), response.body());
        let keeps_alive = request.keeps_alive && !self.is_draining();
        let is_head = request.method == "HEAD";
        let mut out = Vec::with_capacity(body.len() + HEAD_ESTIMATE);
        write_response(
            &mut out,
            response.status(),
            headers,
            body,
            keeps_alive,
            is_head,
        );
        self.connections.send(id, &out);
        self.response_sent(id, keeps_alive);
        self.response_queued(id);
    }

    /// Returns the response, or an error in place of a success that no runner has sealed.
    fn sealed_or_error<'a>(&self, response: ClientResponse<'a>) -> ClientResponse<'a> {
        let conventions = &self.options.conventions;
        let is_sealed_or_error = response.is_sealed_or_error(conventions);
        check(Invariant::SuccessIsSealed, is_sealed_or_error, || {
            let (status, source) = (response.status(), response.source());
            format!("status={status} source={source:?}")
        });
        if is_sealed_or_error {
            return response;
        }
        response.replaced_by_error(conventions)
    }

    fn response_sent(&mut self, id: ConnectionId, keeps_alive: bool) {
        if !keeps_alive {
            self.connections.close_after_flush(id);
            return;
        }
        let Some(connection) = self.connections.downstream(id) else {
            return;
        };
        connection.request = None;
        connection.since = self.now;
        if !connection.has_timer {
            connection.has_timer = true;
            let idle_ms = self.configuration.limits().idle_timeout_ms;
            self.timers
                .schedule(self.now + idle_ms, TimerEvent::DownstreamTimeout(id));
        }
        self.read_next_turn(id);
    }

    /// Rejects bytes that are not a valid request and closes the connection.
    pub fn reject_bytes(&mut self, id: ConnectionId, error: &HttpError) {
        log::debug!("gateway: bytes rejected: {error}");
        self.record_unread_request(error.status(), "the bytes are no request");
        self.send_last_error(id, error.status(), &error.to_string());
    }

    /// Sends an error that belongs to no complete request, and closes the connection.
    pub fn send_last_error(&mut self, id: ConnectionId, status: ErrorStatus, reason: &str) {
        let mut out = Vec::new();
        let (headers, body) = (std::iter::empty(), reason.as_bytes());
        write_response(&mut out, status.code(), headers, body, false, false);
        self.connections.send(id, &out);
        self.connections.close_after_flush(id);
    }
}
