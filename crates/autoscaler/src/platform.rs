//! Types of the platform's lists and answers, and of the commands to it.

use std::error::Error;
use std::fmt;

/// A worker on the platform's list. Lists lag behind what happens by up to
/// [`AutoscalerOptions::list_lag_ms`](crate::AutoscalerOptions::list_lag_ms).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerListing {
    /// Name.
    pub name: String,
    /// Zone that it stands in.
    pub zone: String,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Memory that was free when the list was made, in megabytes.
    pub free_mb: u64,
    /// The platform drains it: it accepts no starts, and its runners are ended.
    pub is_draining: bool,
}

/// A runner on the platform's list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerListing {
    /// Id that the platform gave it.
    pub id: String,
    /// Its function.
    pub function: String,
    /// Address (ip and port).
    pub address: String,
    /// Zone of its worker.
    pub zone: String,
    /// Name of its worker.
    pub worker: String,
    /// Most requests that it may hold at once.
    pub capacity: u32,
    /// The platform is going to end it.
    pub is_terminating: bool,
}

/// The runner that a start gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRunner {
    /// Id that the platform gave it.
    pub id: String,
    /// Address (ip and port).
    pub address: String,
}

/// Why a start gave no runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The worker has no room, is down, is draining or is unknown (409).
    NoRoom,
    /// There is no such function (400).
    UnknownFunction,
    /// Too many commands (429).
    RateLimited,
    /// No answer came; the start may have been carried out.
    Unanswered,
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoRoom => "the worker cannot take the runner",
            Self::UnknownFunction => "the platform does not know the function",
            Self::RateLimited => "the platform limits the rate of commands",
            Self::Unanswered => "the platform did not answer",
        })
    }
}

impl Error for StartError {}

/// A command to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunnerCommand {
    /// Start a runner. Repeating it under the same nonce starts no second one.
    Start {
        /// The function.
        function: String,
        /// Name of the worker.
        worker: String,
        /// The start's own nonce.
        nonce: String,
    },
    /// Stop a runner.
    Stop {
        /// Id of the runner.
        id: String,
    },
}
