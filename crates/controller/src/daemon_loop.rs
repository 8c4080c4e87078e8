//! The main loop of a daemon on one thread: each iteration handles signals, then timers, then I/O events. After a pause of the
//! process, events that have already arrived are handled before timers, so that no peer is timed out whose messages have not
//! been read yet.

use crate::shutdown_deadline;
use event_loop::Event;
use loop_watchdog::{TurnRecord, WatchdogOptions};
use process_pause::{PauseDetector, ProcessPause};
use signals::Signals;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// A daemon that the loop drives: the controller or the redirector.
pub(crate) trait Daemon {
    /// Reads the clock; [`now`](Self::now) returns this time until the next call.
    fn update_clock(&mut self);
    /// The time of the last clock update, in milliseconds since the start.
    fn now(&self) -> u64;
    /// The process was paused. Data that arrived during the pause has not been read yet.
    fn process_paused(&mut self, pause: ProcessPause);
    /// Begins the shutdown; called once. Returns the time after which the process is forced to exit.
    fn begin_shutdown(&mut self) -> Duration;
    /// Whether the shutdown is complete.
    fn is_shut_down(&self) -> bool;
    /// Rereads the settings.
    fn reload(&mut self);
    /// Runs due timers and sends queued messages. Returns the timeout of the next poll.
    fn advance(&mut self) -> Duration;
    /// Waits for events, up to the timeout.
    fn poll(&mut self, timeout: Duration, events: &mut Vec<Event>);
    /// Handles one event.
    fn handle_event(&mut self, event: Event);
    /// Called after all events of an iteration were handled.
    fn finish_turn(&mut self);
}

/// Number of polls after a pause before timers run again. One poll returns up to 256 I/O events.
const POLLS_BEFORE_TIMERS: u32 = 4;

/// Detects pauses of the process, and postpones timers after them.
#[derive(Default)]
pub(crate) struct PauseHandler {
    detector: PauseDetector,
    polls_before_timers: u32,
}

impl PauseHandler {
    /// Updates the daemon's clock, and notifies the daemon if this reveals a pause.
    pub fn update_clock(&mut self, daemon: &mut impl Daemon) {
        daemon.update_clock();
        if let Some(pause) = self.detector.observe(daemon.now()) {
            let duration_ms = pause.duration_ms();
            log::warn!("controller: process paused duration_ms={duration_ms}");
            self.polls_before_timers = POLLS_BEFORE_TIMERS;
            daemon.process_paused(pause);
        }
    }

    /// Runs the daemon's timers, unless they are postponed. Returns the timeout of the next poll.
    pub fn advance(&mut self, daemon: &mut impl Daemon) -> Duration {
        if self.polls_before_timers > 0 {
            self.polls_before_timers -= 1;
            return Duration::ZERO;
        }
        daemon.advance()
    }
}

/// Runs a daemon until it has shut down after a stop signal.
pub(crate) fn run_loop(daemon: &mut impl Daemon, signals: &Signals, turns: &TurnRecord) {
    let mut events = Vec::new();
    let mut is_stopping = false;
    let mut pause_handler = PauseHandler::default();
    loop {
        turns.begin_turn(0);
        pause_handler.update_clock(daemon);
        if signals.stop_requested() && !is_stopping {
            is_stopping = true;
            let deadline = daemon.begin_shutdown();
            shutdown_deadline::enforce(deadline, move || shutdown_deadline::end_process(deadline));
        }
        if daemon.is_shut_down() {
            log::info!("controller: shut down");
            turns.end_loop();
            return;
        }
        if signals.take_reload_request() {
            turns.begin_step("settings");
            daemon.reload();
        }
        turns.begin_step("timers");
        let timeout = pause_handler.advance(daemon);
        turns.wait();
        daemon.poll(timeout, &mut events);
        pause_handler.update_clock(daemon);
        for event in events.drain(..) {
            turns.begin_step("event");
            daemon.handle_event(event);
        }
        turns.begin_step("end of turn");
        daemon.finish_turn();
    }
}

/// Starts the watchdog of a daemon. This comes first, since later steps of the start may block.
///
/// # Errors
/// If the thread cannot be spawned.
pub(crate) fn start_watchdog(
    grace_period: Duration,
    signals: &Signals,
) -> io::Result<Arc<TurnRecord>> {
    loop_watchdog::start(WatchdogOptions {
        daemon: "controller",
        grace_period,
        stop_requested: Box::new(signals.stop_requested_fn()),
    })
}
