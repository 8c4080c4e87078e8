//! Start blocks: a start block tells owners that a function has no runner and that no worker has room for one.
//!
//! The owner may then immediately reject requests that could not be served in time anyway. A start block is issued only if
//! the lists show that no runner exists. It is valid for a limited time and is renewed while it applies.

use crate::draining::is_in_allowed_region;
use crate::eviction::surplus_runners;
use crate::function::{CapacityShortage, Function};
use crate::memory_account::TimedMemory;
use crate::runner::{Runner, RunnerState};
use crate::state::ClusterState;
use crate::worker_capacity::Worker;
use protocol::StartBlock;
use std::collections::BTreeMap;

/// Milliseconds after which a start that found no room is retried.
pub(crate) const NO_ROOM_RETRY_MS: u64 = 1_000;
/// Milliseconds for which a start block is valid. It is renewed whenever the start is retried.
const VALIDITY_MS: u64 = 2 * NO_ROOM_RETRY_MS;
/// A start is assumed to take at least its usual time divided by this. Owners rely on this lower bound.
const MIN_START_TIME_DIVISOR: u64 = 2;

/// Records a shortage after a start of a function found no room, with the earliest time at which a worker may have room.
pub(crate) fn record_shortage(state: &mut ClusterState, name: &str) {
    let Some(function) = state.functions.get(name) else {
        return;
    };
    if !shows_all_starts(state) || may_have_runner(state, function) {
        clear_shortage(state, name);
        return;
    }
    let shortage = CapacityShortage {
        found_at: state.now,
        room_at: earliest_room_at(state, name, function),
    };
    if let Some(function) = state.functions.get_mut(name) {
        function.replace_shortage(Some(shortage));
        state.updates.mark_changed(name);
    }
}

/// Clears the shortage after a worker had room or because the function may have a runner.
pub(crate) fn clear_shortage(state: &mut ClusterState, name: &str) {
    let function = state.functions.get_mut(name);
    if function.is_some_and(|function| function.replace_shortage(None).is_some()) {
        state.updates.mark_changed(name);
    }
}

/// Resumes blocked starts after workers gained room. The most urgent priority is decided first.
pub(crate) fn retry_blocked_starts(state: &mut ClusterState) {
    for name in state.functions.active().clone() {
        let Some(function) = state.functions.get_mut(&name) else {
            continue;
        };
        if function.shortage().is_some() {
            function.resume_starts();
            state.functions.make_due(&name);
        }
    }
}

/// The start block of a function at time `now`; `None` if a start is possible or a runner may exist.
pub(crate) fn start_block(state: &ClusterState, name: &str, now: u64) -> Option<StartBlock> {
    let function = state.functions.get(name)?;
    let shortage = function.shortage()?;
    let expires_at = shortage.found_at + VALIDITY_MS;
    if now >= expires_at || may_have_runner(state, function) {
        return None;
    }
    let start_ms = function.configuration().start_ms;
    let ms_until = |at: u64| u32::try_from(at.saturating_sub(now)).unwrap_or(u32::MAX);
    let ready_after = |room_at: u64| ms_until(room_at + start_ms / MIN_START_TIME_DIVISOR);
    let retried_at = shortage
        .room_at
        .unwrap_or(shortage.found_at + NO_ROOM_RETRY_MS);
    Some(StartBlock {
        earliest_ready_ms: shortage.room_at.map(ready_after),
        retry_after_ms: ms_until(retried_at + start_ms),
        valid_ms: ms_until(expires_at),
    })
}

/// Whether the list of runners is recent enough to show everything that an earlier term started.
fn shows_all_starts(state: &ClusterState) -> bool {
    let since = state.created_at + 2 * state.options.list_lag_ms;
    state.runners_listed_at.is_some_and(|at| at >= since)
}

/// Whether a runner in an allowed region is serving, starting or able to resume, or may exist without being listed yet.
fn may_have_runner(state: &ClusterState, function: &Function) -> bool {
    state.runners_of(function).any(|(_, runner)| {
        let is_unconfirmed = matches!(runner.state, RunnerState::StartUnconfirmed { .. });
        let may_serve = runner.counts_as_capacity() || runner.can_resume() || is_unconfirmed;
        may_serve && is_in_allowed_region(state, runner)
    })
}

/// Earliest time at which any worker may have room; `None` if no known change would free enough memory.
fn earliest_room_at(state: &ClusterState, name: &str, function: &Function) -> Option<u64> {
    let configuration = function.configuration();
    let mut surplus = surplus_by_worker(state, name, configuration.priority);
    let workers = state.workers.iter();
    let regions = &configuration.allowed_regions;
    let usable = workers.filter(|worker| {
        let is_allowed = regions.may_use(&state.options.topology, &worker.listing().zone);
        is_allowed && !state.workers.is_unschedulable(worker)
    });
    let times = usable.filter_map(|worker| {
        let freeing = surplus.remove(worker.listing().name.as_str());
        earliest_room_on(
            state,
            worker,
            configuration.memory_mb,
            freeing.unwrap_or_default(),
        )
    });
    times.min()
}

/// Earliest time at which a worker may have this much free memory. `freeing` is memory that evictions may free; memory of
/// runners that are ending is added to it.
fn earliest_room_on(
    state: &ClusterState,
    worker: &Worker,
    memory_mb: u64,
    mut freeing: Vec<TimedMemory>,
) -> Option<u64> {
    let placed = state.runners.on_worker(&worker.listing().name);
    let ending = placed.filter(|(_, runner)| !runner.counts_as_capacity());
    freeing.extend(ending.map(|(_, runner)| TimedMemory {
        at: freed_at(state, runner),
        memory_mb: runner.memory_mb,
    }));
    freeing.sort_unstable();
    let mut free_mb = state.free_mb(worker);
    let mut room_at = state.now.max(worker.starts_paused_until());
    for next in freeing {
        if free_mb >= memory_mb {
            break;
        }
        free_mb += next.memory_mb;
        room_at = room_at.max(next.at);
    }
    (free_mb >= memory_mb).then_some(room_at)
}

/// Earliest time at which the memory of an ending runner may be free.
fn freed_at(state: &ClusterState, runner: &Runner) -> u64 {
    match runner.state {
        RunnerState::Unreachable { since } => since + state.options.unlisted_ms(),
        RunnerState::StartUnconfirmed { since } => {
            let start_ms = state.functions.start_ms(&runner.function);
            since + state.options.start_limit_ms(start_ms)
        }
        _ => state.now,
    }
}

/// Memory of surplus runners of other functions, by worker, each with the time from which the runner may be evicted.
fn surplus_by_worker<'a>(
    state: &'a ClusterState,
    name: &str,
    priority: u8,
) -> BTreeMap<&'a str, Vec<TimedMemory>> {
    let mut surplus: BTreeMap<&str, Vec<TimedMemory>> = BTreeMap::new();
    for found in surplus_runners(state, name, priority, |_| true) {
        let Some(runner) = state.runners.get(found.serial) else {
            continue;
        };
        surplus
            .entry(&runner.worker)
            .or_default()
            .push(TimedMemory {
                at: state.now.max(runner.evictable_at()),
                memory_mb: runner.memory_mb,
            });
    }
    surplus
}
