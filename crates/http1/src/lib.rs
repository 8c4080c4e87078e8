//! Incremental parsing and serialization of HTTP/1.1 messages, without I/O: readers take whole
//! messages from the start of a buffer, and writers append to one.
//!
//! Readers are strict, so that no two parties can disagree about where a message ends.
#![warn(missing_docs)]

mod body;
mod error;
mod error_status;
mod head;
mod headers;
mod hop_by_hop;
mod request;
mod response;
mod status;
mod write;

pub use error::HttpError;
pub use error_status::ErrorStatus;
pub use head::is_end_to_end;
pub use headers::Headers;
pub use hop_by_hop::{end_to_end, idle_seconds};
pub use request::{Request, RequestReader};
pub use response::{Response, ResponseReader};
pub use write::{write_request, write_response, CONTINUE};

/// Size limits of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageLimits {
    /// Maximum size of a head in bytes, including its final empty line. Also applies to all trailers
    /// together and to all chunk extensions together.
    pub header_bytes: usize,
    /// Maximum size of a body in bytes, without its framing.
    pub body_bytes: usize,
}
