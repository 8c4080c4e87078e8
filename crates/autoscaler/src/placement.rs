//! Chooses the worker on which a runner is started.
//!
//! The design chooses the least-occupied used worker, then an unused one. Here the zone takes precedence over both: a zone
//! that calls the function and has no runner of it is preferred, and for a function without calls the emptiest zone.

use crate::function::Function;
use crate::memory_account::MemoryAccount;
use crate::state::ClusterState;
use crate::worker_capacity::Worker;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// Number of steps into which occupancy is divided. Workers within one step count as equally occupied, so that the spread
/// over zones decides between them.
const OCCUPANCY_STEPS: f64 = 10.0;

/// Ranks a worker for a start. The worker that compares lowest is chosen.
struct Fitness {
    is_outside_preferred_zone: bool,
    has_no_runners: bool,
    occupancy_step: u64,
    /// Number of runners of the function in the worker's zone.
    runners_in_zone: usize,
    occupancy: f64,
}

impl Fitness {
    fn compare(&self, other: &Self) -> Ordering {
        let key = |fitness: &Self| {
            (
                fitness.is_outside_preferred_zone,
                fitness.has_no_runners,
                fitness.occupancy_step,
                fitness.runners_in_zone,
            )
        };
        let by_occupancy = || self.occupancy.total_cmp(&other.occupancy);
        key(self).cmp(&key(other)).then_with(by_occupancy)
    }
}

/// Reason for starting a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StartPurpose {
    /// The load exceeds what the existing runners can serve.
    Load,
    /// A route may use none of the existing runners.
    UncoveredRoute,
    /// This region calls the function often enough for a runner of its own and has none.
    Region(String),
}

/// Chooses a worker for one more runner of a function; `None` if no worker has room.
pub(crate) fn choose_worker(
    state: &mut ClusterState,
    name: &str,
    purpose: &StartPurpose,
) -> Option<String> {
    refresh_accounts(state);
    let state = &*state;
    let function = state.functions.get(name)?;
    let runners_by_zone = runners_by_zone(state, function);
    let regions = match purpose {
        StartPurpose::Region(region) => vec![region.clone()],
        _ => allowed_regions(state, function, &runners_by_zone),
    };
    let chosen = best_worker(state, function, &runners_by_zone, &regions);
    // If the allowed regions of one route are full, runners for the load of unrestricted routes may still be placed anywhere.
    let configured = &function.configuration().allowed_regions;
    let may_go_anywhere = *purpose == StartPurpose::Load
        && configured.has_unrestricted_route()
        && !regions.is_empty();
    match chosen {
        None if may_go_anywhere => best_worker(state, function, &runners_by_zone, &[]),
        _ => chosen,
    }
}

/// The best worker in these regions for a runner of the function. An empty list allows all regions.
fn best_worker(
    state: &ClusterState,
    function: &Function,
    runners_by_zone: &BTreeMap<&str, usize>,
    allowed_regions: &[String],
) -> Option<String> {
    let is_allowed = |zone: &str| state.options.topology.allows(allowed_regions, zone);
    let preferred_zone = preferred_zone(state, function, runners_by_zone, &is_allowed);
    let mut best: Option<(Fitness, &str)> = None;
    for worker in state.workers.iter() {
        let listing = worker.listing();
        if !is_allowed(&listing.zone) {
            continue;
        }
        let Some(account) = state.runners.account(&listing.name) else {
            continue;
        };
        if !has_room(state, worker, account, function.configuration().memory_mb) {
            continue;
        }
        let zone = listing.zone.as_str();
        let occupancy = account.occupied_mb() / listing.memory_mb.max(1) as f64;
        let fitness = Fitness {
            is_outside_preferred_zone: preferred_zone.is_some_and(|preferred| preferred != zone),
            has_no_runners: state.runners.on_worker(&listing.name).next().is_none(),
            occupancy_step: (occupancy * OCCUPANCY_STEPS) as u64,
            runners_in_zone: runners_by_zone.get(zone).copied().unwrap_or(0),
            occupancy,
        };
        let is_better = |(other, _): &(Fitness, &str)| fitness.compare(other).is_lt();
        if best.as_ref().is_none_or(is_better) {
            best = Some((fitness, &listing.name));
        }
    }
    best.map(|(_, chosen_worker)| chosen_worker.to_owned())
}

/// Updates the memory accounts of all workers.
fn refresh_accounts(state: &mut ClusterState) {
    for worker in state.workers.iter() {
        let listed_until = state.workers.listed_until(worker);
        let name = &worker.listing().name;
        state.runners.refresh_account(name, listed_until);
    }
}

/// Whether a worker accepts starts and has enough free memory for a runner.
fn has_room(
    state: &ClusterState,
    worker: &Worker,
    account: &MemoryAccount,
    memory_mb: u64,
) -> bool {
    let workers = &state.workers;
    workers.accepts_starts(worker, state.now) && workers.free_mb(worker, account) >= memory_mb
}

/// Number of runners of a function that count as capacity, by zone.
fn runners_by_zone<'a>(
    state: &'a ClusterState,
    function: &'a Function,
) -> BTreeMap<&'a str, usize> {
    let mut by_zone = BTreeMap::new();
    for (_, runner) in state.runners_of(function) {
        if runner.counts_as_capacity() {
            *by_zone.entry(runner.zone.as_str()).or_default() += 1;
        }
    }
    by_zone
}

/// The regions in which the next runner of a function may be placed. Empty if every region is allowed.
fn allowed_regions(
    state: &ClusterState,
    function: &Function,
    runners_by_zone: &BTreeMap<&str, usize>,
) -> Vec<String> {
    let zones: Vec<&str> = runners_by_zone.keys().copied().collect();
    let regions = &function.configuration().allowed_regions;
    regions.for_next_runner(&state.options.topology, &zones)
}

/// The zone with the most calls among those that have no runner of the function; zones in regions without a runner come
/// first. If there are neither such calls nor runners, the emptiest zone.
fn preferred_zone<'a>(
    state: &'a ClusterState,
    function: &'a Function,
    runners_by_zone: &BTreeMap<&str, usize>,
    is_allowed: &impl Fn(&str) -> bool,
) -> Option<&'a str> {
    if !state.options.policy.prefers_callers_zone {
        return None;
    }
    let calls = function.arrivals().by_zone().iter();
    let unserved =
        calls.filter(|(zone, _)| is_allowed(zone) && !runners_by_zone.contains_key(zone.as_str()));
    let topology = &state.options.topology;
    let served_regions: BTreeSet<Option<&str>> = runners_by_zone
        .keys()
        .map(|zone| topology.region_of(zone))
        .collect();
    let is_unserved_region = |zone: &str| !served_regions.contains(&topology.region_of(zone));
    let busiest = unserved.max_by(|(one, count), (other, other_count)| {
        let by_region = is_unserved_region(one).cmp(&is_unserved_region(other));
        let by_count = by_region.then_with(|| count.total_cmp(other_count));
        by_count.then_with(|| other.cmp(one))
    });
    match busiest {
        Some((zone, _)) => Some(zone),
        None if runners_by_zone.is_empty() => emptiest_zone(state, is_allowed),
        None => None,
    }
}

/// The zone whose runners use the least memory. It spreads prewarmed runners that have not been called yet, so that the loss
/// of one worker or zone does not affect all of them.
fn emptiest_zone<'a>(
    state: &'a ClusterState,
    is_allowed: &impl Fn(&str) -> bool,
) -> Option<&'a str> {
    let mut used_mb_by_zone: BTreeMap<&str, u64> = BTreeMap::new();
    let workers = state.workers.iter();
    let open = workers.filter(|worker| state.workers.accepts_starts(worker, state.now));
    for worker in open.filter(|worker| is_allowed(&worker.listing().zone)) {
        let placed = state.runners.on_worker(&worker.listing().name);
        let memory_mb: u64 = placed.map(|(_, runner)| runner.memory_mb).sum();
        *used_mb_by_zone.entry(&worker.listing().zone).or_default() += memory_mb;
    }
    let emptiest = used_mb_by_zone
        .into_iter()
        .min_by_key(|(_, memory_mb)| *memory_mb);
    emptiest.map(|(zone, _)| zone)
}
