//! Command line of the mutation tests; run by `.ci/mutations`.

use clap::Parser;
use mutations::{
    is_expected, load_entries, table, verdict_text, Campaign, CargoOptions, Entry, MutationError,
    Trial, TrialResult, Workspace,
};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Removes safety mechanisms one at a time from a scratch copy of the sources and reports which tests fail.
#[derive(Parser)]
struct MutationArguments {
    /// Numbers of the entries to run, such as `3` or `10-19`; all entries by default.
    entries: Vec<String>,
    /// Only check that each entry still applies to the sources and that the tests it names exist.
    #[arg(long, conflicts_with = "compile")]
    check: bool,
    /// Only compile the package of each mutated file.
    #[arg(long)]
    compile: bool,
    /// Workspace root.
    #[arg(long, default_value = ".")]
    root: PathBuf,
    /// Folder of the scratch copies and their builds.
    #[arg(long, default_value = "target/mutations")]
    scratch: PathBuf,
    /// Command and arguments to prefix to cargo, such as one that queues builds; none by default.
    #[arg(long, default_value = "")]
    prefix: String,
    /// Timeout of one test run, in seconds.
    #[arg(long, default_value_t = 240)]
    timeout: u64,
    /// Number of entries that are tried in parallel.
    #[arg(long, default_value_t = 3)]
    workers: usize,
    /// Maximum number of parallel compiler processes per build.
    #[arg(long, default_value_t = 4)]
    build_jobs: usize,
}

fn parse_range(text: &str) -> Result<RangeInclusive<u32>, MutationError> {
    let invalid = || MutationError::Range(text.to_string());
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let first = first.parse().map_err(|_| invalid())?;
    let last = last.parse().map_err(|_| invalid())?;
    Ok(first..=last)
}

fn select_entries(arguments: &MutationArguments) -> Result<Vec<Entry>, MutationError> {
    let ranges = arguments.entries.iter().map(|text| parse_range(text));
    let ranges: Vec<RangeInclusive<u32>> = ranges.collect::<Result<_, _>>()?;
    let mut entries = load_entries(&arguments.root)?;
    entries.retain(|entry| {
        ranges.is_empty() || ranges.iter().any(|range| range.contains(&entry.number))
    });
    Ok(entries)
}

/// Checks that entries apply and that their tests exist; nothing is built.
fn check(arguments: &MutationArguments, entries: &[Entry]) -> Result<bool, MutationError> {
    let workspace = Workspace::read(&arguments.root)?;
    let mut is_valid = true;
    for entry in entries {
        let checks = [entry.check(&arguments.root), workspace.check_tests(entry)];
        for error in checks.into_iter().filter_map(Result::err) {
            println!("{error}");
            is_valid = false;
        }
    }
    println!("{} mutations checked", entries.len());
    Ok(is_valid)
}

fn print_result(result: &TrialResult) {
    let (name, seconds) = (&result.entry.name, result.elapsed.as_secs());
    println!("{name}: {} [{seconds} s]", verdict_text(&result.verdict));
}

/// Tries entries and prints a table of the results.
fn run(arguments: &MutationArguments, entries: Vec<Entry>) -> Result<bool, MutationError> {
    let root = arguments.root.canonicalize()?;
    let prefix = arguments.prefix.split_whitespace();
    let campaign = Campaign {
        scratch: root.join(&arguments.scratch),
        root,
        workers: arguments.workers,
        trial: if arguments.compile {
            Trial::Compile
        } else {
            Trial::Test
        },
        cargo: CargoOptions {
            prefix: prefix.map(str::to_string).collect(),
            timeout: Duration::from_secs(arguments.timeout),
            build_jobs: arguments.build_jobs,
        },
    };
    let results = campaign.run(entries, print_result)?;
    println!("\n{}", table(&results));
    Ok(results.iter().all(|result| is_expected(&result.verdict)))
}

fn main() -> ExitCode {
    let arguments = MutationArguments::parse();
    let outcome = select_entries(&arguments).and_then(|entries| {
        if arguments.check {
            check(&arguments, &entries)
        } else {
            run(&arguments, entries)
        }
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("mutations: {error}");
            ExitCode::FAILURE
        }
    }
}
