use crate::callers::PlannedCall;
use crate::context::ScenarioContext;
use crate::deployment::LabError;
use crate::judge::percentile;
use crate::run_log::RunRecord;
use std::collections::BTreeMap;
use std::time::Duration;

/// Runners of three speeds, by the worker that they are on, and one worker that turns slow later.
pub fn speeds(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.look = Some(judge);
    let workers = context.fleet.workers.len();
    for place in 0..workers {
        slow(context, place, times_of(place, false));
    }
    context.until(20.0);
    context.fails();
    slow(context, 0, times_of(0, true));
    context.until(30.0);
    context.closes();
    tell_capacity(context);
    Ok(())
}

/// How many times longer the runners of a worker take; the first worker's as the slowest once it has
/// turned.
fn times_of(place: usize, has_turned: bool) -> u32 {
    if has_turned && place == 0 {
        return 10;
    }
    [1, 3, 10][place % 3]
}

fn slow(context: &ScenarioContext, place: usize, times: u32) {
    let control = context.fleet.workers[place].http;
    context.post(&format!("http://{control}/slow/{times}"), Vec::new());
}

/// What the scaler believes of each runner's pace, against what the stand-in takes, in percent.
fn tell_capacity(context: &mut ScenarioContext) {
    let Some(holder) = context.role_holder() else {
        return;
    };
    let runners = context.fleet.cores[holder].runners();
    let mut off: Vec<f64> = Vec::new();
    let (mut told_capacity, mut real_capacity) = (0.0, 0.0);
    for runner in &runners {
        let text = |field: &str| runner[field].as_str().unwrap_or_default();
        let group = context.deployment.group_of(text("function"));
        let mut workers = context.fleet.workers.iter();
        let place = workers.position(|worker| worker.name == text("worker"));
        let reported = runner["pace_ms"].as_f64().unwrap_or(0.0);
        let (Some(group), Some(place), true) = (group, place, reported > 0.0) else {
            continue;
        };
        let times = times_of(place, true);
        let real = (group.pace_ms * u64::from(times)) as f64;
        off.push(100.0 * (reported - real).abs() / real);
        let quota = runner["quota"].as_f64().unwrap_or(0.0);
        told_capacity += quota / reported;
        real_capacity += quota / real;
    }
    off.sort_by(f64::total_cmp);
    let at = |share: f64| off.get((off.len() as f64 * share) as usize).copied();
    context.note(format!(
        "told paces of {} runners are off by {:.0} % at the median, {:.0} % at the 90th percentile",
        off.len(),
        at(0.5).unwrap_or(f64::NAN),
        at(0.9).unwrap_or(f64::NAN)
    ));
    context.note(format!(
        "their capacity together is told {:+.1} % off",
        100.0 * (told_capacity / real_capacity - 1.0)
    ));
    context.expect(off.len() > 100, "too few runners have a pace");
}

/// Share of runs by the speed of their worker, before and after one turned slow, and how long
/// callers waited.
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
        let there = runs.iter().filter(|run| {
            run.at_ms >= from && run.at_ms < until && run.function.starts_with(&prefix)
        });
        for run in there {
            let worker = worker_of.get(&run.runner).cloned().unwrap_or_default();
            let mut workers = context.fleet.workers.iter();
            let place = workers.position(|one| one.name == worker).unwrap_or(0);
            *counts.entry(times_of(place, name != "before")).or_default() += 1;
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
