//! The HTTP endpoint of the metrics: parses requests from bytes and returns responses as bytes, without I/O.

use crate::snapshot::Snapshot;
use http1::{write_response, HttpError, MessageLimits, Request, RequestReader};

/// Size limits of a metrics request.
const LIMITS: MessageLimits = MessageLimits {
    header_bytes: 8 << 10,
    body_bytes: 1 << 10,
};
const PATH: &str = "/metrics";
const CONTENT_TYPE: &[u8] = b"application/openmetrics-text; version=1.0.0; charset=utf-8";
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;

/// Reads the requests of one connection.
#[derive(Default)]
pub struct MetricsReader {
    reader: RequestReader,
}

impl MetricsReader {
    /// Removes the next request from the start of the received bytes; `None` while it is incomplete.
    ///
    /// # Errors
    /// If the bytes are not a valid request. No further requests can be read from the connection.
    pub fn read(&mut self, buffer: &mut Vec<u8>) -> Result<Option<Request>, HttpError> {
        self.reader.read(buffer, &LIMITS)
    }
}

/// Builds the response to a request: the metrics, or 404 for any path other than `/metrics`.
#[must_use]
pub fn respond(request: &Request, snapshot: impl FnOnce() -> Snapshot) -> Vec<u8> {
    let path = request.target.split('?').next().unwrap_or_default();
    let (status, body) = if path == PATH {
        (OK, snapshot().to_text())
    } else {
        (NOT_FOUND, String::new())
    };
    let headers: [(&str, &[u8]); 1] = [("Content-Type", CONTENT_TYPE)];
    let mut out = Vec::with_capacity(body.len() + 256);
    let is_head = request.method == "HEAD";
    write_response(
        &mut out,
        status,
        headers.into_iter(),
        body.as_bytes(),
        request.keeps_alive,
        is_head,
    );
    out
}
