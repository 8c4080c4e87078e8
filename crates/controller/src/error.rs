//! The errors with which a control plane daemon exits.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why the daemon failed.
#[derive(Debug)]
pub enum ControllerError {
    /// An address could not be bound.
    Listen(SocketAddr, io::Error),
    /// The data folder could not be used.
    Data(String),
    /// The system denied a required resource.
    System(io::Error),
}

impl fmt::Display for ControllerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => {
                write!(formatter, "cannot listen at {address}: {error}")
            }
            Self::Data(reason) => write!(formatter, "the data folder cannot be used: {reason}"),
            Self::System(error) => write!(formatter, "operating system error: {error}"),
        }
    }
}

impl std::error::Error for ControllerError {}
