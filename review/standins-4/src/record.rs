//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to `record.txt` in the case's folder.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Starts an empty record.
    pub fn create(folder: &str) -> std::io::Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{seconds:8.3} s  {text}");
        }
    }
}
