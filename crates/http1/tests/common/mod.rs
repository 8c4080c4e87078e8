//! Generators of random messages, and readers with the limits that all tests share.
#![allow(dead_code)]

use http1::{HttpError, MessageLimits, Request, RequestReader, Response, ResponseReader};

pub const LIMITS: MessageLimits = MessageLimits {
    header_bytes: 16 * 1024,
    body_bytes: 64 * 1024,
};

/// Pseudo-random numbers derived from fuzzed bytes: the same bytes give the same numbers.
pub struct Draws<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Draws<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, at: 0 }
    }

    pub fn below(&mut self, bound: usize) -> usize {
        self.at += 1;
        if self.bytes.is_empty() {
            return self.at % bound;
        }
        let byte: usize = self.bytes[self.at % self.bytes.len()].into();
        (byte * 31 + self.at * 7 + self.at / self.bytes.len()) % bound
    }

    pub fn one_of<'t, T: ?Sized>(&mut self, options: &[&'t T]) -> &'t T {
        options[self.below(options.len())]
    }
}

/// Passes bytes to a reader in pieces of random size, until all are passed or the reader returns a
/// message. Returns that message and all bytes that were not consumed.
pub fn piecewise<T>(
    whole: &[u8],
    draws: &mut Draws<'_>,
    mut read: impl FnMut(&mut Vec<u8>) -> Result<Option<T>, HttpError>,
) -> Result<(Option<T>, Vec<u8>), HttpError> {
    let mut buffer = Vec::new();
    let mut rest = whole;
    while !rest.is_empty() {
        let size = 1 + draws.below(rest.len().min(40));
        let (piece, later) = rest.split_at(size);
        buffer.extend_from_slice(piece);
        rest = later;
        if let Some(message) = read(&mut buffer)? {
            buffer.extend_from_slice(rest);
            return Ok((Some(message), buffer));
        }
    }
    Ok((None, buffer))
}

pub fn read_request(bytes: &[u8]) -> Result<Option<Request>, HttpError> {
    RequestReader::new().read(&mut bytes.to_vec(), &LIMITS)
}

pub fn read_response(bytes: &[u8]) -> Result<Option<Response>, HttpError> {
    ResponseReader::new(false).read(&mut bytes.to_vec(), &LIMITS)
}

pub fn chunked(body: &[u8], draws: &mut Draws<'_>) -> Vec<u8> {
    let mut out = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, later) = rest.split_at(1 + draws.below(rest.len()));
        let extension = draws.one_of(&["", "", ";a=b", ";q=\"x y\""]);
        let zeros = draws.one_of(&["", "", "00"]);
        out.extend_from_slice(format!("{zeros}{:x}{extension}\r\n", chunk.len()).as_bytes());
        out.extend_from_slice(chunk);
        out.extend_from_slice(b"\r\n");
        rest = later;
    }
    out.extend_from_slice(draws.one_of(&["0\r\n", "000;end\r\n"]).as_bytes());
    out.extend_from_slice(
        draws
            .one_of(&["", "", "Sum: 1\r\nContent-Length: 9\r\n"])
            .as_bytes(),
    );
    out.extend_from_slice(b"\r\n");
    out
}

pub fn fields(draws: &mut Draws<'_>) -> Vec<(String, Vec<u8>)> {
    let count = draws.below(6);
    (0..count)
        .map(|number| {
            let name =
                draws.one_of(&["Request-Id", "Time-Left", "x", "Accept", "a!#$%&'*+-.^_`|~"]);
            let value: &[u8] = draws.one_of(&[
                &b""[..],
                b"v",
                b"a b\tc",
                b"\xc3\xa9\xff",
                b"GET / HTTP/1.1",
                b"9c41d07be2a35f68",
            ]);
            (format!("{name}{number}"), value.to_vec())
        })
        .collect()
}
