//! Reports of a stuck loop, and the forced exit of its process.

use loop_watchdog::{ForcedExit, ForcedExitState, TurnRecord, TurnWatch};
use std::time::Duration;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_long_turn_is_reported_with_its_step() {
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
fn a_spinning_loop_is_distinguished_from_a_blocked_one() {
    let record = TurnRecord::default();
    let mut watch = TurnWatch::default();
    record.begin_turn(0);
    watch.observe(at(0), &record.snapshot());
    for _ in 0..1_000 {
        record.begin_step("actions");
    }
    let turn = watch.observe(at(250), &record.snapshot()).expect("a turn");
    assert_eq!(turn.steps_since, 1_000);
    // The turn is reported again at increasing intervals.
    assert_eq!(watch.observe(at(500), &record.snapshot()), None);
    let turn = watch
        .observe(at(1_000), &record.snapshot())
        .expect("a turn");
    assert_eq!(turn.steps_since, 0, "it is blocked by now");
}

#[test]
fn a_loop_that_makes_progress_or_waits_is_not_reported() {
    let record = TurnRecord::default();
    let mut watch = TurnWatch::default();
    for turn in 0..10 {
        record.begin_turn(1);
        record.begin_step("events");
        assert_eq!(watch.observe(at(turn * 250), &record.snapshot()), None);
    }
    record.wait();
    assert_eq!(watch.observe(at(2_500), &record.snapshot()), None);
    assert_eq!(watch.observe(at(9_000), &record.snapshot()), None);
}

/// A loop in a turn that does not end.
fn stuck_loop() -> TurnRecord {
    let record = TurnRecord::default();
    record.begin_turn(1);
    record.begin_step("timers");
    record
}

/// Checks a process with a grace period of 2,400 ms that was asked to stop at `stop_requested_at`, until it must be ended. Returns
/// the time of that check.
fn time_of_forced_exit(record: &TurnRecord, stop_requested_at: u64) -> Duration {
    let mut end = ForcedExit::new(at(2_400));
    let mut now = at(0);
    loop {
        match end.check(now, now >= at(stop_requested_at), &record.snapshot()) {
            ForcedExitState::Due => return now,
            _ => now += end.next_check_in(now, at(50)),
        }
        assert!(now < at(20_000), "no forced exit");
    }
}

#[test]
fn a_process_with_a_stuck_loop_is_ended_before_it_is_killed() {
    let ended = time_of_forced_exit(&stuck_loop(), 10_010);
    // A working daemon exits by itself after eleven twelfths of the grace period.
    assert!(
        ended > at(10_010 + 2_200) && ended < at(10_010 + 2_400),
        "{ended:?}"
    );
}

/// The grace period must count before the loop starts. On a stalling disk a controller that was asked to stop was blocked in its
/// startup for up to 1.5 s, and its watchdog started to count only with the loop.
#[test]
fn a_process_stuck_in_its_startup_is_ended_too() {
    let ended = time_of_forced_exit(&TurnRecord::default(), 100);
    assert!(ended < at(100 + 2_400), "{ended:?}");
}

/// A process that was paused past its grace period must get time for a turn. In a fault-injection series a gateway was ended in its
/// first turn after such a pause: "process paused duration_ms=2445", "draining in_flight=4", "about to end by force step=readable
/// steps=10".
#[test]
fn a_working_loop_can_end_by_itself_after_a_pause_of_the_process() {
    let record = stuck_loop();
    let mut end = ForcedExit::new(at(2_400));
    let check = |end: &mut ForcedExit, now: u64| end.check(at(now), true, &record.snapshot());
    assert_eq!(check(&mut end, 0), ForcedExitState::NotDue);
    // The process was paused until long after its grace period. Its loop gets time for a turn.
    for now in (9_000..9_250).step_by(25) {
        assert_eq!(check(&mut end, now), ForcedExitState::NotDue, "at {now}");
    }
    assert_eq!(check(&mut end, 9_250), ForcedExitState::Suspected);
    record.begin_turn(1);
    assert_eq!(check(&mut end, 9_275), ForcedExitState::Suspected);
    record.wait();
    assert_eq!(check(&mut end, 9_300), ForcedExitState::NotDue);
}

/// Leaving the loop must not count as a stuck turn. The same series ended gateways that had left their loop and were closing their
/// connections ("step=begin steps=0 in_flight=0").
#[test]
fn a_process_that_has_left_its_loop_gets_its_whole_grace_period() {
    let record = stuck_loop();
    record.end_loop();
    let ended = time_of_forced_exit(&record, 0);
    assert!(ended >= at(2_400), "{ended:?}");
}
