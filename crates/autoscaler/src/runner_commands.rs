//! Commands to the platform, and its responses.
//!
//! Within the platform's rate limit, starts with waiting requests are sent first, then stops, then other starts. A start
//! without a response is repeated with the same nonce, so that the platform does not start a second runner for it.

use crate::draining::{
    apply_evacuation, apply_worker_drain, has_requests_in_flight, withdraw_start,
};
use crate::platform::{RunnerCommand, StartError, StartedRunner};
use crate::runner::{Runner, RunnerState};
use crate::scaling_decision::{decide, decide_due};
use crate::start_queue::{QueuedStart, StartUrgency};
use crate::state::ClusterState;

/// Delay in milliseconds before the first retry of a start. It doubles with each retry.
const START_RETRY_MS: u64 = 250;
/// Maximum delay in milliseconds before a retry of a start.
const START_RETRY_MAX_MS: u64 = 4_000;
/// Number of failed attempts after which the delay no longer doubles.
const START_RETRY_DOUBLINGS: u32 = 5;
/// Delay in milliseconds before a stop is retried.
const STOP_RETRY_MS: u64 = 500;
/// Milliseconds for which starts of a function are paused after the platform responded that it does not know the function.
const REFUSED_PAUSE_MS: u64 = 5_000;

/// Takes the commands to send now.
pub(crate) fn take_commands(state: &mut ClusterState) -> Vec<RunnerCommand> {
    state.command_rate.refill(state.now);
    let mut commands = Vec::new();
    take_starts(state, StartUrgency::RequestsWaiting, &mut commands);
    take_stops(state, &mut commands);
    take_starts(state, StartUrgency::Proactive, &mut commands);
    commands
}

fn take_starts(state: &mut ClusterState, urgency: StartUrgency, commands: &mut Vec<RunnerCommand>) {
    for queued in state.start_queue.entries(urgency) {
        if !state.command_rate.has_token() {
            return;
        }
        commands.extend(take_start(state, queued));
    }
}

/// Takes the command of a queued start; `None` if it is not due yet or its worker no longer accepts starts.
fn take_start(state: &mut ClusterState, queued: QueuedStart) -> Option<RunnerCommand> {
    let serial = queued.serial;
    let runner = state.runners.get(serial);
    let Some((runner, not_before)) = runner.and_then(|runner| Some((runner, due_at(runner)?)))
    else {
        state.start_queue.remove(&queued);
        return None;
    };
    if state.now < not_before {
        return None;
    }
    let function = runner.function.clone();
    if !can_start(state, runner) {
        // The decision below starts a runner on another worker, with a new nonce.
        withdraw_start(state, serial);
        decide(state, &function);
        return None;
    }
    let command = RunnerCommand::Start {
        function,
        worker: runner.worker.clone(),
        nonce: runner.nonce.clone(),
    };
    state.runners.request_start(serial, state.now);
    state.start_queue.remove(&queued);
    state.command_rate.take();
    Some(command)
}

/// Time from which the start command may be sent; `None` if no start is pending.
fn due_at(runner: &Runner) -> Option<u64> {
    match runner.state {
        RunnerState::StartPending { not_before } => Some(not_before),
        _ => None,
    }
}

/// Whether a start may be sent to its worker. A repeated start ignores the pause that follows a start without room, because
/// its own memory may already be allocated.
fn can_start(state: &ClusterState, runner: &Runner) -> bool {
    let Some(worker) = state.workers.get(&runner.worker) else {
        return false;
    };
    if runner.start_requested_at.is_some() {
        return !state.workers.is_unschedulable(worker);
    }
    state.workers.accepts_starts(worker, state.now)
}

fn take_stops(state: &mut ClusterState, commands: &mut Vec<RunnerCommand>) {
    for serial in state.runners.ending() {
        if !state.command_rate.has_token() {
            return;
        }
        commands.extend(take_stop(state, serial));
    }
}

/// Takes the command of a stop that is due. A reachable runner with requests in flight is not stopped.
fn take_stop(state: &mut ClusterState, serial: u64) -> Option<RunnerCommand> {
    let runner = state.runners.get(serial)?;
    if !runner.is_unreachable && has_requests_in_flight(state, runner) {
        return None;
    }
    let RunnerState::StopPending { not_before } = runner.state else {
        return None;
    };
    if state.now < not_before {
        return None;
    }
    let id = runner.id.clone()?;
    log::info!(
        "scaler: runner stopping function={} runner={id}",
        runner.function
    );
    state.runners.request_stop(serial);
    state.command_rate.take();
    Some(RunnerCommand::Stop { id })
}

/// Handles the platform's response to a start. Responses to unknown nonces are ignored.
pub(crate) fn handle_start_result(
    state: &mut ClusterState,
    nonce: &str,
    result: Result<StartedRunner, StartError>,
) {
    let Some(serial) = state.runners.serial_of_nonce(nonce) else {
        return;
    };
    match result {
        Ok(started) => handle_started(state, serial, started),
        Err(error) => handle_start_error(state, serial, error),
    }
}

fn handle_started(state: &mut ClusterState, serial: u64, started: StartedRunner) {
    let StartedRunner { id, address } = started;
    let known = state.runners.serial_of_id(&id);
    if known.is_some_and(|other| other != serial) {
        // The runner was adopted from a list before the response arrived.
        state.forget_runner(serial);
        return;
    }
    let Some(runner) = state.runners.get(serial) else {
        return;
    };
    let is_awaited = matches!(
        runner.state,
        RunnerState::StartRequested
            | RunnerState::StartPending { .. }
            | RunnerState::StartUnconfirmed { .. }
    );
    if !is_awaited {
        return;
    }
    let (function, worker) = (&runner.function, &runner.worker);
    log::info!("scaler: runner starting function={function} runner={id} worker={worker}");
    state.runners.assign_id(serial, &id, address, state.now);
    state.start_queue.remove_runner(serial);
    state.set_runner_state(serial, RunnerState::Starting);
    apply_evacuation(state, serial);
    apply_worker_drain(state, serial);
    decide_due(state);
}

fn handle_start_error(state: &mut ClusterState, serial: u64, error: StartError) {
    let Some(runner) = state.runners.get(serial) else {
        return;
    };
    if runner.state != RunnerState::StartRequested {
        return;
    }
    let name = runner.function.clone();
    match error {
        StartError::NoRoom => {
            let worker = runner.worker.clone();
            log::info!("scaler: worker full function={name} worker={worker}");
            state.workers.pause_starts(&worker, state.now);
            state.runners.clear_start_request(serial);
            state.forget_runner(serial);
        }
        StartError::UnknownFunction => {
            log::warn!("scaler: function unknown function={name}");
            state.runners.clear_start_request(serial);
            state.forget_runner(serial);
            if let Some(function) = state.functions.get_mut(&name) {
                function.pause_starts(state.now + REFUSED_PAUSE_MS);
            }
            state.record_decision(&name, "start refused");
        }
        StartError::RateLimited | StartError::Unanswered => retry_start(state, serial, &name),
    }
    decide_due(state);
}

/// Queues the same start again, with the same nonce, after a delay.
fn retry_start(state: &mut ClusterState, serial: u64, name: &str) {
    let attempts = state.runners.count_failed_attempt(serial);
    let doublings = attempts.min(START_RETRY_DOUBLINGS).saturating_sub(1);
    let wait_ms = (START_RETRY_MS << doublings).min(START_RETRY_MAX_MS);
    state.runners.retry_start(serial, state.now + wait_ms);
    let function = state.functions.get(name);
    let is_waiting = function.is_some_and(|function| function.waiting(state.now) > 0);
    state.queue_start(serial, name, StartUrgency::for_waiting(is_waiting));
}

/// Handles the platform's response to a stop. `is_done` is true if the runner is stopped or unknown to the platform;
/// otherwise the stop is retried.
pub(crate) fn handle_stop_result(state: &mut ClusterState, id: &str, is_done: bool) {
    let Some(serial) = state.runners.serial_of_id(id) else {
        return;
    };
    if is_done {
        state.stopped_runners.record(id.to_owned(), state.now);
        state.forget_runner(serial);
        return;
    }
    let runner = state.runners.get(serial);
    if runner.is_some_and(|runner| runner.state == RunnerState::StopRequested) {
        state.runners.retry_stop(serial, state.now + STOP_RETRY_MS);
    }
}
