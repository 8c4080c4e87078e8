//! Runs the days of an arm, several at a time.

use crate::arm::Arm;
use crate::checkout::{run_command, Checkout};
use crate::error::ExperimentError;
use crate::plan::{Day, Plan};
use crate::report::DayReport;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The reports of one arm by day.
pub type Reports = BTreeMap<Day, DayReport>;

/// Builds an arm in its scratch checkout and runs all days.
///
/// # Errors
///
/// The build fails, or a day ends without a report.
pub fn run_days(plan: &Plan, arm: &Arm, checkout: &Checkout) -> Result<Reports, ExperimentError> {
    checkout.deploy(arm)?;
    run_command(
        Command::new(&plan.bench)
            .arg("build")
            .current_dir(checkout.folder()),
    )?;
    let next = AtomicUsize::new(0);
    let reports: Mutex<Reports> = Mutex::default();
    let failure: Mutex<Option<ExperimentError>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..plan.jobs.max(1) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(day) = plan.days.get(index) else {
                    return;
                };
                match run_day(plan, arm, checkout.folder(), day, index) {
                    Ok(report) => {
                        reports.lock().insert(day.clone(), report);
                    }
                    Err(error) => *failure.lock() = Some(error),
                }
            });
        }
    });
    match failure.into_inner() {
        Some(error) => Err(error),
        None => Ok(reports.into_inner()),
    }
}

fn run_day(
    plan: &Plan,
    arm: &Arm,
    folder: &Path,
    day: &Day,
    index: usize,
) -> Result<DayReport, ExperimentError> {
    let report = report_path(folder, index);
    let mut command = Command::new(&plan.bench);
    command.current_dir(folder).arg("run").arg(&day.site);
    command.args([&day.day, "--seed", &day.seed.to_string(), "--jobs", "1"]);
    command.args(["--why", &format!("{}: {}", plan.why, arm.label)]);
    command.arg("--report").arg(&report);
    if plan.ignores_cpu {
        command.arg("--no-cpu");
    }
    // The benchmark also exits with an error when a day violates a rule; such a day still has a report.
    if let Err(error) = run_command(&mut command) {
        if !report.exists() {
            return Err(error);
        }
    }
    let read = DayReport::read(&report)?;
    std::fs::remove_file(&report).map_err(ExperimentError::io(&report))?;
    Ok(read)
}

fn report_path(folder: &Path, index: usize) -> PathBuf {
    folder
        .join("target")
        .join(format!("experiment-{index}.json"))
}
