//! HTTP/1.1 messages over bytes that arrive piece by piece. Nothing here does I/O: readers take
//! whole messages off the start of a buffer, and writers append to one.
//!
//! Readers are strict, so that no two parties can disagree about where a message ends.
#![warn(missing_docs)]

mod body;
mod error;
mod head;
mod headers;
mod hop_by_hop;
mod request;
mod response;
mod status;
mod write;

pub use error::HttpError;
pub use headers::Headers;
pub use hop_by_hop::{end_to_end, idle_seconds};
pub use request::{Request, RequestReader};
pub use response::{Response, ResponseReader};
pub use write::{write_request, write_response, CONTINUE};

/// How large a message may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageLimits {
    /// Bytes of a head up to and with its empty line; also those of trailers and, in sum, those of
    /// chunk extensions.
    pub header_bytes: usize,
    /// Bytes of a body without its framing.
    pub body_bytes: usize,
}
