use parking_lot::Mutex;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Log of every request that the fake runners run, one line each. A line is written before the run
/// starts, so that it survives if the worker is killed. The log shares no code with hallkeel.
pub struct RunLog {
    file: Mutex<File>,
}

/// One run as logged by the runner.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// Start time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Id of the runner.
    pub runner: String,
    /// Function of the runner.
    pub function: String,
    /// Number of the call, as sent by the caller.
    pub call: String,
    /// Idempotency key, or `-` if there is none.
    pub key: String,
    /// Requests in flight at the runner, including this one; 0 if the request was meant for another runner and not run.
    pub in_flight: u32,
}

/// Current time in milliseconds since the Unix epoch.
pub fn unix_now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

impl RunLog {
    /// Opens a log file for appending.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Logs the start of a run and counts it as in flight. Both happen under one lock, so lines are in counting order.
    pub fn note(
        &self,
        runner: &str,
        function: &str,
        call: &str,
        key: &str,
        in_flight_count: &AtomicU32,
    ) {
        let mut file = self.file.lock();
        let in_flight = in_flight_count.fetch_add(1, Ordering::SeqCst) + 1;
        let at_ms = unix_now_ms();
        let line = format!("{at_ms} {runner} {function} {call} {key} {in_flight}\n");
        let _ = file.write_all(line.as_bytes());
    }

    /// Logs a request that was meant for another runner and was not run.
    pub fn note_misdirected(&self, runner: &str, function: &str, call: &str) {
        let line = format!("{} {runner} {function} {call} - 0\n", unix_now_ms());
        let _ = self.file.lock().write_all(line.as_bytes());
    }
}

/// Reads all log files in a folder, sorted by start time.
pub fn read_all(folder: &Path) -> io::Result<Vec<RunRecord>> {
    let mut records = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let text = std::fs::read_to_string(entry?.path())?;
        records.extend(text.lines().filter_map(parse_line));
    }
    records.sort_by_key(|record| record.at_ms);
    Ok(records)
}

fn parse_line(text: &str) -> Option<RunRecord> {
    let mut fields = text.split(' ');
    Some(RunRecord {
        at_ms: fields.next()?.parse().ok()?,
        runner: fields.next()?.to_string(),
        function: fields.next()?.to_string(),
        call: fields.next()?.to_string(),
        key: fields.next()?.to_string(),
        in_flight: fields.next()?.parse().ok()?,
    })
}
