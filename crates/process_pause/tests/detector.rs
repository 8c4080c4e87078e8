//! Which clock steps count as a pause, and how a pause restarts waits.

use process_pause::{PauseDetector, ProcessPause, PAUSE_MIN_MS};

#[test]
fn a_long_clock_step_is_reported_as_a_pause_once() {
    let mut detector = PauseDetector::default();
    assert_eq!(
        detector.observe(1_000),
        None,
        "the first reading cannot end a pause"
    );
    assert_eq!(detector.observe(1_000 + PAUSE_MIN_MS - 1), None);
    let pause = ProcessPause {
        began_at: 1_399,
        ended_at: 2_699,
    };
    assert_eq!(detector.observe(2_699), Some(pause));
    assert_eq!(pause.duration_ms(), 1_300);
    assert_eq!(detector.observe(2_700), None);
}

#[test]
fn waits_restart_at_the_end_of_a_pause() {
    let pause = ProcessPause {
        began_at: 100,
        ended_at: 900,
    };
    assert_eq!(pause.restart_wait(50), 900);
    assert_eq!(pause.restart_wait(950), 950);
}
