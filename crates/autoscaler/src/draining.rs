//! Taking runners out of service without losing a request.
//!
//! A runner that is to end drains first: its owner is told to send it nothing more. It is stopped only once its owner,
//! knowing that, reports none in flight (docs/source.md, gap 3).

use crate::load::Load;
use crate::owner_reports::OwnerReport;
use crate::runner::{DrainReason, Runner, RunnerState};
use crate::state::ClusterState;

/// Milliseconds added to the longest request timeout, for the way of the request and its report.
const TIMEOUT_SLACK_MS: u64 = 1_000;

/// Drains a runner: it gets no new requests and is stopped once none is in flight.
pub(crate) fn drain(state: &mut ClusterState, serial: u64, reason: DrainReason) {
    let since = state.now;
    let Some(runner) = state.runners.get(serial) else {
        return;
    };
    match runner.state {
        RunnerState::StartPending { .. } => withdraw_start(state, serial),
        RunnerState::Draining { .. } => state.runners.set_drain_reason(serial, reason),
        RunnerState::Starting | RunnerState::Serving => {
            let load = state.functions.get(&runner.function);
            let load = load.map(|function| Load::of(state, function));
            log::info!(
                "scaler: runner draining function={} runner={:?} reason={reason:?} {}",
                runner.function,
                runner.id,
                load.unwrap_or_default()
            );
            state.set_runner_state(serial, RunnerState::Draining { reason, since });
        }
        // A start that was commanded is decided about when its answer comes.
        _ => {}
    }
}

/// Withdraws a start. If it was commanded before, the runner may exist and is tracked as unconfirmed.
pub(crate) fn withdraw_start(state: &mut ClusterState, serial: u64) {
    let Some(runner) = state.runners.get(serial) else {
        return;
    };
    if runner.start_requested_at.is_none() {
        state.forget_runner(serial);
        return;
    }
    state.start_queue.remove_runner(serial);
    let since = state.now;
    state.set_runner_state(serial, RunnerState::StartUnconfirmed { since });
}

/// Drains a runner whose zone is evacuated, and makes it revivable when the evacuation ends.
pub(crate) fn apply_evacuation(state: &mut ClusterState, serial: u64) {
    let Some(runner) = state.runners.get(serial) else {
        return;
    };
    let is_evacuated = state.workers.is_evacuated(&runner.zone);
    match runner.state {
        RunnerState::StartPending { .. } if is_evacuated => withdraw_start(state, serial),
        RunnerState::Starting | RunnerState::Serving if is_evacuated => {
            drain(state, serial, DrainReason::ZoneEvacuated);
        }
        RunnerState::Draining { reason, .. } if is_evacuated && reason == DrainReason::Surplus => {
            drain(state, serial, DrainReason::ZoneEvacuated);
        }
        RunnerState::Draining {
            reason: DrainReason::ZoneEvacuated,
            ..
        } if !is_evacuated => drain(state, serial, DrainReason::Surplus),
        _ => {}
    }
}

/// Whether any route of a runner's function may use it.
pub(crate) fn is_in_allowed_region(state: &ClusterState, runner: &Runner) -> bool {
    let function = state.functions.get(&runner.function);
    function.is_none_or(|function| {
        let regions = &function.configuration().allowed_regions;
        regions.may_use(&state.options.topology, &runner.zone)
    })
}

/// Drains a runner that no route of its function may use, and makes it revivable once one may.
pub(crate) fn apply_allowed_regions(state: &mut ClusterState, serial: u64) {
    let Some(runner) = state.runners.get(serial) else {
        return;
    };
    let is_allowed = is_in_allowed_region(state, runner);
    match runner.state {
        RunnerState::StartPending { .. } if !is_allowed => withdraw_start(state, serial),
        RunnerState::Starting | RunnerState::Serving if !is_allowed => {
            drain(state, serial, DrainReason::RegionNotAllowed);
        }
        RunnerState::Draining {
            reason: DrainReason::Surplus,
            ..
        } if !is_allowed => drain(state, serial, DrainReason::RegionNotAllowed),
        RunnerState::Draining {
            reason: DrainReason::RegionNotAllowed,
            ..
        } if is_allowed => drain(state, serial, DrainReason::Surplus),
        _ => {}
    }
}

/// The platform ends the runners of a worker that it drains.
pub(crate) fn apply_worker_drain(state: &mut ClusterState, serial: u64) {
    let Some(runner) = state.runners.get(serial) else {
        return;
    };
    if !state.workers.is_draining(&runner.worker) {
        return;
    }
    match runner.state {
        RunnerState::StartPending { .. } => withdraw_start(state, serial),
        RunnerState::Starting | RunnerState::Serving | RunnerState::Draining { .. } => {
            mark_terminating(state, serial);
        }
        _ => {}
    }
}

/// The platform is about to end a runner.
pub(crate) fn mark_terminating(state: &mut ClusterState, serial: u64) {
    let Some(runner) = state.runners.get(serial) else {
        return;
    };
    log::info!(
        "scaler: runner leaving function={} runner={:?}",
        runner.function,
        runner.id
    );
    let since = state.now;
    state.set_runner_state(serial, RunnerState::Terminating { since });
}

/// Milliseconds after which no request can still be in flight.
fn longest_request_ms(state: &ClusterState) -> u64 {
    state.functions.longest_timeout_ms() + TIMEOUT_SLACK_MS
}

/// Whether an owner reported lately that requests are in flight at a runner.
pub(crate) fn has_requests_in_flight(state: &ClusterState, runner: &Runner) -> bool {
    let function = state.functions.get(&runner.function);
    let (Some(function), Some(id)) = (function, &runner.id) else {
        return false;
    };
    let limit_ms = longest_request_ms(state);
    let has_recent_requests =
        |report: &OwnerReport| report.in_flight(id) > 0 && report.is_within(limit_ms, state.now);
    function.reports().iter().any(has_recent_requests)
}

/// Whether no request is in flight at a runner that has been draining since a time: its owners report so, knowing that it
/// drains. If none reports, the longest time that a request may take has passed.
pub(crate) fn is_drained(state: &ClusterState, runner: &Runner, since: u64) -> bool {
    let Some(function) = state.functions.get(&runner.function) else {
        return true;
    };
    if runner.drain_update == 0 || has_requests_in_flight(state, runner) {
        return false;
    }
    if state.now >= since + longest_request_ms(state) {
        return true;
    }
    let reports = function.reports().iter();
    let current = reports.filter(|report| report.is_current(state.now));
    let mut acknowledged = current.map(|report| report.update_number() >= runner.drain_update);
    acknowledged
        .next()
        .is_some_and(|first| first && acknowledged.all(|is_acknowledged| is_acknowledged))
}
