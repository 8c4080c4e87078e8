//! Log lines of the watchdog, written by a thread of their own: the log may be what holds the loop, and must not hold the watchdog.

use std::io;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;

/// Most lines that wait to be written; further ones are dropped.
const WAITING_MAX: usize = 8;
/// Memory of the thread's stack.
const STACK_BYTES: usize = 64 << 10;

/// Hands lines to the thread that writes them.
pub(crate) struct LineWriter(SyncSender<String>);

impl LineWriter {
    /// Starts the thread.
    pub fn start() -> io::Result<Self> {
        let (lines, waiting) = sync_channel(WAITING_MAX);
        let writer = thread::Builder::new().stack_size(STACK_BYTES);
        writer.spawn(move || write(&waiting))?;
        Ok(Self(lines))
    }

    /// Writes a line some time, or drops it where too many wait.
    pub fn warn(&self, line: String) {
        // A line that cannot be handed over is one that the log would not take.
        let _ = self.0.try_send(line);
    }
}

fn write(waiting: &Receiver<String>) {
    for line in waiting {
        log::warn!("{line}");
    }
}
