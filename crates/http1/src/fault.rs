use std::error::Error;
use std::fmt;

/// Why bytes are no message: for a request, the status that a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The bytes break the protocol (400).
    BadRequest(&'static str),
    /// The head, its trailers or its chunk extensions are over the bound (431).
    HeadTooLarge,
    /// The body is over the bound (413).
    BodyTooLarge,
    /// A transfer coding besides `chunked` is asked for (501).
    NotImplemented,
    /// The version is neither HTTP/1.0 nor HTTP/1.1 (505).
    Version,
}

impl Fault {
    /// The status that tells a client of this fault.
    pub fn status(&self) -> u16 {
        match self {
            Fault::BadRequest(_) => 400,
            Fault::BodyTooLarge => 413,
            Fault::HeadTooLarge => 431,
            Fault::NotImplemented => 501,
            Fault::Version => 505,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Fault::BadRequest(reason) => reason,
            Fault::HeadTooLarge => "header fields over the bound",
            Fault::BodyTooLarge => "body over the bound",
            Fault::NotImplemented => "unknown transfer coding",
            Fault::Version => "version is neither HTTP/1.0 nor HTTP/1.1",
        })
    }
}

impl Error for Fault {}
