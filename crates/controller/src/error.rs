//! Why a daemon of the control plane ended.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why the daemon ended with a failure.
#[derive(Debug)]
pub enum ControllerError {
    /// An address could not be listened at.
    Listen(SocketAddr, io::Error),
    /// The data folder could not be used.
    Data(String),
    /// The system refused what every daemon needs.
    System(io::Error),
}

impl fmt::Display for ControllerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => {
                write!(formatter, "cannot listen at {address}: {error}")
            }
            Self::Data(reason) => write!(formatter, "the data folder cannot be used: {reason}"),
            Self::System(error) => write!(formatter, "the system refused: {error}"),
        }
    }
}

impl std::error::Error for ControllerError {}
