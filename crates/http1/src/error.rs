//! Errors of reading messages.

use std::error::Error;
use std::fmt;

/// Why a message was rejected. For a request, [`status`](Self::status) is the status code of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The bytes violate the protocol, for the given reason (400).
    Malformed(&'static str),
    /// The head, the trailers or the chunk extensions exceed the limit (431).
    HeadTooLarge,
    /// The body exceeds the limit (413).
    BodyTooLarge,
    /// The message uses a registered transfer coding in addition to `chunked` (501).
    UnsupportedTransferCoding,
    /// The version is neither HTTP/1.0 nor HTTP/1.1 (505).
    UnsupportedVersion,
}

impl HttpError {
    /// Status code (400 to 505) of the response to a request with this error.
    pub fn status(&self) -> u16 {
        match self {
            HttpError::Malformed(_) => 400,
            HttpError::BodyTooLarge => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::UnsupportedTransferCoding => 501,
            HttpError::UnsupportedVersion => 505,
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            HttpError::Malformed(reason) => reason,
            HttpError::HeadTooLarge => "header fields over the bound",
            HttpError::BodyTooLarge => "body over the bound",
            HttpError::UnsupportedTransferCoding => "unknown transfer coding",
            HttpError::UnsupportedVersion => "version is neither HTTP/1.0 nor HTTP/1.1",
        })
    }
}

impl Error for HttpError {}
