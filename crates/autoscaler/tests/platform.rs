//! What the platform does: workers leave, answers fail, districts close, terms change.

mod town;

use autoscaler::{Launcher, Options, StartFault, WorkerSight};
use protocol::RunnerStage;
use std::collections::BTreeSet;
use town::*;

fn workers() -> Vec<WorkerSight> {
    vec![worker("w-1", "a", 1_000), worker("w-2", "b", 1_000)]
}

#[test]
fn runners_of_a_leaving_worker_drain_and_are_replaced() {
    let runners = [listed("r-1", "f", "w-1", "a")];
    let mut launcher = town(options(), &[("f", 500)], &workers(), &runners);
    launcher.news();
    let mut sights = workers();
    sights[0].is_leaving = true;
    launcher.see_workers(100, sights);
    let begun = starts(&serve(&mut launcher, 100));
    assert_eq!(begun.len(), 1);
    assert_eq!(begun[0].2, "w-2");
    let news = launcher.news();
    assert_eq!(stage(&news[0], "r-1"), Some(RunnerStage::Draining));
    launcher.see_runners(5_000, vec![]);
    launcher.tick(5_000);
    assert!(
        launcher.orders().is_empty(),
        "the platform ends it by itself"
    );
    assert_eq!(stage(&launcher.news_of("f", 5_000), "r-1"), None);
}

#[test]
fn a_runner_that_is_listed_as_leaving_is_replaced() {
    let mut runners = vec![listed("r-1", "f", "w-1", "a")];
    let mut launcher = town(options(), &[("f", 500)], &workers(), &runners);
    runners[0].is_leaving = true;
    launcher.see_runners(100, runners);
    assert_eq!(starts(&serve(&mut launcher, 100)).len(), 1);
    let news = launcher.news();
    assert_eq!(stage(&news[0], "r-1"), Some(RunnerStage::Draining));
}

#[test]
fn a_new_term_adopts_what_is_listed() {
    let mut launcher = Launcher::new(
        Options {
            term: 7,
            ..options()
        },
        50_000,
    );
    launcher.describe(50_000, &description(&[("f", 500), ("g", 9_000)]));
    launcher.report(50_000, KEEPER, &told("g", 1_000_000, 1));
    launcher.tick(50_100);
    assert!(launcher.orders().is_empty(), "it does not know the lists");
    assert!(launcher.news().is_empty());
    assert_eq!(launcher.news_of("f", 50_100).mark, (0, 0));
    launcher.see_workers(50_200, workers());
    launcher.tick(50_200);
    assert!(launcher.orders().is_empty());
    let runners = vec![
        listed("r-1", "f", "w-1", "a"),
        listed("r-2", "g", "w-1", "a"),
    ];
    launcher.see_runners(50_300, runners);
    launcher.report(50_300, KEEPER, &told("g", 1_000_010, 0));
    launcher.tick(50_400);
    assert!(launcher.orders().is_empty());
    let news = launcher.news();
    assert!(news
        .iter()
        .all(|news| news.mark.0 == 7 && news.mark.1 > 7 << 32));
    let f_news = news.iter().find(|news| news.function == "f").unwrap();
    assert_eq!(stage(f_news, "r-1"), Some(RunnerStage::Serving));
    assert_eq!(quotas(f_news), [4]);
}

#[test]
fn an_unanswered_start_is_repeated_under_its_nonce() {
    let mut launcher = town(options(), &[("f", 9_000)], &workers(), &[]);
    launcher.report(0, KEEPER, &told("f", 1, 1));
    let first = starts(&launcher.orders());
    launcher.started(500, &first[0].0, Err(StartFault::Unanswered));
    launcher.report(500, KEEPER, &told("f", 1, 1));
    assert!(launcher.orders().is_empty());
    launcher.tick(800);
    assert_eq!(starts(&launcher.orders()), first);
    launcher.started(900, &first[0].0, Err(StartFault::Busy));
    launcher.tick(2_000);
    assert_eq!(starts(&launcher.orders()), first);
    launcher.started(
        2_000,
        &first[0].0,
        Ok(("r-1".to_owned(), "r-1:1".to_owned())),
    );
    assert_eq!(
        stage(&launcher.news_of("f", 2_000), "r-1"),
        Some(RunnerStage::Starting)
    );
}

#[test]
fn a_start_without_room_goes_elsewhere() {
    let mut launcher = town(options(), &[("f", 9_000)], &workers(), &[]);
    launcher.report(0, KEEPER, &told("f", 1, 1));
    let first = starts(&launcher.orders());
    assert_eq!(first[0].2, "w-1", "the callers' district goes first");
    launcher.started(100, &first[0].0, Err(StartFault::NoRoom));
    let second = starts(&launcher.orders());
    assert_eq!(second[0].2, "w-2");
    assert_ne!(second[0].0, first[0].0);
}

#[test]
fn a_refused_start_is_left_alone_for_a_while() {
    let mut launcher = town(options(), &[("f", 9_000)], &workers(), &[]);
    launcher.report(0, KEEPER, &told("f", 1, 1));
    let first = starts(&launcher.orders());
    launcher.started(100, &first[0].0, Err(StartFault::Refused));
    for now in (100..5_000).step_by(100) {
        launcher.report(now, KEEPER, &told("f", 1, 1));
        launcher.tick(now);
        assert!(launcher.orders().is_empty());
    }
    launcher.report(5_200, KEEPER, &told("f", 1, 1));
    assert_eq!(starts(&launcher.orders()).len(), 1);
}

#[test]
fn a_closed_district_is_left() {
    let runners = [listed("r-1", "f", "w-1", "a")];
    let mut launcher = town(options(), &[("f", 500)], &workers(), &runners);
    launcher.news();
    launcher.close_districts(100, &BTreeSet::from(["a".to_owned()]));
    let begun = starts(&serve(&mut launcher, 100));
    assert_eq!(begun.len(), 1);
    assert_eq!(begun[0].2, "w-2");
    let news = launcher.news().remove(0);
    assert_eq!(stage(&news, "r-1"), Some(RunnerStage::Draining));
    let drained = protocol::FunctionReport {
        news: news.mark.1,
        runners: vec![held("r-1", 0)],
        ..told("f", 0, 0)
    };
    launcher.report(200, KEEPER, &drained);
    launcher.tick(200);
    assert_eq!(stops(&launcher.orders()), ["r-1"]);
}

#[test]
fn a_function_that_is_described_no_more_ends() {
    let runners = [listed("r-1", "f", "w-1", "a")];
    let mut launcher = town(options(), &[("f", 500)], &workers(), &runners);
    launcher.describe(100, &description(&[("g", 9_000)]));
    launcher.tick(100);
    let news = launcher.news();
    assert_eq!(stage(&news[0], "r-1"), Some(RunnerStage::Draining));
    launcher.tick(10_000);
    assert!(launcher.orders().is_empty());
    launcher.tick(11_200);
    assert_eq!(stops(&launcher.orders()), ["r-1"]);
}

#[test]
fn orders_keep_to_the_platforms_rate() {
    let options = Options {
        starts_per_s: 10.0,
        ..options()
    };
    let names: Vec<String> = (0..200).map(|place| format!("f{place:03}")).collect();
    let functions: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 500)).collect();
    let sights = [worker("w-1", "a", 100_000)];
    let mut launcher = town(options, &functions, &sights, &[]);
    let mut given = Vec::new();
    for now in (0..20_000).step_by(50) {
        launcher.tick(now);
        given.extend(serve(&mut launcher, now).iter().map(|_| now));
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
    let mut launcher = town(options(), &[("f", 500)], &workers(), &[]);
    let begun = starts(&serve(&mut launcher, 0));
    launcher.see_runners(7_000, vec![]);
    launcher.tick(7_900);
    assert!(launcher.orders().is_empty());
    launcher.tick(8_100);
    launcher.tick(8_150);
    let orders = serve(&mut launcher, 8_150);
    assert_eq!(stops(&orders), [format!("r-{}", begun[0].0)]);
    assert_eq!(starts(&orders).len(), 1, "another is started");
}
