//! A process exits within a bounded time after a stop signal, even if its main loop is blocked.

use crate::shutdown_deadline::{enforce, for_grace_period};
use std::sync::mpsc::channel;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn the_deadline_is_shorter_than_the_grace_period() {
    assert_eq!(for_grace_period(6_000), Duration::from_secs(3));
    assert!(for_grace_period(1) < Duration::from_millis(1));
}

#[test]
fn a_deadline_is_enforced_while_the_thread_that_set_it_is_blocked() {
    let (called, calls) = channel();
    enforce(Duration::from_millis(1), move || {
        let _ = called.send(());
    });
    // This thread blocks here, like a main loop that hangs.
    assert_eq!(calls.recv_timeout(CALL_TIMEOUT), Ok(()));
}
