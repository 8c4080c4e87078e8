//! Readiness checks, at an address of their own. At the clients' address a request for the same target is like any other.

use crate::connections::ConnectionRole;
use crate::gateway::Gateway;
use event_loop::ConnectionId;
use http1::{write_response, MessageLimits, Request, RequestReader};

/// Size limits of a request at the readiness address.
const CHECK_LIMITS: MessageLimits = MessageLimits {
    header_bytes: 8 << 10,
    body_bytes: 1 << 10,
};
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

impl Gateway {
    /// Handles a connection accepted at the readiness address.
    pub fn readiness_accepted(&mut self, id: ConnectionId) {
        let role = ConnectionRole::Readiness(RequestReader::new());
        self.connections.set_role(id, role);
    }

    /// Handles bytes received at the readiness address.
    pub fn readiness_readable(&mut self, id: ConnectionId) {
        let Some((reader, buffer)) = self.connections.readiness_input(id) else {
            return;
        };
        match reader.read(buffer, &CHECK_LIMITS) {
            Ok(None) => {}
            Ok(Some(request)) => self.respond_at_readiness_address(id, &request),
            Err(error) => self.reject_bytes(id, &error),
        }
    }

    /// Whether the gateway is ready: it has a configuration and a membership, and is not draining.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_ready() && !self.is_draining()
    }

    /// Responds to a readiness check, or with 404 to any other request.
    fn respond_at_readiness_address(&mut self, id: ConnectionId, request: &Request) {
        let is_check = self.options.conventions.is_readiness_check;
        let status = if !is_check(&request.method, &request.target) {
            NOT_FOUND
        } else if self.is_ready() {
            OK
        } else {
            UNAVAILABLE
        };
        let (mut out, headers) = (Vec::new(), std::iter::empty());
        let is_head = request.method == "HEAD";
        write_response(&mut out, status, headers, b"", request.keeps_alive, is_head);
        self.connections.send(id, &out);
        if !request.keeps_alive {
            self.connections.close_after_flush(id);
        }
    }
}
