//! Performs one operation, for tests that preload the library into this program: `rename OLD NEW`, `append FILE TEXT`,
//! `sync FILE`, `sync-data FILE`, or `time`, which prints the wall clock in milliseconds. If the operation fails, the exit code is
//! the number of the error.

use std::fs::{self, File};
use std::io::{Error, ErrorKind, Result, Write};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

fn open(path: &str) -> Result<File> {
    File::options().append(true).create(true).open(path)
}

fn print_time() -> Result<()> {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    println!("{}", time.map_err(Error::other)?.as_millis());
    Ok(())
}

fn perform(operation: &[&str]) -> Result<()> {
    match operation {
        ["rename", old, new] => fs::rename(old, new),
        ["append", path, text] => open(path)?.write_all(text.as_bytes()),
        ["sync", path] => open(path)?.sync_all(),
        ["sync-data", path] => open(path)?.sync_data(),
        ["time"] => print_time(),
        _ => Err(Error::new(ErrorKind::InvalidInput, "unknown operation")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let operation: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match perform(&operation) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let number = error.raw_os_error();
            number
                .and_then(|number| u8::try_from(number).ok())
                .map_or(ExitCode::FAILURE, ExitCode::from)
        }
    }
}
