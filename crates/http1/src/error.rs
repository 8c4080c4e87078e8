//! Why bytes are not a message.

use std::error::Error;
use std::fmt;

/// Why bytes are not a message. For a request, `status` is what the client gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The bytes break the protocol (400).
    Malformed(&'static str),
    /// The head, its trailers or its chunk extensions are over the bound (431).
    HeadTooLarge,
    /// The body is over the bound (413).
    BodyTooLarge,
    /// A transfer coding besides `chunked` is asked for (501).
    UnsupportedTransferCoding,
    /// The version is neither HTTP/1.0 nor HTTP/1.1 (505).
    UnsupportedVersion,
}

impl HttpError {
    /// The status code (400 to 505) that answers a request with this error.
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
