use parking_lot::Mutex;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// The stand-in runners' own record of every run, one line each, written before the work begins so
/// that a killed worker leaves it behind. It shares no code with hallkeel.
pub struct RunLog {
    file: Mutex<File>,
}

/// One run as a runner saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// When it began, in milliseconds since 1970.
    pub at_ms: u64,
    /// Runner that ran it.
    pub runner: String,
    /// Function of that runner.
    pub function: String,
    /// Number of the caller's request.
    pub call: String,
    /// Idempotency key, `-` where there was none.
    pub key: String,
    /// Requests in that runner with this one; 0 where it was meant for another and not run.
    pub in_flight: u32,
}

/// Milliseconds since 1970.
pub fn unix_now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

impl RunLog {
    /// Opens a ledger file and goes on at its end.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Notes a run that begins, and counts it among those in flight; lines stand in that order.
    pub fn note(&self, runner: &str, function: &str, call: &str, key: &str, flying: &AtomicU32) {
        let mut file = self.file.lock();
        let in_flight = flying.fetch_add(1, Ordering::SeqCst) + 1;
        let at_ms = unix_now_ms();
        let line = format!("{at_ms} {runner} {function} {call} {key} {in_flight}\n");
        let _ = file.write_all(line.as_bytes());
    }

    /// Notes a request that was meant for another runner and was not run.
    pub fn note_misdirected(&self, runner: &str, function: &str, call: &str) {
        let line = format!("{} {runner} {function} {call} - 0\n", unix_now_ms());
        let _ = self.file.lock().write_all(line.as_bytes());
    }
}

/// Reads all ledgers below a folder.
pub fn read_all(folder: &Path) -> io::Result<Vec<RunRecord>> {
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let text = std::fs::read_to_string(entry?.path())?;
        lines.extend(text.lines().filter_map(read_line));
    }
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

fn read_line(text: &str) -> Option<RunRecord> {
    let mut words = text.split(' ');
    Some(RunRecord {
        at_ms: words.next()?.parse().ok()?,
        runner: words.next()?.to_string(),
        function: words.next()?.to_string(),
        call: words.next()?.to_string(),
        key: words.next()?.to_string(),
        in_flight: words.next()?.parse().ok()?,
    })
}
