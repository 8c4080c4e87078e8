//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record cannot be written");
        Self {
            file: Mutex::new(file),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>3}.{:03} {text}", at / 1000, at % 1000);
    }
}
