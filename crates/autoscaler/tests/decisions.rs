//! Regular scaling decisions: raising quotas before starting runners, placement, lowering quotas after the cooldown, and
//! stopping runners once they are drained.

mod cluster;

use autoscaler::{Autoscaler, RunnerCommand};
use cluster::*;
use protocol::{FunctionReport, FunctionUpdate, RunnerStage};

/// Reports arrivals at a constant rate, with a report and a tick every 100 ms. Returns the commands.
fn report_arrivals(
    autoscaler: &mut Autoscaler,
    from: u64,
    until: u64,
    per_s: u64,
    arrived: &mut u64,
) -> Vec<RunnerCommand> {
    let mut commands = Vec::new();
    for now in (from..until).step_by(100) {
        *arrived += per_s / 10;
        autoscaler.handle_report(now, OWNER, &function_report("f", *arrived, 0));
        autoscaler.tick(now);
        commands.extend(answer_starts(autoscaler, now));
    }
    commands
}

fn workers() -> Vec<autoscaler::WorkerListing> {
    vec![
        worker_listing("w-1", "a", 1_000),
        worker_listing("w-2", "a", 1_000),
        worker_listing("w-3", "a", 1_000),
    ]
}

#[test]
fn quotas_rise_before_runners_start() {
    // A seat serves 1000/60 requests per second: two runners with four seats serve 133, and 0.8 of that is 106.
    let runners = [
        runner_listing("r-1", "f", "w-1", "a"),
        runner_listing("r-2", "f", "w-1", "a"),
    ];
    let mut autoscaler = autoscaler_with(options(), &[("f", 9_000)], &workers(), &runners);
    let mut arrived = 0;
    autoscaler.handle_report(0, OWNER, &function_report("f", 0, 0));
    assert!(report_arrivals(&mut autoscaler, 100, 8_000, 20, &mut arrived).is_empty());
    let update = autoscaler.update_for("f", 8_000);
    let seats: u32 = quotas(&update).iter().sum();
    assert!(
        (4..8).contains(&seats),
        "the seats fell to {seats} below beta"
    );
    assert!(report_arrivals(&mut autoscaler, 8_000, 12_000, 70, &mut arrived).is_empty());
    let update = autoscaler.update_for("f", 12_000);
    assert!(quotas(&update).iter().sum::<u32>() > seats);
    let commands = report_arrivals(&mut autoscaler, 12_000, 15_000, 150, &mut arrived);
    assert!(!starts(&commands).is_empty());
    let update = autoscaler.update_for("f", 15_000);
    assert!(quotas(&update).iter().all(|quota| *quota == 4));
}

#[test]
fn starts_go_to_the_least_occupied_used_worker_then_to_an_unused_one() {
    let runners = [
        runner_listing("r-1", "g", "w-1", "a"),
        runner_listing("r-2", "g", "w-1", "a"),
        runner_listing("r-3", "g", "w-2", "a"),
    ];
    let listings = [
        worker_listing("w-1", "a", 400),
        worker_listing("w-2", "a", 200),
        worker_listing("w-0", "a", 400),
    ];
    let functions = [("f", 9_000), ("g", 500)];
    let mut autoscaler = autoscaler_with(options(), &functions, &listings, &runners);
    autoscaler.handle_report(10, OWNER, &function_report("f", 50, 50));
    let commanded = starts(&answer_starts(&mut autoscaler, 10));
    let workers: Vec<&str> = commanded
        .iter()
        .map(|start| start.worker.as_str())
        .collect();
    assert_eq!(
        workers[..2],
        ["w-1", "w-2"][..],
        "both are half full, so the name decides"
    );
    assert_eq!(workers.len(), 2);
    autoscaler.handle_report(20, OWNER, &function_report("f", 150, 150));
    let commanded = starts(&answer_starts(&mut autoscaler, 20));
    let workers: Vec<&str> = commanded
        .iter()
        .map(|start| start.worker.as_str())
        .collect();
    assert_eq!(workers[..2], ["w-1", "w-0"][..]);
}

/// Ticks until there is an update, which must happen before `before`. Returns the time and the update.
fn tick_until_update(autoscaler: &mut Autoscaler, from: u64, before: u64) -> (u64, FunctionUpdate) {
    let mut now = from;
    loop {
        now += 100;
        assert!(now < before, "no update at {now}");
        autoscaler.tick(now);
        if let Some(update) = autoscaler.take_updates().into_iter().next() {
            return (now, update);
        }
    }
}

/// Reports a runner as idle until it is stopped. Returns the time of the stop; 0 if it is not stopped.
fn report_idle_until_stopped(autoscaler: &mut Autoscaler, id: &str) -> u64 {
    let mut update_number = 0;
    for now in (1_300..6_000).step_by(100) {
        let idle = FunctionReport {
            update_number,
            runners: vec![runner_report(id, 0)],
            ..function_report("f", 1, 0)
        };
        autoscaler.handle_report(now, OWNER, &idle);
        autoscaler.tick(now);
        let updates = autoscaler.take_updates();
        if let Some(update) = updates.last() {
            update_number = update.version.number;
        }
        if stops(&autoscaler.take_commands()) == [id] {
            return now;
        }
    }
    0
}

#[test]
fn quotas_fall_after_the_cooldown_and_stops_wait_for_the_drain() {
    let ids = ["r-1", "r-2", "r-3"];
    let runners = ids.map(|id| runner_listing(id, "f", "w-1", "a"));
    let mut autoscaler = autoscaler_with(options(), &[("f", 500)], &workers(), &runners);
    autoscaler.take_updates();
    let report = |update: u64, in_use: u32| FunctionReport {
        update_number: update,
        runners: ids.map(|id| runner_report(id, in_use)).to_vec(),
        ..function_report("f", 0, 0)
    };
    for now in (100..=3_900).step_by(100) {
        autoscaler.handle_report(now, OWNER, &report(1 << 32, 0));
        autoscaler.tick(now);
        assert!(
            autoscaler.take_updates().is_empty(),
            "the cooldown is not over at {now}"
        );
    }
    let (now, update) = tick_until_update(&mut autoscaler, 3_900, 5_000);
    assert_eq!(stage(&update, "r-1"), Some(RunnerStage::Serving));
    assert_eq!(stage(&update, "r-3"), Some(RunnerStage::Draining));
    autoscaler.handle_report(now, OWNER, &report(update.version.number - 1, 0));
    autoscaler.tick(now + 50);
    assert!(
        autoscaler.take_commands().is_empty(),
        "the owner has not received the update yet"
    );
    autoscaler.handle_report(now + 100, OWNER, &report(update.version.number, 1));
    autoscaler.tick(now + 150);
    assert!(autoscaler.take_commands().is_empty(), "requests in flight");
    autoscaler.handle_report(now + 200, OWNER, &report(update.version.number, 0));
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
fn without_an_owner_a_drain_takes_the_longest_timeout() {
    let runners = [runner_listing("r-1", "f", "w-1", "a")];
    let mut autoscaler = autoscaler_with(options(), &[("f", 9_000)], &workers(), &runners);
    for now in (100..13_900).step_by(100) {
        autoscaler.tick(now);
        autoscaler.take_updates();
        assert!(autoscaler.take_commands().is_empty(), "stopped at {now}");
    }
    autoscaler.tick(14_500);
    assert_eq!(stops(&autoscaler.take_commands()), ["r-1"]);
}

#[test]
fn one_call_starts_one_runner_which_is_stopped_after_the_retention_time() {
    // Adaptive retention is tested in `retention.rs`.
    let mut options = options();
    options.policy.adapts_retention = false;
    let mut autoscaler = autoscaler_with(options, &[("f", 9_000)], &workers(), &[]);
    autoscaler.take_updates();
    autoscaler.handle_report(100, OWNER, &function_report("f", 1, 1));
    let commanded = starts(&answer_starts(&mut autoscaler, 100));
    assert_eq!(commanded.len(), 1);
    let id = format!("r-{}", commanded[0].nonce);
    let update = autoscaler.take_updates();
    assert_eq!(stage(&update[0], &id), Some(RunnerStage::Starting));
    assert_eq!(update[0].runners[0].starts_in_ms, 1_000);
    for now in (200..1_200).step_by(100) {
        autoscaler.handle_report(now, OWNER, &function_report("f", 1, 1));
        autoscaler.tick(now);
        assert!(
            autoscaler.take_commands().is_empty(),
            "a backlog starts runners only once"
        );
    }
    let busy = FunctionReport {
        runners: vec![runner_report(&id, 1)],
        ..function_report("f", 1, 0)
    };
    autoscaler.handle_report(1_200, OWNER, &busy);
    assert_eq!(
        stage(&autoscaler.take_updates()[0], &id),
        Some(RunnerStage::Serving)
    );
    let stopped_at = report_idle_until_stopped(&mut autoscaler, &id);
    assert!(
        (4_000..5_000).contains(&stopped_at),
        "stopped at {stopped_at}"
    );
}

#[test]
fn a_function_whose_start_exceeds_its_latency_target_keeps_one_runner() {
    let mut autoscaler = autoscaler_with(options(), &[("f", 1_050)], &workers(), &[]);
    let commanded = starts(&answer_starts(&mut autoscaler, 0));
    assert_eq!(commanded.len(), 1);
    let id = format!("r-{}", commanded[0].nonce);
    let listing = runner_listing(&id, "f", &commanded[0].worker, "a");
    for now in (100..20_000).step_by(100) {
        autoscaler.update_runners(now, vec![listing.clone()]);
        autoscaler.tick(now);
        assert!(autoscaler.take_commands().is_empty());
    }
    let lost = FunctionReport {
        runners: vec![protocol::RunnerReport {
            is_unreachable: true,
            ..runner_report(&id, 0)
        }],
        ..function_report("f", 0, 0)
    };
    autoscaler.handle_report(20_000, OWNER, &lost);
    autoscaler.tick(20_000);
    assert_eq!(starts(&answer_starts(&mut autoscaler, 20_000)).len(), 1);
    assert_eq!(stage(&autoscaler.update_for("f", 20_000), &id), None);
    autoscaler.update_runners(24_900, vec![listing.clone()]);
    autoscaler.tick(24_900);
    assert!(autoscaler.take_commands().is_empty());
    autoscaler.update_runners(25_100, vec![listing]);
    autoscaler.tick(25_100);
    assert_eq!(stops(&autoscaler.take_commands()), [id]);
}

#[test]
fn a_backlog_after_an_outage_starts_runners_only_for_what_running_ones_cannot_serve() {
    let runners = ["r-1", "r-2"].map(|id| runner_listing(id, "f", "w-1", "a"));
    let mut autoscaler = autoscaler_with(options(), &[("f", 500)], &workers(), &runners);
    autoscaler.take_updates();
    // Two runners with four seats and a service time of 60 ms serve 133 requests per second; a start takes one second.
    autoscaler.handle_report(10, OWNER, &function_report("f", 100, 100));
    let commands = answer_starts(&mut autoscaler, 10);
    assert_eq!(
        starts(&commands).len(),
        0,
        "the requests are served before a new runner would be up"
    );
    autoscaler.handle_report(20, "other/1", &function_report("f", 400, 400));
    let commands = answer_starts(&mut autoscaler, 20);
    assert!(
        !starts(&commands).is_empty(),
        "the remaining requests need more runners"
    );
}
