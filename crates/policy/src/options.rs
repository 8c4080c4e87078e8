//! How a group of options is declared: one line gives an option's name, type, default and bounds.

use crate::error::PolicyError;
use std::fmt::Display;
use std::str::FromStr;

/// What an option is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionDescription {
    /// Its name, with the group before the point.
    pub name: &'static str,
    /// Its default.
    pub default: String,
    /// The least and the greatest value.
    pub bounds: String,
}

/// A type that an option can have.
pub(crate) trait OptionValue: Copy + PartialOrd + Display + FromStr {
    /// The type's name in messages.
    const KIND: &'static str;
}

impl OptionValue for f64 {
    const KIND: &'static str = "number";
}

impl OptionValue for u64 {
    const KIND: &'static str = "whole number";
}

impl OptionValue for bool {
    const KIND: &'static str = "true or false";
}

/// Reads a value and checks its bounds.
pub(crate) fn parse<T: OptionValue>(
    option: &'static str,
    text: &str,
    least: T,
    greatest: T,
) -> Result<T, PolicyError> {
    let parsed = text.parse::<T>();
    let value = parsed.map_err(|_| PolicyError::WrongType {
        option,
        value: text.to_owned(),
        expected: T::KIND,
    })?;
    // A comparison with a value that is not a number is false, so such a value is out of bounds.
    if value >= least && value <= greatest {
        return Ok(value);
    }
    Err(PolicyError::OutOfBounds {
        option,
        value: text.to_owned(),
        bounds: bounds(least, greatest),
    })
}

/// Bounds as text.
pub(crate) fn bounds<T: OptionValue>(least: T, greatest: T) -> String {
    format!("{least} to {greatest}")
}

/// Declares a group of options as a struct with public fields.
macro_rules! policy_options {
    (
        $(#[$group_doc:meta])*
        $group:ident, $prefix:literal;
        $($(#[$doc:meta])* $field:ident: $kind:ty = $default:expr, $least:expr => $greatest:expr;)*
    ) => {
        $(#[$group_doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $group {
            $($(#[$doc])* pub $field: $kind,)*
        }

        impl Default for $group {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl $group {
            /// Sets an option if it belongs to this group; whether it does.
            pub(crate) fn set(
                &mut self,
                setting: &crate::setting::PolicySetting,
            ) -> Result<bool, crate::error::PolicyError> {
                match setting.name.as_str() {
                    $(concat!($prefix, ".", stringify!($field)) => {
                        let name = concat!($prefix, ".", stringify!($field));
                        let least: $kind = $least;
                        let greatest: $kind = $greatest;
                        self.$field = crate::options::parse(name, &setting.value, least, greatest)?;
                        Ok(true)
                    })*
                    _ => Ok(false),
                }
            }

            /// The options of this group.
            pub(crate) fn descriptions() -> Vec<crate::options::OptionDescription> {
                let defaults = Self::default();
                vec![$(crate::options::OptionDescription {
                    name: concat!($prefix, ".", stringify!($field)),
                    default: defaults.$field.to_string(),
                    bounds: {
                        let least: $kind = $least;
                        let greatest: $kind = $greatest;
                        crate::options::bounds(least, greatest)
                    },
                },)*]
            }
        }
    };
}

pub(crate) use policy_options;
