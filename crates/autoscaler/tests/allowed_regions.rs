//! Runners of functions whose routes are restricted to some regions are started only in these regions.

mod cluster;

use autoscaler::{Autoscaler, AutoscalerOptions, RunnerListing, WorkerListing};
use cluster::*;
use locality::Topology;
use routing::{Binding, RoutingConfiguration};

fn options() -> AutoscalerOptions {
    let zones = [("a", "north"), ("b", "south"), ("c", "west")];
    let regions = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    AutoscalerOptions {
        topology: Topology::new(regions.into()),
        ..cluster::options()
    }
}

fn workers() -> Vec<WorkerListing> {
    vec![
        worker_listing("w-a", "a", 1_000),
        worker_listing("w-b", "b", 1_000),
        worker_listing("w-c", "c", 1_000),
    ]
}

/// One function `f` that is not prewarmed, with one route for each list of regions.
fn routes(lists: &[&[&str]]) -> RoutingConfiguration {
    let mut configuration = configuration(&[("f", 9_000)]);
    let route = configuration.bindings.remove(0);
    for (index, regions) in lists.iter().enumerate() {
        configuration.bindings.push(Binding {
            name: format!("route-{index}"),
            allowed_regions: regions.iter().map(|region| (*region).to_owned()).collect(),
            ..route.clone()
        });
    }
    configuration
}

fn autoscaler(
    lists: &[&[&str]],
    workers: &[WorkerListing],
    runners: &[RunnerListing],
) -> Autoscaler {
    let mut autoscaler = Autoscaler::new(options(), 0);
    autoscaler.apply_configuration(0, &routes(lists));
    autoscaler.update_workers(0, workers.to_vec());
    autoscaler.update_runners(0, runners.to_vec());
    autoscaler.tick(0);
    autoscaler
}

/// Reports waiting requests from zone a until the given time. Returns the workers on which runners start.
fn started_on(autoscaler: &mut Autoscaler, waiting: u32, until: u64) -> Vec<String> {
    let mut workers = Vec::new();
    for now in (100..=until).step_by(100) {
        autoscaler.handle_report(
            now,
            OWNER,
            &function_report("f", u64::from(waiting), waiting),
        );
        autoscaler.tick(now);
        let commands = answer_starts(autoscaler, now);
        workers.extend(starts(&commands).into_iter().map(|start| start.worker));
    }
    workers
}

#[test]
fn a_runner_starts_in_an_allowed_region_and_not_in_the_callers_zone() {
    let mut autoscaler = autoscaler(&[&["south"]], &workers(), &[]);
    assert_eq!(started_on(&mut autoscaler, 1, 500), ["w-b"]);
}

#[test]
fn the_callers_zone_is_preferred_among_the_allowed_ones() {
    let mut autoscaler = autoscaler(&[&["south", "north"]], &workers(), &[]);
    assert_eq!(started_on(&mut autoscaler, 1, 500), ["w-a"]);
}

#[test]
fn no_runner_starts_elsewhere_if_the_allowed_region_is_full() {
    let mut full = workers();
    full[1].free_mb = 0;
    let mut autoscaler = autoscaler(&[&["south"]], &full, &[]);
    assert!(started_on(&mut autoscaler, 20, 3_000).is_empty());
}

#[test]
fn the_owner_is_notified_of_a_full_allowed_region_though_other_regions_have_room() {
    let mut full = workers();
    full[1].free_mb = 0;
    let mut autoscaler = autoscaler(&[&["south"]], &full, &[]);
    // The list of runners must be received at least twice the list lag after the start of the term.
    let listed_at = 2 * options().list_lag_ms + 100;
    autoscaler.update_runners(listed_at, Vec::new());
    autoscaler.handle_report(listed_at, OWNER, &function_report("f", 1, 1));
    autoscaler.tick(listed_at + 100);
    autoscaler.handle_report(listed_at + 200, OWNER, &function_report("f", 2, 2));
    let block = autoscaler.update_for("f", listed_at + 200).start_block;
    assert!(block.is_some_and(|block| block.earliest_ready_ms.is_none()));
}

#[test]
fn no_runner_starts_without_a_worker_in_an_allowed_region() {
    let mut autoscaler = autoscaler(&[&["east"]], &workers(), &[]);
    assert!(started_on(&mut autoscaler, 20, 3_000).is_empty());
}

#[test]
fn a_prewarmed_runner_is_placed_in_an_allowed_region() {
    let mut configuration = routes(&[&["west"]]);
    configuration.bindings[0].latency_target_ms = 100;
    let mut autoscaler = Autoscaler::new(options(), 0);
    autoscaler.apply_configuration(0, &configuration);
    autoscaler.update_workers(0, workers());
    autoscaler.update_runners(0, Vec::new());
    autoscaler.tick(0);
    let started: Vec<String> = starts(&autoscaler.take_commands())
        .into_iter()
        .map(|start| start.worker)
        .collect();
    assert_eq!(started, ["w-c"]);
}

#[test]
fn one_runner_serves_routes_whose_regions_overlap() {
    let lists: &[&[&str]] = &[&["north", "south"], &["south", "west"], &[]];
    let mut autoscaler = autoscaler(lists, &workers(), &[]);
    assert_eq!(started_on(&mut autoscaler, 1, 500), ["w-b"]);
}

#[test]
fn routes_whose_regions_do_not_overlap_get_a_runner_each() {
    let mut autoscaler = autoscaler(&[&["north"], &["south"]], &workers(), &[]);
    let mut started = started_on(&mut autoscaler, 1, 1_000);
    started.sort();
    assert_eq!(started, ["w-a", "w-b"]);
}

#[test]
fn a_runner_that_no_route_may_use_any_more_is_drained() {
    let runners = [
        runner_listing("r-a", "f", "w-a", "a"),
        runner_listing("r-b", "f", "w-b", "b"),
    ];
    let mut autoscaler = autoscaler(&[&[]], &workers(), &runners);
    for now in (100..1_000).step_by(100) {
        autoscaler.handle_report(now, OWNER, &function_report("f", now / 2, 0));
        autoscaler.tick(now);
    }
    autoscaler.apply_configuration(1_000, &routes(&[&["south"]]));
    autoscaler.handle_report(1_100, OWNER, &function_report("f", 600, 0));
    autoscaler.tick(1_100);
    let update = autoscaler.update_for("f", 1_100);
    assert_eq!(stage(&update, "r-a"), Some(protocol::RunnerStage::Draining));
    assert_eq!(stage(&update, "r-b"), Some(protocol::RunnerStage::Serving));
    // The runner resumes serving once a route may use it again.
    autoscaler.apply_configuration(1_200, &routes(&[&["north"]]));
    autoscaler.handle_report(1_300, OWNER, &function_report("f", 700, 0));
    autoscaler.tick(1_300);
    let update = autoscaler.update_for("f", 1_300);
    assert_eq!(stage(&update, "r-a"), Some(protocol::RunnerStage::Serving));
}

#[test]
fn a_route_gets_a_runner_in_its_region_in_addition_to_those_of_other_routes() {
    let runners = [runner_listing("r-a", "f", "w-a", "a")];
    let mut autoscaler = autoscaler(&[&[], &["south"]], &workers(), &runners);
    assert_eq!(started_on(&mut autoscaler, 1, 1_000), ["w-b"]);
    let update = autoscaler.update_for("f", 1_000);
    assert_eq!(stage(&update, "r-a"), Some(protocol::RunnerStage::Serving));
}

#[test]
fn the_full_region_of_one_route_does_not_block_other_routes() {
    let mut full = workers();
    full[1].free_mb = 0;
    let mut autoscaler = autoscaler(&[&[], &["south"]], &full, &[]);
    assert_eq!(started_on(&mut autoscaler, 1, 500), ["w-a"]);
}

#[test]
fn the_full_region_of_one_route_does_not_prevent_starts_for_the_others() {
    let mut full = workers();
    full[1].free_mb = 0;
    let runners = [runner_listing("r-a", "f", "w-a", "a")];
    let mut autoscaler = autoscaler(&[&[], &["south"]], &full, &runners);
    let started = started_on(&mut autoscaler, 200, 2_000);
    assert!(started.len() > 1, "{started:?}");
    assert!(started.iter().all(|worker| worker != "w-b"), "{started:?}");
}
