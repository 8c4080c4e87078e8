//! `hallkeel-experiment`: runs the same days with and without a change and tests whether the differences are significant.

use clap::Parser;
use experiment::arm::Arm;
use experiment::checkout::Checkout;
use experiment::comparison::compare;
use experiment::error::ExperimentError;
use experiment::plan::{parse_seeds, Plan};
use experiment::{play, plot, table};
use policy::{Policy, PolicySetting};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Compares the current code with other policy options or with another checkout.
///
/// Exit codes: 0 compared, 1 a build or a day failed, 2 invalid arguments.
#[derive(Parser)]
#[command(name = "hallkeel-experiment", version)]
struct Flags {
    /// Benchmark program that runs days
    #[arg(long)]
    bench: PathBuf,
    /// Deployment file; may be given several times
    #[arg(long, required = true)]
    site: Vec<PathBuf>,
    /// Name of a day (workload scenario); may be given several times
    #[arg(long, default_value = "mix")]
    day: Vec<String>,
    /// Seeds as numbers and ranges: 1-5,9
    #[arg(long, default_value = "1-5", value_parser = parse_seeds)]
    seeds: std::vec::Vec<u64>,
    /// Checkout without the change
    #[arg(long, default_value = ".")]
    base: PathBuf,
    /// Checkout with the change; defaults to the base checkout
    #[arg(long)]
    change: Option<PathBuf>,
    /// Policy option of the change, NAME=VALUE; may be given several times
    #[arg(long)]
    set: Vec<PolicySetting>,
    /// Compare each option separately with the base (ablation)
    #[arg(long)]
    each: bool,
    /// Policy option of both arms, NAME=VALUE; may be given several times
    #[arg(long)]
    both: Vec<PolicySetting>,
    /// Number of days that run at the same time
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Leave out the CPU time of daemons
    #[arg(long)]
    no_cpu: bool,
    /// Description of the change, for the table and the journal
    #[arg(long)]
    why: String,
    /// Folder for the scratch checkouts
    #[arg(long, default_value = "target/experiment")]
    scratch: PathBuf,
    /// Output path without extension for the table (.md) and the plot (.svg); without it, the table is printed
    #[arg(long)]
    out: Option<PathBuf>,
}

fn main() -> ExitCode {
    let flags = Flags::parse();
    for settings in [&flags.set, &flags.both] {
        if let Err(error) = Policy::with_settings(settings) {
            eprintln!("hallkeel-experiment: {error}");
            return ExitCode::from(2);
        }
    }
    match run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hallkeel-experiment: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &Flags) -> Result<(), ExperimentError> {
    let plan = plan(flags)?;
    let base = Arm {
        label: "base".to_owned(),
        sources: flags.base.clone(),
        settings: flags.both.clone(),
    };
    let before = run_arm(&plan, &base, flags)?;
    if flags.each {
        return ablate(&plan, &before, flags);
    }
    let change = changed_arm(flags, "change", &flags.set);
    let after = run_arm(&plan, &change, flags)?;
    let changes = compare(&before, &after);
    let text = format!(
        "# {}\n\n{} days a side.\n\n{}{}{}",
        flags.why,
        plan.days.len(),
        table::metrics(&changes),
        table::violations("base", &before),
        table::violations("change", &after),
    );
    write_result(flags, &text)?;
    if let Some(out) = &flags.out {
        plot::draw(&out.with_extension("svg"), &flags.why, &changes)?;
    }
    Ok(())
}

/// Compares each option separately with the base.
fn ablate(plan: &Plan, before: &play::Reports, flags: &Flags) -> Result<(), ExperimentError> {
    let mut text = format!(
        "# {}\n\n{} days a side.\n\n{}",
        flags.why,
        plan.days.len(),
        table::ABLATION_HEAD
    );
    for setting in &flags.set {
        let label = format!("{}={}", setting.name, setting.value);
        let after = run_arm(
            plan,
            &changed_arm(flags, &label, std::slice::from_ref(setting)),
            flags,
        )?;
        text += &table::ablation_row(&label, &compare(before, &after));
        text += &table::violations(&label, &after);
        write_result(flags, &text)?;
    }
    Ok(())
}

/// The changed arm: the options of both arms and then these settings.
fn changed_arm(flags: &Flags, label: &str, settings: &[PolicySetting]) -> Arm {
    Arm {
        label: label.to_owned(),
        sources: flags.change.clone().unwrap_or_else(|| flags.base.clone()),
        settings: [&flags.both, settings].concat(),
    }
}

fn write_result(flags: &Flags, text: &str) -> Result<(), ExperimentError> {
    let Some(out) = &flags.out else {
        print!("{text}");
        return Ok(());
    };
    let path = out.with_extension("md");
    std::fs::write(&path, text).map_err(ExperimentError::io(&path))
}

fn plan(flags: &Flags) -> Result<Plan, ExperimentError> {
    let absolute = |path: &PathBuf| path.canonicalize().map_err(ExperimentError::io(path));
    let sites: Result<Vec<PathBuf>, ExperimentError> = flags.site.iter().map(absolute).collect();
    Ok(Plan {
        bench: absolute(&flags.bench)?,
        days: Plan::all_days(&sites?, &flags.day, &flags.seeds),
        jobs: flags.jobs,
        ignores_cpu: flags.no_cpu,
        why: flags.why.clone(),
    })
}

fn run_arm(plan: &Plan, arm: &Arm, flags: &Flags) -> Result<play::Reports, ExperimentError> {
    std::fs::create_dir_all(&flags.scratch).map_err(ExperimentError::io(&flags.scratch))?;
    let scratch = flags
        .scratch
        .canonicalize()
        .map_err(ExperimentError::io(&flags.scratch))?;
    let checkout = Checkout::prepare(&arm.sources, &scratch)?;
    let reports = play::run_days(plan, arm, &checkout)?;
    checkout.copy_journal(Path::new("."))?;
    Ok(reports)
}
