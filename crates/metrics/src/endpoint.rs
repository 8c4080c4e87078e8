//! The HTTP endpoint of the figures: requests are read from bytes and answered with bytes, without I/O.

use crate::snapshot::Snapshot;
use http1::{write_response, HttpError, MessageLimits, Request, RequestReader};

/// Limits of a request for figures.
const LIMITS: MessageLimits = MessageLimits {
    header_bytes: 8 << 10,
    body_bytes: 1 << 10,
};
const PATH: &str = "/metrics";
const CONTENT_TYPE: &[u8] = b"application/openmetrics-text; version=1.0.0; charset=utf-8";
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;

/// Reads requests off one connection.
#[derive(Default)]
pub struct MetricsReader {
    reader: RequestReader,
}

impl MetricsReader {
    /// Takes the next request off the start of the bytes that have arrived; `None` while it is incomplete.
    ///
    /// # Errors
    /// Where the bytes are no request; nothing more can be read from the connection.
    pub fn read(&mut self, buffer: &mut Vec<u8>) -> Result<Option<Request>, HttpError> {
        self.reader.read(buffer, &LIMITS)
    }
}

/// The response to a request: the figures, or 404 for another target.
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
