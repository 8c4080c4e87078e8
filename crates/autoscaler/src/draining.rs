//! Takes runners out of service without losing requests.
//!
//! A runner is drained before it is stopped: an update tells its owner to send it no new requests. It is stopped only once
//! the owner, having received that update, reports no requests in flight (docs/source.md, gap 3).

use crate::load::Load;
use crate::owner_reports::OwnerReport;
use crate::runner::{DrainReason, Runner, RunnerState};
use crate::state::ClusterState;

/// Milliseconds added to the longest request timeout to allow for the transmission of the request and of its report.
const TIMEOUT_SLACK_MS: u64 = 1_000;

/// Drains a runner: it receives no new requests and is stopped once none is in flight.
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
        // A start that was sent to the platform is reconsidered when its response arrives.
        _ => {}
    }
}

/// Withdraws a start. If the command has already been sent, the runner may exist and is tracked as an unconfirmed start.
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

/// Drains a runner whose zone is evacuated, and allows it to resume once the evacuation has ended.
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

/// Whether at least one route of the runner's function may use it.
pub(crate) fn is_in_allowed_region(state: &ClusterState, runner: &Runner) -> bool {
    let function = state.functions.get(&runner.function);
    function.is_none_or(|function| {
        let regions = &function.configuration().allowed_regions;
        regions.may_use(&state.options.topology, &runner.zone)
    })
}

/// Drains a runner that no route of its function may use, and allows it to resume once a route may use it again.
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

/// Marks a runner on a draining worker as terminating, because the platform terminates the runners of such a worker.
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

/// Marks a runner that the platform is about to terminate.
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

/// Milliseconds after which a request can no longer be in flight.
fn longest_request_ms(state: &ClusterState) -> u64 {
    state.functions.longest_timeout_ms() + TIMEOUT_SLACK_MS
}

/// Whether a recent report of an owner shows requests in flight at a runner. Reports older than the longest possible
/// request are ignored.
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

/// Whether no request is in flight at a runner that has been draining since `since`: all its owners have received the
/// update with its drain and report none in flight, or the longest possible request duration has passed.
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
