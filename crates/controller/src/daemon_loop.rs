//! The loop of a daemon on one thread: signals, then timers, then what arrives on connections. After a pause of the process what has arrived
//! comes before timers, so that nobody is taken for silent who was not heard yet.

use crate::shutdown_deadline;
use event_loop::Event;
use loop_watchdog::{TurnRecord, WatchdogOptions};
use process_pause::{PauseDetector, ProcessPause};
use signals::Signals;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// What the loop drives. Both daemons of this crate are run by it.
pub(crate) trait Daemon {
    /// Takes the time that holds until the next call of this.
    fn update_clock(&mut self);
    /// That time, in milliseconds.
    fn now(&self) -> u64;
    /// The process stood still. What came meanwhile is not read yet.
    fn process_paused(&mut self, pause: ProcessPause);
    /// The process was asked to stop. Called once. Returns after how long it is to end by force.
    fn begin_shutdown(&mut self) -> Duration;
    /// Whether the daemon is ready to end.
    fn is_shut_down(&self) -> bool;
    /// The settings are to be read anew.
    fn reload(&mut self);
    /// Does what is due by time and sends what is ready. Returns for how long the next wait may last.
    fn advance(&mut self) -> Duration;
    /// Waits for events for at most that long.
    fn poll(&mut self, timeout: Duration, events: &mut Vec<Event>);
    /// Handles one event.
    fn handle_event(&mut self, event: Event);
    /// All events of a turn were handled.
    fn finish_turn(&mut self);
}

/// Polls after a pause before timers run. One takes up to 256 events of connections.
const POLLS_BEFORE_TIMERS: u32 = 4;

/// Pauses of the process, and how many polls come before the next timers.
#[derive(Default)]
pub(crate) struct Pauses {
    detector: PauseDetector,
    polls_before_timers: u32,
}

impl Pauses {
    /// Takes the time of a daemon's turn, and tells it of a pause before it.
    pub fn update_clock(&mut self, daemon: &mut impl Daemon) {
        daemon.update_clock();
        if let Some(pause) = self.detector.observe(daemon.now()) {
            let duration_ms = pause.duration_ms();
            log::warn!("controller: process paused duration_ms={duration_ms}");
            self.polls_before_timers = POLLS_BEFORE_TIMERS;
            daemon.process_paused(pause);
        }
    }

    /// Does what is due by time, unless events come first. Returns for how long the next wait may last.
    pub fn advance(&mut self, daemon: &mut impl Daemon) -> Duration {
        if self.polls_before_timers > 0 {
            self.polls_before_timers -= 1;
            return Duration::ZERO;
        }
        daemon.advance()
    }
}

/// Runs a daemon until it has stopped after it was asked to.
pub(crate) fn run_loop(daemon: &mut impl Daemon, signals: &Signals, turns: &TurnRecord) {
    let mut events = Vec::new();
    let mut is_stopping = false;
    let mut pauses = Pauses::default();
    loop {
        turns.begin_turn(0);
        pauses.update_clock(daemon);
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
        let timeout = pauses.advance(daemon);
        turns.wait();
        daemon.poll(timeout, &mut events);
        pauses.update_clock(daemon);
        for event in events.drain(..) {
            turns.begin_step("event");
            daemon.handle_event(event);
        }
        turns.begin_step("end of turn");
        daemon.finish_turn();
    }
}

/// Starts the watchdog of a daemon, which is done before anything that may take long.
///
/// # Errors
/// Where the system gives no thread.
pub(crate) fn start_watchdog(
    grace_period: Duration,
    signals: &Signals,
) -> io::Result<Arc<TurnRecord>> {
    loop_watchdog::start(WatchdogOptions {
        daemon: "controller",
        grace_period,
        stop_requested: Box::new(signals.stop_probe()),
    })
}
