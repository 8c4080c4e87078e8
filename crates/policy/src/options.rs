//! Declaration of option groups: one line declares the name, type, default and bounds of an option.

use crate::error::PolicyError;
use std::fmt::Display;
use std::str::FromStr;

/// Description of an option.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionDescription {
    /// Full name: the group's prefix, a dot and the field name.
    pub name: &'static str,
    /// Default value, as text.
    pub default: String,
    /// Minimum and maximum, as text.
    pub bounds: String,
}

/// A type that options can have.
pub(crate) trait OptionValue: Copy + PartialOrd + Display + FromStr {
    /// Description of the type for error messages.
    const DESCRIPTION: &'static str;
}

impl OptionValue for f64 {
    const DESCRIPTION: &'static str = "a number";
}

impl OptionValue for u64 {
    const DESCRIPTION: &'static str = "a non-negative integer";
}

impl OptionValue for bool {
    const DESCRIPTION: &'static str = "true or false";
}

/// Parses a value and checks its bounds.
pub(crate) fn parse<T: OptionValue>(
    option: &'static str,
    text: &str,
    minimum: T,
    maximum: T,
) -> Result<T, PolicyError> {
    let parsed = text.parse::<T>();
    let value = parsed.map_err(|_| PolicyError::WrongType {
        option,
        value: text.to_owned(),
        expected: T::DESCRIPTION,
    })?;
    // Comparisons with NaN are false, so NaN is rejected as out of bounds.
    if value >= minimum && value <= maximum {
        return Ok(value);
    }
    Err(PolicyError::OutOfBounds {
        option,
        value: text.to_owned(),
        bounds: bounds(minimum, maximum),
    })
}

/// Formats the bounds of an option.
pub(crate) fn bounds<T: OptionValue>(minimum: T, maximum: T) -> String {
    format!("{minimum} to {maximum}")
}

/// Declares a group of options as a struct with public fields. Field names are part of the option names that users set.
macro_rules! policy_options {
    (
        $(#[$group_doc:meta])*
        $group:ident, $prefix:literal;
        $($(#[$doc:meta])* $field:ident: $kind:ty = $default:expr, $minimum:expr => $maximum:expr;)*
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
            /// Sets an option if it belongs to this group. Returns whether it does.
            pub(crate) fn set(
                &mut self,
                setting: &crate::setting::PolicySetting,
            ) -> Result<bool, crate::error::PolicyError> {
                match setting.name.as_str() {
                    $(concat!($prefix, ".", stringify!($field)) => {
                        let name = concat!($prefix, ".", stringify!($field));
                        let minimum: $kind = $minimum;
                        let maximum: $kind = $maximum;
                        self.$field = crate::options::parse(name, &setting.value, minimum, maximum)?;
                        Ok(true)
                    })*
                    _ => Ok(false),
                }
            }

            /// Descriptions of the options in this group.
            pub(crate) fn descriptions() -> Vec<crate::options::OptionDescription> {
                let defaults = Self::default();
                vec![$(crate::options::OptionDescription {
                    name: concat!($prefix, ".", stringify!($field)),
                    default: defaults.$field.to_string(),
                    bounds: {
                        let minimum: $kind = $minimum;
                        let maximum: $kind = $maximum;
                        crate::options::bounds(minimum, maximum)
                    },
                },)*]
            }
        }
    };
}

pub(crate) use policy_options;
