//! The scaler by instances and functions.

use crate::meter::{live, print_fit, timed, Markdown};
use crate::synthetic_site;
use autoscaler::{Autoscaler, AutoscalerOptions, RunnerCommand, RunnerListing};
use protocol::{FunctionReport, RunnerReport, ZoneArrivals};

const ROUNDS: u64 = 5;
const STARTS: usize = 21;

pub fn run() {
    by_instances();
    by_functions();
    lists();
}

/// Options of a site that starts as much as the design size asks for.
pub fn options() -> AutoscalerOptions {
    AutoscalerOptions {
        commands_per_s: 1_000.0,
        ..AutoscalerOptions::default()
    }
}

fn report(function: usize, places: std::ops::Range<usize>, round: u64) -> FunctionReport {
    let runner = |place| RunnerReport {
        id: synthetic_site::instance_id(place),
        in_use: 1,
        succeeded: round * 2,
        total_duration_ms: round * 120,
        rejected: 0,
        is_up: true,
        is_gone: false,
    };
    let runners: Vec<RunnerReport> = places.map(runner).collect();
    let arrived = round * 2 * runners.len() as u64;
    let share = |zone: &&str| ZoneArrivals {
        zone: (*zone).to_string(),
        count: arrived / 5,
    };
    FunctionReport {
        function: synthetic_site::function_name(function),
        update_number: 1 << 32,
        arrivals: synthetic_site::ZONES.iter().map(share).collect(),
        waiting: 0,
        abandoned: 0,
        runners,
    }
}

struct Site {
    autoscaler: Autoscaler,
    listings: Vec<RunnerListing>,
    each: usize,
}

fn site(functions: usize, active: usize, instances: usize) -> Site {
    let mut autoscaler = Autoscaler::new(options(), 0);
    autoscaler.apply_configuration(0, &synthetic_site::configuration_of(functions));
    let workers = synthetic_site::workers(instances);
    let each = (instances / active).max(1);
    let listings = (0..instances)
        .map(|place| synthetic_site::listing(place, place / each % functions, &workers));
    let listings: Vec<RunnerListing> = listings.collect();
    autoscaler.update_workers(0, workers);
    autoscaler.update_runners(0, listings.clone());
    autoscaler.take_updates();
    Site {
        autoscaler,
        listings,
        each,
    }
}

fn by_instances() {
    let columns = [
        "instances (10 a function)",
        "ms a plain tick (50 ms)",
        "ms a tick with the look (250 ms)",
        "ms a list of instances",
        "us an instance reported",
        "us a command to start",
        "MB",
    ];
    let table = Markdown::head(
        "The scaler by instances, 21,000 functions described",
        &columns,
    );
    let mut points: [Vec<(f64, f64)>; 5] = Default::default();
    for instances in [500, 5_000, 20_000, 61_000] {
        let before = live();
        let mut site = site(21_000, instances / 10, instances);
        let held = (live() - before) as f64 / 1e6;
        let (mut plain, mut look, mut list, mut notified) = (0, 0, 0, 0);
        let mut now = 0;
        for round in 1..=ROUNDS {
            now += 250;
            for function in 0..instances / site.each {
                let places = function * site.each..(function + 1) * site.each;
                let report = report(function, places, round);
                timed(&mut notified, || {
                    site.autoscaler.handle_report(now, "edge-0001", &report)
                });
            }
            timed(&mut look, || site.autoscaler.tick(now));
            now += 50;
            timed(&mut plain, || site.autoscaler.tick(now));
            let listings = site.listings.clone();
            timed(&mut list, || site.autoscaler.update_runners(now, listings));
            site.autoscaler.take_updates();
        }
        let place = start_ns(&mut site.autoscaler, now);
        let size = instances as f64;
        let of = |sum: u64| sum as f64 / ROUNDS as f64;
        let notified = of(notified) / 1e3 / size;
        let row = [
            of(plain) / 1e6,
            of(look) / 1e6,
            of(list) / 1e6,
            place / 1e3,
            held,
        ];
        for (points, value) in points.iter_mut().zip(row) {
            points.push((size, value));
        }
        table.row(&[size, row[0], row[1], row[2], notified, row[3], row[4]]);
    }
    let names = [
        "ms a plain tick",
        "ms a look",
        "ms a list",
        "us a start",
        "MB",
    ];
    for (name, points) in names.iter().zip(&points) {
        print_fit(name, "instances", points);
    }
}

/// Rare functions without an instance are called one after the other: the middle one's time until its start is
/// ordered.
fn start_ns(autoscaler: &mut Autoscaler, now: u64) -> f64 {
    let mut spent: Vec<u64> = (0..STARTS)
        .map(|start| {
            let asked = FunctionReport {
                function: synthetic_site::function_name(20_000 + start),
                arrivals: vec![ZoneArrivals {
                    zone: "north-a".to_string(),
                    count: 1,
                }],
                waiting: 1,
                ..FunctionReport::default()
            };
            let mut sum = 0;
            let commands = timed(&mut sum, || {
                autoscaler.handle_report(now + start as u64, "edge-0002", &asked);
                autoscaler.take_commands()
            });
            let is_start = |command: &RunnerCommand| matches!(command, RunnerCommand::Start { .. });
            assert!(
                commands.iter().any(is_start),
                "a start is commanded: {commands:?}"
            );
            sum
        })
        .collect();
    spent.sort_unstable();
    spent[STARTS / 2] as f64
}

fn by_functions() {
    let columns = [
        "functions described",
        "ms to describe",
        "MB, no instance",
        "ms a look",
    ];
    let table = Markdown::head("The scaler by functions, none active", &columns);
    for functions in [200, 2_000, 21_000] {
        let configuration_of = synthetic_site::configuration_of(functions);
        let before = live();
        let mut autoscaler = Autoscaler::new(options(), 0);
        autoscaler.apply_configuration(0, &configuration_of);
        let held = (live() - before) as f64 / 1e6;
        autoscaler.update_workers(0, synthetic_site::workers(500));
        autoscaler.update_runners(0, Vec::new());
        let (mut again, mut look) = (0, 0);
        for round in 1..=ROUNDS {
            timed(&mut again, || {
                autoscaler.apply_configuration(round * 250, &configuration_of)
            });
            timed(&mut look, || autoscaler.tick(round * 250));
        }
        let of = |sum: u64| sum as f64 / ROUNDS as f64 / 1e6;
        table.row(&[functions as f64, of(again), held, of(look)]);
    }
}

fn lists() {
    let columns = ["instances", "MB of the list", "ms to read it"];
    let table = Markdown::head(
        "The platform's list of instances (`platform::read_instances`)",
        &columns,
    );
    let mut points = Vec::new();
    for instances in [500, 5_000, 20_000, 61_000] {
        let workers = synthetic_site::workers(instances);
        let listings =
            (0..instances).map(|place| synthetic_site::listing(place, place / 10, &workers));
        let body = synthetic_site::list_body(&listings.collect::<Vec<_>>());
        let mut sum = 0;
        for _ in 0..ROUNDS {
            let _ = timed(&mut sum, || platform::read_instances(&body));
        }
        let ms = sum as f64 / ROUNDS as f64 / 1e6;
        points.push((instances as f64, ms));
        table.row(&[instances as f64, body.len() as f64 / 1e6, ms]);
    }
    print_fit("ms to read a list", "instances", &points);
}
