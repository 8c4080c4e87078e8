//! Options of the daemons' scaling, leasing and connection policies. Each has a name, a type, bounds and a default, which is the
//! value that performed best in measurements.
//!
//! Operators do not need to set them. They exist so that other values can be tried, or a policy disabled, without a new build:
//! both daemons accept `--policy NAME=VALUE`.

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

/// The options of all policies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// The number of runners of each function and their placement.
    pub scaling: ScalingPolicy,
    /// Leasing of seats to requests.
    pub leasing: LeasingPolicy,
    /// Connections to runners.
    pub upstream: UpstreamPolicy,
}

impl Policy {
    /// Creates a policy from the defaults and some settings. If an option is set more than once, the last setting applies.
    ///
    /// # Errors
    ///
    /// Fails if an option does not exist, or if a value has the wrong type or is out of bounds.
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

    /// All options with their bounds and defaults.
    #[must_use]
    pub fn descriptions() -> Vec<OptionDescription> {
        let scaling = ScalingPolicy::descriptions();
        let leasing = LeasingPolicy::descriptions();
        let upstream = UpstreamPolicy::descriptions();
        scaling.into_iter().chain(leasing).chain(upstream).collect()
    }
}
