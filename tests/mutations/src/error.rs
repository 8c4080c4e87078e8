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
    /// An entry names a package or a test target that is not in the workspace.
    NoSuchTests {
        /// Name of the entry.
        entry: String,
        /// The arguments of `cargo test` that name it.
        tests: String,
    },
    /// A source file belongs to no package of the workspace.
    NoPackage(std::path::PathBuf),
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
            Self::NoSuchTests { entry, tests } => write!(
                formatter,
                "{entry}: `{tests}` names no tests of the workspace"
            ),
            Self::NoPackage(file) => {
                write!(formatter, "{} belongs to no package", file.display())
            }
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
