//! `hallkeel-soak`: runs the real daemons on loopback under overlapping faults and judges what clients, operators and runners saw.

use clap::Parser;
use cluster::soak::{run, SoakOptions, SoakReport};
use std::process::ExitCode;
use std::time::Duration;

/// Seeds of the short form, which CI runs.
const SHORT_SEEDS: std::ops::Range<u64> = 1..5;
const SHORT_LENGTH_S: u64 = 14;

/// Runs seeds one after the other, each on a cluster of its own, with a violated invariant ending its process.
///
/// Exit codes: 0 all promises held, 1 some did not; the folder of each such run is kept and named.
#[derive(Parser)]
#[command(name = "hallkeel-soak", version)]
struct Flags {
    /// First seed
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Number of seeds
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds for which faults and traffic last
    #[arg(long, default_value_t = 25)]
    length: u64,
    /// Runs at a time
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// The short form: fixed seeds, two at a time
    #[arg(long)]
    short: bool,
}

fn main() -> ExitCode {
    let mut flags = Flags::parse();
    if flags.short {
        flags.from = SHORT_SEEDS.start;
        flags.seeds = SHORT_SEEDS.end - SHORT_SEEDS.start;
        flags.length = SHORT_LENGTH_S;
        flags.jobs = 2;
    }
    let seeds: Vec<u64> = (flags.from..flags.from + flags.seeds).collect();
    let length = Duration::from_secs(flags.length);
    let mut broken = 0;
    for group in seeds.chunks(flags.jobs.max(1)) {
        let reports: Vec<SoakReport> = std::thread::scope(|scope| {
            let running: Vec<_> = group
                .iter()
                .map(|seed| {
                    scope.spawn(move || {
                        run(SoakOptions {
                            seed: *seed,
                            length,
                        })
                    })
                })
                .collect();
            let ended = running.into_iter();
            ended.map(|one| one.join().expect("a run ends")).collect()
        });
        for report in &reports {
            print(report);
            broken += usize::from(!report.findings.is_empty());
        }
    }
    println!("{} seeds, {broken} with a finding", seeds.len());
    ExitCode::from(u8::from(broken > 0))
}

fn print(report: &SoakReport) {
    println!(
        "seed {}: {} faults, {} requests, {} good, {} jobs, {} changes, {} reads, {} findings",
        report.schedule.seed,
        report.schedule.faults.len(),
        report.requests,
        report.answered,
        report.jobs,
        report.changes,
        report.reads,
        report.findings.len()
    );
    if let Some(folder) = &report.folder {
        print!("{}", report.schedule);
        println!("  logs: {}", folder.display());
        for finding in &report.findings {
            println!("  {finding}");
        }
    }
}
