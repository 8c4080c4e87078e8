//! Phase 7: sends the response to the client and frees its connection for the next request.

use crate::gateway::{Gateway, TimerEvent};
use crate::pending_request::PendingRequest;
use event_loop::ConnectionId;
use http1::{write_response, HttpError, Request};
use invariants::{check, Invariant};

/// Bytes reserved for a response's head in addition to its body.
const HEAD_ESTIMATE: usize = 256;

/// Name and value of a response header.
pub(crate) type Header<'a> = (&'a str, &'a [u8]);

impl Gateway {
    /// Responds to a request that is no longer in flight. Sends nothing if the client has disconnected.
    pub fn respond(
        &mut self,
        request: &PendingRequest,
        status: u16,
        headers: &[Header<'_>],
        body: &[u8],
    ) {
        if let Some(id) = request.downstream {
            self.check_recipient(id, request);
            self.respond_to(id, &request.request, status, headers, body);
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
        status: u16,
        headers: &[Header<'_>],
        body: &[u8],
    ) {
        let keeps_alive = request.keeps_alive && !self.is_draining();
        let is_head = request.method == "HEAD";
        let mut out = Vec::with_capacity(body.len() + HEAD_ESTIMATE);
        let headers = headers.iter().copied();
        write_response(&mut out, status, headers, body, keeps_alive, is_head);
        self.connections.send(id, &out);
        self.response_sent(id, keeps_alive);
        self.response_queued(id);
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
        self.send_text(id, error.status(), &error.to_string(), false);
        self.connections.close_after_flush(id);
    }

    /// Sends a response without headers that belongs to no request in flight.
    pub fn send_text(&mut self, id: ConnectionId, status: u16, text: &str, keeps_alive: bool) {
        let mut out = Vec::new();
        let headers = std::iter::empty();
        write_response(
            &mut out,
            status,
            headers,
            text.as_bytes(),
            keeps_alive,
            false,
        );
        self.connections.send(id, &out);
    }
}
