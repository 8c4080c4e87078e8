use crate::config::Config;
use configuration::{Configuration, FunctionSpec, RequestKind, Zone};

pub(crate) fn zone(index: usize) -> String {
    ["a", "b", "c"][index % 3].to_string()
}

/// The configuration that a simulated fleet starts with.
pub(crate) fn initial_configuration(config: &Config) -> Configuration {
    let function_specs = (0..config.functions).map(|number| FunctionSpec {
        name: format!("f{number}"),
        memory_mb: 300,
        start_ms: 700,
        concurrency: 2 + number as u32 % 3,
        budget_ms: 2_000,
        kinds: vec!["urgent".into(), "plain".into()],
    });
    let kinds = [("urgent", true), ("plain", false)];
    let zones = (0..3).map(|index| Zone {
        name: zone(index),
        state: Default::default(),
    });
    let mut configuration = Configuration::empty();
    configuration.function_specs = function_specs.collect();
    configuration.priority_order = kinds
        .iter()
        .map(|(name, once)| RequestKind {
            name: name.to_string(),
            once: *once,
        })
        .collect();
    configuration.zones = zones.collect();
    configuration.bounds.worker_memory_mb = 2_000;
    configuration.bounds.claim_ms = config.claim_ms;
    configuration
}
