use std::fmt;

/// Why a mutation could not be tried.
#[derive(Debug)]
pub enum MutationError {
    /// A file or folder could not be read or written.
    Io(std::io::Error),
    /// An entry's file is not a valid description.
    Description {
        /// File name of the entry.
        entry: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The text that an entry replaces is not found exactly once.
    TextNotUnique {
        /// Name of the entry.
        entry: String,
        /// How often the text is found.
        found: usize,
    },
    /// A range of entries on the command line cannot be read.
    Range(String),
}

impl fmt::Display for MutationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "{error}"),
            Self::Description { entry, reason } => write!(formatter, "{entry}: {reason}"),
            Self::TextNotUnique { entry, found } => write!(
                formatter,
                "{entry}: its text is found {found} times in the sources, not once"
            ),
            Self::Range(text) => write!(formatter, "`{text}` is no number and no range"),
        }
    }
}

impl std::error::Error for MutationError {}

impl From<std::io::Error> for MutationError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}
