//! Errors of experiments.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Error that ends an experiment.
#[derive(Debug)]
pub enum ExperimentError {
    /// A file cannot be accessed or a program cannot be started.
    Io {
        /// Path of the file or program.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A command exited with an error.
    Command {
        /// The command with its arguments.
        command: String,
        /// The last lines of its output.
        output: String,
    },
    /// A day's report cannot be read.
    Report {
        /// Path of the report.
        path: PathBuf,
        /// Parse error.
        reason: String,
    },
    /// The plot cannot be drawn.
    Plot(String),
}

impl ExperimentError {
    /// Wraps an I/O error together with the path concerned; for `map_err`.
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
