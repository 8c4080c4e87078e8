use std::fmt;

/// Why a mutation could not be tried.
#[derive(Debug)]
pub enum MutationError {
    /// A file or folder could not be read or written.
    Io(std::io::Error),
    /// An entry's file is not a valid entry.
    Description {
        /// Name of the entry.
        entry: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The text that an entry replaces does not occur exactly once, or its replacement is identical.
    TextNotUnique {
        /// Name of the entry.
        entry: String,
        /// Number of occurrences of the text.
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
    /// A range of entries on the command line cannot be parsed.
    Range(String),
}

impl fmt::Display for MutationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "{error}"),
            Self::Description { entry, reason } => write!(formatter, "{entry}: {reason}"),
            Self::TextNotUnique { entry, found } => write!(
                formatter,
                "{entry}: the text to replace is found {found} times in the sources, expected once"
            ),
            Self::NoSuchTests { entry, tests } => write!(
                formatter,
                "{entry}: `{tests}` matches no package and test targets of the workspace"
            ),
            Self::NoPackage(file) => {
                write!(formatter, "{} does not belong to a package", file.display())
            }
            Self::Range(text) => write!(formatter, "`{text}` is neither a number nor a range"),
        }
    }
}

impl std::error::Error for MutationError {}

impl From<std::io::Error> for MutationError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}
