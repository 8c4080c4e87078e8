//! Checks of a configuration against the deployment: the regions that routes and tenants name must exist.

use locality::Topology;
use routing::{ConfigurationError, ConfigurationFormat, RoutingConfiguration, TenantDirectory};
use std::collections::BTreeSet;

/// The operators' configuration format, with a check of the named regions.
pub(crate) struct RegionalConfigurationFormat<'a> {
    format: &'a dyn ConfigurationFormat,
    topology: &'a Topology,
}

impl<'a> RegionalConfigurationFormat<'a> {
    /// Wraps a format with the check.
    pub fn new(format: &'a dyn ConfigurationFormat, topology: &'a Topology) -> Self {
        Self { format, topology }
    }

    fn checked(
        &self,
        configuration: RoutingConfiguration,
    ) -> Result<RoutingConfiguration, ConfigurationError> {
        let known = self.topology.regions();
        for binding in &configuration.bindings {
            let mut regions = binding.allowed_regions.iter();
            if let Some(unknown) = regions.find(|region| !known.contains(region.as_str())) {
                let reason = format!("route '{}': there is no region '{unknown}'", binding.name);
                return Err(ConfigurationError::Invalid(reason));
            }
        }
        for tenant in configuration.tenants.iter().flat_map(TenantDirectory::iter) {
            let mut regions = tenant.allowed_regions.iter();
            if let Some(unknown) = regions.find(|region| !known.contains(region.as_str())) {
                let reason = format!("tenant '{}': there is no region '{unknown}'", tenant.name);
                return Err(ConfigurationError::Invalid(reason));
            }
        }
        Ok(configuration)
    }
}

impl ConfigurationFormat for RegionalConfigurationFormat<'_> {
    fn parse(&self, document: &[u8]) -> Result<RoutingConfiguration, ConfigurationError> {
        self.checked(self.format.parse(document)?)
    }

    fn apply_change(
        &self,
        base: &RoutingConfiguration,
        change: &[u8],
    ) -> Result<RoutingConfiguration, ConfigurationError> {
        self.checked(self.format.apply_change(base, change)?)
    }

    fn unknown_parts(&self, document: &[u8]) -> BTreeSet<String> {
        self.format.unknown_parts(document)
    }

    fn unknown_parts_of_change(&self, change: &[u8]) -> BTreeSet<String> {
        self.format.unknown_parts_of_change(change)
    }

    fn merge_change(&self, document: &[u8], change: &[u8]) -> Result<Vec<u8>, ConfigurationError> {
        self.format.merge_change(document, change)
    }
}
