//! A thread beside the loop of a daemon.
//!
//! A daemon of one thread checks its grace period once in each turn of its loop. Where a turn does not end, because it spins or is blocked
//! in a call of the system, the daemon neither serves nor ends, which is worse for callers than its death. The watchdog knows in which step
//! the loop is, logs turns that last long, and ends the process once the grace period is over. It depends on nothing that the loop may
//! hold: it watches for the signal itself, and its lines are written by another thread, since a log may be what blocks.
//!
//! - `turn_record`: what the loop notes of its turns.
//! - `turn_watch`: which turns are to be told of, by successive looks at the record.
//! - `forced_exit`: when the process is to end by force.
//! - `line_writer`: writes log lines without holding up the watchdog.
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

/// Time between two looks at whether the process is to end.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Exit code of a process that was ended by force.
const FORCED_EXIT_CODE: i32 = 70;
/// Memory of the thread's stack.
const STACK_BYTES: usize = 128 << 10;

/// What the watchdog of a daemon needs to know.
pub struct WatchdogOptions {
    /// Prefix of its log lines.
    pub daemon: &'static str,
    /// Time from the signal to stop until the process is killed from outside.
    pub grace_period: Duration,
    /// Whether the process was asked to stop.
    pub stop_requested: Box<dyn Fn() -> bool + Send>,
}

/// Starts the watchdog of a loop. It lasts as long as the process.
///
/// # Errors
/// Where the system gives no thread.
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
            // The line has the time until the next look to be written.
            ForcedExitState::Suspected => lines.write(Line::AboutToEnd(snapshot)),
            ForcedExitState::Due => signal_hook::low_level::exit(FORCED_EXIT_CODE),
        }
    }
}
