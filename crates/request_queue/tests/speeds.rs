//! Scheduling on runners that are far slower than the others of their function.

mod fixtures;

use fixtures::*;
use request_queue::{AttemptOutcome, QueuedRequest, SeatScheduler};
use std::sync::Arc;

/// A scheduler that owns a fast runner and a slow one whose response time is known.
fn scheduler_with_a_slow_runner() -> SeatScheduler {
    let mut configuration = (*configuration(10)).clone();
    configuration.function_specs[0].budget_ms = 30_000;
    let mut own = (*plan("me", 1, 1)).clone();
    own.runners[0].response_time_ms = 50;
    let mut slow = own.runners[0].clone();
    slow.id = "sign.2".into();
    slow.response_time_ms = 500;
    own.runners.push(slow);
    let mut scheduler = SeatScheduler::new(peer("me"));
    scheduler.set_ready();
    scheduler.set_configuration(1_000, Arc::new(configuration), version(1));
    scheduler.set_plan(1_000, Arc::new(own), version(1));
    deliver_response(&mut scheduler, 1_000, version(1));
    for runner in ["sign.1", "sign.2"] {
        scheduler.probe_finished(1_000, runner, true);
    }
    scheduler
}

#[test]
fn a_slow_runner_gets_only_trials_until_it_has_recovered() {
    let mut scheduler = scheduler_with_a_slow_runner();
    let mut slow_runs = 0;
    let mut slot = 0;
    let (mut now, end) = (1_000, 21_000);
    while now < end {
        deliver_response(&mut scheduler, now, version(1));
        for _ in 0..2 {
            slot += 1;
            let queued_request = QueuedRequest {
                budget_end: now + 30_000,
                ..queued_request(slot, 0, now)
            };
            scheduler.arrive(now, queued_request);
        }
        for (_, seat) in launched(&mut scheduler) {
            let is_slow = seat.runner == "sign.2";
            slow_runs += u32::from(is_slow);
            let took = if is_slow { 500 } else { 50 };
            scheduler.attempt_done(now + 20, &seat, AttemptOutcome::Answered(took));
        }
        now += 50;
    }
    assert!(
        (4..=8).contains(&slow_runs),
        "{slow_runs} trials in {slot} requests"
    );
    assert!(scheduler.report(now, "a").runners[1].is_slow);
    // The runner responds quickly again; each trial shows it, and the newest responses weigh most.
    for _ in 0..500 {
        now += 100;
        deliver_response(&mut scheduler, now, version(1));
        slot += 1;
        let last = QueuedRequest {
            budget_end: now + 30_000,
            ..queued_request(slot, 0, now)
        };
        scheduler.arrive(now, last.clone());
        scheduler.arrive(
            now,
            QueuedRequest {
                slot: slot + 1_000,
                ..last
            },
        );
        for (_, seat) in launched(&mut scheduler) {
            scheduler.attempt_done(now + 50, &seat, AttemptOutcome::Answered(50));
        }
    }
    assert!(!scheduler.report(now, "a").runners[1].is_slow);
}

#[test]
fn requests_that_waited_longer_than_its_response_time_go_to_a_slow_runner() {
    let mut scheduler = scheduler_with_a_slow_runner();
    let own = |slot: u64| QueuedRequest {
        budget_end: 30_000,
        ..queued_request(slot, 0, 1_000)
    };
    for slot in 0..4 {
        scheduler.arrive(1_000, own(slot));
    }
    let first = launched(&mut scheduler);
    assert_eq!(first.len(), 1, "the slow runner gets no request");
    deliver_response(&mut scheduler, 1_400, version(1));
    scheduler.tick(1_400);
    assert!(
        launched(&mut scheduler).is_empty(),
        "requests have waited only 400 ms"
    );
    deliver_response(&mut scheduler, 1_800, version(1));
    scheduler.tick(1_800);
    let late = launched(&mut scheduler);
    assert!(late.iter().all(|(_, seat)| seat.runner == "sign.2") && !late.is_empty());
}
