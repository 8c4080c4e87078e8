//! Reading requests.

use std::mem::MaybeUninit;

use crate::body::BodyReader;
use crate::head::{error_from_httparse, framing, is_token_byte, Framing, HeadScan, MAX_FIELDS};
use crate::hop_by_hop::keeps_alive;
use crate::{Headers, HttpError, MessageLimits};

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method exactly as sent; its case is preserved.
    pub method: String,
    /// Path and query exactly as sent: it begins with a slash, or is `*` for OPTIONS.
    pub target: String,
    /// All fields, hop-by-hop ones included.
    pub headers: Headers,
    /// The body without its framing; trailers are dropped.
    pub body: Vec<u8>,
    /// Whether the connection can be used for further requests.
    pub keeps_alive: bool,
    /// Whether the request uses HTTP/1.0.
    pub is_http_1_0: bool,
}

/// Reads requests from the start of a buffer, one after another. It keeps the state of a partial
/// request, so each connection needs its own reader and buffer. After an error it returns the same
/// error permanently, since the start of the next request can't be determined.
#[derive(Debug, Default)]
pub struct RequestReader {
    scan: HeadScan,
    /// Whether an empty line before the request was skipped; only one is tolerated (RFC 9112, 2.2).
    has_skipped_line: bool,
    pending: Option<(Request, BodyReader)>,
    expects_continue: bool,
    error: Option<HttpError>,
}

impl RequestReader {
    /// Creates a reader for a new connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes the next whole request from the buffer and leaves the bytes after it. Returns `None`
    /// if more bytes are needed; the bytes consumed so far are then already removed from the buffer.
    pub fn read(
        &mut self,
        buffer: &mut Vec<u8>,
        limits: &MessageLimits,
    ) -> Result<Option<Request>, HttpError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let mut position = 0;
        match self.advance(buffer, &mut position, limits) {
            Ok(request) => {
                buffer.drain(..position);
                Ok(request)
            }
            Err(error) => {
                self.error = Some(error);
                Err(error)
            }
        }
    }

    /// Whether part of a request has arrived but not all of it.
    pub fn has_begun(&self, buffer: &[u8]) -> bool {
        self.pending.is_some() || !(buffer.is_empty() || buffer == b"\r" || buffer == b"\r\n")
    }

    /// Whether the client waits for [`CONTINUE`](crate::CONTINUE) before it sends the body. Stays
    /// true until body bytes have arrived, so the caller must remember whether it has sent it.
    pub fn expects_continue(&self) -> bool {
        self.expects_continue
    }

    fn advance(
        &mut self,
        bytes: &[u8],
        position: &mut usize,
        limits: &MessageLimits,
    ) -> Result<Option<Request>, HttpError> {
        let (mut request, mut reader) = match self.pending.take() {
            Some(pending) => pending,
            None => {
                let Some(begun) = self.begin(bytes, position, limits)? else {
                    return Ok(None);
                };
                begun
            }
        };
        self.expects_continue &= *position == bytes.len();
        let Some(body) = reader.read(bytes, position, limits)? else {
            self.pending = Some((request, reader));
            return Ok(None);
        };
        request.body = body;
        *self = Self::default();
        Ok(Some(request))
    }

    fn begin(
        &mut self,
        bytes: &[u8],
        position: &mut usize,
        limits: &MessageLimits,
    ) -> Result<Option<(Request, BodyReader)>, HttpError> {
        if !self.has_skipped_line && bytes.first() == Some(&b'\r') {
            if bytes == b"\r" {
                return Ok(None);
            }
            if bytes[1] != b'\n' {
                return Err(HttpError::Malformed("line end is not CRLF"));
            }
            self.has_skipped_line = true;
            *position = 2;
        }
        let bytes = &bytes[*position..];
        if bytes.first().is_some_and(|&first| !is_token_byte(first)) {
            return Err(HttpError::Malformed("malformed first line"));
        }
        let Some(end) = self.scan.end(bytes, limits)? else {
            return Ok(None);
        };
        let request = parse(&bytes[..end])?;
        *position += end;
        let reader = match framing(&request.headers, request.is_http_1_0)? {
            Framing::Absent => BodyReader::Length(0),
            Framing::Length(length) => BodyReader::with_length(length, limits)?,
            Framing::Chunked => BodyReader::chunked(),
        };
        let expects = request.headers.get("Expect");
        self.expects_continue = !request.is_http_1_0
            && !matches!(reader, BodyReader::Length(0))
            && expects.is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"));
        Ok(Some((request, reader)))
    }
}

fn parse(head: &[u8]) -> Result<Request, HttpError> {
    let mut fields = [const { MaybeUninit::uninit() }; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut []);
    let status = parsed.parse_with_uninit_headers(head, &mut fields);
    let status = status.map_err(|error| error_from_httparse(error, head))?;
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(HttpError::Malformed("malformed first line"));
    };
    if status != httparse::Status::Complete(head.len()) {
        return Err(HttpError::Malformed("malformed head"));
    }
    check_target(method, target)?;
    let headers = Headers::from_parsed(parsed.headers);
    let is_http_1_0 = version == 0;
    check_host(&headers, is_http_1_0)?;
    Ok(Request {
        method: method.to_owned(),
        target: target.to_owned(),
        keeps_alive: keeps_alive(&headers, is_http_1_0),
        headers,
        body: Vec::new(),
        is_http_1_0,
    })
}

fn check_target(method: &str, target: &str) -> Result<(), HttpError> {
    let is_path = target.starts_with('/') || (target == "*" && method == "OPTIONS");
    if !is_path {
        return Err(HttpError::Malformed("target is not a path"));
    }
    let is_clean = |byte: u8| byte.is_ascii_graphic() && byte != b'#';
    if !target.bytes().all(is_clean) {
        return Err(HttpError::Malformed("target holds a forbidden byte"));
    }
    Ok(())
}

fn check_host(headers: &Headers, is_http_1_0: bool) -> Result<(), HttpError> {
    let mut hosts = headers.get_all("Host");
    let Some(host) = hosts.next() else {
        if is_http_1_0 {
            return Ok(());
        }
        return Err(HttpError::Malformed("host is missing"));
    };
    if hosts.next().is_some() {
        return Err(HttpError::Malformed("several hosts"));
    }
    let is_clean = |byte: &u8| byte.is_ascii_graphic() && !b"/\\@,?#\"<>".contains(byte);
    if !host.iter().all(is_clean) {
        return Err(HttpError::Malformed("malformed host"));
    }
    Ok(())
}
