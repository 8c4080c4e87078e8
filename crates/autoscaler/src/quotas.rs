//! Quotas: how many concurrent requests owners may send to each runner. Adjusting them is the design's fine-grained scaling
//! step, which comes before runners are started or stopped.

use crate::draining::drain;
use crate::function::Function;
use crate::runner::{DrainReason, Runner, RunnerState};
use crate::state::ClusterState;
use scaler::RunnerQuota;
use std::collections::BTreeSet;

/// Quotas that may be raised: those of runners that count as capacity or can resume serving.
pub(crate) fn growable(state: &ClusterState, function: &Function) -> Vec<RunnerQuota> {
    let can_grow = |_: u64, runner: &Runner| runner.counts_as_capacity() || runner.can_resume();
    select_quotas(state, function, can_grow)
}

/// Quotas that may be lowered: those of runners that count as capacity and are known to exist, except for the `kept` ones.
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
        // Zero-padded serials, so that ties are resolved by age.
        id: format!("{serial:020}"),
        quota: runner.quota,
        max_quota: runner.max_quota,
        seat_rate: state.seat_rate(runner),
    });
    runner_quotas.collect()
}

/// Applies the quotas in the given order. Returns whether any of them changed.
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

/// Sets the quota of one runner and returns whether it changed. A quota of zero drains the runner; a higher quota makes a
/// drained surplus runner resume serving.
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
