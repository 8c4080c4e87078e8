use crate::callers::{self, PlannedCall};
use crate::deployment::{Deployment, LabError};
use crate::fleet::Needs;
use crate::judge::{self, percentile};
use crate::run_log;
use crate::session::{make_ready, Ready};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Callers at once, so that the load stays open-loop at ten times the crowd.
const CALLERS: usize = 16_000;

/// Sends crowds of some times the deployment's own, from sleep, and sustained traffic of some times its
/// own, each to a fresh fleet.
pub fn run(
    file: &Path,
    crowds: &[f64],
    rates: &[f64],
    seconds: u64,
    dir: &Path,
    report: Option<&Path>,
) -> Result<(), LabError> {
    let deployment = Deployment::read(file)?;
    if crowds.is_empty() && rates.is_empty() {
        return Err(LabError::Input("name --crowds, --rates, or both".into()));
    }
    let is_bad = |factor: &f64| !(0.1..=20.0).contains(factor);
    if crowds.iter().chain(rates).any(is_bad) || !(5..=600).contains(&seconds) {
        let text = "factors are 0.1 to 20, seconds 5 to 600";
        return Err(LabError::Input(text.into()));
    }
    let mut text = format!(
        "# {}\n\n| load | kind | wanted | done | share | p50 ms | p99 ms | told to come back | late ms |\n\
         |---|---|---|---|---|---|---|---|---|\n",
        file.display()
    );
    let mut closing = String::new();
    let mut broken = Vec::new();
    let crowds = crowds.iter().map(|factor| (*factor, true));
    for (factor, is_crowd) in crowds.chain(rates.iter().map(|factor| (*factor, false))) {
        let mut loaded = deployment.clone();
        for stream in &mut loaded.streams {
            if is_crowd {
                stream.crowd = (stream.crowd as f64 * factor) as usize;
            } else {
                stream.rate *= factor;
            }
        }
        let name = format!("{} x{factor}", if is_crowd { "crowd" } else { "sustained" });
        log::info!("lab: {name} for {seconds} s");
        let ready = make_ready(&deployment, file, dir, Needs::default())?;
        let fronts: Vec<SocketAddr> = ready.fleet.fronts.iter().map(|front| front.http).collect();
        let began = run_log::unix_now_ms();
        let planned_calls = callers::send_by(CALLERS, &loaded, &fronts, seconds, is_crowd, 1);
        describe(&mut text, &name, &planned_calls);
        let capacity = capacity(&ready);
        sum_up(
            &mut closing,
            &name,
            seconds,
            began,
            &planned_calls,
            capacity,
        );
        let lines = run_log::read_all(&dir.join("ledgers"));
        let lines = lines.map_err(|error| LabError::Fleet(error.to_string()))?;
        let checks = judge::checks(&deployment, &planned_calls, &lines);
        let wanted = [judge::ONCE, judge::IN_FLIGHT, judge::WARMING, judge::WRONG];
        let faults = judge::faults(&checks, &wanted);
        broken.extend(faults.into_iter().map(|fault| format!("{name}: {fault}")));
    }
    let _ = write!(
        text,
        "\n| load | done a second meanwhile | capacity by the scaler | last first ask that failed |\n|---|---|---|---|\n{closing}"
    );
    match report {
        None => println!("{text}"),
        Some(path) => std::fs::write(path, &text)
            .map_err(|error| LabError::Input(format!("{}: {error}", path.display())))?,
    }
    if broken.is_empty() {
        return Ok(());
    }
    Err(LabError::Broken(broken.join("; ")))
}

fn describe(text: &mut String, name: &str, planned_calls: &[PlannedCall]) {
    let mut late: Vec<Duration> = planned_calls
        .iter()
        .map(|planned_call| planned_call.late)
        .collect();
    late.sort();
    for line in judge::kinds(planned_calls) {
        let share = 100.0 * line.done as f64 / line.planned_calls.max(1) as f64;
        let back: usize = line
            .reasons
            .iter()
            .filter(|(reason, _)| reason.starts_with("not-run"))
            .map(|(_, count)| count)
            .sum();
        let _ = writeln!(
            text,
            "| {name} | {} | {} | {} | {share:.1} % | {} | {} | {back} | {} |",
            line.kind,
            line.planned_calls,
            line.done,
            line.p50.as_millis(),
            line.p99.as_millis(),
            percentile(&late, 0.99).as_millis()
        );
    }
}

/// Requests a second that the scaler believes its runners carry, over all functions.
fn capacity(ready: &Ready) -> f64 {
    let statuses = ready.fleet.cores.iter();
    let mut statuses = statuses.filter_map(|core| core.get_json("/status"));
    let holder = statuses.find(|status| status["duty"]["here"] == true);
    let functions = holder.map(|status| status["functions"].clone());
    let notes = functions
        .as_ref()
        .and_then(|functions| functions.as_object());
    let notes = notes.into_iter().flat_map(|notes| notes.values());
    notes.filter_map(|note| note["capacity"].as_f64()).sum()
}

fn sum_up(
    text: &mut String,
    name: &str,
    seconds: u64,
    began: u64,
    planned_calls: &[PlannedCall],
    capacity: f64,
) {
    // What was done while the load lasted; callers that were asked to come back go on for longer.
    let until = began + seconds * 1_000;
    let is_in_time = |planned_call: &&PlannedCall| {
        planned_call.is_done && planned_call.due_ms + planned_call.took.as_millis() as u64 <= until
    };
    let done = planned_calls.iter().filter(is_in_time).count();
    let failed = planned_calls.iter().filter(|planned_call| {
        let first = planned_call.attempts.first();
        first.is_none_or(|ask| !ask.is_right)
    });
    let last = failed
        .map(|planned_call| planned_call.due_ms.saturating_sub(began))
        .max();
    let last = last.map_or("none".into(), |last| format!("{last} ms"));
    let _ = writeln!(
        text,
        "| {name} | {:.0} | {capacity:.0} | {last} |",
        done as f64 / seconds as f64
    );
}
