//! Command line of the mutation tests; `.ci/mutations` calls it.

use clap::Parser;
use mutations::{
    is_good, load_entries, table, verdict_text, Campaign, CargoOptions, Entry, MutationError,
    Trial, TrialResult, Workspace,
};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Removes one safety mechanism after the other from a scratch copy and shows which tests notice.
#[derive(Parser)]
struct MutationArguments {
    /// Numbers of the entries to run, such as `3` or `10-19`; all of them by default.
    entries: Vec<String>,
    /// Only check that each entry still applies to the sources, and that the tests that it names are there.
    #[arg(long, conflicts_with = "compile")]
    check: bool,
    /// Only compile the package of each mutated file.
    #[arg(long)]
    compile: bool,
    /// Root of the workspace.
    #[arg(long, default_value = ".")]
    root: PathBuf,
    /// Folder of the scratch copies and their builds.
    #[arg(long, default_value = "target/mutations")]
    scratch: PathBuf,
    /// Command put before cargo.
    #[arg(long, default_value = "")]
    prefix: String,
    /// Seconds in which the tests of one run must end.
    #[arg(long, default_value_t = 240)]
    timeout: u64,
    /// Entries that are tried at once.
    #[arg(long, default_value_t = 3)]
    workers: usize,
    /// Compilers that one build may run at once.
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

fn chosen(arguments: &MutationArguments) -> Result<Vec<Entry>, MutationError> {
    let ranges = arguments.entries.iter().map(|text| parse_range(text));
    let ranges: Vec<RangeInclusive<u32>> = ranges.collect::<Result<_, _>>()?;
    let mut entries = load_entries(&arguments.root)?;
    entries.retain(|entry| {
        ranges.is_empty() || ranges.iter().any(|range| range.contains(&entry.number))
    });
    Ok(entries)
}

/// Checks that entries apply and that their tests are there; nothing is built.
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
    let (name, seconds) = (&result.entry.name, result.took.as_secs());
    println!("{name}: {} [{seconds} s]", verdict_text(&result.verdict));
}

/// Tries entries and prints a table.
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
    Ok(results.iter().all(|result| is_good(&result.verdict)))
}

fn main() -> ExitCode {
    let arguments = MutationArguments::parse();
    let outcome = chosen(&arguments).and_then(|entries| {
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
