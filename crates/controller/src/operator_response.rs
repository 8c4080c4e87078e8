//! Responses to operators.

use http1::write_response;
use operator_commands::{CommandReply, RejectionKind};
use std::net::{IpAddr, SocketAddr};

/// Seconds after which operators retry a request to a daemon that cannot serve it now.
const RETRY_AFTER_SECONDS: &str = "0.3";

/// HTTP status of a response that redirects an operator to another daemon.
pub(crate) const TEMPORARY_REDIRECT: u16 = 307;
/// HTTP status of a response that neither accepts nor rejects a command.
pub(crate) const SERVICE_UNAVAILABLE: u16 = 503;

/// A response to an operator's request.
pub(crate) struct OperatorResponse {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl OperatorResponse {
    /// A response without header fields other than those of its framing.
    pub fn bare(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// A response with the content type of its body, and with `Retry-After` if its status is 503.
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        let mut response = Self::bare(status, body);
        let is_json = response.body.first() == Some(&b'{');
        let content_type = if is_json {
            "application/json"
        } else {
            "text/plain"
        };
        response.headers.push(("Content-Type", content_type.into()));
        if status == SERVICE_UNAVAILABLE {
            return response.with_retry_after();
        }
        response
    }

    /// Adds the time after which the operator may retry.
    pub fn with_retry_after(mut self) -> Self {
        self.headers
            .push(("Retry-After", RETRY_AFTER_SECONDS.into()));
        self
    }

    /// Adds the redirect location: the operators' port of another daemon.
    pub fn with_location(mut self, ip: IpAddr, port: u16, target: &str) -> Self {
        let address = SocketAddr::new(ip, port);
        self.headers
            .push(("Location", format!("http://{address}{target}")));
        self
    }

    /// The response as HTTP/1.1 bytes.
    pub fn encode(&self, keeps_alive: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.body.len() + 256);
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| (*name, value.as_bytes()));
        write_response(
            &mut out,
            self.status,
            headers,
            &self.body,
            keeps_alive,
            false,
        );
        out
    }
}

impl From<CommandReply> for OperatorResponse {
    fn from(reply: CommandReply) -> Self {
        match reply {
            CommandReply::Acknowledged => Self::new(200, b"{}"),
            CommandReply::Document(document) => Self::new(200, document),
            CommandReply::Rejected(RejectionKind::Invalid, reason) => Self::new(400, reason),
            CommandReply::Rejected(RejectionKind::Stale, reason) => Self::new(412, reason),
            CommandReply::Rejected(RejectionKind::NotFound, reason) => Self::new(404, reason),
            CommandReply::Undecided(reason) => Self::new(SERVICE_UNAVAILABLE, reason),
        }
    }
}
