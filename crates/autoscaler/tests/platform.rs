//! Events of the platform: draining workers, failed starts, evacuated zones, rate limits and changes of the term.

mod cluster;

use autoscaler::{Autoscaler, AutoscalerOptions, StartError, WorkerListing};
use cluster::*;
use protocol::RunnerStage;
use std::collections::BTreeSet;

fn workers() -> Vec<WorkerListing> {
    vec![
        worker_listing("w-1", "a", 1_000),
        worker_listing("w-2", "b", 1_000),
    ]
}

#[test]
fn runners_of_a_draining_worker_drain_and_are_replaced() {
    let runners = [runner_listing("r-1", "f", "w-1", "a")];
    let mut autoscaler = autoscaler_with(options(), &[("f", 500)], &workers(), &runners);
    autoscaler.take_updates();
    let mut listings = workers();
    listings[0].is_draining = true;
    autoscaler.update_workers(100, listings);
    let commanded = starts(&answer_starts(&mut autoscaler, 100));
    assert_eq!(commanded.len(), 1);
    assert_eq!(commanded[0].worker, "w-2");
    let update = autoscaler.take_updates();
    assert_eq!(stage(&update[0], "r-1"), Some(RunnerStage::Draining));
    autoscaler.update_runners(5_000, vec![]);
    autoscaler.tick(5_000);
    assert!(
        autoscaler.take_commands().is_empty(),
        "the platform terminates the runner itself"
    );
    assert_eq!(stage(&autoscaler.update_for("f", 5_000), "r-1"), None);
}

#[test]
fn a_runner_that_is_listed_as_terminating_is_replaced() {
    let mut runners = vec![runner_listing("r-1", "f", "w-1", "a")];
    let mut autoscaler = autoscaler_with(options(), &[("f", 500)], &workers(), &runners);
    runners[0].is_terminating = true;
    autoscaler.update_runners(100, runners);
    assert_eq!(starts(&answer_starts(&mut autoscaler, 100)).len(), 1);
    let update = autoscaler.take_updates();
    assert_eq!(stage(&update[0], "r-1"), Some(RunnerStage::Draining));
}

#[test]
fn a_new_term_adopts_the_listed_runners() {
    let mut autoscaler = Autoscaler::new(
        AutoscalerOptions {
            term: 7,
            ..options()
        },
        50_000,
    );
    autoscaler.apply_configuration(50_000, &configuration(&[("f", 500), ("g", 9_000)]));
    autoscaler.handle_report(50_000, OWNER, &function_report("g", 1_000_000, 1));
    autoscaler.tick(50_100);
    assert!(
        autoscaler.take_commands().is_empty(),
        "the lists are not known yet"
    );
    assert!(autoscaler.take_updates().is_empty());
    assert_eq!(
        autoscaler.update_for("f", 50_100).version,
        protocol::UpdateVersion::default()
    );
    autoscaler.update_workers(50_200, workers());
    autoscaler.tick(50_200);
    assert!(autoscaler.take_commands().is_empty());
    let runners = vec![
        runner_listing("r-1", "f", "w-1", "a"),
        runner_listing("r-2", "g", "w-1", "a"),
    ];
    autoscaler.update_runners(50_300, runners);
    autoscaler.handle_report(50_300, OWNER, &function_report("g", 1_000_010, 0));
    autoscaler.tick(50_400);
    assert!(autoscaler.take_commands().is_empty());
    let update = autoscaler.take_updates();
    assert!(update
        .iter()
        .all(|update| update.version.term == 7 && update.version.number > 7 << 32));
    let update_of_f = update.iter().find(|update| update.function == "f").unwrap();
    assert_eq!(stage(update_of_f, "r-1"), Some(RunnerStage::Serving));
    assert_eq!(quotas(update_of_f), [4]);
}

#[test]
fn an_unanswered_start_is_retried_with_the_same_nonce() {
    let mut autoscaler = autoscaler_with(options(), &[("f", 9_000)], &workers(), &[]);
    autoscaler.handle_report(0, OWNER, &function_report("f", 1, 1));
    let first = starts(&autoscaler.take_commands());
    autoscaler.handle_start_result(500, &first[0].nonce, Err(StartError::Unanswered));
    autoscaler.handle_report(500, OWNER, &function_report("f", 1, 1));
    assert!(autoscaler.take_commands().is_empty());
    autoscaler.tick(800);
    assert_eq!(starts(&autoscaler.take_commands()), first);
    autoscaler.handle_start_result(900, &first[0].nonce, Err(StartError::RateLimited));
    autoscaler.tick(2_000);
    assert_eq!(starts(&autoscaler.take_commands()), first);
    autoscaler.handle_start_result(2_000, &first[0].nonce, Ok(started("r-1", 1)));
    assert_eq!(
        stage(&autoscaler.update_for("f", 2_000), "r-1"),
        Some(RunnerStage::Starting)
    );
}

#[test]
fn a_start_without_room_is_placed_on_another_worker() {
    let mut autoscaler = autoscaler_with(options(), &[("f", 9_000)], &workers(), &[]);
    autoscaler.handle_report(0, OWNER, &function_report("f", 1, 1));
    let first = starts(&autoscaler.take_commands());
    assert_eq!(first[0].worker, "w-1", "the callers' zone is preferred");
    autoscaler.handle_start_result(100, &first[0].nonce, Err(StartError::NoRoom));
    let second = starts(&autoscaler.take_commands());
    assert_eq!(second[0].worker, "w-2");
    assert_ne!(second[0].nonce, first[0].nonce);
}

#[test]
fn starts_of_an_unknown_function_are_paused() {
    let mut autoscaler = autoscaler_with(options(), &[("f", 9_000)], &workers(), &[]);
    autoscaler.handle_report(0, OWNER, &function_report("f", 1, 1));
    let first = starts(&autoscaler.take_commands());
    autoscaler.handle_start_result(100, &first[0].nonce, Err(StartError::UnknownFunction));
    for now in (100..5_000).step_by(100) {
        autoscaler.handle_report(now, OWNER, &function_report("f", 1, 1));
        autoscaler.tick(now);
        assert!(autoscaler.take_commands().is_empty());
    }
    autoscaler.handle_report(5_200, OWNER, &function_report("f", 1, 1));
    assert_eq!(starts(&autoscaler.take_commands()).len(), 1);
}

#[test]
fn runners_in_an_evacuated_zone_are_replaced_and_stopped() {
    let runners = [runner_listing("r-1", "f", "w-1", "a")];
    let mut autoscaler = autoscaler_with(options(), &[("f", 500)], &workers(), &runners);
    autoscaler.take_updates();
    autoscaler.set_evacuated_zones(100, &BTreeSet::from(["a".to_owned()]));
    let commanded = starts(&answer_starts(&mut autoscaler, 100));
    assert_eq!(commanded.len(), 1);
    assert_eq!(commanded[0].worker, "w-2");
    let update = autoscaler.take_updates().remove(0);
    assert_eq!(stage(&update, "r-1"), Some(RunnerStage::Draining));
    let drained = protocol::FunctionReport {
        update_number: update.version.number,
        runners: vec![runner_report("r-1", 0)],
        ..function_report("f", 0, 0)
    };
    autoscaler.handle_report(200, OWNER, &drained);
    autoscaler.tick(200);
    assert_eq!(stops(&autoscaler.take_commands()), ["r-1"]);
}

#[test]
fn runners_of_a_function_removed_from_the_configuration_are_stopped() {
    let runners = [runner_listing("r-1", "f", "w-1", "a")];
    let mut autoscaler = autoscaler_with(options(), &[("f", 500)], &workers(), &runners);
    autoscaler.apply_configuration(100, &configuration(&[("g", 9_000)]));
    autoscaler.tick(100);
    let update = autoscaler.take_updates();
    assert_eq!(stage(&update[0], "r-1"), Some(RunnerStage::Draining));
    autoscaler.tick(10_000);
    assert!(autoscaler.take_commands().is_empty());
    autoscaler.tick(11_200);
    assert_eq!(stops(&autoscaler.take_commands()), ["r-1"]);
}

#[test]
fn commands_stay_within_the_platforms_rate_limit() {
    let options = AutoscalerOptions {
        commands_per_s: 10.0,
        ..options()
    };
    let names: Vec<String> = (0..200).map(|index| format!("f{index:03}")).collect();
    let functions: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 500)).collect();
    let listings = [worker_listing("w-1", "a", 100_000)];
    let mut autoscaler = autoscaler_with(options, &functions, &listings, &[]);
    let mut commanded_at = Vec::new();
    for now in (0..20_000).step_by(50) {
        autoscaler.tick(now);
        commanded_at.extend(answer_starts(&mut autoscaler, now).iter().map(|_| now));
    }
    let within = |from: u64| {
        commanded_at
            .iter()
            .filter(|at| (from..from + 1_000).contains(*at))
            .count()
    };
    assert!((0..19_000).step_by(50).all(|from| within(from) <= 10));
    assert!(
        (150..=162).contains(&commanded_at.len()),
        "{} in 20 s",
        commanded_at.len()
    );
}

#[test]
fn a_runner_that_is_not_up_by_the_start_timeout_is_stopped_and_replaced() {
    let mut autoscaler = autoscaler_with(options(), &[("f", 500)], &workers(), &[]);
    let commanded = starts(&answer_starts(&mut autoscaler, 0));
    autoscaler.update_runners(7_000, vec![]);
    autoscaler.tick(7_900);
    assert!(autoscaler.take_commands().is_empty());
    autoscaler.tick(8_100);
    autoscaler.tick(8_150);
    let commands = answer_starts(&mut autoscaler, 8_150);
    assert_eq!(stops(&commands), [format!("r-{}", commanded[0].nonce)]);
    assert_eq!(starts(&commands).len(), 1, "another runner is started");
}
