use crate::callers;
use crate::context::ScenarioContext;
use crate::deployment::{Deployment, LabError};
use crate::fleet::Needs;
use crate::scenarios::all;
use crate::session::make_ready;
use crate::watch::Watch;
use crate::{judge, run_log};
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;

/// Prints the names and descriptions of all scenarios.
pub fn list() -> Result<(), LabError> {
    for scenario in all() {
        println!("{:<22} {}", scenario.name, scenario.about);
    }
    Ok(())
}

/// Runs one scenario under traffic and checks the results.
pub fn run(name: &str, file: &Path, dir: &Path, report: Option<&Path>) -> Result<(), LabError> {
    let scenarios = all();
    let Some(scenario) = scenarios.iter().find(|candidate| candidate.name == name) else {
        let text = format!("there is no scenario {name:?}; `scenario` alone lists them");
        return Err(LabError::Input(text));
    };
    let setup = ScenarioSetup {
        name: scenario.name.to_string(),
        needs: scenario.needs,
        with_crowd: scenario.with_crowd,
        seconds: scenario.seconds,
    };
    run_scenario(&setup, file, dir, report, 1, scenario.act)
}

/// Runs all scenarios `repeat` times, one after the other; a failed scenario doesn't stop the others.
pub fn run_all(
    file: &Path,
    dir: &Path,
    report: Option<&Path>,
    repeat: u32,
) -> Result<(), LabError> {
    let mut broken = Vec::new();
    for round in 0..repeat {
        for scenario in all() {
            match run(scenario.name, file, dir, report) {
                Err(LabError::Input(text)) => return Err(LabError::Input(text)),
                Err(error) => broken.push(format!("{} {}: {error}", scenario.name, round + 1)),
                Ok(()) => {}
            }
        }
    }
    if broken.is_empty() {
        return Ok(());
    }
    Err(LabError::Broken(broken.join("; ")))
}

/// Fleet and traffic that a scenario runs with.
pub struct ScenarioSetup {
    pub name: String,
    pub needs: Needs,
    pub with_crowd: bool,
    pub seconds: u64,
}

/// Starts a fleet, runs `act` on it under traffic, and checks the results.
pub fn run_scenario(
    setup: &ScenarioSetup,
    file: &Path,
    dir: &Path,
    report: Option<&Path>,
    seed: u64,
    act: impl FnOnce(&mut ScenarioContext) -> Result<(), LabError>,
) -> Result<(), LabError> {
    let deployment = Deployment::read(file)?;
    let ready = make_ready(&deployment, file, dir, setup.needs)?;
    let fronts: Vec<SocketAddr> = ready.fleet.fronts.iter().map(|front| front.http).collect();
    let mut context = ScenarioContext::new(ready.fleet, deployment.clone());
    let (seconds, with_crowd) = (setup.seconds, setup.with_crowd);
    let daemons = context.fleet.daemons();
    let daemons = daemons.map(|daemon| (daemon.name.clone(), daemon.http));
    let watch = Watch::begin(daemons.collect());
    let traffic = {
        let deployment = deployment.clone();
        thread::spawn(move || callers::send(&deployment, &fronts, seconds, with_crowd, seed))
    };
    let act_result = act(&mut context);
    let planned_calls = traffic.join().unwrap_or_default();
    act_result?;
    let watch_results = watch.end();
    context.note(format!(
        "{} answers on versions, {} rises",
        watch_results.polls, watch_results.increases
    ));
    context.expect(watch_results.polls > 0, "no daemon told its versions");
    context.broken.extend(watch_results.decreases);
    let folder = dir.join("ledgers");
    let runs = run_log::read_all(&folder).map_err(|error| LabError::Fleet(error.to_string()))?;
    let workers = workers_of_runners(&folder)?;
    context.judge(&planned_calls, &runs, |runner| {
        let worker = workers.get(runner).map_or("", String::as_str);
        let zone = worker.trim_start_matches("worker-").chars().next();
        zone.map(String::from).unwrap_or_default()
    });
    if let Some(look) = context.look {
        look(&mut context, &planned_calls, &runs, &workers);
    }
    let checks = judge::checks(&deployment, &planned_calls, &runs);
    let wanted = context.wanted.clone();
    context.broken.extend(judge::faults(&checks, &wanted));
    for check in checks.iter().filter(|check| wanted.contains(&check.name)) {
        context.note(format!("{}: {}", check.name, check.found));
    }
    write_result(&setup.name, file, &context, report)
}

/// Maps each runner to its worker: the name of the run log in which the runner appears.
fn workers_of_runners(folder: &Path) -> Result<BTreeMap<String, String>, LabError> {
    let to_error = |error: std::io::Error| LabError::Fleet(error.to_string());
    let mut workers = BTreeMap::new();
    for entry in std::fs::read_dir(folder).map_err(to_error)? {
        let path = entry.map_err(to_error)?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let text = std::fs::read_to_string(&path).map_err(to_error)?;
        for line in text.lines() {
            if let Some(runner) = line.split(' ').nth(1) {
                workers.insert(runner.to_string(), name.to_string());
            }
        }
    }
    Ok(workers)
}

fn write_result(
    name: &str,
    file: &Path,
    context: &ScenarioContext,
    report: Option<&Path>,
) -> Result<(), LabError> {
    let verdict = if context.broken.is_empty() {
        "good".to_string()
    } else {
        format!("BROKEN: {}", context.broken.join("; "))
    };
    let deployment = file.file_stem().unwrap_or_default().to_string_lossy();
    let line = format!(
        "| {} | {deployment} | {} | {verdict} |\n",
        name,
        context.notes.join("; ")
    );
    print!("{line}");
    if let Some(path) = report {
        let opened = OpenOptions::new().create(true).append(true).open(path);
        opened
            .and_then(|mut file| file.write_all(line.as_bytes()))
            .map_err(|error| LabError::Input(format!("{}: {error}", path.display())))?;
    }
    if context.broken.is_empty() {
        return Ok(());
    }
    Err(LabError::Broken(context.broken.join("; ")))
}
