//! The part of the operator's configuration that determines how a function is scaled.

use crate::allowed_regions::AllowedRegions;
use crate::call_rate::CallRate;
use crate::options::AutoscalerOptions;
use policy::ScalingPolicy;
use routing::{intersect_regions, RoutingConfiguration, TenantDirectory};
use std::collections::{BTreeMap, BTreeSet};

/// Safety factor on the usual start time when it is compared with the latency target.
const START_TIME_MARGIN: f64 = 1.1;

/// Scaling parameters of one function.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FunctionConfiguration {
    /// Memory of each runner, in megabytes.
    pub memory_mb: u64,
    /// Usual duration of a start, in milliseconds.
    pub start_ms: u64,
    /// Maximum number of concurrent requests per runner.
    pub concurrency: u32,
    /// Target response time in milliseconds: the smallest of its routes.
    pub latency_target_ms: u32,
    /// Most urgent priority of its routes; lower numbers are more urgent.
    pub priority: u8,
    /// Request timeout in milliseconds: the longest of its routes.
    pub timeout_ms: u64,
    /// Regions in which its routes allow requests to run.
    pub allowed_regions: AllowedRegions,
    /// Whether the current configuration contains the function. If not, its runners are drained.
    pub is_configured: bool,
}

impl FunctionConfiguration {
    /// Parameters of a function that has runners but is not in the configuration.
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

    /// Whether one runner is always kept because a start takes longer than the latency target allows.
    pub fn is_prewarmed(&self) -> bool {
        let start_ms = self.start_ms as f64 * START_TIME_MARGIN;
        self.is_configured && start_ms > f64::from(self.latency_target_ms)
    }

    /// Milliseconds without requests after which the last runner is stopped.
    ///
    /// The retention is long if the function is expected to be called again before an idle runner costs as much as another
    /// start (the break-even time), and short otherwise. This bounds the cost of every gap between calls to a fixed
    /// multiple of the optimal choice. Until calls have been observed for the break-even time, as after a new controller
    /// has taken over the scaler role, the call rate is unknown and the default retention applies.
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

    /// Milliseconds for which the demand must be below beta of the capacity before quotas are lowered.
    pub fn cooldown_ms(&self, options: &AutoscalerOptions) -> u64 {
        (self.start_ms as f64 * options.policy.cooldown_starts) as u64
    }
}

/// Derives the scaling parameters of each function by name, combining the latency targets, priorities, timeouts and allowed
/// regions of all bindings that lead to it.
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
            let both = intersect_regions(&binding.allowed_regions, regions);
            if !both.is_empty() {
                function.allowed_regions.add_route(&both);
            }
        }
    }
    let names = configuration.functions.iter();
    let names = names.map(|function| function.name.clone());
    names.zip(found).collect()
}
