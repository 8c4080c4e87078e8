//! Writes the watchdog's log lines on a separate thread: the log may be what blocks the loop, and must not block the watchdog.

use crate::turn_record::TurnSnapshot;
use crate::turn_watch::LongTurn;
use std::io;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;

/// Maximum number of lines queued for writing; further ones are dropped.
const WAITING_MAX: usize = 8;
/// Stack size of the writer thread.
const STACK_BYTES: usize = 64 << 10;

/// A log line about the loop of a daemon.
pub(crate) enum Line {
    /// A turn has exceeded the threshold for long turns.
    LongTurn(LongTurn),
    /// The process will be ended at the next check unless the loop makes progress.
    AboutToEnd(TurnSnapshot),
}

/// Queues lines for the writer thread.
pub(crate) struct LineWriter(SyncSender<Line>);

impl LineWriter {
    /// Starts the writer thread. Lines are prefixed with the name of the daemon.
    pub fn start(daemon: &'static str) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(WAITING_MAX);
        let writer = thread::Builder::new().stack_size(STACK_BYTES);
        writer.spawn(move || write(daemon, &waiting))?;
        Ok(Self(lines))
    }

    /// Queues a line without blocking; drops it if the queue is full.
    pub fn write(&self, line: Line) {
        // The queue is full only if the log doesn't accept lines, so dropping this one loses nothing more.
        let _ = self.0.try_send(line);
    }
}

fn write(daemon: &str, waiting: &Receiver<Line>) {
    for line in waiting {
        match line {
            Line::LongTurn(turn) => log::warn!("{daemon}: turn lasts long {turn}"),
            Line::AboutToEnd(turn) => log::warn!("{daemon}: about to end by force {turn}"),
        }
    }
}
