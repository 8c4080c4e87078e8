//! The design's ordinary path: alpha, quotas first, placing, calm shrinking, drained stops.

mod town;

use autoscaler::{Launcher, Order};
use protocol::{FunctionReport, RunnerStage};
use town::*;

/// Tells the rate for some seconds, with a report and a tick each 100 ms.
fn call(
    launcher: &mut Launcher,
    from: u64,
    until: u64,
    per_s: u64,
    arrived: &mut u64,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for now in (from..until).step_by(100) {
        *arrived += per_s / 10;
        launcher.report(now, KEEPER, &told("f", *arrived, 0));
        launcher.tick(now);
        orders.extend(serve(launcher, now));
    }
    orders
}

fn workers() -> Vec<autoscaler::WorkerSight> {
    vec![
        worker("w-1", "a", 1_000),
        worker("w-2", "a", 1_000),
        worker("w-3", "a", 1_000),
    ]
}

#[test]
fn quotas_rise_before_runners_start() {
    // A seat carries 1000/60 a second: two runners of four seats carry 133, and 0.8 of it 106.
    let runners = [
        listed("r-1", "f", "w-1", "a"),
        listed("r-2", "f", "w-1", "a"),
    ];
    let mut launcher = town(options(), &[("f", 9_000)], &workers(), &runners);
    let mut arrived = 0;
    launcher.report(0, KEEPER, &told("f", 0, 0));
    assert!(call(&mut launcher, 100, 8_000, 20, &mut arrived).is_empty());
    let news = launcher.news_of("f", 8_000);
    let seats: u32 = quotas(&news).iter().sum();
    assert!((4..8).contains(&seats), "it fell to {seats} in calm");
    assert!(call(&mut launcher, 8_000, 12_000, 70, &mut arrived).is_empty());
    let news = launcher.news_of("f", 12_000);
    assert!(quotas(&news).iter().sum::<u32>() > seats);
    let orders = call(&mut launcher, 12_000, 15_000, 150, &mut arrived);
    assert!(!starts(&orders).is_empty());
    let news = launcher.news_of("f", 15_000);
    assert!(quotas(&news).iter().all(|quota| *quota == 4));
}

#[test]
fn what_is_left_goes_to_the_least_occupied_used_worker_then_to_a_fresh_one() {
    let runners = [
        listed("r-1", "g", "w-1", "a"),
        listed("r-2", "g", "w-1", "a"),
        listed("r-3", "g", "w-2", "a"),
    ];
    let sights = [
        worker("w-1", "a", 400),
        worker("w-2", "a", 200),
        worker("w-0", "a", 400),
    ];
    let functions = [("f", 9_000), ("g", 500)];
    let mut launcher = town(options(), &functions, &sights, &runners);
    launcher.report(10, KEEPER, &told("f", 50, 50));
    let begun = starts(&serve(&mut launcher, 10));
    let places: Vec<&str> = begun.iter().map(|(_, _, place)| place.as_str()).collect();
    assert_eq!(
        places[..2],
        ["w-1", "w-2"][..],
        "both half full: ties by name"
    );
    assert_eq!(places.len(), 2);
    launcher.report(20, KEEPER, &told("f", 150, 150));
    let begun = starts(&serve(&mut launcher, 20));
    let places: Vec<&str> = begun.iter().map(|(_, _, place)| place.as_str()).collect();
    assert_eq!(places[..2], ["w-1", "w-0"][..]);
}

#[test]
fn quotas_fall_after_the_cooldown_and_stops_wait_for_the_drain() {
    let ids = ["r-1", "r-2", "r-3"];
    let runners = ids.map(|id| listed(id, "f", "w-1", "a"));
    let mut launcher = town(options(), &[("f", 500)], &workers(), &runners);
    launcher.news();
    let report = |news: u64, in_use: u32| FunctionReport {
        news,
        runners: ids.map(|id| held(id, in_use)).to_vec(),
        ..told("f", 0, 0)
    };
    let mut now = 0;
    while now < 3_900 {
        now += 100;
        launcher.report(now, KEEPER, &report(1 << 32, 0));
        launcher.tick(now);
        assert!(
            launcher.news().is_empty(),
            "it is not calm long enough at {now}"
        );
    }
    let mut said = Vec::new();
    while said.is_empty() {
        now += 100;
        launcher.tick(now);
        said = launcher.news();
        assert!(now < 5_000);
    }
    let news = said.remove(0);
    assert_eq!(stage(&news, "r-1"), Some(RunnerStage::Serving));
    assert_eq!(stage(&news, "r-3"), Some(RunnerStage::Draining));
    launcher.report(now, KEEPER, &report(news.mark.1 - 1, 0));
    launcher.tick(now + 50);
    assert!(launcher.orders().is_empty(), "the keeper does not know yet");
    launcher.report(now + 100, KEEPER, &report(news.mark.1, 1));
    launcher.tick(now + 150);
    assert!(launcher.orders().is_empty(), "it holds requests");
    launcher.report(now + 200, KEEPER, &report(news.mark.1, 0));
    launcher.tick(now + 250);
    assert_eq!(stops(&launcher.orders()), ["r-2", "r-3"]);
    launcher.stopped(now + 300, "r-2", true);
    launcher.stopped(now + 300, "r-3", false);
    launcher.tick(now + 400);
    assert!(launcher.orders().is_empty());
    launcher.tick(now + 900);
    assert_eq!(stops(&launcher.orders()), ["r-3"]);
}

#[test]
fn without_a_keeper_a_drain_takes_the_longest_timeout() {
    let runners = [listed("r-1", "f", "w-1", "a")];
    let mut launcher = town(options(), &[("f", 9_000)], &workers(), &runners);
    for now in (100..13_900).step_by(100) {
        launcher.tick(now);
        launcher.news();
        assert!(launcher.orders().is_empty(), "stopped at {now}");
    }
    launcher.tick(14_500);
    assert_eq!(stops(&launcher.orders()), ["r-1"]);
}

#[test]
fn one_call_starts_one_runner_which_ends_after_the_retention() {
    let mut launcher = town(options(), &[("f", 9_000)], &workers(), &[]);
    launcher.news();
    launcher.report(100, KEEPER, &told("f", 1, 1));
    let begun = starts(&serve(&mut launcher, 100));
    assert_eq!(begun.len(), 1);
    let id = format!("r-{}", begun[0].0);
    let news = launcher.news();
    assert_eq!(stage(&news[0], &id), Some(RunnerStage::Starting));
    assert_eq!(news[0].runners[0].starts_in_ms, 1_000);
    for now in (200..1_200).step_by(100) {
        launcher.report(now, KEEPER, &told("f", 1, 1));
        launcher.tick(now);
        assert!(launcher.orders().is_empty(), "one backlog starts once");
    }
    let busy = FunctionReport {
        runners: vec![held(&id, 1)],
        ..told("f", 1, 0)
    };
    launcher.report(1_200, KEEPER, &busy);
    assert_eq!(stage(&launcher.news()[0], &id), Some(RunnerStage::Serving));
    let mut mark = 0;
    let mut stopped_at = 0;
    for now in (1_300..6_000).step_by(100) {
        let idle = FunctionReport {
            news: mark,
            runners: vec![held(&id, 0)],
            ..told("f", 1, 0)
        };
        launcher.report(now, KEEPER, &idle);
        launcher.tick(now);
        mark = launcher.news().last().map_or(mark, |news| news.mark.1);
        if stops(&launcher.orders()) == [id.as_str()] {
            stopped_at = now;
            break;
        }
    }
    assert!(
        (4_000..5_000).contains(&stopped_at),
        "stopped at {stopped_at}"
    );
}

#[test]
fn a_function_whose_start_exceeds_its_aim_keeps_one_runner() {
    let mut launcher = town(options(), &[("f", 1_050)], &workers(), &[]);
    let begun = starts(&serve(&mut launcher, 0));
    assert_eq!(begun.len(), 1);
    let id = format!("r-{}", begun[0].0);
    let sight = listed(&id, "f", &begun[0].2, "a");
    for now in (100..20_000).step_by(100) {
        launcher.see_runners(now, vec![sight.clone()]);
        launcher.tick(now);
        assert!(launcher.orders().is_empty());
    }
    let lost = FunctionReport {
        runners: vec![protocol::RunnerReport {
            is_gone: true,
            ..held(&id, 0)
        }],
        ..told("f", 0, 0)
    };
    launcher.report(20_000, KEEPER, &lost);
    launcher.tick(20_000);
    assert_eq!(starts(&serve(&mut launcher, 20_000)).len(), 1);
    assert_eq!(stage(&launcher.news_of("f", 20_000), &id), None);
    launcher.see_runners(24_900, vec![sight.clone()]);
    launcher.tick(24_900);
    assert!(launcher.orders().is_empty());
    launcher.see_runners(25_100, vec![sight]);
    launcher.tick(25_100);
    assert_eq!(stops(&launcher.orders()), [id]);
}

#[test]
fn requests_that_waited_through_an_outage_start_no_more_than_running_runners_leave() {
    let runners = ["r-1", "r-2"].map(|id| listed(id, "f", "w-1", "a"));
    let mut launcher = town(options(), &[("f", 500)], &workers(), &runners);
    launcher.news();
    // Two runners of four seats at 60 ms an answer serve 133 a second; a start takes one second.
    launcher.report(10, KEEPER, &told("f", 100, 100));
    let orders = serve(&mut launcher, 10);
    assert_eq!(
        starts(&orders).len(),
        0,
        "they are served before a start is done"
    );
    launcher.report(20, "other/1", &told("f", 400, 400));
    let orders = serve(&mut launcher, 20);
    assert!(!starts(&orders).is_empty(), "what is left asks for more");
}
