use std::mem::MaybeUninit;

use crate::body::BodyReader;
use crate::head::{error_from_httparse, framing, Framing, HeadScan, FIELDS_MAX};
use crate::hop_by_hop::keeps_alive;
use crate::{Headers, HttpError, MessageLimits};

const PREFIX: &[u8] = b"HTTP/1.";

/// An answer read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// From 200 to 599.
    pub status: u16,
    /// All fields, hop-by-hop ones included.
    pub headers: Headers,
    /// The body without its framing; trailers are dropped.
    pub body: Vec<u8>,
    /// Whether the connection takes further requests.
    pub keeps_alive: bool,
}

/// Reads answers off the start of a buffer. Like the reader of requests it keeps what it has read
/// of a partial answer, and gives the same fault forever after one.
#[derive(Debug, Default)]
pub struct ResponseReader {
    is_head_request: bool,
    scan: HeadScan,
    interim_bytes: usize,
    pending: Option<(Response, Delimiter)>,
    fault: Option<HttpError>,
}

#[derive(Debug)]
enum Delimiter {
    Framing(BodyReader),
    Close { body_bytes: usize },
}

impl ResponseReader {
    /// A reader for the answer to one request; answers to HEAD have no body.
    pub fn new(is_head_request: bool) -> Self {
        Self {
            is_head_request,
            scan: HeadScan::default(),
            interim_bytes: 0,
            pending: None,
            fault: None,
        }
    }

    /// Takes the next whole answer off the buffer and leaves the bytes behind it; interim answers
    /// (1xx) are skipped. `None` asks for more bytes, or for [`end_of_stream`](Self::end_of_stream) once the
    /// peer has closed.
    pub fn read(
        &mut self,
        buffer: &mut Vec<u8>,
        bounds: &MessageLimits,
    ) -> Result<Option<Response>, HttpError> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        let mut at = 0;
        match self.advance(buffer, &mut at, bounds) {
            Ok(response) => {
                buffer.drain(..at);
                Ok(response)
            }
            Err(fault) => {
                self.fault = Some(fault);
                Err(fault)
            }
        }
    }

    /// The peer has closed, and all bytes before that have been given to [`read`](Self::read).
    /// Completes an answer that is delimited by the close. `None` means that nothing of an answer
    /// had come; one that is cut short is a fault.
    pub fn end_of_stream(&mut self, buffer: &mut Vec<u8>) -> Result<Option<Response>, HttpError> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        if !self.has_begun(buffer) {
            return Ok(None);
        }
        let Some((mut response, Delimiter::Close { body_bytes })) = self.pending.take() else {
            return self.fail(HttpError::BadRequest("closed within an answer"));
        };
        if buffer.len() > body_bytes {
            return self.fail(HttpError::BodyTooLarge);
        }
        response.body = std::mem::take(buffer);
        *self = Self::new(self.is_head_request);
        Ok(Some(response))
    }

    /// Whether an answer has begun to arrive of which the rest is missing.
    pub fn has_begun(&self, buffer: &[u8]) -> bool {
        self.pending.is_some() || self.interim_bytes > 0 || !buffer.is_empty()
    }

    fn fail<T>(&mut self, fault: HttpError) -> Result<T, HttpError> {
        self.fault = Some(fault);
        Err(fault)
    }

    fn advance(
        &mut self,
        bytes: &[u8],
        at: &mut usize,
        bounds: &MessageLimits,
    ) -> Result<Option<Response>, HttpError> {
        let (mut response, mut delimiter) = match self.pending.take() {
            Some(pending) => pending,
            None => {
                let Some(begun) = self.begin(bytes, at, bounds)? else {
                    return Ok(None);
                };
                begun
            }
        };
        let body = match &mut delimiter {
            Delimiter::Framing(reader) => reader.read(bytes, at, bounds)?,
            Delimiter::Close { body_bytes } if bytes.len() - *at > *body_bytes => {
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
        at: &mut usize,
        bounds: &MessageLimits,
    ) -> Result<Option<(Response, Delimiter)>, HttpError> {
        loop {
            let rest = &bytes[*at..];
            let compared = rest.len().min(PREFIX.len());
            if rest[..compared] != PREFIX[..compared] {
                return Err(HttpError::BadRequest("not an answer in HTTP/1"));
            }
            let Some(end) = self.scan.end(rest, bounds)? else {
                return Ok(None);
            };
            let (response, is_http_1_0) = parse(&rest[..end])?;
            let framing = framing(&response.headers, is_http_1_0)?;
            *at += end;
            if response.status >= 200 {
                return self.delimit(response, framing, bounds).map(Some);
            }
            if response.status == 101 || framing != Framing::Absent {
                return Err(HttpError::BadRequest("unfit interim answer"));
            }
            self.scan = HeadScan::default();
            self.interim_bytes += end;
            if self.interim_bytes > bounds.header_bytes {
                return Err(HttpError::HeadTooLarge);
            }
        }
    }

    fn delimit(
        &self,
        mut response: Response,
        framing: Framing,
        bounds: &MessageLimits,
    ) -> Result<(Response, Delimiter), HttpError> {
        if self.is_head_request || matches!(response.status, 204 | 304) {
            let is_doubtful =
                response.status == 204 && !matches!(framing, Framing::Absent | Framing::Length(0));
            response.keeps_alive &= !is_doubtful;
            return Ok((response, Delimiter::Framing(BodyReader::Length(0))));
        }
        let reader = match framing {
            Framing::Length(length) => BodyReader::of_length(length, bounds)?,
            Framing::Chunked => BodyReader::of_chunks(),
            Framing::Absent => {
                response.keeps_alive = false;
                let body_bytes = bounds.body_bytes;
                return Ok((response, Delimiter::Close { body_bytes }));
            }
        };
        Ok((response, Delimiter::Framing(reader)))
    }
}

fn parse(head: &[u8]) -> Result<(Response, bool), HttpError> {
    let mut fields = [const { MaybeUninit::uninit() }; FIELDS_MAX];
    let mut parsed = httparse::Response::new(&mut []);
    let config = httparse::ParserConfig::default();
    let status = config.parse_response_with_uninit_headers(&mut parsed, head, &mut fields);
    let status = status.map_err(|error| error_from_httparse(error, head))?;
    let (Some(code), Some(version)) = (parsed.code, parsed.version) else {
        return Err(HttpError::BadRequest("malformed first line"));
    };
    if status != httparse::Status::Complete(head.len()) {
        return Err(HttpError::BadRequest("malformed head"));
    }
    if !(100..=599).contains(&code) {
        return Err(HttpError::BadRequest("malformed status"));
    }
    // A first line that was cut short, with the next answer behind it, is neither's.
    let reason = parsed.reason.unwrap_or_default().as_bytes();
    if reason.windows(PREFIX.len()).any(|part| part == PREFIX) {
        return Err(HttpError::BadRequest("an answer within a first line"));
    }
    let headers = Headers::of(parsed.headers);
    let is_http_1_0 = version == 0;
    let response = Response {
        status: code,
        keeps_alive: keeps_alive(&headers, is_http_1_0),
        headers,
        body: Vec::new(),
    };
    Ok((response, is_http_1_0))
}
