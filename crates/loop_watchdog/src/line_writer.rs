//! Log lines of the watchdog, written by a thread of their own: the log may be what holds the loop, and must not hold the watchdog.

use crate::turn_record::TurnSnapshot;
use crate::turn_watch::LongTurn;
use std::io;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;

/// Most lines that wait to be written; further ones are dropped.
const WAITING_MAX: usize = 8;
/// Memory of the thread's stack.
const STACK_BYTES: usize = 64 << 10;

/// What is told of the loop of a daemon.
pub(crate) enum Line {
    /// A turn lasts long.
    LongTurn(LongTurn),
    /// The process ends by force unless the loop goes on at once.
    AboutToEnd(TurnSnapshot),
}

/// Hands lines to the thread that writes them.
pub(crate) struct LineWriter(SyncSender<Line>);

impl LineWriter {
    /// Starts the thread. Lines begin with the name of the daemon.
    pub fn start(daemon: &'static str) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(WAITING_MAX);
        let writer = thread::Builder::new().stack_size(STACK_BYTES);
        writer.spawn(move || write(daemon, &waiting))?;
        Ok(Self(lines))
    }

    /// Writes a line some time, or drops it where too many wait.
    pub fn write(&self, line: Line) {
        // A line that cannot be handed over is one that the log would not take.
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
