//! Reconciles the state with the platform's lists of workers and runners.
//!
//! The lists are complete but lag behind the actual state. Unknown runners are adopted, whoever started them; this is how a
//! new term learns of runners that an earlier term started. A runner that was listed and has been missing for longer than
//! lists may lag is gone.

use crate::draining::{apply_evacuation, apply_worker_drain, mark_terminating, withdraw_start};
use crate::function_configuration::FunctionConfiguration;
use crate::platform::{RunnerListing, WorkerListing};
use crate::runner::{Runner, RunnerState, ServiceTime};
use crate::scaling_decision::decide_due;
use crate::start_block::retry_blocked_starts;
use crate::state::ClusterState;
use std::collections::HashSet;

/// Replaces the list of workers.
pub(crate) fn update_workers(state: &mut ClusterState, listings: Vec<WorkerListing>) {
    let is_first = !state.workers.has_list();
    let changes = state.workers.replace(listings, state.now);
    for worker in &changes.unlisted {
        handle_unlisted_worker(state, worker);
    }
    let draining = state.workers.draining();
    let placed = draining.flat_map(|worker| state.runners.on_worker(worker));
    let serials: Vec<u64> = placed.map(|(serial, _)| serial).collect();
    for serial in serials {
        apply_worker_drain(state, serial);
    }
    if changes.has_gained_room {
        retry_blocked_starts(state);
    }
    decide_after_listing(state, is_first);
}

/// Handles a worker that is no longer listed. It is down, so starts on it have failed. Whether its serving runners are gone
/// follows from owners' reports and the list of runners.
fn handle_unlisted_worker(state: &mut ClusterState, worker: &str) {
    let since = state.now;
    state.runners.forget_account(worker);
    let placed = state.runners.on_worker(worker);
    let placed: Vec<(u64, RunnerState)> = placed
        .map(|(serial, runner)| (serial, runner.state))
        .collect();
    for (serial, runner_state) in placed {
        match runner_state {
            RunnerState::StartPending { .. } => withdraw_start(state, serial),
            RunnerState::Starting => {
                state.set_runner_state(serial, RunnerState::Unreachable { since });
            }
            _ => {}
        }
    }
}

/// Reconciles the known runners with the platform's complete list.
pub(crate) fn update_runners(state: &mut ClusterState, listings: Vec<RunnerListing>) {
    let is_first = state.runners_listed_at.is_none();
    state.runners_listed_at = Some(state.now);
    let ids = listings.iter().map(|listing| listing.id.as_str());
    let listed: HashSet<&str> = ids.collect();
    for listing in &listings {
        match state.runners.serial_of_id(&listing.id) {
            Some(serial) => handle_known_runner(state, serial, listing),
            None => handle_unknown_runner(state, listing),
        }
    }
    forget_unlisted(state, &listed);
    decide_after_listing(state, is_first);
}

/// Makes the decisions that are due after a list was received, once both lists are known.
fn decide_after_listing(state: &mut ClusterState, is_first: bool) {
    if !state.has_lists() {
        return;
    }
    if is_first {
        // From now on updates are authoritative, including those for functions without runners.
        for name in state.functions.active().clone() {
            state.updates.mark_changed(&name);
            state.functions.make_due(&name);
        }
    }
    decide_due(state);
}

fn handle_known_runner(state: &mut ClusterState, serial: u64, listing: &RunnerListing) {
    let Some(runner_state) = state.runners.mark_listed(serial) else {
        return;
    };
    let now = state.now;
    match runner_state {
        RunnerState::Starting | RunnerState::Serving | RunnerState::Draining { .. }
            if listing.is_terminating =>
        {
            mark_terminating(state, serial);
        }
        RunnerState::Starting => {
            state.runners.mark_up(serial);
            state.set_runner_state(serial, RunnerState::Serving);
        }
        RunnerState::Unreachable { since } => {
            let is_kept = now >= since + state.options.unlisted_ms();
            if is_kept && !listing.is_terminating {
                state.set_runner_state(serial, RunnerState::STOP_NOW);
            }
        }
        _ => {}
    }
}

fn handle_unknown_runner(state: &mut ClusterState, listing: &RunnerListing) {
    if let Some(stopped_at) = state.stopped_runners.stopped_at(&listing.id) {
        handle_stopped_runner(state, listing, stopped_at);
        return;
    }
    replace_unconfirmed_start(state, listing);
    let serial = adopt(state, listing);
    if listing.is_terminating {
        mark_terminating(state, serial);
        return;
    }
    apply_evacuation(state, serial);
    apply_worker_drain(state, serial);
}

/// Handles a listed runner that has already been stopped. If it is still listed after lists have caught up and its drain
/// and requests must have ended, the stop failed and is repeated.
fn handle_stopped_runner(state: &mut ClusterState, listing: &RunnerListing, stopped_at: u64) {
    let options = &state.options;
    let longest_ms = state.functions.longest_timeout_ms();
    let limit_ms = options.unlisted_ms() + options.drain_ms + longest_ms;
    if listing.is_terminating || state.now < stopped_at + limit_ms {
        return;
    }
    state.stopped_runners.remove(&listing.id);
    let serial = adopt(state, listing);
    state.set_runner_state(serial, RunnerState::STOP_NOW);
}

/// Removes an unconfirmed start of the same function on the same worker, which probably resulted in the listed runner.
fn replace_unconfirmed_start(state: &mut ClusterState, listing: &RunnerListing) {
    let mut placed = state.runners.on_worker(&listing.worker);
    let unconfirmed = placed.find(|(_, runner)| {
        let is_unconfirmed = matches!(runner.state, RunnerState::StartUnconfirmed { .. });
        is_unconfirmed && runner.function == listing.function
    });
    let serial = unconfirmed.map(|(serial, _)| serial);
    drop(placed);
    if let Some(serial) = serial {
        state.forget_runner(serial);
    }
}

/// Adds a listed runner that this autoscaler did not start. Returns its serial.
fn adopt(state: &mut ClusterState, listing: &RunnerListing) -> u64 {
    let now = state.now;
    let name = listing.function.as_str();
    let capacity = listing.capacity.max(1);
    let unconfigured = FunctionConfiguration::unconfigured(capacity);
    let function = state.functions.get_or_insert(name, unconfigured);
    function.mark_busy(now);
    let configuration = function.configuration();
    let quota = listing.capacity.min(configuration.concurrency).max(1);
    let runner = Runner {
        function: name.to_owned(),
        nonce: String::new(),
        id: Some(listing.id.clone()),
        address: listing.address.clone(),
        zone: listing.zone.clone(),
        worker: listing.worker.clone(),
        memory_mb: configuration.memory_mb,
        quota,
        max_quota: quota,
        capacity,
        state: RunnerState::Serving,
        start_requested_at: None,
        started_at: now,
        failed_attempts: 0,
        id_known_at: now,
        is_up: true,
        is_unreachable: false,
        was_listed: true,
        unlisted_since: None,
        drain_update: 0,
        last_used_at: now,
        service_time: ServiceTime::unmeasured(function.service_time_ms()),
    };
    log::info!(
        "scaler: runner adopted function={} runner={:?}",
        runner.function,
        runner.id
    );
    state.updates.mark_changed(name);
    state.functions.make_due(name);
    state.add_runner(runner)
}

/// Removes runners that have been missing from the list for longer than it may lag.
fn forget_unlisted(state: &mut ClusterState, listed: &HashSet<&str>) {
    let unlisted_ms = state.options.unlisted_ms();
    let gone = state.runners.mark_unlisted(listed, unlisted_ms, state.now);
    for (serial, id) in gone {
        log::info!("scaler: runner gone runner={id}");
        // A stale list may still show it.
        state.stopped_runners.record(id, state.now);
        state.forget_runner(serial);
    }
    state
        .stopped_runners
        .forget_unlisted(listed, unlisted_ms, state.now);
}
