//! Eviction: drains idle runners of other functions when a function finds no worker with enough free memory.

use crate::draining::drain;
use crate::function::Function;
use crate::load::Load;
use crate::runner::{DrainReason, Runner, RunnerState};
use crate::state::ClusterState;
use std::collections::BTreeMap;

/// A runner that its function does not need. The derived order puts the longest idle first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SurplusRunner {
    /// Time at which it was last used.
    pub last_used_at: u64,
    /// Serial in the runner table.
    pub serial: u64,
}

/// Runners to drain on a worker, and the memory that would then be free on it.
struct Eviction {
    free_mb: u64,
    victims: Vec<u64>,
}

/// Drains surplus runners, the longest idle first, on the first worker where this frees enough memory.
pub(crate) fn evict_for(state: &mut ClusterState, name: &str) {
    let function = state.functions.get(name);
    let Some(function) = function.filter(|_| state.options.policy.evicts) else {
        return;
    };
    let configuration = function.configuration();
    let regions = &configuration.allowed_regions;
    let is_idle = |runner: &Runner| {
        let is_allowed = regions.may_use(&state.options.topology, &runner.zone);
        is_allowed && runner.evictable_at() <= state.now
    };
    let mut surplus = surplus_runners(state, name, configuration.priority, is_idle);
    surplus.sort_unstable();
    for serial in choose_victims(state, configuration.memory_mb, &surplus) {
        drain(state, serial, DrainReason::Surplus);
    }
}

/// Serials of the runners to drain; empty if no worker would get enough free memory or one already will.
fn choose_victims(state: &ClusterState, needed_mb: u64, surplus: &[SurplusRunner]) -> Vec<u64> {
    let mut evictions: BTreeMap<&str, Eviction> = BTreeMap::new();
    for candidate in surplus {
        let Some(runner) = state.runners.get(candidate.serial) else {
            continue;
        };
        let Some(worker) = state.workers.get(&runner.worker) else {
            continue;
        };
        if !state.workers.accepts_starts(worker, state.now) {
            continue;
        }
        let eviction = evictions.entry(&runner.worker).or_insert_with(|| Eviction {
            free_mb: state.free_mb(worker) + ending_mb(state, &runner.worker),
            victims: Vec::new(),
        });
        if eviction.free_mb >= needed_mb {
            // Runners that are already ending will free enough memory on this worker.
            return Vec::new();
        }
        eviction.free_mb += runner.memory_mb;
        eviction.victims.push(candidate.serial);
        if eviction.free_mb >= needed_mb {
            return std::mem::take(&mut eviction.victims);
        }
    }
    Vec::new()
}

/// Memory in megabytes of the runners on a worker that no longer count as capacity.
fn ending_mb(state: &ClusterState, worker: &str) -> u64 {
    let placed = state.runners.on_worker(worker);
    let ending = placed.filter(|(_, runner)| !runner.counts_as_capacity());
    ending.map(|(_, runner)| runner.memory_mb).sum()
}

/// Runners of other functions that are unused, not needed and accepted by the predicate. Functions with at least the same
/// priority keep the runners that their demand requires, and prewarmed functions keep one runner.
pub(crate) fn surplus_runners(
    state: &ClusterState,
    name: &str,
    priority: u8,
    accepts: impl Fn(&Runner) -> bool,
) -> Vec<SurplusRunner> {
    let mut surplus = Vec::new();
    let others = state.functions.active().iter();
    for other in others.filter(|other| *other != name) {
        let Some(function) = state.functions.get(other) else {
            continue;
        };
        let load = Load::of(state, function);
        let is_needed = load.waiting > 0 || load.demand > state.options.policy.beta * load.capacity;
        if is_needed && function.configuration().priority <= priority {
            continue;
        }
        let min_runners = usize::from(function.configuration().is_prewarmed());
        let runners = state.runners_of(function);
        let unused = runners.filter(|(_, runner)| is_unused(function, runner) && accepts(runner));
        let mut unused: Vec<SurplusRunner> = unused
            .map(|(serial, runner)| SurplusRunner {
                last_used_at: runner.last_used_at,
                serial,
            })
            .collect();
        unused.sort_unstable();
        unused.truncate(load.runners.saturating_sub(min_runners));
        surplus.extend(unused);
    }
    surplus
}

/// Whether the runner is serving and no owner's last report shows a request in flight at it.
fn is_unused(function: &Function, runner: &Runner) -> bool {
    let Some(id) = &runner.id else {
        return false;
    };
    runner.state == RunnerState::Serving && function.reports().in_flight(id) == 0
}
