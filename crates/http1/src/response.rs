//! Reading responses.

use std::mem::MaybeUninit;

use crate::body::BodyReader;
use crate::head::{error_from_httparse, framing, Framing, HeadScan, MAX_FIELDS};
use crate::hop_by_hop::keeps_alive;
use crate::{Headers, HttpError, MessageLimits};

/// Prefix of every response, regardless of the minor version.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code, from 200 to 599.
    pub status: u16,
    /// All fields, hop-by-hop ones included.
    pub headers: Headers,
    /// The body without its framing; trailers are dropped.
    pub body: Vec<u8>,
    /// Whether the connection can be used for further requests.
    pub keeps_alive: bool,
}

/// Reads responses from the start of a buffer. Like [`RequestReader`](crate::RequestReader) it keeps
/// the state of a partial response and returns the same error permanently after the first one.
#[derive(Debug, Default)]
pub struct ResponseReader {
    is_head_request: bool,
    scan: HeadScan,
    /// Total size in bytes of the interim responses (1xx) before the current response.
    interim_bytes: usize,
    pending: Option<(Response, Delimiter)>,
    error: Option<HttpError>,
}

/// How the end of a response body is determined.
#[derive(Debug)]
enum Delimiter {
    /// By its framing.
    Framing(BodyReader),
    /// By the close of the connection, after at most `body_bytes` bytes.
    Close { body_bytes: usize },
}

impl ResponseReader {
    /// Creates a reader for the response to one request; responses to HEAD have no body.
    pub fn new(is_head_request: bool) -> Self {
        Self {
            is_head_request,
            scan: HeadScan::default(),
            interim_bytes: 0,
            pending: None,
            error: None,
        }
    }

    /// Removes the next whole response from the buffer and leaves the bytes after it; interim responses
    /// (1xx) are skipped. Returns `None` if it needs more bytes or, once the peer has closed, a call of
    /// [`end_of_stream`](Self::end_of_stream).
    pub fn read(
        &mut self,
        buffer: &mut Vec<u8>,
        limits: &MessageLimits,
    ) -> Result<Option<Response>, HttpError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let mut position = 0;
        match self.advance(buffer, &mut position, limits) {
            Ok(response) => {
                buffer.drain(..position);
                Ok(response)
            }
            Err(error) => {
                self.error = Some(error);
                Err(error)
            }
        }
    }

    /// Called when the peer has closed and all bytes before that have been passed to [`read`](Self::read).
    /// Completes a response that is delimited by the close. Returns `None` if no response had begun; a
    /// truncated response is an error.
    pub fn end_of_stream(&mut self, buffer: &mut Vec<u8>) -> Result<Option<Response>, HttpError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        if !self.has_begun(buffer) {
            return Ok(None);
        }
        let Some((mut response, Delimiter::Close { body_bytes })) = self.pending.take() else {
            return self.fail(HttpError::Malformed("closed within a response"));
        };
        if buffer.len() > body_bytes {
            return self.fail(HttpError::BodyTooLarge);
        }
        response.body = std::mem::take(buffer);
        *self = Self::new(self.is_head_request);
        Ok(Some(response))
    }

    /// Whether part of a response has arrived but not all of it.
    pub fn has_begun(&self, buffer: &[u8]) -> bool {
        self.pending.is_some() || self.interim_bytes > 0 || !buffer.is_empty()
    }

    /// The response whose head has arrived and whose body is incomplete.
    pub fn partial(&self) -> Option<&Response> {
        self.pending.as_ref().map(|(response, _)| response)
    }

    /// Number of body bytes of an incomplete response that were already removed from the buffer.
    pub fn consumed_bytes(&self) -> usize {
        match &self.pending {
            Some((_, Delimiter::Framing(reader))) => reader.consumed_bytes(),
            Some((_, Delimiter::Close { .. })) | None => 0,
        }
    }

    /// Whether all further bytes belong to a response body that ends when the peer closes.
    pub fn is_close_delimited(&self) -> bool {
        matches!(self.pending, Some((_, Delimiter::Close { .. })))
    }

    fn fail<T>(&mut self, error: HttpError) -> Result<T, HttpError> {
        self.error = Some(error);
        Err(error)
    }

    fn advance(
        &mut self,
        bytes: &[u8],
        position: &mut usize,
        limits: &MessageLimits,
    ) -> Result<Option<Response>, HttpError> {
        let (mut response, mut delimiter) = match self.pending.take() {
            Some(pending) => pending,
            None => {
                let Some(begun) = self.begin(bytes, position, limits)? else {
                    return Ok(None);
                };
                begun
            }
        };
        let body = match &mut delimiter {
            Delimiter::Framing(reader) => reader.read(bytes, position, limits)?,
            Delimiter::Close { body_bytes } if bytes.len() - *position > *body_bytes => {
                return Err(HttpError::BodyTooLarge);
            }
            Delimiter::Close { .. } => None,
        };
        let Some(body) = body else {
            self.pending = Some((response, delimiter));
            return Ok(None);
        };
        response.body = body;
        *self = Self::new(self.is_head_request);
        Ok(Some(response))
    }

    fn begin(
        &mut self,
        bytes: &[u8],
        position: &mut usize,
        limits: &MessageLimits,
    ) -> Result<Option<(Response, Delimiter)>, HttpError> {
        loop {
            let rest = &bytes[*position..];
            let compared = rest.len().min(VERSION_PREFIX.len());
            if rest[..compared] != VERSION_PREFIX[..compared] {
                return Err(HttpError::Malformed("not a response in HTTP/1"));
            }
            let Some(end) = self.scan.end(rest, limits)? else {
                return Ok(None);
            };
            let (response, is_http_1_0) = parse(&rest[..end])?;
            let framing = framing(&response.headers, is_http_1_0)?;
            *position += end;
            if response.status >= 200 {
                return self.delimit(response, framing, limits).map(Some);
            }
            if response.status == 101 || framing != Framing::Absent {
                return Err(HttpError::Malformed("unfit interim response"));
            }
            self.scan = HeadScan::default();
            self.interim_bytes += end;
            if self.interim_bytes > limits.header_bytes {
                return Err(HttpError::HeadTooLarge);
            }
        }
    }

    fn delimit(
        &self,
        mut response: Response,
        framing: Framing,
        limits: &MessageLimits,
    ) -> Result<(Response, Delimiter), HttpError> {
        if self.is_head_request || matches!(response.status, 204 | 304) {
            let is_doubtful =
                response.status == 204 && !matches!(framing, Framing::Absent | Framing::Length(0));
            response.keeps_alive &= !is_doubtful;
            return Ok((response, Delimiter::Framing(BodyReader::Length(0))));
        }
        let reader = match framing {
            Framing::Length(length) => BodyReader::with_length(length, limits)?,
            Framing::Chunked => BodyReader::chunked(),
            Framing::Absent => {
                response.keeps_alive = false;
                let body_bytes = limits.body_bytes;
                return Ok((response, Delimiter::Close { body_bytes }));
            }
        };
        Ok((response, Delimiter::Framing(reader)))
    }
}

fn parse(head: &[u8]) -> Result<(Response, bool), HttpError> {
    let mut fields = [const { MaybeUninit::uninit() }; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut []);
    let config = httparse::ParserConfig::default();
    let status = config.parse_response_with_uninit_headers(&mut parsed, head, &mut fields);
    let status = status.map_err(|error| error_from_httparse(error, head))?;
    let (Some(code), Some(version)) = (parsed.code, parsed.version) else {
        return Err(HttpError::Malformed("malformed first line"));
    };
    if status != httparse::Status::Complete(head.len()) {
        return Err(HttpError::Malformed("malformed head"));
    }
    if !(100..=599).contains(&code) {
        return Err(HttpError::Malformed("malformed status"));
    }
    // A truncated status line runs into the next response, whose status line then appears in the reason phrase.
    let reason = parsed.reason.unwrap_or_default().as_bytes();
    if reason
        .windows(VERSION_PREFIX.len())
        .any(|part| part == VERSION_PREFIX)
    {
        return Err(HttpError::Malformed("a response within a first line"));
    }
    let headers = Headers::from_parsed(parsed.headers);
    let is_http_1_0 = version == 0;
    let response = Response {
        status: code,
        keeps_alive: keeps_alive(&headers, is_http_1_0),
        headers,
        body: Vec::new(),
    };
    Ok((response, is_http_1_0))
}
