//! Scaling decision for one function, following the design's Algorithm 1 (docs/source.md).
//!
//! - Demand above alpha times the capacity: quotas are raised, and runners are started for the remaining gap.
//! - Demand below beta times the capacity, after a cooldown: quotas are lowered, and runners whose quota reaches zero are
//!   drained.
//! - An idle function keeps no runner, unless a start takes longer than its latency target allows.

use crate::draining::drain;
use crate::function::Function;
use crate::load::Load;
use crate::placement::StartPurpose;
use crate::quotas;
use crate::regional_runners;
use crate::runner::DrainReason;
use crate::start_queue::StartUrgency;
use crate::starts::add_start;
use crate::state::ClusterState;
use scaler::{grow, shrink, RunnerQuota};

/// The number of runners is limited to what can serve this multiple of the demand.
const MAX_OVERPROVISIONING: f64 = 4.0;
/// Requests per second added to a surplus, so that rounding errors do not prevent a seat from being removed.
const ROUNDING_MARGIN: f64 = 1e-6;
/// Minimum length limit of the start queue for prewarmed runners. Their starts are added only while the queue is shorter
/// than the command rate per second or, if that is lower, than this.
const MIN_RUNNER_STARTS_QUEUED: f64 = 8.0;

/// Makes the scaling decisions for all functions that are due.
pub(crate) fn decide_due(state: &mut ClusterState) {
    for name in state.functions.take_due() {
        decide(state, &name);
    }
}

/// Makes the scaling decision for one function. Does nothing until the configuration and both lists are known.
pub(crate) fn decide(state: &mut ClusterState, name: &str) {
    if !state.has_lists() || !state.functions.is_configured() {
        return;
    }
    let Some(function) = state.functions.get(name) else {
        return;
    };
    if !function.configuration().is_configured {
        drain_all(state, name, DrainReason::FunctionRemoved);
        return;
    }
    let is_prewarmed = function.configuration().is_prewarmed();
    let has_recent_demand = function.has_recent_demand(state.now, &state.options);
    let load = Load::of(state, function);
    if load.waiting > 0 {
        expedite_starts(state, name);
    }
    if !is_prewarmed && !has_recent_demand {
        drain_all(state, name, DrainReason::Surplus);
        return;
    }
    if cover_routes(state, name, load) || cover_regions(state, name, load) {
        return;
    }
    if load.demand > state.options.policy.alpha * load.capacity {
        set_below_beta_since(state, name, None);
        scale_up(state, name, load);
    } else if load.demand < state.options.policy.beta * load.capacity {
        scale_down(state, name, load);
    } else {
        set_below_beta_since(state, name, None);
    }
    if is_prewarmed {
        ensure_min_runner(state, name);
    }
}

/// Starts a runner for a route that may use none of the existing ones. Returns whether one was started.
///
/// Owners do not report demand by route, so every route of a function with recent demand is assumed to be in use.
fn cover_routes(state: &mut ClusterState, name: &str, load: Load) -> bool {
    let Some(function) = state.functions.get(name) else {
        return false;
    };
    if load.runners == 0 || function.is_covering_paused(state.now) {
        return false;
    }
    let runners = state.runners_of(function);
    let capacity = runners.filter(|(_, runner)| runner.counts_as_capacity());
    let zones: Vec<&str> = capacity.map(|(_, runner)| runner.zone.as_str()).collect();
    let regions = &function.configuration().allowed_regions;
    if regions.are_covered(&state.options.topology, &zones) {
        return false;
    }
    let urgency = StartUrgency::for_waiting(load.waiting > 0);
    add_start(state, name, &StartPurpose::UncoveredRoute, urgency).is_ok()
}

/// Starts a runner in a region that makes enough calls for one of its own. Returns whether one was started.
fn cover_regions(state: &mut ClusterState, name: &str, load: Load) -> bool {
    let Some(function) = state.functions.get(name) else {
        return false;
    };
    if load.runners == 0 || function.is_start_paused(state.now) {
        return false;
    }
    let Some(region) = regional_runners::unserved_region(state, function) else {
        return false;
    };
    let purpose = StartPurpose::Region(region);
    add_start(state, name, &purpose, StartUrgency::Proactive).is_ok()
}

/// Moves the queued starts of a function ahead of those without waiting requests.
fn expedite_starts(state: &mut ClusterState, name: &str) {
    let Some(function) = state.functions.get(name) else {
        return;
    };
    let priority = function.configuration().priority;
    for &serial in function.runners() {
        state.start_queue.expedite(priority, serial);
    }
}

fn set_below_beta_since(state: &mut ClusterState, name: &str, since: Option<u64>) {
    if let Some(function) = state.functions.get_mut(name) {
        function.set_below_beta_since(since);
    }
}

/// Raises quotas up to the concurrency, then starts runners for the remaining gap.
fn scale_up(state: &mut ClusterState, name: &str, load: Load) {
    let Some(function) = state.functions.get(name) else {
        return;
    };
    let mut runner_quotas = quotas::growable(state, function);
    let gap = load.demand - state.options.policy.alpha * load.capacity;
    let remaining_gap = if state.options.policy.raises_quotas_first {
        grow(&mut runner_quotas, gap)
    } else {
        gap
    };
    if quotas::apply(state, &runner_quotas) {
        state.record_decision(name, "quotas up");
    }
    if remaining_gap <= 0.0 {
        return;
    }
    let urgency = StartUrgency::for_waiting(load.waiting > 0);
    for _ in 0..new_runners(state, name, load, remaining_gap) {
        if add_start(state, name, &StartPurpose::Load, urgency).is_err() {
            return;
        }
    }
}

/// Number of runners to start for the gap that remains after quotas were raised, in requests per second. `before` is the
/// load before that.
fn new_runners(state: &ClusterState, name: &str, before: Load, gap: f64) -> usize {
    let Some(function) = state.functions.get(name) else {
        return 0;
    };
    if function.is_start_paused(state.now) {
        return 0;
    }
    let load = Load::of(state, function);
    let concurrency = f64::from(function.configuration().concurrency);
    let seat_rate = 1_000.0 / function.service_time_ms().max(1.0);
    let runner_rate = concurrency * seat_rate;
    let runners_for = |rate: f64| (rate.max(0.0) / runner_rate).ceil() as usize;
    let runners_of_seats = |seats: u32| (f64::from(seats) / concurrency).ceil() as usize;
    let for_gap = runners_for(gap);
    let waiting_without_seat = before
        .waiting
        .saturating_sub(pending_seats(state, function));
    let for_waiting = runners_of_seats(waiting_without_seat);
    if load.runners == 0 && load.waiting > 0 {
        // A function without runners starts at most as many as its waiting requests need.
        return for_gap.min(for_waiting);
    }
    // However slow the responses are, each recent or current request needs at most one seat.
    let seats_needed = seats_needed(state, function, load);
    let for_rate = runners_for(load.rate() - state.options.policy.alpha * load.capacity)
        .min(runners_of_seats(seats_needed.saturating_sub(load.seats)));
    let max_runners = runners_for(MAX_OVERPROVISIONING * load.demand).max(1);
    let count = for_gap.min(for_waiting + for_rate);
    count.min(max_runners.saturating_sub(load.runners))
}

/// Number of seats sufficient for all waiting and in-flight requests and for all recent arrivals; at least one.
fn seats_needed(state: &ClusterState, function: &Function, load: Load) -> u32 {
    let recent = u32::try_from(function.arrivals().recent_count(state.now)).unwrap_or(u32::MAX);
    let present = load.waiting.saturating_add(load.in_flight);
    present.max(recent).max(1)
}

/// Sum of the quotas of runners that are not serving yet.
fn pending_seats(state: &ClusterState, function: &Function) -> u32 {
    let runners = state.runners_of(function);
    let pending = runners.filter(|(_, runner)| runner.is_pending());
    pending.map(|(_, runner)| runner.quota).sum()
}

/// Lowers quotas once the demand has been below beta for the cooldown. The full capacity of one runner is kept.
fn scale_down(state: &mut ClusterState, name: &str, load: Load) {
    let Some(function) = state.functions.get(name) else {
        return;
    };
    let since = function.below_beta_since().unwrap_or(state.now);
    let cooldown_ms = function.configuration().cooldown_ms(&state.options);
    set_below_beta_since(state, name, Some(since));
    if state.now < since + cooldown_ms {
        return;
    }
    let Some(function) = state.functions.get(name) else {
        return;
    };
    let kept = regional_runners::kept_runners(state, function);
    let mut runner_quotas = quotas::shrinkable(state, function, &kept);
    let full_capacity =
        |runner_quota: &RunnerQuota| f64::from(runner_quota.max_quota) * runner_quota.seat_rate;
    let min_capacity = runner_quotas.iter().map(full_capacity).fold(0.0, f64::max);
    let Some(fastest) = runner_quotas
        .iter()
        .map(|runner_quota| runner_quota.seat_rate)
        .max_by(f64::total_cmp)
    else {
        return;
    };
    let target_utilization = (state.options.policy.alpha + state.options.policy.beta) / 2.0;
    let needed = (load.demand / target_utilization).max(f64::from(load.in_flight) * fastest);
    let surplus = load.capacity - needed.max(min_capacity) + ROUNDING_MARGIN;
    if shrink(&mut runner_quotas, surplus) && quotas::apply(state, &runner_quotas) {
        set_below_beta_since(state, name, Some(state.now));
        state.record_decision(name, "quotas down");
    }
}

/// Drains all runners of a function that count as capacity.
fn drain_all(state: &mut ClusterState, name: &str, reason: DrainReason) {
    let Some(function) = state.functions.get(name) else {
        return;
    };
    let runners = state.runners_of(function);
    let capacity = runners.filter(|(_, runner)| runner.counts_as_capacity());
    let serials: Vec<u64> = capacity.map(|(serial, _)| serial).collect();
    if serials.is_empty() {
        return;
    }
    for serial in serials {
        drain(state, serial, reason);
    }
    state.record_decision(name, "none needed");
}

/// Keeps one runner of a prewarmed function: one whose start takes longer than its latency target allows.
fn ensure_min_runner(state: &mut ClusterState, name: &str) {
    let Some(function) = state.functions.get(name) else {
        return;
    };
    let has_capacity = state
        .runners_of(function)
        .any(|(_, runner)| runner.counts_as_capacity());
    if has_capacity {
        return;
    }
    let is_paused = function.is_start_paused(state.now);
    if let Some((serial, quota)) = resumable_runner(state, function) {
        quotas::set_quota(state, serial, quota);
        return;
    }
    let max_queued = state.options.commands_per_s.max(MIN_RUNNER_STARTS_QUEUED);
    let is_queue_full = state.start_queue.len() as f64 >= max_queued;
    if is_paused || is_queue_full {
        return;
    }
    // If no worker has room, starts are paused and retried later.
    let _ = add_start(state, name, &StartPurpose::Load, StartUrgency::Proactive);
}

/// The oldest runner that can resume serving, with its maximum quota.
fn resumable_runner(state: &ClusterState, function: &Function) -> Option<(u64, u32)> {
    let mut runners = state.runners_of(function);
    let found = runners.find(|(_, runner)| runner.can_resume());
    found.map(|(serial, runner)| (serial, runner.max_quota))
}
