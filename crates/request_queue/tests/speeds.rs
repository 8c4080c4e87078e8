//! Runners that are far slower than their kin.

mod fixtures;

use fixtures::*;
use request_queue::{Desk, Ticket, TryEnd};
use std::sync::Arc;

/// A desk that keeps a quick runner, and a slow one that has shown what it takes.
fn desk_with_a_slow_runner() -> Desk {
    let mut blueprint = (*blueprint(10)).clone();
    blueprint.listings[0].budget_ms = 30_000;
    let mut own = (*plan("me", 1, 1)).clone();
    own.runners[0].pace_ms = 50;
    let mut slow = own.runners[0].clone();
    slow.id = "sign.2".into();
    slow.pace_ms = 500;
    own.runners.push(slow);
    let mut desk = Desk::new(peer("me"));
    desk.set_ready();
    desk.set_blueprint(1_000, Arc::new(blueprint), version(1));
    desk.set_plan(1_000, Arc::new(own), version(1));
    hear(&mut desk, 1_000, version(1));
    for runner in ["sign.1", "sign.2"] {
        desk.probed(1_000, runner, true);
    }
    desk
}

#[test]
fn a_slow_runner_gets_trials_alone_until_it_has_mended() {
    let mut desk = desk_with_a_slow_runner();
    let mut slow_runs = 0;
    let mut slot = 0;
    let (mut now, end) = (1_000, 21_000);
    while now < end {
        hear(&mut desk, now, version(1));
        for _ in 0..2 {
            slot += 1;
            let ticket = Ticket {
                budget_end: now + 30_000,
                ..ticket(slot, 0, now)
            };
            desk.arrive(now, ticket);
        }
        for (_, seat) in launched(&mut desk) {
            let is_slow = seat.runner == "sign.2";
            slow_runs += u32::from(is_slow);
            let took = if is_slow { 500 } else { 50 };
            desk.try_done(now + 20, &seat, TryEnd::Answered(took));
        }
        now += 50;
    }
    assert!((4..=8).contains(&slow_runs), "{slow_runs} trials in {slot}");
    assert!(desk.report(now, "a").runners[1].is_slow);
    // It answers quickly again; each trial shows it, and the newest answers weigh most.
    for _ in 0..500 {
        now += 100;
        hear(&mut desk, now, version(1));
        slot += 1;
        let last = Ticket {
            budget_end: now + 30_000,
            ..ticket(slot, 0, now)
        };
        desk.arrive(now, last.clone());
        desk.arrive(
            now,
            Ticket {
                slot: slot + 1_000,
                ..last
            },
        );
        for (_, seat) in launched(&mut desk) {
            desk.try_done(now + 50, &seat, TryEnd::Answered(50));
        }
    }
    assert!(!desk.report(now, "a").runners[1].is_slow);
}

#[test]
fn what_waits_for_longer_than_a_slow_runner_takes_goes_to_it() {
    let mut desk = desk_with_a_slow_runner();
    let own = |slot: u64| Ticket {
        budget_end: 30_000,
        ..ticket(slot, 0, 1_000)
    };
    for slot in 0..4 {
        desk.arrive(1_000, own(slot));
    }
    let first = launched(&mut desk);
    assert_eq!(first.len(), 1, "the slow runner is left out");
    hear(&mut desk, 1_400, version(1));
    desk.tick(1_400);
    assert!(launched(&mut desk).is_empty(), "they waited for 400 ms");
    hear(&mut desk, 1_800, version(1));
    desk.tick(1_800);
    let late = launched(&mut desk);
    assert!(late.iter().all(|(_, seat)| seat.runner == "sign.2") && !late.is_empty());
}
