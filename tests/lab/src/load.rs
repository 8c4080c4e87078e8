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

/// Number of concurrent callers: enough to keep the load open-loop at ten times the crowd.
const CALLERS: usize = 16_000;

/// Sends the deployment's crowd multiplied by each factor in `crowds` (to sleeping functions) and its
/// sustained traffic multiplied by each factor in `rates`, each to a new fleet.
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
    let is_out_of_range = |factor: &f64| !(0.1..=20.0).contains(factor);
    if crowds.iter().chain(rates).any(is_out_of_range) || !(5..=600).contains(&seconds) {
        let text = "factors are 0.1 to 20, seconds 5 to 600";
        return Err(LabError::Input(text.into()));
    }
    let mut text = format!(
        "# {}\n\n| load | kind | wanted | done | share | p50 ms | p99 ms | told to come back | late ms |\n\
         |---|---|---|---|---|---|---|---|---|\n",
        file.display()
    );
    let mut summary = String::new();
    let mut broken = Vec::new();
    let crowds = crowds.iter().map(|factor| (*factor, true));
    for (factor, is_crowd) in crowds.chain(rates.iter().map(|factor| (*factor, false))) {
        let mut scaled_deployment = deployment.clone();
        for stream in &mut scaled_deployment.streams {
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
        let start_ms = run_log::unix_now_ms();
        let planned_calls =
            callers::send_by(CALLERS, &scaled_deployment, &fronts, seconds, is_crowd, 1);
        write_kinds(&mut text, &name, &planned_calls);
        let capacity = capacity(&ready);
        write_summary(
            &mut summary,
            &name,
            seconds,
            start_ms,
            &planned_calls,
            capacity,
        );
        let runs = run_log::read_all(&dir.join("ledgers"));
        let runs = runs.map_err(|error| LabError::Fleet(error.to_string()))?;
        let checks = judge::checks(&deployment, &planned_calls, &runs);
        let wanted = [judge::ONCE, judge::IN_FLIGHT, judge::WARMING, judge::WRONG];
        let faults = judge::faults(&checks, &wanted);
        broken.extend(faults.into_iter().map(|fault| format!("{name}: {fault}")));
    }
    let _ = write!(
        text,
        "\n| load | done a second meanwhile | capacity by the scaler | last first ask that failed |\n|---|---|---|---|\n{summary}"
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

fn write_kinds(text: &mut String, name: &str, planned_calls: &[PlannedCall]) {
    let mut lateness: Vec<Duration> = planned_calls
        .iter()
        .map(|planned_call| planned_call.late)
        .collect();
    lateness.sort();
    for line in judge::kinds(planned_calls) {
        let share = 100.0 * line.done as f64 / line.planned_calls.max(1) as f64;
        let retry_later_count: usize = line
            .reasons
            .iter()
            .filter(|(reason, _)| reason.starts_with("not-run"))
            .map(|(_, count)| count)
            .sum();
        let _ = writeln!(
            text,
            "| {name} | {} | {} | {} | {share:.1} % | {} | {} | {retry_later_count} | {} |",
            line.kind,
            line.planned_calls,
            line.done,
            line.p50.as_millis(),
            line.p99.as_millis(),
            percentile(&lateness, 0.99).as_millis()
        );
    }
}

/// Capacity of all functions together in requests per second, as estimated by the scaler.
fn capacity(ready: &Ready) -> f64 {
    let statuses = ready.fleet.cores.iter();
    let mut statuses = statuses.filter_map(|core| core.get_json("/status"));
    let holder = statuses.find(|status| status["duty"]["here"] == true);
    let functions = holder.map(|status| status["functions"].clone());
    let function_statuses = functions
        .as_ref()
        .and_then(|functions| functions.as_object());
    let function_statuses = function_statuses
        .into_iter()
        .flat_map(|function_statuses| function_statuses.values());
    function_statuses
        .filter_map(|function_status| function_status["capacity"].as_f64())
        .sum()
}

fn write_summary(
    text: &mut String,
    name: &str,
    seconds: u64,
    start_ms: u64,
    planned_calls: &[PlannedCall],
    capacity: f64,
) {
    // Only calls that ended while the load was applied; callers that were told to retry later go on for longer.
    let end_ms = start_ms + seconds * 1_000;
    let is_in_time = |planned_call: &&PlannedCall| {
        planned_call.is_done && planned_call.due_ms + planned_call.took.as_millis() as u64 <= end_ms
    };
    let done = planned_calls.iter().filter(is_in_time).count();
    let failed = planned_calls.iter().filter(|planned_call| {
        let first = planned_call.attempts.first();
        first.is_none_or(|attempt| !attempt.is_right)
    });
    let last = failed
        .map(|planned_call| planned_call.due_ms.saturating_sub(start_ms))
        .max();
    let last = last.map_or("none".into(), |last| format!("{last} ms"));
    let _ = writeln!(
        text,
        "| {name} | {:.0} | {capacity:.0} | {last} |",
        done as f64 / seconds as f64
    );
}
