//! How many requests owners may send each runner at once: the design's fine-grained step, taken before runners start or
//! end.

use crate::draining::drain;
use crate::function::Function;
use crate::runner::{DrainReason, Runner, RunnerState};
use crate::state::ClusterState;
use scaler::RunnerQuota;
use std::collections::BTreeSet;

/// Runners whose quotas may rise: those that count as capacity, and those that can be revived.
pub(crate) fn growable(state: &ClusterState, function: &Function) -> Vec<RunnerQuota> {
    let can_grow = |_: u64, runner: &Runner| runner.counts_as_capacity() || runner.can_resume();
    select_quotas(state, function, can_grow)
}

/// Runners whose quotas may fall: those that count as capacity and are known to exist, but for some that are kept.
pub(crate) fn shrinkable(
    state: &ClusterState,
    function: &Function,
    kept: &BTreeSet<u64>,
) -> Vec<RunnerQuota> {
    let can_shrink = |serial: u64, runner: &Runner| {
        runner.counts_as_capacity() && runner.id.is_some() && !kept.contains(&serial)
    };
    select_quotas(state, function, can_shrink)
}

fn select_quotas(
    state: &ClusterState,
    function: &Function,
    accepts: impl Fn(u64, &Runner) -> bool,
) -> Vec<RunnerQuota> {
    let runners = state.runners_of(function);
    let accepted = runners.filter(|(serial, runner)| accepts(*serial, runner));
    let runner_quotas = accepted.map(|(serial, runner)| RunnerQuota {
        // The serials in equal lengths, so that ties go by age.
        id: format!("{serial:020}"),
        quota: runner.quota,
        most: runner.max_quota,
        seat_rate: state.seat_rate(runner),
    });
    runner_quotas.collect()
}

/// Applies the quotas in the given order. Returns whether any changed.
pub(crate) fn apply(state: &mut ClusterState, runner_quotas: &[RunnerQuota]) -> bool {
    let mut has_changed = false;
    for runner_quota in runner_quotas {
        let Ok(serial) = runner_quota.id.parse() else {
            continue;
        };
        has_changed |= set_quota(state, serial, runner_quota.quota);
    }
    has_changed
}

/// Sets one quota. A runner at zero drains; one that drained and gets a quota serves again.
pub(crate) fn set_quota(state: &mut ClusterState, serial: u64, quota: u32) -> bool {
    let Some(runner) = state.runners.get(serial) else {
        return false;
    };
    if runner.quota == quota {
        return false;
    }
    if quota == 0 {
        drain(state, serial, DrainReason::Surplus);
        return true;
    }
    state.updates.mark_changed(&runner.function);
    if runner.can_resume() {
        let resumed_state = if runner.is_up {
            RunnerState::Serving
        } else {
            RunnerState::Starting
        };
        state.set_runner_state(serial, resumed_state);
    }
    state.runners.set_quota(serial, quota);
    true
}
