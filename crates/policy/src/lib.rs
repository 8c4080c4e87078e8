//! The options of the policies by which the daemons decide: each has a name, a type, bounds and the default that measured best.
//!
//! Operators need none of them. They exist so that a policy can be compared with another value, or switched off, without
//! another build: `--policy NAME=VALUE` at either daemon.

mod error;
mod leasing;
mod options;
mod scaling;
mod setting;
mod upstream;

pub use error::PolicyError;
pub use leasing::LeasingPolicy;
pub use options::OptionDescription;
pub use scaling::ScalingPolicy;
pub use setting::PolicySetting;
pub use upstream::UpstreamPolicy;

/// All policies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// How many runners functions have, and where.
    pub scaling: ScalingPolicy,
    /// Which request gets which seat.
    pub leasing: LeasingPolicy,
    /// Connections to runners.
    pub upstream: UpstreamPolicy,
}

impl Policy {
    /// The defaults with some settings changed.
    ///
    /// # Errors
    ///
    /// An option that does not exist, or a value that is of another type or out of bounds.
    pub fn with_settings(settings: &[PolicySetting]) -> Result<Self, PolicyError> {
        let mut policy = Self::default();
        for setting in settings {
            policy.set(setting)?;
        }
        Ok(policy)
    }

    fn set(&mut self, setting: &PolicySetting) -> Result<(), PolicyError> {
        let is_known = self.scaling.set(setting)?
            || self.leasing.set(setting)?
            || self.upstream.set(setting)?;
        if is_known {
            return Ok(());
        }
        Err(PolicyError::UnknownOption(setting.name.clone()))
    }

    /// All options with their bounds, defaults and meaning.
    #[must_use]
    pub fn descriptions() -> Vec<OptionDescription> {
        let scaling = ScalingPolicy::descriptions();
        let leasing = LeasingPolicy::descriptions();
        let upstream = UpstreamPolicy::descriptions();
        scaling.into_iter().chain(leasing).chain(upstream).collect()
    }
}
