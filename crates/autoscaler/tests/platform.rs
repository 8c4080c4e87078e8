//! What the platform does: workers leave, answers fail, zones close, terms change.

mod cluster;

use autoscaler::{Autoscaler, AutoscalerOptions, StartError, WorkerListing};
use cluster::*;
use protocol::RunnerStage;
use std::collections::BTreeSet;

fn workers() -> Vec<WorkerListing> {
    vec![worker("w-1", "a", 1_000), worker("w-2", "b", 1_000)]
}

#[test]
fn runners_of_a_leaving_worker_drain_and_are_replaced() {
    let runners = [listed("r-1", "f", "w-1", "a")];
    let mut autoscaler = cluster(options(), &[("f", 500)], &workers(), &runners);
    autoscaler.take_updates();
    let mut listings = workers();
    listings[0].is_draining = true;
    autoscaler.update_workers(100, listings);
    let begun = starts(&serve(&mut autoscaler, 100));
    assert_eq!(begun.len(), 1);
    assert_eq!(begun[0].2, "w-2");
    let news = autoscaler.take_updates();
    assert_eq!(stage(&news[0], "r-1"), Some(RunnerStage::Draining));
    autoscaler.update_runners(5_000, vec![]);
    autoscaler.tick(5_000);
    assert!(
        autoscaler.take_commands().is_empty(),
        "the platform ends it by itself"
    );
    assert_eq!(stage(&autoscaler.update_for("f", 5_000), "r-1"), None);
}

#[test]
fn a_runner_that_is_listed_as_leaving_is_replaced() {
    let mut runners = vec![listed("r-1", "f", "w-1", "a")];
    let mut autoscaler = cluster(options(), &[("f", 500)], &workers(), &runners);
    runners[0].is_terminating = true;
    autoscaler.update_runners(100, runners);
    assert_eq!(starts(&serve(&mut autoscaler, 100)).len(), 1);
    let news = autoscaler.take_updates();
    assert_eq!(stage(&news[0], "r-1"), Some(RunnerStage::Draining));
}

#[test]
fn a_new_term_adopts_what_is_listed() {
    let mut autoscaler = Autoscaler::new(
        AutoscalerOptions {
            term: 7,
            ..options()
        },
        50_000,
    );
    autoscaler.apply_configuration(50_000, &description(&[("f", 500), ("g", 9_000)]));
    autoscaler.handle_report(50_000, KEEPER, &told("g", 1_000_000, 1));
    autoscaler.tick(50_100);
    assert!(
        autoscaler.take_commands().is_empty(),
        "it does not know the lists"
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
        listed("r-1", "f", "w-1", "a"),
        listed("r-2", "g", "w-1", "a"),
    ];
    autoscaler.update_runners(50_300, runners);
    autoscaler.handle_report(50_300, KEEPER, &told("g", 1_000_010, 0));
    autoscaler.tick(50_400);
    assert!(autoscaler.take_commands().is_empty());
    let news = autoscaler.take_updates();
    assert!(news
        .iter()
        .all(|news| news.version.term == 7 && news.version.number > 7 << 32));
    let f_news = news.iter().find(|news| news.function == "f").unwrap();
    assert_eq!(stage(f_news, "r-1"), Some(RunnerStage::Serving));
    assert_eq!(quotas(f_news), [4]);
}

#[test]
fn an_unanswered_start_is_repeated_under_its_nonce() {
    let mut autoscaler = cluster(options(), &[("f", 9_000)], &workers(), &[]);
    autoscaler.handle_report(0, KEEPER, &told("f", 1, 1));
    let first = starts(&autoscaler.take_commands());
    autoscaler.handle_start_result(500, &first[0].0, Err(StartError::Unanswered));
    autoscaler.handle_report(500, KEEPER, &told("f", 1, 1));
    assert!(autoscaler.take_commands().is_empty());
    autoscaler.tick(800);
    assert_eq!(starts(&autoscaler.take_commands()), first);
    autoscaler.handle_start_result(900, &first[0].0, Err(StartError::Busy));
    autoscaler.tick(2_000);
    assert_eq!(starts(&autoscaler.take_commands()), first);
    autoscaler.handle_start_result(2_000, &first[0].0, Ok(started("r-1", 1)));
    assert_eq!(
        stage(&autoscaler.update_for("f", 2_000), "r-1"),
        Some(RunnerStage::Starting)
    );
}

#[test]
fn a_start_without_room_goes_elsewhere() {
    let mut autoscaler = cluster(options(), &[("f", 9_000)], &workers(), &[]);
    autoscaler.handle_report(0, KEEPER, &told("f", 1, 1));
    let first = starts(&autoscaler.take_commands());
    assert_eq!(first[0].2, "w-1", "the callers' zone goes first");
    autoscaler.handle_start_result(100, &first[0].0, Err(StartError::NoRoom));
    let second = starts(&autoscaler.take_commands());
    assert_eq!(second[0].2, "w-2");
    assert_ne!(second[0].0, first[0].0);
}

#[test]
fn a_refused_start_is_left_alone_for_a_while() {
    let mut autoscaler = cluster(options(), &[("f", 9_000)], &workers(), &[]);
    autoscaler.handle_report(0, KEEPER, &told("f", 1, 1));
    let first = starts(&autoscaler.take_commands());
    autoscaler.handle_start_result(100, &first[0].0, Err(StartError::Refused));
    for now in (100..5_000).step_by(100) {
        autoscaler.handle_report(now, KEEPER, &told("f", 1, 1));
        autoscaler.tick(now);
        assert!(autoscaler.take_commands().is_empty());
    }
    autoscaler.handle_report(5_200, KEEPER, &told("f", 1, 1));
    assert_eq!(starts(&autoscaler.take_commands()).len(), 1);
}

#[test]
fn a_closed_zone_is_left() {
    let runners = [listed("r-1", "f", "w-1", "a")];
    let mut autoscaler = cluster(options(), &[("f", 500)], &workers(), &runners);
    autoscaler.take_updates();
    autoscaler.set_evacuated_zones(100, &BTreeSet::from(["a".to_owned()]));
    let begun = starts(&serve(&mut autoscaler, 100));
    assert_eq!(begun.len(), 1);
    assert_eq!(begun[0].2, "w-2");
    let news = autoscaler.take_updates().remove(0);
    assert_eq!(stage(&news, "r-1"), Some(RunnerStage::Draining));
    let drained = protocol::FunctionReport {
        update_number: news.version.number,
        runners: vec![held("r-1", 0)],
        ..told("f", 0, 0)
    };
    autoscaler.handle_report(200, KEEPER, &drained);
    autoscaler.tick(200);
    assert_eq!(stops(&autoscaler.take_commands()), ["r-1"]);
}

#[test]
fn a_function_that_is_described_no_more_ends() {
    let runners = [listed("r-1", "f", "w-1", "a")];
    let mut autoscaler = cluster(options(), &[("f", 500)], &workers(), &runners);
    autoscaler.apply_configuration(100, &description(&[("g", 9_000)]));
    autoscaler.tick(100);
    let news = autoscaler.take_updates();
    assert_eq!(stage(&news[0], "r-1"), Some(RunnerStage::Draining));
    autoscaler.tick(10_000);
    assert!(autoscaler.take_commands().is_empty());
    autoscaler.tick(11_200);
    assert_eq!(stops(&autoscaler.take_commands()), ["r-1"]);
}

#[test]
fn orders_keep_to_the_platforms_rate() {
    let options = AutoscalerOptions {
        commands_per_s: 10.0,
        ..options()
    };
    let names: Vec<String> = (0..200).map(|place| format!("f{place:03}")).collect();
    let functions: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 500)).collect();
    let listings = [worker("w-1", "a", 100_000)];
    let mut autoscaler = cluster(options, &functions, &listings, &[]);
    let mut given = Vec::new();
    for now in (0..20_000).step_by(50) {
        autoscaler.tick(now);
        given.extend(serve(&mut autoscaler, now).iter().map(|_| now));
    }
    let within = |from: u64| {
        given
            .iter()
            .filter(|at| (from..from + 1_000).contains(*at))
            .count()
    };
    assert!((0..19_000).step_by(50).all(|from| within(from) <= 10));
    assert!(
        (150..=162).contains(&given.len()),
        "{} in 20 s",
        given.len()
    );
}

#[test]
fn a_start_that_never_shows_is_stopped() {
    let mut autoscaler = cluster(options(), &[("f", 500)], &workers(), &[]);
    let begun = starts(&serve(&mut autoscaler, 0));
    autoscaler.update_runners(7_000, vec![]);
    autoscaler.tick(7_900);
    assert!(autoscaler.take_commands().is_empty());
    autoscaler.tick(8_100);
    autoscaler.tick(8_150);
    let orders = serve(&mut autoscaler, 8_150);
    assert_eq!(stops(&orders), [format!("r-{}", begun[0].0)]);
    assert_eq!(starts(&orders).len(), 1, "another is started");
}
