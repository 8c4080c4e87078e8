//! One option with the text of its value, as the command line gives it.

use crate::error::PolicyError;
use std::str::FromStr;

/// An option's name and the text of its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicySetting {
    /// Name of the option.
    pub name: String,
    /// Text of the value.
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
