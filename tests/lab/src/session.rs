use crate::callers::{self, PlannedCall};
use crate::deployment::{Deployment, LabError};
use crate::fleet::{Fleet, Needs};
use crate::{judge, run_log};
use crossbeam::channel::bounded;
use parking_lot::Mutex;
use simulator::{Config, World};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

fn text_of(deployment: &Deployment) -> String {
    serde_json::to_string_pretty(&deployment.configuration()).unwrap_or_default()
}

/// Prints a deployment's configuration.
pub fn print_configuration(file: &Path) -> Result<(), LabError> {
    println!("{}", text_of(&Deployment::read(file)?));
    Ok(())
}

/// A fleet with its configuration in force and a warm runner of each function.
pub struct Ready {
    pub fleet: Fleet,
    pub up: Duration,
    pub acknowledged: Duration,
    pub held: Duration,
    pub warm: Duration,
}

/// Brings a fleet up until every function has a warm runner.
pub fn make_ready(
    deployment: &Deployment,
    file: &Path,
    dir: &Path,
    needs: Needs,
) -> Result<Ready, LabError> {
    let began = Instant::now();
    let fleet = Fleet::up(deployment, file, dir, needs)?;
    let up = began.elapsed();
    let put_at = Instant::now();
    match fleet.put(&text_of(deployment), 0) {
        Some((200, _)) => {}
        other => return Err(LabError::Fleet(format!("the put was answered {other:?}"))),
    }
    let acknowledged = put_at.elapsed();
    fleet.wait_until("every daemon holds the blueprint", |fleet| {
        fleet.fronts.iter().all(|front| {
            let status = front.get_json("/status");
            status.is_some_and(|status| status["blueprint"]["no"] == 1)
        })
    })?;
    let held = put_at.elapsed();
    let groups = deployment.groups.iter();
    let needed: u64 = groups
        .clone()
        .map(|group| group.memory_mb * group.count as u64)
        .sum();
    let workers = (deployment.zones.len() * deployment.workers_each) as u64;
    // Where memory cannot hold all, the first group must be there.
    let functions = if needed > workers * deployment.worker_memory_mb {
        deployment.groups[0].count
    } else {
        groups.map(|group| group.count).sum()
    };
    fleet.wait_until("every function has a warm runner", |fleet| {
        fleet.is_warm(functions)
    })?;
    Ok(Ready {
        fleet,
        up,
        acknowledged,
        held,
        warm: put_at.elapsed(),
    })
}

/// Keeps a fleet up until Ctrl-C.
pub fn keep_fleet(file: &Path, dir: &Path) -> Result<(), LabError> {
    let deployment = Deployment::read(file)?;
    let ready = make_ready(&deployment, file, dir, Needs::default())?;
    let cores: Vec<String> = ready
        .fleet
        .cores
        .iter()
        .map(|core| core.http.to_string())
        .collect();
    println!("cores (operators): {}", cores.join(","));
    for front in &ready.fleet.fronts {
        println!("{} (callers): http://{}", front.name, front.http);
    }
    println!("logs: {}", dir.join("logs").display());
    println!("the fleet is up; Ctrl-C ends it");
    let (stop, stopped) = bounded(1);
    let _ = ctrlc::set_handler(move || {
        let _ = stop.try_send(());
    });
    let _ = stopped.recv();
    println!(
        "ending {} processes",
        ready.fleet.daemons().count() + ready.fleet.workers.len() + 1
    );
    Ok(())
}

/// Runs steady traffic and a rush against a fresh fleet and judges both.
pub fn run(
    file: &Path,
    steady: u64,
    rush: u64,
    dir: &Path,
    report: Option<&Path>,
) -> Result<(), LabError> {
    let deployment = Deployment::read(file)?;
    let ready = make_ready(&deployment, file, dir, Needs::default())?;
    let fronts: Vec<SocketAddr> = ready.fleet.fronts.iter().map(|front| front.http).collect();
    let mut text = format!(
        "# {}\n\nFleet up in {:.1} s; blueprint acknowledged in {} ms, held by every front in {} ms, \
         a warm runner of each of {} functions in {:.1} s.\n",
        file.display(),
        ready.up.as_secs_f64(),
        ready.acknowledged.as_millis(),
        ready.held.as_millis(),
        deployment.configuration().function_specs.len(),
        ready.warm.as_secs_f64(),
    );
    let mut all = Vec::new();
    for (name, seconds, with_crowd) in [("steady", steady, false), ("rush", rush, true)] {
        if seconds == 0 {
            continue;
        }
        log::info!("lab: {name} for {seconds} s");
        let planned_calls = callers::send(
            &deployment,
            &fronts,
            seconds,
            with_crowd,
            all.len() as u64 + 1,
        );
        describe(&mut text, name, seconds, &planned_calls);
        all.extend(planned_calls);
    }
    let runs = run_log::read_all(&dir.join("ledgers"))
        .map_err(|error| LabError::Fleet(error.to_string()))?;
    let checks = judge::checks(&deployment, &all, &runs);
    let _ = writeln!(text, "\n| check | found | verdict |\n|---|---|---|");
    for check in &checks {
        let verdict = if check.is_good { "good" } else { "BROKEN" };
        let _ = writeln!(text, "| {} | {} | {verdict} |", check.name, check.found);
    }
    let _ = writeln!(text, "\n{} runs in all.", runs.len());
    match report {
        None => println!("{text}"),
        Some(path) => std::fs::write(path, &text)
            .map_err(|error| LabError::Input(format!("{}: {error}", path.display())))?,
    }
    let wanted = [judge::ONCE, judge::IN_FLIGHT, judge::WARMING, judge::WRONG];
    let broken = judge::faults(&checks, &wanted);
    if broken.is_empty() {
        return Ok(());
    }
    Err(LabError::Broken(format!("broken: {}", broken.join(", "))))
}

/// Writes what the callers saw.
pub fn describe(text: &mut String, name: &str, seconds: u64, planned_calls: &[PlannedCall]) {
    let _ = writeln!(
        text,
        "\n## {name}: {} pieces of work in {seconds} s\n\n\
         | kind | wanted | done | share | p50 ms | p99 ms | gap ms | answers that were no success |\n\
         |---|---|---|---|---|---|---|---|",
        planned_calls.len()
    );
    for line in judge::kinds(planned_calls) {
        let share = 100.0 * line.done as f64 / line.planned_calls.max(1) as f64;
        let _ = writeln!(
            text,
            "| {} | {} | {} | {share:.2} % | {} | {} | {} | {:?} |",
            line.kind,
            line.planned_calls,
            line.done,
            line.p50.as_millis(),
            line.p99.as_millis(),
            line.gap_ms,
            line.reasons
        );
    }
}

/// Runs seeds of the simulator; each that breaks a line is printed.
pub fn simulate(from: u64, seeds: u64) -> Result<(), LabError> {
    // Daemons of a simulation log their failures as real ones do; here only the verdict counts.
    log::set_max_level(log::LevelFilter::Off);
    let began = Instant::now();
    let next = AtomicU64::new(from);
    let broken = Mutex::new(Vec::new());
    let runs = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + seeds {
                    return;
                }
                let verdict = World::new(Config::default(), seed).run();
                runs.fetch_add(verdict.runs as u64, Ordering::Relaxed);
                if !verdict.violations.is_empty() {
                    println!("{verdict:#?}");
                    broken.lock().push(seed);
                }
            });
        }
    });
    let mut broken = broken.into_inner();
    broken.sort_unstable();
    println!(
        "{seeds} seeds from {from}: {} runs in {:.1} s, {} broken",
        runs.into_inner(),
        began.elapsed().as_secs_f64(),
        broken.len()
    );
    if broken.is_empty() {
        return Ok(());
    }
    Err(LabError::Broken(format!("broken seeds: {broken:?}")))
}
