//! Why a setting of a policy is refused.

use std::fmt;

/// Why a setting of a policy is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyError {
    /// The text is not `NAME=VALUE`.
    NotASetting(String),
    /// There is no option of that name.
    UnknownOption(String),
    /// The value has another type than the option.
    WrongType {
        /// Name of the option.
        option: &'static str,
        /// The value.
        value: String,
        /// The type of the option.
        expected: &'static str,
    },
    /// The value is below the least or above the greatest that is allowed.
    OutOfBounds {
        /// Name of the option.
        option: &'static str,
        /// The value.
        value: String,
        /// The least and the greatest value.
        bounds: String,
    },
}

impl fmt::Display for PolicyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotASetting(text) => write!(formatter, "'{text}' is not NAME=VALUE"),
            Self::UnknownOption(name) => write!(formatter, "no policy has an option '{name}'"),
            Self::WrongType {
                option,
                value,
                expected,
            } => write!(
                formatter,
                "policy option {option}: '{value}' is no {expected}"
            ),
            Self::OutOfBounds {
                option,
                value,
                bounds,
            } => write!(
                formatter,
                "policy option {option}: {value} is not within {bounds}"
            ),
        }
    }
}

impl std::error::Error for PolicyError {}
