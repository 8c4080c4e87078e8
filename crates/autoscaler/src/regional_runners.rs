//! Places runners close to their callers: a region whose calls fill enough of a runner's seats gets a runner of its own.
//!
//! If every region makes few calls, one runner can serve all of them. Once the calls of a region fill the configured share
//! of a runner, an additional runner costs less than the round trip of each call to another region.

use crate::function::Function;
use crate::runner::Runner;
use crate::state::ClusterState;
use std::collections::{BTreeMap, BTreeSet};

/// The busiest region that makes enough calls for a runner of its own and has none.
pub(crate) fn unserved_region(state: &ClusterState, function: &Function) -> Option<String> {
    let share = state.options.policy.region_share;
    let served = served_regions(state, function);
    let allowed = &function.configuration().allowed_regions;
    let busiest = busy_regions(state, function, share)
        .into_iter()
        .filter(|(region, _)| !served.contains_key(region) && allowed.may_use_region(region))
        .max_by(|(_, one), (_, other)| one.total_cmp(other));
    busiest.map(|(region, _)| region.to_owned())
}

/// Serials of the runners that are the only ones in a region that makes enough calls to keep one.
pub(crate) fn kept_runners(state: &ClusterState, function: &Function) -> BTreeSet<u64> {
    let policy = &state.options.policy;
    let share = policy.region_share * policy.region_kept_part;
    let served = served_regions(state, function);
    let busy = busy_regions(state, function, share).into_iter();
    let only = busy.filter_map(|(region, _)| match served.get(region)?.as_slice() {
        [serial] => Some(*serial),
        _ => None,
    });
    only.collect()
}

/// Regions whose calls fill at least this share of a runner's seats, with the number of seats that they fill.
fn busy_regions<'a>(
    state: &'a ClusterState,
    function: &'a Function,
    share: f64,
) -> Vec<(&'a str, f64)> {
    let topology = &state.options.topology;
    if share <= 0.0 || topology.regions().len() < 2 {
        return Vec::new();
    }
    let arrivals = function.arrivals();
    let counts = arrivals.by_zone();
    let total: f64 = counts.values().sum();
    let seats_in_use = function.expected_calls(state.now, function.service_time_ms());
    let mut seats: BTreeMap<&str, f64> = BTreeMap::new();
    for (zone, count) in counts {
        if let Some(region) = topology.region_of(zone) {
            *seats.entry(region).or_default() += seats_in_use * count / total;
        }
    }
    let needed = share * f64::from(function.configuration().concurrency);
    seats
        .into_iter()
        .filter(|(_, filled)| *filled >= needed)
        .collect()
}

/// Serials of the function's runners that count as capacity, by region.
fn served_regions<'a>(
    state: &'a ClusterState,
    function: &'a Function,
) -> BTreeMap<&'a str, Vec<u64>> {
    let mut served: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    let runners = state.runners_of(function);
    for (serial, runner) in runners.filter(|(_, runner)| runner.counts_as_capacity()) {
        if let Some(region) = region_of(state, runner) {
            served.entry(region).or_default().push(serial);
        }
    }
    served
}

fn region_of<'a>(state: &'a ClusterState, runner: &Runner) -> Option<&'a str> {
    state.options.topology.region_of(&runner.zone)
}
