//! What counts as a pause of the process.

use process_pause::{PauseDetector, ProcessPause, PAUSE_MIN_MS};

#[test]
fn a_long_step_of_the_clock_is_a_pause_once() {
    let mut detector = PauseDetector::default();
    assert_eq!(detector.observe(1_000), None, "nothing is known before it");
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
fn waiting_begins_anew_with_the_end_of_a_pause() {
    let pause = ProcessPause {
        began_at: 100,
        ended_at: 900,
    };
    assert_eq!(pause.restart_wait(50), 900);
    assert_eq!(pause.restart_wait(950), 950);
}
