//! Adds runners. A start is placed and queued immediately, and commanded once the platform's rate limit allows it.

use crate::eviction::evict_for;
use crate::function::Function;
use crate::load::Load;
use crate::placement::{choose_worker, StartPurpose};
use crate::runner::{Runner, RunnerState, ServiceTime};
use crate::start_block::{clear_shortage, record_shortage, NO_ROOM_RETRY_MS};
use crate::start_queue::StartUrgency;
use crate::state::ClusterState;
use crate::worker_capacity::Worker;

/// Error returned if no worker has room for a runner of the function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoWorkerHasRoom;

/// Queues the start of one more runner of a function. If no worker has room and the purpose is load, idle runners of other
/// functions are evicted and the start is retried later.
pub(crate) fn add_start(
    state: &mut ClusterState,
    name: &str,
    purpose: &StartPurpose,
    urgency: StartUrgency,
) -> Result<(), NoWorkerHasRoom> {
    let Some(worker) = choose_worker(state, name, purpose) else {
        handle_no_room(state, name, purpose);
        return Err(NoWorkerHasRoom);
    };
    clear_shortage(state, name);
    let function = state.functions.get(name);
    let (Some(function), Some(worker)) = (function, state.workers.get(&worker)) else {
        return Err(NoWorkerHasRoom);
    };
    let runner = pending_runner(state, name, function, worker);
    log::info!(
        "scaler: start queued function={name} worker={} purpose={purpose:?} {}",
        runner.worker,
        Load::of(state, function)
    );
    let serial = state.add_runner(runner);
    state.queue_start(serial, name, urgency);
    state.record_decision(name, "one more runner");
    Ok(())
}

/// Handles a start for which no worker has room. A missing runner for one route or region does not pause starts for load.
fn handle_no_room(state: &mut ClusterState, name: &str, purpose: &StartPurpose) {
    match purpose {
        StartPurpose::Load => {
            pause_starts(state, name);
            evict_for(state, name);
            record_shortage(state, name);
        }
        StartPurpose::UncoveredRoute => pause_covering(state, name),
        StartPurpose::Region(_) => {}
    }
}

/// Pauses starts for uncovered routes until the retry time.
fn pause_covering(state: &mut ClusterState, name: &str) {
    let until = state.now + NO_ROOM_RETRY_MS;
    if let Some(function) = state.functions.get_mut(name) {
        function.pause_covering(until);
    }
}

/// A new runner on this worker whose start is pending.
fn pending_runner(
    state: &ClusterState,
    name: &str,
    function: &Function,
    worker: &Worker,
) -> Runner {
    let prefix = &state.options.nonce_prefix;
    let configuration = function.configuration();
    Runner {
        function: name.to_owned(),
        nonce: format!("{prefix}-{}", state.runners.next_serial()),
        id: None,
        address: String::new(),
        zone: worker.listing().zone.clone(),
        worker: worker.listing().name.clone(),
        memory_mb: configuration.memory_mb,
        quota: configuration.concurrency,
        max_quota: configuration.concurrency,
        capacity: u32::MAX,
        state: RunnerState::StartPending { not_before: 0 },
        start_requested_at: None,
        started_at: state.now,
        failed_attempts: 0,
        id_known_at: state.now,
        is_up: false,
        is_unreachable: false,
        was_listed: false,
        unlisted_since: None,
        drain_update: 0,
        last_used_at: state.now,
        service_time: ServiceTime::unmeasured(function.service_time_ms()),
    }
}

/// Pauses all starts of a function until the retry time.
fn pause_starts(state: &mut ClusterState, name: &str) {
    let until = state.now + NO_ROOM_RETRY_MS;
    if let Some(function) = state.functions.get_mut(name) {
        function.pause_starts(until);
    }
    state.record_decision(name, "no room");
}
