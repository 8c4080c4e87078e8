//! Why an experiment fails.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Why an experiment fails.
#[derive(Debug)]
pub enum ExperimentError {
    /// A file or program cannot be used.
    Io {
        /// Its path.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// A command ended with an error.
    Command {
        /// The command.
        command: String,
        /// The end of what it wrote.
        output: String,
    },
    /// A day's report cannot be read.
    Report {
        /// Its path.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The plot cannot be drawn.
    Plot(String),
}

impl ExperimentError {
    /// An error of the system about a path.
    pub fn io(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        move |error| Self::Io {
            path: path.to_path_buf(),
            error,
        }
    }
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { path, error } => write!(formatter, "{}: {error}", path.display()),
            Self::Command { command, output } => {
                write!(formatter, "{command} failed:\n{output}")
            }
            Self::Report { path, reason } => {
                write!(formatter, "report {}: {reason}", path.display())
            }
            Self::Plot(reason) => write!(formatter, "the plot cannot be drawn: {reason}"),
        }
    }
}

impl std::error::Error for ExperimentError {}
