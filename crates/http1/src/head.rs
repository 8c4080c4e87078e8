//! The head of a message: finding its end, reading the body's framing, and validating names and values.

use crate::hop_by_hop::{is_hop_by_hop, list_elements};
use crate::{Headers, HttpError, MessageLimits};

/// Maximum number of header fields of one message; the parser's table is on the stack.
pub(crate) const MAX_FIELDS: usize = 100;
/// Registered transfer codings besides `chunked`. Such a coding before `chunked` is rejected as not implemented; any other
/// value is a protocol error.
const KNOWN_CODINGS: [&str; 5] = ["gzip", "x-gzip", "deflate", "compress", "x-compress"];

/// Finds the end of a line in bytes that arrive in pieces, without scanning a byte twice.
#[derive(Debug, Default)]
pub(crate) struct LineScan {
    scanned: usize,
}

impl LineScan {
    /// Length of the line without its CRLF, if it has arrived completely. `bytes` must begin at the line's start on every call.
    pub(crate) fn end(&mut self, bytes: &[u8]) -> Result<Option<usize>, HttpError> {
        let is_break = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let Some(found) = bytes[self.scanned..].iter().position(is_break) else {
            self.scanned = bytes.len();
            return Ok(None);
        };
        let at = self.scanned + found;
        self.scanned = at;
        match (bytes[at], bytes.get(at + 1)) {
            (b'\r', None) => Ok(None),
            (b'\r', Some(b'\n')) => {
                self.scanned = 0;
                Ok(Some(at))
            }
            _ => Err(HttpError::Malformed("line end is not CRLF")),
        }
    }
}

/// Finds the empty line that ends a head.
#[derive(Debug, Default)]
pub(crate) struct HeadScan {
    line: LineScan,
    line_start: usize,
}

impl HeadScan {
    pub(crate) fn end(
        &mut self,
        bytes: &[u8],
        limits: &MessageLimits,
    ) -> Result<Option<usize>, HttpError> {
        let within = &bytes[..bytes.len().min(limits.header_bytes)];
        while let Some(length) = self.line.end(&within[self.line_start..])? {
            self.line_start += length + 2;
            if length == 0 {
                return Ok(Some(self.line_start));
            }
        }
        if bytes.len() >= limits.header_bytes {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(None)
    }
}

/// Body framing that a head declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Absent,
    Length(usize),
    Chunked,
}

/// Determines the framing. Anything that two readers could interpret differently is an error, to prevent request smuggling.
pub(crate) fn framing(headers: &Headers, is_http_1_0: bool) -> Result<Framing, HttpError> {
    let mut lengths = headers.get_all("Content-Length");
    let mut codings = headers.get_all("Transfer-Encoding");
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(Framing::Absent),
        (Some(_), Some(_)) => Err(HttpError::Malformed("both a length and a transfer coding")),
        (Some(length), None) => {
            if lengths.next().is_some() {
                return Err(HttpError::Malformed("several lengths"));
            }
            content_length(length).map(Framing::Length)
        }
        (None, Some(coding)) => {
            if is_http_1_0 {
                return Err(HttpError::Malformed("transfer coding in HTTP/1.0"));
            }
            if codings.next().is_some() {
                return Err(HttpError::Malformed("several transfer codings"));
            }
            chunked_alone(coding)
        }
    }
}

fn content_length(digits: &[u8]) -> Result<usize, HttpError> {
    if digits.is_empty() {
        return Err(HttpError::Malformed("length is not a number"));
    }
    let mut number = 0usize;
    for digit in digits {
        if !digit.is_ascii_digit() {
            return Err(HttpError::Malformed("length is not a number"));
        }
        let grown = number.checked_mul(10);
        let grown = grown.and_then(|grown| grown.checked_add((digit - b'0').into()));
        number = grown.ok_or(HttpError::Malformed("length overflows"))?;
    }
    Ok(number)
}

fn chunked_alone(value: &[u8]) -> Result<Framing, HttpError> {
    if value.eq_ignore_ascii_case(b"chunked") {
        return Ok(Framing::Chunked);
    }
    let is_known = |coding: &[u8]| {
        let mut known = KNOWN_CODINGS.iter();
        known.any(|known| known.as_bytes().eq_ignore_ascii_case(coding))
    };
    let mut codings = list_elements(value).skip_while(|coding| is_known(coding));
    let ends_in_chunked = codings
        .next()
        .is_some_and(|last| last.eq_ignore_ascii_case(b"chunked"));
    if ends_in_chunked && codings.next().is_none() && list_elements(value).count() > 1 {
        return Err(HttpError::UnsupportedTransferCoding);
    }
    Err(HttpError::Malformed("transfer coding is not chunked alone"))
}

/// Maps a parser error to the reason for rejecting the head.
pub(crate) fn error_from_httparse(error: httparse::Error, head: &[u8]) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        httparse::Error::Version if names_version(head) => HttpError::UnsupportedVersion,
        httparse::Error::HeaderName => HttpError::Malformed("malformed field name"),
        httparse::Error::HeaderValue => HttpError::Malformed("malformed field value"),
        httparse::Error::Status => HttpError::Malformed("malformed status"),
        _ => HttpError::Malformed("malformed first line"),
    }
}

fn names_version(head: &[u8]) -> bool {
    let line = head.split(|&byte| byte == b'\r').next().unwrap_or_default();
    let mut words = line.split(|&byte| byte == b' ');
    let is_status_line = words.next().is_some_and(is_version);
    let is_request_line = words.nth(1).is_some_and(is_version) && words.next().is_none();
    is_status_line || is_request_line
}

fn is_version(word: &[u8]) -> bool {
    let Some([major, b'.', minor]) = word.strip_prefix(b"HTTP/") else {
        return false;
    };
    major.is_ascii_digit() && minor.is_ascii_digit()
}

/// Whether a byte is allowed in a token (RFC 9110, 5.6.2).
pub(crate) fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether this is a valid name of a header field.
pub(crate) fn is_name(name: &[u8]) -> bool {
    !name.is_empty() && name.iter().all(|&byte| is_token_byte(byte))
}

/// Whether this is a valid name of a field that is forwarded unless `Connection` lists it.
pub fn is_end_to_end(name: &str) -> bool {
    is_name(name.as_bytes()) && !is_hop_by_hop(name)
}

/// Whether this is a valid value of a header field: no control characters except tab.
pub(crate) fn is_value(value: &[u8]) -> bool {
    value
        .iter()
        .all(|&byte| byte == b'\t' || (byte >= b' ' && byte != 0x7f))
}
