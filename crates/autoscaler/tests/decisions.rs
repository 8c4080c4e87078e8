//! The design's ordinary path: alpha, quotas first, placing, calm shrinking, drained stops.

mod cluster;

use autoscaler::{Autoscaler, RunnerCommand};
use cluster::*;
use protocol::{FunctionReport, RunnerStage};

/// Tells the rate for some seconds, with a report and a tick each 100 ms.
fn call(
    autoscaler: &mut Autoscaler,
    from: u64,
    until: u64,
    per_s: u64,
    arrived: &mut u64,
) -> Vec<RunnerCommand> {
    let mut orders = Vec::new();
    for now in (from..until).step_by(100) {
        *arrived += per_s / 10;
        autoscaler.handle_report(now, KEEPER, &told("f", *arrived, 0));
        autoscaler.tick(now);
        orders.extend(serve(autoscaler, now));
    }
    orders
}

fn workers() -> Vec<autoscaler::WorkerListing> {
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
    let mut autoscaler = cluster(options(), &[("f", 9_000)], &workers(), &runners);
    let mut arrived = 0;
    autoscaler.handle_report(0, KEEPER, &told("f", 0, 0));
    assert!(call(&mut autoscaler, 100, 8_000, 20, &mut arrived).is_empty());
    let news = autoscaler.update_for("f", 8_000);
    let seats: u32 = quotas(&news).iter().sum();
    assert!((4..8).contains(&seats), "it fell to {seats} in calm");
    assert!(call(&mut autoscaler, 8_000, 12_000, 70, &mut arrived).is_empty());
    let news = autoscaler.update_for("f", 12_000);
    assert!(quotas(&news).iter().sum::<u32>() > seats);
    let orders = call(&mut autoscaler, 12_000, 15_000, 150, &mut arrived);
    assert!(!starts(&orders).is_empty());
    let news = autoscaler.update_for("f", 15_000);
    assert!(quotas(&news).iter().all(|quota| *quota == 4));
}

#[test]
fn what_is_left_goes_to_the_least_occupied_used_worker_then_to_a_fresh_one() {
    let runners = [
        listed("r-1", "g", "w-1", "a"),
        listed("r-2", "g", "w-1", "a"),
        listed("r-3", "g", "w-2", "a"),
    ];
    let listings = [
        worker("w-1", "a", 400),
        worker("w-2", "a", 200),
        worker("w-0", "a", 400),
    ];
    let functions = [("f", 9_000), ("g", 500)];
    let mut autoscaler = cluster(options(), &functions, &listings, &runners);
    autoscaler.handle_report(10, KEEPER, &told("f", 50, 50));
    let begun = starts(&serve(&mut autoscaler, 10));
    let places: Vec<&str> = begun.iter().map(|(_, _, place)| place.as_str()).collect();
    assert_eq!(
        places[..2],
        ["w-1", "w-2"][..],
        "both half full: ties by name"
    );
    assert_eq!(places.len(), 2);
    autoscaler.handle_report(20, KEEPER, &told("f", 150, 150));
    let begun = starts(&serve(&mut autoscaler, 20));
    let places: Vec<&str> = begun.iter().map(|(_, _, place)| place.as_str()).collect();
    assert_eq!(places[..2], ["w-1", "w-0"][..]);
}

#[test]
fn quotas_fall_after_the_cooldown_and_stops_wait_for_the_drain() {
    let ids = ["r-1", "r-2", "r-3"];
    let runners = ids.map(|id| listed(id, "f", "w-1", "a"));
    let mut autoscaler = cluster(options(), &[("f", 500)], &workers(), &runners);
    autoscaler.take_updates();
    let report = |news: u64, in_use: u32| FunctionReport {
        update_number: news,
        runners: ids.map(|id| held(id, in_use)).to_vec(),
        ..told("f", 0, 0)
    };
    let mut now = 0;
    while now < 3_900 {
        now += 100;
        autoscaler.handle_report(now, KEEPER, &report(1 << 32, 0));
        autoscaler.tick(now);
        assert!(
            autoscaler.take_updates().is_empty(),
            "it is not calm long enough at {now}"
        );
    }
    let mut said = Vec::new();
    while said.is_empty() {
        now += 100;
        autoscaler.tick(now);
        said = autoscaler.take_updates();
        assert!(now < 5_000);
    }
    let news = said.remove(0);
    assert_eq!(stage(&news, "r-1"), Some(RunnerStage::Serving));
    assert_eq!(stage(&news, "r-3"), Some(RunnerStage::Draining));
    autoscaler.handle_report(now, KEEPER, &report(news.version.number - 1, 0));
    autoscaler.tick(now + 50);
    assert!(
        autoscaler.take_commands().is_empty(),
        "the keeper does not know yet"
    );
    autoscaler.handle_report(now + 100, KEEPER, &report(news.version.number, 1));
    autoscaler.tick(now + 150);
    assert!(autoscaler.take_commands().is_empty(), "it holds requests");
    autoscaler.handle_report(now + 200, KEEPER, &report(news.version.number, 0));
    autoscaler.tick(now + 250);
    assert_eq!(stops(&autoscaler.take_commands()), ["r-2", "r-3"]);
    autoscaler.handle_stop_result(now + 300, "r-2", true);
    autoscaler.handle_stop_result(now + 300, "r-3", false);
    autoscaler.tick(now + 400);
    assert!(autoscaler.take_commands().is_empty());
    autoscaler.tick(now + 900);
    assert_eq!(stops(&autoscaler.take_commands()), ["r-3"]);
}

#[test]
fn without_a_keeper_a_drain_takes_the_longest_timeout() {
    let runners = [listed("r-1", "f", "w-1", "a")];
    let mut autoscaler = cluster(options(), &[("f", 9_000)], &workers(), &runners);
    for now in (100..13_900).step_by(100) {
        autoscaler.tick(now);
        autoscaler.take_updates();
        assert!(autoscaler.take_commands().is_empty(), "stopped at {now}");
    }
    autoscaler.tick(14_500);
    assert_eq!(stops(&autoscaler.take_commands()), ["r-1"]);
}

#[test]
fn one_call_starts_one_runner_which_ends_after_the_retention() {
    let mut autoscaler = cluster(options(), &[("f", 9_000)], &workers(), &[]);
    autoscaler.take_updates();
    autoscaler.handle_report(100, KEEPER, &told("f", 1, 1));
    let begun = starts(&serve(&mut autoscaler, 100));
    assert_eq!(begun.len(), 1);
    let id = format!("r-{}", begun[0].0);
    let news = autoscaler.take_updates();
    assert_eq!(stage(&news[0], &id), Some(RunnerStage::Starting));
    assert_eq!(news[0].runners[0].starts_in_ms, 1_000);
    for now in (200..1_200).step_by(100) {
        autoscaler.handle_report(now, KEEPER, &told("f", 1, 1));
        autoscaler.tick(now);
        assert!(
            autoscaler.take_commands().is_empty(),
            "one backlog starts once"
        );
    }
    let busy = FunctionReport {
        runners: vec![held(&id, 1)],
        ..told("f", 1, 0)
    };
    autoscaler.handle_report(1_200, KEEPER, &busy);
    assert_eq!(
        stage(&autoscaler.take_updates()[0], &id),
        Some(RunnerStage::Serving)
    );
    let mut mark = 0;
    let mut stopped_at = 0;
    for now in (1_300..6_000).step_by(100) {
        let idle = FunctionReport {
            update_number: mark,
            runners: vec![held(&id, 0)],
            ..told("f", 1, 0)
        };
        autoscaler.handle_report(now, KEEPER, &idle);
        autoscaler.tick(now);
        mark = autoscaler
            .take_updates()
            .last()
            .map_or(mark, |news| news.version.number);
        if stops(&autoscaler.take_commands()) == [id.as_str()] {
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
    let mut autoscaler = cluster(options(), &[("f", 1_050)], &workers(), &[]);
    let begun = starts(&serve(&mut autoscaler, 0));
    assert_eq!(begun.len(), 1);
    let id = format!("r-{}", begun[0].0);
    let listing = listed(&id, "f", &begun[0].2, "a");
    for now in (100..20_000).step_by(100) {
        autoscaler.update_runners(now, vec![listing.clone()]);
        autoscaler.tick(now);
        assert!(autoscaler.take_commands().is_empty());
    }
    let lost = FunctionReport {
        runners: vec![protocol::RunnerReport {
            is_gone: true,
            ..held(&id, 0)
        }],
        ..told("f", 0, 0)
    };
    autoscaler.handle_report(20_000, KEEPER, &lost);
    autoscaler.tick(20_000);
    assert_eq!(starts(&serve(&mut autoscaler, 20_000)).len(), 1);
    assert_eq!(stage(&autoscaler.update_for("f", 20_000), &id), None);
    autoscaler.update_runners(24_900, vec![listing.clone()]);
    autoscaler.tick(24_900);
    assert!(autoscaler.take_commands().is_empty());
    autoscaler.update_runners(25_100, vec![listing]);
    autoscaler.tick(25_100);
    assert_eq!(stops(&autoscaler.take_commands()), [id]);
}

#[test]
fn requests_that_waited_through_an_outage_start_no_more_than_running_runners_leave() {
    let runners = ["r-1", "r-2"].map(|id| listed(id, "f", "w-1", "a"));
    let mut autoscaler = cluster(options(), &[("f", 500)], &workers(), &runners);
    autoscaler.take_updates();
    // Two runners of four seats at 60 ms an answer serve 133 a second; a start takes one second.
    autoscaler.handle_report(10, KEEPER, &told("f", 100, 100));
    let orders = serve(&mut autoscaler, 10);
    assert_eq!(
        starts(&orders).len(),
        0,
        "they are served before a start is done"
    );
    autoscaler.handle_report(20, "other/1", &told("f", 400, 400));
    let orders = serve(&mut autoscaler, 20);
    assert!(!starts(&orders).is_empty(), "what is left asks for more");
}
