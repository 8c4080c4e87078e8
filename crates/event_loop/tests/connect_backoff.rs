//! Each second attempt in a row that hung doubles the time of the next, up to a bound.

use event_loop::ConnectBackoff;

#[test]
fn the_time_doubles_with_each_second_attempt_up_to_a_bound() {
    let mut attempts = ConnectBackoff::default();
    let times = (0..12).map(|_| {
        let time = attempts.timeout_ms(150);
        attempts.record_timeout();
        time
    });
    let expected = [
        150, 150, 300, 300, 600, 600, 1_200, 1_200, 2_400, 2_400, 2_400, 2_400,
    ];
    assert_eq!(times.collect::<Vec<_>>(), expected);
    attempts.reset();
    assert_eq!(attempts.timeout_ms(150), 150);
}
