//! Errors for invalid policy settings.

use std::fmt;

/// Why a policy setting is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyError {
    /// The text does not have the form `NAME=VALUE`.
    NotASetting(String),
    /// There is no option with this name.
    UnknownOption(String),
    /// The value cannot be parsed as the option's type.
    WrongType {
        /// Name of the option.
        option: &'static str,
        /// The rejected value.
        value: String,
        /// Description of the option's type.
        expected: &'static str,
    },
    /// The value is outside the option's bounds.
    OutOfBounds {
        /// Name of the option.
        option: &'static str,
        /// The rejected value.
        value: String,
        /// The minimum and maximum, as text.
        bounds: String,
    },
}

impl fmt::Display for PolicyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotASetting(text) => {
                write!(formatter, "'{text}' does not have the form NAME=VALUE")
            }
            Self::UnknownOption(name) => write!(formatter, "unknown policy option '{name}'"),
            Self::WrongType {
                option,
                value,
                expected,
            } => write!(
                formatter,
                "policy option {option}: invalid value '{value}', expected {expected}"
            ),
            Self::OutOfBounds {
                option,
                value,
                bounds,
            } => write!(
                formatter,
                "policy option {option}: {value} is not in the range {bounds}"
            ),
        }
    }
}

impl std::error::Error for PolicyError {}
