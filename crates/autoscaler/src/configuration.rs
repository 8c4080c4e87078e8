//! Applies the operator's configuration and changes to the set of evacuated zones.

use crate::draining::{apply_allowed_regions, apply_evacuation};
use crate::function_configuration::{configurations_by_function, FunctionConfiguration};
use crate::runner::{DrainReason, RunnerState};
use crate::scaling_decision::decide_due;
use crate::state::ClusterState;
use routing::RoutingConfiguration;
use std::collections::BTreeSet;

/// Applies the configuration. Scaling decisions about the affected functions are made with the next tick.
pub(crate) fn apply_configuration(state: &mut ClusterState, configuration: &RoutingConfiguration) {
    let functions = configurations_by_function(configuration);
    state.functions.extend_timeouts(&functions);
    for name in state.functions.missing_from(&functions) {
        unconfigure(state, &name);
    }
    for (name, function) in functions {
        configure(state, &name, function);
    }
}

/// Sets the evacuated zones. No runner is placed in them, and their runners are drained.
pub(crate) fn set_evacuated_zones(state: &mut ClusterState, zones: &BTreeSet<String>) {
    if !state.workers.set_evacuated_zones(zones) {
        return;
    }
    log::info!("scaler: zones evacuated zones={zones:?}");
    for serial in state.runners.serials() {
        apply_evacuation(state, serial);
    }
    for function in state.functions.iter_mut() {
        function.resume_starts();
    }
    decide_due(state);
}

/// Marks a function as removed from the configuration, so that the next decision drains its runners.
fn unconfigure(state: &mut ClusterState, name: &str) {
    let Some(function) = state.functions.get_mut(name) else {
        return;
    };
    function.unconfigure();
    state.functions.activate(name);
    state.functions.make_due(name);
}

/// Applies the configuration of one function, and the new size and regions to the runners that it has.
fn configure(state: &mut ClusterState, name: &str, configuration: FunctionConfiguration) {
    let is_prewarmed = configuration.is_prewarmed();
    let (memory_mb, concurrency) = (configuration.memory_mb, configuration.concurrency);
    let function = state.functions.get_or_insert(name, configuration.clone());
    let has_runners = !function.runners().is_empty();
    let is_unchanged = *function.configuration() == configuration;
    function.set_configuration(configuration);
    if is_prewarmed {
        state.functions.activate(name);
    }
    if is_unchanged && has_runners {
        return;
    }
    if is_prewarmed || has_runners {
        state.functions.make_due(name);
    }
    if has_runners {
        resize_runners(state, name, memory_mb, concurrency);
        apply_regions(state, name);
    }
}

/// Drains the runners that no route of the function may use any more, and marks those that a route may use again as able
/// to resume.
fn apply_regions(state: &mut ClusterState, name: &str) {
    let Some(function) = state.functions.get(name) else {
        return;
    };
    for serial in function.runners().clone() {
        apply_allowed_regions(state, serial);
    }
}

/// Applies the configured memory and concurrency to the runners of a function.
fn resize_runners(state: &mut ClusterState, name: &str, memory_mb: u64, concurrency: u32) {
    let Some(function) = state.functions.get(name) else {
        return;
    };
    let mut has_changed = false;
    for &serial in function.runners() {
        has_changed |= state.runners.resize(serial, memory_mb, concurrency);
        let runner = state.runners.get(serial);
        let is_unwanted = runner.is_some_and(|runner| {
            let reason = DrainReason::FunctionRemoved;
            matches!(runner.state, RunnerState::Draining { reason: own, .. } if own == reason)
        });
        if is_unwanted {
            // The function is configured again, so the runner may resume serving.
            state.runners.set_drain_reason(serial, DrainReason::Surplus);
        }
    }
    if has_changed {
        state.updates.mark_changed(name);
    }
}
