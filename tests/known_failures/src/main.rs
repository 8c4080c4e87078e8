//! Compares the results of a test run with the list of known failures; run by `.ci/tests`.

use clap::Parser;
use known_failures::{parse_list, TestRun, Verdict};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Prints the known failures that are passed over. Exit codes: 0 the run is accepted, 1 it is not.
#[derive(Parser)]
struct Arguments {
    /// The list of known failures
    list: PathBuf,
    /// Output of the test run
    output: PathBuf,
    /// Exit code of the test run
    exit_code: i32,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let verdict = match judge(&arguments) {
        Ok(verdict) => verdict,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitCode::FAILURE;
        }
    };
    for line in verdict.passed_over.iter().chain(&verdict.errors) {
        println!("{line}");
    }
    match verdict.errors.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn judge(arguments: &Arguments) -> Result<Verdict, String> {
    let list = read(&arguments.list)?;
    let list =
        parse_list(&list).map_err(|error| format!("{}, {error}", arguments.list.display()))?;
    let run = TestRun::parse(&read(&arguments.output)?);
    let script_exists = |name: &str| Path::new(name).is_file();
    Ok(Verdict::of(&list, &run, arguments.exit_code, script_exists))
}

/// Reads a text file; bytes that are no text are replaced, since tests may print any.
fn read(path: &Path) -> Result<String, String> {
    let describe = |error: io::Error| format!("{}: {error}", path.display());
    let bytes = fs::read(path).map_err(describe)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
