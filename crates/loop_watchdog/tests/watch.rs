//! What is told of a loop that does not go on, and when its process ends.

use loop_watchdog::{ForcedExit, ForcedExitState, TurnRecord, TurnWatch};
use std::time::Duration;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_turn_that_two_looks_find_is_told_of_with_its_step() {
    let record = TurnRecord::default();
    let mut watch = TurnWatch::default();
    record.begin_turn(4);
    record.begin_step("timers");
    assert_eq!(watch.observe(at(0), &record.snapshot()), None);
    let turn = watch.observe(at(250), &record.snapshot()).expect("a turn");
    assert_eq!(
        turn.to_string(),
        "lasted_ms=250 steps_since=0 step=timers steps=1 in_flight=4"
    );
}

#[test]
fn a_loop_that_spins_is_told_apart_from_one_that_is_blocked() {
    let record = TurnRecord::default();
    let mut watch = TurnWatch::default();
    record.begin_turn(0);
    watch.observe(at(0), &record.snapshot());
    for _ in 0..1_000 {
        record.begin_step("actions");
    }
    let turn = watch.observe(at(250), &record.snapshot()).expect("a turn");
    assert_eq!(turn.steps_since, 1_000);
    // It is told of again at growing intervals.
    assert_eq!(watch.observe(at(500), &record.snapshot()), None);
    let turn = watch
        .observe(at(1_000), &record.snapshot())
        .expect("a turn");
    assert_eq!(turn.steps_since, 0, "it is blocked by now");
}

#[test]
fn a_loop_that_goes_on_or_waits_is_not_told_of() {
    let record = TurnRecord::default();
    let mut watch = TurnWatch::default();
    for look in 0..10 {
        record.begin_turn(1);
        record.begin_step("events");
        assert_eq!(watch.observe(at(look * 250), &record.snapshot()), None);
    }
    record.wait();
    assert_eq!(watch.observe(at(2_500), &record.snapshot()), None);
    assert_eq!(watch.observe(at(9_000), &record.snapshot()), None);
}

/// A loop in a turn that does not end.
fn stuck() -> TurnRecord {
    let record = TurnRecord::default();
    record.begin_turn(1);
    record.begin_step("timers");
    record
}

/// Looks at a process that was asked to stop at `asked_at` and whose grace period is 2,400 ms, until it ends. Returns when that is.
fn forced_end_of(record: &TurnRecord, asked_at: u64) -> Duration {
    let mut end = ForcedExit::new(at(2_400));
    let mut now = at(0);
    loop {
        match end.check(now, now >= at(asked_at), &record.snapshot()) {
            ForcedExitState::Due => return now,
            _ => now += end.next_check_in(now, at(50)),
        }
        assert!(now < at(20_000), "it never ends");
    }
}

#[test]
fn a_process_whose_loop_is_stuck_ends_by_force_before_it_is_killed() {
    let ended = forced_end_of(&stuck(), 10_010);
    // A daemon that works ends itself after eleven twelfths.
    assert!(
        ended > at(10_010 + 2_200) && ended < at(10_010 + 2_400),
        "{ended:?}"
    );
}

/// On a disk that stalls a controller stood in its start for up to 1.5 s as it was asked to stop; its watchdog began to count with its loop.
#[test]
fn a_process_that_is_stuck_in_its_start_ends_by_force_too() {
    let ended = forced_end_of(&TurnRecord::default(), 100);
    assert!(ended < at(100 + 2_400), "{ended:?}");
}

/// In an aimed series a gateway that stood still past its grace period was ended by force in its first turn after that: "process paused
/// duration_ms=2445", "draining in_flight=4", "about to end by force step=readable steps=10".
#[test]
fn a_loop_that_goes_on_ends_by_itself_also_after_a_pause_of_the_process() {
    let record = stuck();
    let mut end = ForcedExit::new(at(2_400));
    let look = |end: &mut ForcedExit, now: u64| end.check(at(now), true, &record.snapshot());
    assert_eq!(look(&mut end, 0), ForcedExitState::NotDue);
    // The process stood still until long after its grace period. Its loop has time for a turn.
    for now in (9_000..9_250).step_by(25) {
        assert_eq!(look(&mut end, now), ForcedExitState::NotDue, "at {now}");
    }
    assert_eq!(look(&mut end, 9_250), ForcedExitState::Suspected);
    record.begin_turn(1);
    assert_eq!(look(&mut end, 9_275), ForcedExitState::Suspected);
    record.wait();
    assert_eq!(look(&mut end, 9_300), ForcedExitState::NotDue);
}

/// The same series ended gateways by force that had left their loop and were closing their connections ("step=begin steps=0 in_flight=0").
#[test]
fn a_process_that_has_left_its_loop_has_its_whole_grace_period() {
    let record = stuck();
    record.end_loop();
    let ended = forced_end_of(&record, 0);
    assert!(ended >= at(2_400), "{ended:?}");
}
