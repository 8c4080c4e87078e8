//! A watchdog thread for the event loop of a daemon.
//!
//! A single-threaded daemon checks its grace period once per turn, that is, per iteration of its loop. If a turn doesn't end,
//! because it spins or is blocked in a system call, the daemon neither serves nor exits, which is worse for callers than its exit.
//! The watchdog knows the current step of the loop, logs long turns, and exits the process when a turn is stuck near the end of
//! the grace period. It must not depend on anything that the loop may hold: it checks for the stop signal itself, and another
//! thread writes its log lines, since the log may be what blocks.
//!
//! - `turn_record`: progress of the loop, recorded by the loop itself.
//! - `turn_watch`: detects long turns by sampling the record.
//! - `forced_exit`: decides when the process must exit.
//! - `line_writer`: writes log lines without blocking the watchdog.
#![warn(missing_docs)]

mod forced_exit;
mod line_writer;
mod turn_record;
mod turn_watch;

pub use forced_exit::{ForcedExit, ForcedExitState};
pub use turn_record::{TurnRecord, TurnSnapshot};
pub use turn_watch::{LongTurn, TurnWatch};

use line_writer::{Line, LineWriter};
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time between two checks of the loop.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Exit code of a process that the watchdog has ended.
const FORCED_EXIT_CODE: i32 = 70;
/// Stack size of the watchdog thread.
const STACK_BYTES: usize = 128 << 10;

/// Settings of the watchdog of a daemon.
pub struct WatchdogOptions {
    /// Prefix of its log lines.
    pub daemon: &'static str,
    /// Time from the stop signal until the process is killed from outside.
    pub grace_period: Duration,
    /// Returns whether the process was asked to stop.
    pub stop_requested: Box<dyn Fn() -> bool + Send>,
}

/// Starts the watchdog of a loop and returns the record that the loop must update. The watchdog runs as long as the process.
///
/// # Errors
/// If the system can't create a thread.
pub fn start(options: WatchdogOptions) -> io::Result<Arc<TurnRecord>> {
    let record = Arc::new(TurnRecord::default());
    let watched = Arc::clone(&record);
    let lines = LineWriter::start(options.daemon)?;
    let watchdog = thread::Builder::new().stack_size(STACK_BYTES);
    watchdog.spawn(move || watch(&options, &watched, &lines))?;
    Ok(record)
}

fn watch(options: &WatchdogOptions, record: &TurnRecord, lines: &LineWriter) {
    let mut turns = TurnWatch::default();
    let mut forced_exit = ForcedExit::new(options.grace_period);
    let started = Instant::now();
    loop {
        thread::sleep(forced_exit.next_check_in(started.elapsed(), CHECK_INTERVAL));
        let now = started.elapsed();
        let snapshot = record.snapshot();
        if let Some(turn) = turns.observe(now, &snapshot) {
            lines.write(Line::LongTurn(turn));
        }
        match forced_exit.check(now, (options.stop_requested)(), &snapshot) {
            ForcedExitState::NotDue => {}
            // The line is written in the time until the next check.
            ForcedExitState::Suspected => lines.write(Line::AboutToEnd(snapshot)),
            ForcedExitState::Due => signal_hook::low_level::exit(FORCED_EXIT_CODE),
        }
    }
}
