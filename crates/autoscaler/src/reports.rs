//! Handles owners' reports: arrivals, waiting requests, and the state of each runner.

use crate::runner::RunnerState;
use crate::runner_table::RunnerObservation;
use crate::scaling_decision::decide;
use crate::state::ClusterState;
use protocol::{FunctionReport, RunnerReport};

/// Handles an owner's report on a function. If requests are waiting, a scaling decision is made immediately.
pub(crate) fn handle_report(state: &mut ClusterState, owner: &str, report: &FunctionReport) {
    let now = state.now;
    let name = report.function.as_str();
    let Some(function) = state.functions.get_mut(name) else {
        return;
    };
    let observed_since = *state.observed_since.get_or_insert(now);
    function.record_arrivals(owner, report, now, observed_since);
    state.functions.add_owner(owner, name);
    state.functions.activate(name);
    for runner in &report.runners {
        handle_runner_report(state, owner, name, runner);
    }
    let Some(function) = state.functions.get_mut(name) else {
        return;
    };
    function.store_report(owner, report, now);
    if report.waiting > 0 {
        function.mark_busy(now);
        decide(state, name);
    }
}

/// Handles an owner's report on a runner.
fn handle_runner_report(state: &mut ClusterState, owner: &str, name: &str, report: &RunnerReport) {
    let Some(serial) = state.runners.serial_of_id(&report.id) else {
        return;
    };
    let function = state.functions.get(name);
    let before = function.and_then(|function| function.reports().runner(owner, &report.id));
    let observation = observation(report, before);
    let observed = state.runners.observe(serial, name, observation, state.now);
    let Some(runner_state) = observed else {
        return;
    };
    if observation.is_unreachable {
        handle_unreachable(state, serial);
    } else if observation.is_up && runner_state == RunnerState::Starting {
        state.set_runner_state(serial, RunnerState::Serving);
    }
}

/// Computes the change since the owner's previous report. The counters in reports never decrease.
fn observation(report: &RunnerReport, before: Option<&RunnerReport>) -> RunnerObservation {
    let (succeeded, duration_ms) =
        before.map_or((0, 0), |one| (one.succeeded, one.total_duration_ms));
    RunnerObservation {
        responses: report.succeeded.saturating_sub(succeeded),
        total_ms: report.total_duration_ms.saturating_sub(duration_ms),
        has_requests_in_flight: report.in_use > 0,
        is_up: report.is_up && !report.is_unreachable,
        is_unreachable: report.is_unreachable,
    }
}

/// Handles an owner's report that a runner cannot be reached any more.
fn handle_unreachable(state: &mut ClusterState, serial: u64) {
    let Some(runner) = state.runners.get(serial) else {
        return;
    };
    if runner.stage().is_none() {
        return;
    }
    log::info!(
        "scaler: runner unreachable function={} runner={:?}",
        runner.function,
        runner.id
    );
    let since = state.now;
    state.set_runner_state(serial, RunnerState::Unreachable { since });
}
