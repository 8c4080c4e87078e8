//! Parsing of a policy setting from the command line.

use crate::error::PolicyError;
use std::str::FromStr;

/// The name of an option and its unparsed value, from `NAME=VALUE`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicySetting {
    /// Full name of the option, such as `scaling.alpha`.
    pub name: String,
    /// Unparsed value.
    pub value: String,
}

impl FromStr for PolicySetting {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let parts = text.split_once('=');
        let named = parts.filter(|(name, value)| !name.is_empty() && !value.is_empty());
        let (name, value) = named.ok_or_else(|| PolicyError::NotASetting(text.to_owned()))?;
        Ok(Self {
            name: name.to_owned(),
            value: value.to_owned(),
        })
    }
}
