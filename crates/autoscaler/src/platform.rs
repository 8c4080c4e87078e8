//! Types for the platform's lists and responses, and for the commands sent to it.

use std::error::Error;
use std::fmt;

/// An entry in the platform's list of workers. Lists lag behind the actual state by up to
/// [`AutoscalerOptions::list_lag_ms`](crate::AutoscalerOptions::list_lag_ms).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerListing {
    /// Name of the worker.
    pub name: String,
    /// Zone in which it is located.
    pub zone: String,
    /// Total memory, in megabytes.
    pub memory_mb: u64,
    /// Memory that was free when the list was created, in megabytes.
    pub free_mb: u64,
    /// Whether the platform is draining it: it accepts no starts, and its runners are terminated.
    pub is_draining: bool,
}

/// An entry in the platform's list of runners.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerListing {
    /// Id assigned by the platform.
    pub id: String,
    /// Name of its function.
    pub function: String,
    /// Address (ip and port).
    pub address: String,
    /// Zone of its worker.
    pub zone: String,
    /// Name of its worker.
    pub worker: String,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Whether the platform is going to terminate it.
    pub is_terminating: bool,
}

/// The runner that resulted from a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRunner {
    /// Id assigned by the platform.
    pub id: String,
    /// Address (ip and port).
    pub address: String,
}

/// Reason why a start failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The worker has no room, is down, is draining or is unknown (status 409).
    NoRoom,
    /// The platform does not know the function (status 400).
    UnknownFunction,
    /// Too many commands were sent (status 429).
    RateLimited,
    /// No response arrived. The start may have been carried out.
    Unanswered,
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoRoom => "the worker cannot accept the runner",
            Self::UnknownFunction => "the platform does not know the function",
            Self::RateLimited => "the platform limits the rate of commands",
            Self::Unanswered => "the platform did not answer",
        })
    }
}

impl Error for StartError {}

/// A command for the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunnerCommand {
    /// Start a runner. Repeating the command with the same nonce does not start a second one.
    Start {
        /// Name of the function.
        function: String,
        /// Name of the worker.
        worker: String,
        /// Nonce that identifies this start.
        nonce: String,
    },
    /// Stop a runner.
    Stop {
        /// Id of the runner.
        id: String,
    },
}
