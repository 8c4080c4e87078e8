//! After a pause of the process, a daemon handles pending events before it runs timers. Otherwise it would time out peers whose
//! messages arrived during the pause but have not been read yet.

use crate::daemon_loop::{Daemon, PauseHandler};
use event_loop::Event;
use process_pause::ProcessPause;
use std::time::Duration;

const POLL_TIMEOUT: Duration = Duration::from_millis(50);

/// A daemon with a simulated clock, which records its pauses and counts the calls of `advance`.
#[derive(Default)]
struct TestDaemon {
    now: u64,
    pauses: Vec<u64>,
    advances: usize,
}

impl Daemon for TestDaemon {
    fn update_clock(&mut self) {}

    fn now(&self) -> u64 {
        self.now
    }

    fn process_paused(&mut self, pause: ProcessPause) {
        self.pauses.push(pause.duration_ms());
    }

    fn begin_shutdown(&mut self) -> Duration {
        Duration::ZERO
    }

    fn is_shut_down(&self) -> bool {
        false
    }

    fn reload(&mut self) {}

    fn advance(&mut self) -> Duration {
        self.advances += 1;
        POLL_TIMEOUT
    }

    fn poll(&mut self, _: Duration, _: &mut Vec<Event>) {}

    fn handle_event(&mut self, _: Event) {}

    fn finish_turn(&mut self) {}
}

/// Runs one loop iteration up to its poll, at a given time. Returns the timeout of the poll.
fn run_iteration(pause_handler: &mut PauseHandler, daemon: &mut TestDaemon, now: u64) -> Duration {
    daemon.now = now;
    pause_handler.update_clock(daemon);
    pause_handler.advance(daemon)
}

#[test]
fn timers_are_postponed_until_events_of_a_pause_are_handled() {
    let (mut pause_handler, mut daemon) = (PauseHandler::default(), TestDaemon::default());
    assert_eq!(
        run_iteration(&mut pause_handler, &mut daemon, 1_000),
        POLL_TIMEOUT
    );
    // The process is paused while it polls.
    assert_eq!(
        run_iteration(&mut pause_handler, &mut daemon, 2_300),
        Duration::ZERO
    );
    assert_eq!(daemon.pauses, [1_300]);
    assert_eq!(daemon.advances, 1);
    let timeouts = (2_301..2_306).map(|now| run_iteration(&mut pause_handler, &mut daemon, now));
    assert_eq!(timeouts.last(), Some(POLL_TIMEOUT));
    assert_eq!(daemon.pauses, [1_300]);
}

#[test]
fn without_a_pause_timers_run_in_each_iteration() {
    let (mut pause_handler, mut daemon) = (PauseHandler::default(), TestDaemon::default());
    for now in (0..2_000).step_by(50) {
        assert_eq!(
            run_iteration(&mut pause_handler, &mut daemon, now),
            POLL_TIMEOUT
        );
    }
    assert!(daemon.pauses.is_empty());
    assert_eq!(daemon.advances, 40);
}
