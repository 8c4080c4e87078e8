use crate::callers::PlannedCall;
use crate::context::ScenarioContext;
use crate::deployment::LabError;
use crate::judge::percentile;
use crate::run_log::RunRecord;
use std::collections::BTreeMap;
use std::time::Duration;

/// Runners have one of three speeds, depending on their worker; later, one worker becomes slow.
pub fn speeds(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.look = Some(judge);
    let workers = context.fleet.workers.len();
    for index in 0..workers {
        slow(context, index, slowdown_of(index, false));
    }
    context.until(20.0);
    context.fails();
    slow(context, 0, slowdown_of(0, true));
    context.until(30.0);
    context.closes();
    report_capacity(context);
    Ok(())
}

/// Slowdown factor of the runners of a worker. The first worker becomes as slow as the slowest ones in
/// the course of the scenario.
fn slowdown_of(index: usize, is_slowed: bool) -> u32 {
    if is_slowed && index == 0 {
        return 10;
    }
    [1, 3, 10][index % 3]
}

fn slow(context: &ScenarioContext, index: usize, times: u32) {
    let control = context.fleet.workers[index].http;
    context.post(&format!("http://{control}/slow/{times}"), Vec::new());
}

/// Reports by how many percent the scaler's estimates of run durations differ from the actual durations
/// of the fake runners.
fn report_capacity(context: &mut ScenarioContext) {
    let Some(holder) = context.role_holder() else {
        return;
    };
    let runners = context.fleet.cores[holder].runners();
    let mut errors_percent: Vec<f64> = Vec::new();
    let (mut estimated_capacity, mut actual_capacity) = (0.0, 0.0);
    for runner in &runners {
        let text = |field: &str| runner[field].as_str().unwrap_or_default();
        let group = context.deployment.group_of(text("function"));
        let mut workers = context.fleet.workers.iter();
        let index = workers.position(|worker| worker.name == text("worker"));
        let reported = runner["pace_ms"].as_f64().unwrap_or(0.0);
        let (Some(group), Some(index), true) = (group, index, reported > 0.0) else {
            continue;
        };
        let times = slowdown_of(index, true);
        let actual = (group.pace_ms * u64::from(times)) as f64;
        errors_percent.push(100.0 * (reported - actual).abs() / actual);
        let quota = runner["quota"].as_f64().unwrap_or(0.0);
        estimated_capacity += quota / reported;
        actual_capacity += quota / actual;
    }
    errors_percent.sort_by(f64::total_cmp);
    let at = |share: f64| {
        errors_percent
            .get((errors_percent.len() as f64 * share) as usize)
            .copied()
    };
    context.note(format!(
        "told paces of {} runners are off by {:.0} % at the median, {:.0} % at the 90th percentile",
        errors_percent.len(),
        at(0.5).unwrap_or(f64::NAN),
        at(0.9).unwrap_or(f64::NAN)
    ));
    context.note(format!(
        "their capacity together is told {:+.1} % off",
        100.0 * (estimated_capacity / actual_capacity - 1.0)
    ));
    context.expect(errors_percent.len() > 100, "too few runners have a pace");
}

/// Reports the runs by speed of their worker and the latency that callers saw, before, while and after
/// one worker becomes slow. Checks that the slowest runners got less than a twentieth of the runs.
pub fn judge(
    context: &mut ScenarioContext,
    planned_calls: &[PlannedCall],
    runs: &[RunRecord],
    worker_of: &BTreeMap<String, String>,
) {
    let Some((began, closed)) = context.failed else {
        return;
    };
    let prefix = context.deployment.groups[0].prefix.clone();
    for (name, from, until) in [
        ("before", began - 8_000, began),
        ("turning", began, began + 8_000),
        ("after", closed, u64::MAX),
    ] {
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        let matching_runs = runs.iter().filter(|run| {
            run.at_ms >= from && run.at_ms < until && run.function.starts_with(&prefix)
        });
        for run in matching_runs {
            let worker = worker_of.get(&run.runner).cloned().unwrap_or_default();
            let mut workers = context.fleet.workers.iter();
            let index = workers
                .position(|candidate| candidate.name == worker)
                .unwrap_or(0);
            *counts
                .entry(slowdown_of(index, name != "before"))
                .or_default() += 1;
        }
        let mut times: Vec<Duration> = planned_calls
            .iter()
            .filter(|planned_call| {
                planned_call.due_ms >= from && planned_call.due_ms < until && planned_call.is_done
            })
            .filter(|planned_call| planned_call.function.starts_with(&prefix))
            .map(|planned_call| planned_call.took)
            .collect();
        times.sort();
        context.note(format!(
            "{name}: runs by speed {counts:?}, p50 {} ms, p99 {} ms",
            percentile(&times, 0.5).as_millis(),
            percentile(&times, 0.99).as_millis()
        ));
        let all: usize = counts.values().sum();
        if name == "turning" {
            continue;
        }
        let slow = counts.get(&10).copied().unwrap_or(0);
        context.expect(all > 100, "too few runs to speak of shares");
        context.expect(
            slow * 20 < all,
            "the slowest runners got over a twentieth of the work",
        );
    }
}
