use crate::callers;
use crate::deployment::{Deployment, LabFault};
use crate::scenarios::{all, Scenario};
use crate::session::make_ready;
use crate::stage::Stage;
use crate::{judge, ledger};
use std::collections::HashMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;

/// Lists all scenarios.
pub fn list() -> Result<(), LabFault> {
    for scenario in all() {
        println!("{:<22} {}", scenario.name, scenario.about);
    }
    Ok(())
}

/// Runs one scenario under traffic and judges it.
pub fn run(name: &str, file: &Path, dir: &Path, report: Option<&Path>) -> Result<(), LabFault> {
    let scenarios = all();
    let Some(scenario) = scenarios.iter().find(|known| known.name == name) else {
        let text = format!("there is no scenario {name:?}; `scenario` alone lists them");
        return Err(LabFault::Input(text));
    };
    let deployment = Deployment::read(file)?;
    let ready = make_ready(&deployment, file, dir, scenario.needs_relays)?;
    let fronts: Vec<SocketAddr> = ready.fleet.fronts.iter().map(|front| front.http).collect();
    let mut stage = Stage::new(ready.fleet, deployment.clone());
    let seconds = scenario.seconds;
    let with_crowd = scenario.with_crowd;
    let traffic = {
        let deployment = deployment.clone();
        thread::spawn(move || callers::send(&deployment, &fronts, seconds, with_crowd, 1))
    };
    let acted = (scenario.act)(&mut stage);
    let wishes = traffic.join().unwrap_or_default();
    acted?;
    let folder = dir.join("ledgers");
    let runs = ledger::read_all(&folder).map_err(|error| LabFault::Fleet(error.to_string()))?;
    let districts = districts_of_runners(&folder)?;
    stage.judge(&wishes, &runs, |runner| {
        districts.get(runner).cloned().unwrap_or_default()
    });
    for check in judge::checks(&deployment, &wishes, &runs) {
        if !check.is_good {
            stage
                .broken
                .push(format!("{}: {}", check.name, check.found));
        }
    }
    conclude(scenario, file, &stage, report)
}

/// The district of each runner, by the worker in whose ledger it stands.
fn districts_of_runners(folder: &Path) -> Result<HashMap<String, String>, LabFault> {
    let fault = |error: std::io::Error| LabFault::Fleet(error.to_string());
    let mut districts = HashMap::new();
    for entry in std::fs::read_dir(folder).map_err(fault)? {
        let path = entry.map_err(fault)?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let district = name.trim_start_matches("worker-").chars().next();
        let text = std::fs::read_to_string(&path).map_err(fault)?;
        for line in text.lines() {
            if let Some(runner) = line.split(' ').nth(1) {
                let district = district.unwrap_or('?').to_string();
                districts.insert(runner.to_string(), district);
            }
        }
    }
    Ok(districts)
}

fn conclude(
    scenario: &Scenario,
    file: &Path,
    stage: &Stage,
    report: Option<&Path>,
) -> Result<(), LabFault> {
    let verdict = if stage.broken.is_empty() {
        "good".to_string()
    } else {
        format!("BROKEN: {}", stage.broken.join("; "))
    };
    let deployment = file.file_stem().unwrap_or_default().to_string_lossy();
    let line = format!(
        "| {} | {deployment} | {} | {verdict} |\n",
        scenario.name,
        stage.notes.join("; ")
    );
    print!("{line}");
    if let Some(path) = report {
        let opened = OpenOptions::new().create(true).append(true).open(path);
        opened
            .and_then(|mut file| file.write_all(line.as_bytes()))
            .map_err(|error| LabFault::Input(format!("{}: {error}", path.display())))?;
    }
    if stage.broken.is_empty() {
        return Ok(());
    }
    Err(LabFault::Broken(stage.broken.join("; ")))
}
