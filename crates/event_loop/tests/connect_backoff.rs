//! The connect timeout doubles after every second consecutive timed-out attempt, up to a maximum.

use event_loop::ConnectBackoff;

#[test]
fn timeout_doubles_after_every_second_timed_out_attempt_up_to_a_maximum() {
    let mut attempts = ConnectBackoff::default();
    let timeouts = (0..12).map(|_| {
        let timeout = attempts.timeout_ms(150);
        attempts.record_timeout();
        timeout
    });
    let expected = [
        150, 150, 300, 300, 600, 600, 1_200, 1_200, 2_400, 2_400, 2_400, 2_400,
    ];
    assert_eq!(timeouts.collect::<Vec<_>>(), expected);
    attempts.reset();
    assert_eq!(attempts.timeout_ms(150), 150);
}
