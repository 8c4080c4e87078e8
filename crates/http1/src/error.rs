//! Errors of reading messages.

use crate::ErrorStatus;
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
    /// Status of the response to a request with this error.
    pub fn status(&self) -> ErrorStatus {
        match self {
            HttpError::Malformed(_) => ErrorStatus::BAD_REQUEST,
            HttpError::BodyTooLarge => ErrorStatus::CONTENT_TOO_LARGE,
            HttpError::HeadTooLarge => ErrorStatus::HEADER_FIELDS_TOO_LARGE,
            HttpError::UnsupportedTransferCoding => ErrorStatus::NOT_IMPLEMENTED,
            HttpError::UnsupportedVersion => ErrorStatus::VERSION_NOT_SUPPORTED,
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
