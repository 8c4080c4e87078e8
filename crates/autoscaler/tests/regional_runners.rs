//! A region whose calls fill the configured share of a runner's seats gets a runner of its own and keeps it while they do.

mod cluster;

use autoscaler::{Autoscaler, AutoscalerOptions, RunnerCommand, RunnerListing};
use cluster::*;
use locality::Topology;
use policy::ScalingPolicy;
use protocol::{FunctionReport, RunnerStage, ZoneArrivals};

fn options(region_share: f64) -> AutoscalerOptions {
    let zones = [("a", "north"), ("b", "south")];
    let regions = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    AutoscalerOptions {
        policy: ScalingPolicy {
            region_share,
            ..ScalingPolicy::default()
        },
        topology: Topology::new(regions.into()),
        ..cluster::options()
    }
}

/// An autoscaler with one runner of the function, in the region `north`.
fn autoscaler(region_share: f64) -> Autoscaler {
    let workers = [
        worker_listing("w-a", "a", 1_000),
        worker_listing("w-b", "b", 1_000),
    ];
    let runners: [RunnerListing; 1] = [runner_listing("r-a", "f", "w-a", "a")];
    autoscaler_with(options(region_share), &[("f", 100)], &workers, &runners)
}

/// Reports calls from the two zones at constant rates for a period. Returns the commands.
fn report_calls(
    autoscaler: &mut Autoscaler,
    (from, until): (u64, u64),
    (a_per_s, b_per_s): (u64, u64),
    counts: &mut (u64, u64),
) -> Vec<RunnerCommand> {
    let mut commands = Vec::new();
    for now in (from..until).step_by(100) {
        counts.0 += a_per_s / 10;
        counts.1 += b_per_s / 10;
        let arrivals = [("a", counts.0), ("b", counts.1)];
        let arrivals = arrivals.map(|(zone, count)| ZoneArrivals {
            zone: zone.to_owned(),
            count,
        });
        let report = FunctionReport {
            function: "f".to_owned(),
            arrivals: arrivals.to_vec(),
            ..FunctionReport::default()
        };
        autoscaler.handle_report(now, OWNER, &report);
        autoscaler.tick(now);
        commands.extend(answer_starts(autoscaler, now));
    }
    commands
}

// A service time of 60 ms is assumed until it is measured, and a runner has four seats: 20 calls per second fill 1.2 seats.

#[test]
fn a_region_that_calls_enough_gets_a_runner() {
    let mut autoscaler = autoscaler(0.2);
    let commands = report_calls(&mut autoscaler, (100, 5_000), (20, 20), &mut (0, 0));
    let workers: Vec<String> = starts(&commands)
        .into_iter()
        .map(|one| one.worker)
        .collect();
    assert_eq!(workers, ["w-b"]);
}

#[test]
fn a_region_that_calls_little_is_served_from_another_region() {
    let mut autoscaler = autoscaler(0.2);
    let commands = report_calls(&mut autoscaler, (100, 9_000), (30, 10), &mut (0, 0));
    assert!(starts(&commands).is_empty());
}

#[test]
fn no_region_gets_a_runner_if_the_share_is_zero() {
    let mut autoscaler = autoscaler(0.0);
    let commands = report_calls(&mut autoscaler, (100, 9_000), (20, 20), &mut (0, 0));
    assert!(starts(&commands).is_empty());
}

#[test]
fn a_region_keeps_its_runner_while_it_calls_enough_and_loses_it_afterwards() {
    let mut autoscaler = autoscaler(0.2);
    let mut counts = (0, 0);
    let commands = report_calls(&mut autoscaler, (100, 5_000), (20, 20), &mut counts);
    let id = format!("r-{}", starts(&commands)[0].nonce);
    let stage_of = |autoscaler: &Autoscaler, now| stage(&autoscaler.update_for("f", now), &id);
    // Both runners are barely used: the demand stays below beta for longer than the cooldown.
    report_calls(&mut autoscaler, (5_000, 20_000), (20, 20), &mut counts);
    assert_ne!(stage_of(&autoscaler, 20_000), Some(RunnerStage::Draining));
    report_calls(&mut autoscaler, (20_000, 60_000), (20, 0), &mut counts);
    let after = stage_of(&autoscaler, 60_000);
    assert!(
        matches!(after, None | Some(RunnerStage::Draining)),
        "{after:?}"
    );
}

#[test]
fn a_full_region_evicts_no_runner_and_pauses_no_start() {
    let mut full = worker_listing("w-b", "b", 100);
    full.free_mb = 0;
    let workers = [worker_listing("w-a", "a", 1_000), full];
    let runners = [
        runner_listing("r-a", "f", "w-a", "a"),
        runner_listing("r-g", "g", "w-b", "b"),
    ];
    let functions = [("f", 100), ("g", 9_000)];
    let mut autoscaler = autoscaler_with(options(0.2), &functions, &workers, &runners);
    let mut counts = (0, 0);
    let commands = report_calls(&mut autoscaler, (100, 2_400), (20, 20), &mut counts);
    assert!(starts(&commands).is_empty());
    let other = autoscaler.update_for("g", 2_400);
    assert_eq!(stage(&other, "r-g"), Some(RunnerStage::Serving));
    // Load that exceeds the capacity of the only runner starts another one without delay.
    let commands = report_calls(&mut autoscaler, (2_400, 3_400), (200, 20), &mut counts);
    let workers: Vec<String> = starts(&commands)
        .into_iter()
        .map(|one| one.worker)
        .collect();
    assert!(!workers.is_empty() && workers.iter().all(|worker| worker == "w-a"));
}
