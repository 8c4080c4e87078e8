//! Command line of the mutation tests; `.ci/mutations` calls it.

use clap::Parser;
use mutations::{load_entries, CargoRunner, Entry, MutationError, ScratchTree, Verdict};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Removes one safety mechanism after the other from a scratch copy and shows which tests notice.
#[derive(Parser)]
struct Options {
    /// Numbers of the entries to run, such as `3` or `10-19`; all of them by default.
    entries: Vec<String>,
    /// Only check that each entry still applies to the sources.
    #[arg(long)]
    check: bool,
    /// Root of the workspace.
    #[arg(long, default_value = ".")]
    root: PathBuf,
    /// Folder of the scratch copy and its builds.
    #[arg(long, default_value = "target/mutations")]
    scratch: PathBuf,
    /// Command put before cargo.
    #[arg(long, default_value = "")]
    prefix: String,
    /// Seconds in which the tests of one run must end.
    #[arg(long, default_value_t = 240)]
    limit: u64,
}

fn parse_range(text: &str) -> Result<RangeInclusive<u32>, MutationError> {
    let invalid = || MutationError::Range(text.to_string());
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let first = first.parse().map_err(|_| invalid())?;
    let last = last.parse().map_err(|_| invalid())?;
    Ok(first..=last)
}

fn chosen(options: &Options) -> Result<Vec<Entry>, MutationError> {
    let ranges = options.entries.iter().map(|text| parse_range(text));
    let ranges: Vec<RangeInclusive<u32>> = ranges.collect::<Result<_, _>>()?;
    let mut entries = load_entries(&options.root)?;
    entries.retain(|entry| {
        ranges.is_empty() || ranges.iter().any(|range| range.contains(&entry.number))
    });
    Ok(entries)
}

fn check(options: &Options, entries: &[Entry]) -> bool {
    let mut applies = true;
    for entry in entries {
        if let Err(error) = entry.check(&options.root) {
            println!("{error}");
            applies = false;
        }
    }
    println!("{} mutations checked", entries.len());
    applies
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Caught(tests) => format!("caught by {}", tests.join(", ")),
        Verdict::TimedOut => "TIMED OUT, not decided".into(),
        Verdict::Missed => "MISSED".into(),
        Verdict::DoesNotBuild => "DOES NOT BUILD".into(),
    }
}

fn run(options: &Options, entries: &[Entry]) -> Result<bool, MutationError> {
    let scratch = options.root.canonicalize()?.join(&options.scratch);
    let tree = ScratchTree::new(&options.root, &scratch.join("tree"));
    let runner = CargoRunner {
        target: scratch.join("target"),
        prefix: options
            .prefix
            .split_whitespace()
            .map(str::to_string)
            .collect(),
        limit: Duration::from_secs(options.limit),
    };
    let mut caught = 0;
    for entry in entries {
        let begun = Instant::now();
        tree.apply(entry)?;
        let verdict = runner.run(tree.path(), entry)?;
        caught += usize::from(matches!(verdict, Verdict::Caught(_)));
        let (removes, seconds) = (&entry.removes, begun.elapsed().as_secs());
        println!(
            "{} ({removes}): {} [{seconds} s]",
            entry.name,
            describe(&verdict)
        );
    }
    println!("{} mutations tried, {caught} caught", entries.len());
    Ok(caught == entries.len())
}

fn main() -> ExitCode {
    let options = Options::parse();
    let entries = chosen(&options);
    let outcome = entries.and_then(|entries| {
        if options.check {
            return Ok(check(&options, &entries));
        }
        run(&options, &entries)
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
