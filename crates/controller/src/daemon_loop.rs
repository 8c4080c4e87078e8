//! The loop of a daemon on one thread: signals, then timers, then what arrives on connections.

use crate::shutdown_deadline;
use event_loop::Event;
use signals::Signals;
use std::time::Duration;

/// What the loop drives. Both daemons of this crate are run by it.
pub(crate) trait Daemon {
    /// Takes the time that holds until the next call of this.
    fn update_clock(&mut self);
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

/// Runs a daemon until it has stopped after it was asked to.
pub(crate) fn run_loop(daemon: &mut impl Daemon, signals: &Signals) {
    let mut events = Vec::new();
    let mut is_stopping = false;
    loop {
        daemon.update_clock();
        if signals.stop_requested() && !is_stopping {
            is_stopping = true;
            let deadline = daemon.begin_shutdown();
            shutdown_deadline::enforce(deadline, move || shutdown_deadline::end_process(deadline));
        }
        if daemon.is_shut_down() {
            log::info!("controller: shut down");
            return;
        }
        if signals.take_reload_request() {
            daemon.reload();
        }
        let timeout = daemon.advance();
        daemon.poll(timeout, &mut events);
        daemon.update_clock();
        for event in events.drain(..) {
            daemon.handle_event(event);
        }
        daemon.finish_turn();
    }
}
