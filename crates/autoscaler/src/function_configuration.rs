//! The part of the operator's configuration that decides how a function is scaled.

use crate::allowed_regions::AllowedRegions;
use crate::call_rate::CallRate;
use crate::options::AutoscalerOptions;
use policy::ScalingPolicy;
use routing::{regions_of_both, RoutingConfiguration, TenantDirectory};
use std::collections::{BTreeMap, BTreeSet};

/// How much longer than usual a start may take and still be expected to meet the latency target.
const START_TIME_MARGIN: f64 = 1.1;

/// What the configuration says of a function.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FunctionConfiguration {
    /// Memory of a runner, in megabytes.
    pub memory_mb: u64,
    /// Milliseconds that a start usually takes.
    pub start_ms: u64,
    /// Most requests that a runner may hold at once.
    pub concurrency: u32,
    /// Milliseconds within which an answer is wanted: the smallest target of its routes.
    pub latency_target_ms: u32,
    /// The most urgent priority of its routes; the lowest number goes first.
    pub priority: u8,
    /// Milliseconds for which a request may take at most: the longest of its routes.
    pub timeout_ms: u64,
    /// Regions in which its routes let requests run.
    pub allowed_regions: AllowedRegions,
    /// The current configuration names the function. Otherwise its runners drain.
    pub is_configured: bool,
}

impl FunctionConfiguration {
    /// A function that has runners but is not in the configuration.
    pub fn unconfigured(concurrency: u32) -> Self {
        Self {
            memory_mb: 0,
            start_ms: 0,
            concurrency,
            latency_target_ms: u32::MAX,
            priority: u8::MAX,
            timeout_ms: 0,
            allowed_regions: AllowedRegions::default(),
            is_configured: false,
        }
    }

    /// Whether one runner is always kept, because a start does not fit into the latency target.
    pub fn is_prewarmed(&self) -> bool {
        let start_ms = self.start_ms as f64 * START_TIME_MARGIN;
        self.is_configured && start_ms > f64::from(self.latency_target_ms)
    }

    /// Milliseconds without requests after which the last runner ends. A function is retained that is expected to be called again
    /// before an idle runner costs as much as another start; no gap costs more than a bounded multiple of the best choice. Until calls
    /// could be seen for that long, as after a change of the scaler, nothing is known of a function.
    pub fn retention_ms(&self, calls: &CallRate, now: u64, policy: &ScalingPolicy) -> u64 {
        let start_ms = self.start_ms as f64;
        let break_even_ms = start_ms * policy.break_even_starts;
        let is_unknown = (calls.observed_ms(now) as f64) < break_even_ms;
        if !policy.adapts_retention || is_unknown {
            return (start_ms * policy.retention_starts) as u64;
        }
        let is_rare = calls.expected_within(now, break_even_ms) < 1.0;
        let starts = if is_rare {
            policy.rare_retention_starts
        } else {
            policy.frequent_retention_starts
        };
        (start_ms * starts) as u64
    }

    /// Milliseconds below beta after which quotas fall.
    pub fn cooldown_ms(&self, options: &AutoscalerOptions) -> u64 {
        (self.start_ms as f64 * options.policy.cooldown_starts) as u64
    }
}

/// The configuration of each function, with the strictest requirements of all bindings that lead to it.
pub(crate) fn configurations_by_function(
    configuration: &RoutingConfiguration,
) -> BTreeMap<String, FunctionConfiguration> {
    let functions = configuration.functions.iter();
    let mut found: Vec<FunctionConfiguration> = functions
        .map(|function| FunctionConfiguration {
            memory_mb: function.memory_mb,
            start_ms: function.start_ms,
            is_configured: true,
            ..FunctionConfiguration::unconfigured(function.concurrency.max(1))
        })
        .collect();
    let tenants = configuration.tenants.iter().flat_map(TenantDirectory::iter);
    let tenant_regions: BTreeSet<&[String]> = tenants
        .map(|tenant| tenant.allowed_regions.as_slice())
        .filter(|regions| !regions.is_empty())
        .collect();
    for binding in &configuration.bindings {
        let Some(function) = found.get_mut(binding.function_index) else {
            continue;
        };
        function.latency_target_ms = function.latency_target_ms.min(binding.latency_target_ms);
        function.priority = function.priority.min(binding.priority);
        function.timeout_ms = function.timeout_ms.max(u64::from(binding.timeout_ms));
        function.allowed_regions.add_route(&binding.allowed_regions);
        for regions in &tenant_regions {
            let both = regions_of_both(&binding.allowed_regions, regions);
            if !both.is_empty() {
                function.allowed_regions.add_route(&both);
            }
        }
    }
    let names = configuration.functions.iter();
    let names = names.map(|function| function.name.clone());
    names.zip(found).collect()
}
