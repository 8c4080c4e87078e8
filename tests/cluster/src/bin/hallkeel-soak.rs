//! `hallkeel-soak`: runs the real daemons on loopback under overlapping faults and checks what clients, operators and runners
//! observed.

use clap::Parser;
use cluster::disk_probe::{self, Stall};
use cluster::paths::scratch;
use cluster::soak::rolling::{self, RollingOptions, RollingReport};
use cluster::soak::{run, SoakOptions, SoakReport};
use std::process::ExitCode;
use std::time::Duration;

/// Seeds of the short form, which CI runs, and the length of each run.
const SHORT_SEEDS: std::ops::Range<u64> = 1..5;
const SHORT_LENGTH_S: u64 = 14;
/// Rolling-restart seeds of the short form, one with kills and one without, run one at a time.
const SHORT_ROLLING_SEEDS: std::ops::Range<u64> = 1..3;
const SHORT_ROLLING_GATEWAYS: usize = 16;
/// Seeds of the short form that pause owners, both run at the same time.
const SHORT_AIMED_SEEDS: std::ops::Range<u64> = 9000..9002;
const SHORT_AIMED_GATEWAYS: usize = 10;

/// Runs seeds, each on its own cluster. A daemon exits when one of its invariants is violated.
///
/// Exit codes: 0 no findings, 1 findings. The folder of each run with findings is kept and its path printed.
#[derive(Parser)]
#[command(name = "hallkeel-soak", version)]
struct Flags {
    /// First seed
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Number of seeds
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Duration of faults and traffic in seconds
    #[arg(long, default_value_t = 25)]
    length: u64,
    /// Number of runs at the same time
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Restart many gateways one after the other while runners drain and configurations change; odd seeds also kill gateways
    #[arg(long)]
    rolling: bool,
    /// Number of gateways with `--rolling`
    #[arg(long, default_value_t = 24)]
    gateways: usize,
    /// Number of clients with `--rolling`
    #[arg(long, default_value_t = 48)]
    clients: usize,
    /// With `--rolling`: pause the owner of a function while one of its runners drains
    #[arg(long)]
    aimed: bool,
    /// Keep data and logs of runs with `--rolling` even without findings
    #[arg(long)]
    keep: bool,
    /// The short form: fixed seeds, two at a time, then some with `--rolling`, then some with `--aimed`
    #[arg(long)]
    short: bool,
}

fn main() -> ExitCode {
    let mut flags = Flags::parse();
    start_disk_probe();
    let failed = if flags.short {
        flags.length = SHORT_LENGTH_S;
        flags.jobs = 2;
        let failed = run_seeds(&flags, SHORT_SEEDS);
        flags.jobs = 1;
        flags.gateways = SHORT_ROLLING_GATEWAYS;
        let failed = failed + run_rolling_seeds(&flags, SHORT_ROLLING_SEEDS);
        flags.aimed = true;
        flags.jobs = 2;
        flags.gateways = SHORT_AIMED_GATEWAYS;
        failed + run_rolling_seeds(&flags, SHORT_AIMED_SEEDS)
    } else {
        let seeds = flags.from..flags.from + flags.seeds;
        match flags.rolling {
            true => run_rolling_seeds(&flags, seeds),
            false => run_seeds(&flags, seeds),
        }
    };
    ExitCode::from(u8::from(failed > 0))
}

/// Runs seeds in groups of `jobs` and prints each report. Returns how many had findings.
fn run_all<R: Send>(
    seeds: std::ops::Range<u64>,
    jobs: usize,
    run: impl Fn(u64) -> R + Sync,
    print: impl Fn(&R) -> bool,
) -> usize {
    let seeds: Vec<u64> = seeds.collect();
    let mut failed = 0;
    for group in seeds.chunks(jobs.max(1)) {
        let reports: Vec<R> = std::thread::scope(|scope| {
            let run = &run;
            let running: Vec<_> = group
                .iter()
                .map(|seed| scope.spawn(move || run(*seed)))
                .collect();
            let ended = running.into_iter();
            ended
                .map(|one| one.join().expect("a run does not panic"))
                .collect()
        });
        failed += reports.iter().filter(|report| print(report)).count();
    }
    println!("{} seeds, {failed} with a finding", seeds.len());
    print_stalls();
    failed
}

/// Starts the disk probe in the folder that holds the daemons' data.
fn start_disk_probe() {
    let folder = scratch();
    if std::fs::create_dir_all(&folder).is_ok() {
        disk_probe::start(&folder);
    }
}

/// Prints how often and how long the disk stalled.
fn print_stalls() {
    let stalls = disk_probe::stalls();
    let longest = stalls.iter().map(Stall::duration).max();
    if let Some(longest) = longest {
        let count = stalls.len();
        println!("the disk stalled {count} times, for {longest:.1?} at the longest; time limits stood still");
    }
}

fn run_seeds(flags: &Flags, seeds: std::ops::Range<u64>) -> usize {
    let length = Duration::from_secs(flags.length);
    let run = |seed| run(SoakOptions { seed, length });
    run_all(seeds, flags.jobs, run, |report| {
        print(report);
        !report.findings.is_empty()
    })
}

fn run_rolling_seeds(flags: &Flags, seeds: std::ops::Range<u64>) -> usize {
    let run = |seed| {
        rolling::run(RollingOptions {
            seed,
            length: Duration::from_secs(flags.length),
            gateways: flags.gateways,
            clients: flags.clients,
            pauses_owners: flags.aimed,
            keeps_folder: flags.keep,
        })
    };
    run_all(seeds, flags.jobs, run, |report| {
        print_rolling(report);
        !report.findings.is_empty()
    })
}

fn print_rolling(report: &RollingReport) {
    let outcomes: Vec<String> = report
        .outcomes
        .iter()
        .map(|(outcome, count)| format!("{outcome}: {count}"))
        .collect();
    println!(
        "rolling seed {}: {} steps, {} requests ({}), {} runners left, {} changes, {} findings",
        report.series.seed,
        report.series.steps.len(),
        report.requests,
        outcomes.join(", "),
        report.draining_runners,
        report.changes,
        report.findings.len()
    );
    if let Some(folder) = &report.folder {
        println!("  logs: {}", folder.display());
    }
    if !report.findings.is_empty() {
        print!("{}", report.series);
        for finding in &report.findings {
            println!("  {finding}");
        }
    }
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
