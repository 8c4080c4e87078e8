//! A simulated runner connection, and responses in every framing.

use gateway::upstream_session::{
    OutstandingRequest, SessionEvent, UpstreamResponse, UpstreamSession,
};
use gateway::HttpConventions;

pub const CONVENTIONS: HttpConventions = HttpConventions {
    request_id: "Id",
    timeout: "Left",
    seal: "Seal",
    runner: "Meant",
    credential: "Credential",
    tenant: "Tenant",
    not_run: "Not-Run",
    retry_after: "Retry-After",
    is_readiness_check: |_, _| false,
};
pub const BODY: &[u8] = b"the whole body";
pub const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    Interim,
    NoContent,
    NotModified,
    Head,
    Close,
}

pub const FRAMINGS: [Framing; 7] = [
    Framing::Length,
    Framing::Chunked,
    Framing::Interim,
    Framing::NoContent,
    Framing::NotModified,
    Framing::Head,
    Framing::Close,
];

pub fn outstanding(id: &str, framing: Framing) -> OutstandingRequest {
    OutstandingRequest {
        id: id.into(),
        is_head: framing == Framing::Head,
        at_most_once: true,
    }
}

pub fn response_bytes(framing: Framing, id: &str) -> Vec<u8> {
    let length = format!("Content-Length: {}\r\n\r\n", BODY.len());
    let head = |status: &str, rest: &str| {
        format!("HTTP/1.1 {status}\r\nId: {id}\r\nSeal: seal-{id}\r\n{rest}").into_bytes()
    };
    match framing {
        Framing::Length => [&head("200 OK", &length), BODY].concat(),
        Framing::Interim => [INTERIM, &head("200 OK", &length), BODY].concat(),
        Framing::NoContent => head("204 No Content", "\r\n"),
        Framing::NotModified => head("304 Not Modified", &length),
        Framing::Head => head("200 OK", &length),
        Framing::Close => [&head("200 OK", "\r\n"), BODY].concat(),
        Framing::Chunked => {
            let (first, second) = BODY.split_at(3);
            let mut out = head("200 OK", "Transfer-Encoding: chunked\r\n\r\n");
            out.extend_from_slice(b"3;name=\"value\"\r\n");
            out.extend_from_slice(first);
            out.extend_from_slice(format!("\r\n{:X}\r\n", second.len()).as_bytes());
            out.extend_from_slice(second);
            out.extend_from_slice(b"\r\n0\r\nSum: 1\r\nSeal: of-a-trailer\r\n\r\n");
            out
        }
    }
}

/// A session and its receive buffer.
#[derive(Default)]
pub struct SimulatedRunner {
    pub session: UpstreamSession,
    buffer: Vec<u8>,
}

impl SimulatedRunner {
    pub fn sends(&mut self, bytes: &[u8]) -> SessionEvent {
        self.buffer.extend_from_slice(bytes);
        self.session.bytes_received(&mut self.buffer, &CONVENTIONS)
    }

    /// Sends the bytes one by one until the session reports an outcome. Returns the event and the number of bytes
    /// sent.
    pub fn sends_byte_by_byte(&mut self, bytes: &[u8]) -> (SessionEvent, usize) {
        for (place, byte) in bytes.iter().enumerate() {
            let event = self.sends(&[*byte]);
            if event != SessionEvent::Incomplete {
                return (event, place + 1);
            }
        }
        (SessionEvent::Incomplete, bytes.len())
    }
}

pub fn complete_response(event: SessionEvent, what: &str) -> UpstreamResponse {
    match event {
        SessionEvent::Response(response) => response,
        other => panic!("{what}: {other:?}"),
    }
}
