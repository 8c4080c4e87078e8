//! Updates for owners: the runners of a function with their stages and quotas, and its start block.

use crate::function::Function;
use crate::runner::Runner;
use crate::start_block::start_block;
use crate::state::ClusterState;
use protocol::{FunctionUpdate, RunnerStage, RunnerUpdate, UpdateVersion};

/// Takes the updates of the functions that changed since the last call. Empty until both lists have been received.
pub(crate) fn take_updates(state: &mut ClusterState) -> Vec<FunctionUpdate> {
    if !state.has_lists() {
        return Vec::new();
    }
    let changed = state.updates.take_changed();
    let updates = changed.iter().map(|name| next_update(state, name));
    updates.collect()
}

/// Creates the next update of a function, and records its number for the function and for its draining runners.
fn next_update(state: &mut ClusterState, name: &str) -> FunctionUpdate {
    let number = state.updates.next_number();
    if let Some(function) = state.functions.get_mut(name) {
        function.set_update_number(number);
        for &serial in function.runners() {
            state.runners.record_drain_update(serial, number);
        }
    }
    FunctionUpdate {
        function: name.to_owned(),
        version: UpdateVersion {
            term: state.updates.term(),
            number,
        },
        runners: runner_updates(state, name, state.now),
        start_block: start_block(state, name, state.now),
    }
}

/// The current update of a function, for an owner that does not have it. Until both lists have been received, it is empty
/// and its version supersedes no other.
pub(crate) fn update_for(state: &ClusterState, name: &str, now: u64) -> FunctionUpdate {
    if !state.has_lists() {
        return FunctionUpdate {
            function: name.to_owned(),
            ..FunctionUpdate::default()
        };
    }
    FunctionUpdate {
        function: name.to_owned(),
        version: update_version(state, name),
        runners: runner_updates(state, name, now),
        start_block: start_block(state, name, now),
    }
}

/// Version of the current update of a function; zero until both lists have been received.
pub(crate) fn update_version(state: &ClusterState, name: &str) -> UpdateVersion {
    if !state.has_lists() {
        return UpdateVersion::default();
    }
    let first = state.updates.base_number();
    let function = state.functions.get(name);
    let number = function.map_or(first, |function| function.update_number().max(first));
    UpdateVersion {
        term: state.updates.term(),
        number,
    }
}

fn runner_updates(state: &ClusterState, name: &str, now: u64) -> Vec<RunnerUpdate> {
    let Some(function) = state.functions.get(name) else {
        return Vec::new();
    };
    let runners = state.runners_of(function);
    let updates = runners.filter_map(|(_, runner)| runner_update(function, runner, now));
    updates.collect()
}

fn runner_update(function: &Function, runner: &Runner, now: u64) -> Option<RunnerUpdate> {
    let stage = runner.stage()?;
    let passed_ms = now.saturating_sub(runner.started_at);
    let start_ms = function.configuration().start_ms;
    let starts_in_ms = match stage {
        RunnerStage::Starting => start_ms.saturating_sub(passed_ms),
        _ => 0,
    };
    Some(RunnerUpdate {
        id: runner.id.clone()?,
        address: runner.address.clone(),
        zone: runner.zone.clone(),
        quota: runner.quota,
        stage,
        starts_in_ms: u32::try_from(starts_in_ms).unwrap_or(u32::MAX),
    })
}
