use crate::callers::Wish;
use crate::deployment::LabFault;
use crate::judge::percentile;
use crate::ledger::RunLine;
use crate::stage::Stage;
use std::collections::BTreeMap;
use std::time::Duration;

/// Runners of three speeds, by the worker that they are on, and one worker that turns slow later.
pub fn speeds(stage: &mut Stage) -> Result<(), LabFault> {
    stage.look = Some(judge);
    let workers = stage.fleet.workers.len();
    for place in 0..workers {
        slow(stage, place, times_of(place, false));
    }
    stage.until(20.0);
    stage.fails();
    slow(stage, 0, times_of(0, true));
    stage.until(30.0);
    stage.closes();
    tell_capacity(stage);
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

fn slow(stage: &Stage, place: usize, times: u32) {
    let control = stage.fleet.workers[place].http;
    stage.post(&format!("http://{control}/slow/{times}"), Vec::new());
}

/// What the scaler believes of each runner's pace, against what the stand-in takes, in percent.
fn tell_capacity(stage: &mut Stage) {
    let Some(holder) = stage.duty_holder() else {
        return;
    };
    let runners = stage.fleet.cores[holder].runners();
    let mut off: Vec<f64> = Vec::new();
    let (mut told_capacity, mut real_capacity) = (0.0, 0.0);
    for runner in &runners {
        let text = |field: &str| runner[field].as_str().unwrap_or_default();
        let group = stage.deployment.group_of(text("function"));
        let mut workers = stage.fleet.workers.iter();
        let place = workers.position(|worker| worker.name == text("worker"));
        let told = runner["pace_ms"].as_f64().unwrap_or(0.0);
        let (Some(group), Some(place), true) = (group, place, told > 0.0) else {
            continue;
        };
        let times = times_of(place, true);
        let real = (group.pace_ms * u64::from(times)) as f64;
        off.push(100.0 * (told - real).abs() / real);
        let quota = runner["quota"].as_f64().unwrap_or(0.0);
        told_capacity += quota / told;
        real_capacity += quota / real;
    }
    off.sort_by(f64::total_cmp);
    let at = |share: f64| off.get((off.len() as f64 * share) as usize).copied();
    stage.note(format!(
        "told paces of {} runners are off by {:.0} % at the median, {:.0} % at the 90th percentile",
        off.len(),
        at(0.5).unwrap_or(f64::NAN),
        at(0.9).unwrap_or(f64::NAN)
    ));
    stage.note(format!(
        "their capacity together is told {:+.1} % off",
        100.0 * (told_capacity / real_capacity - 1.0)
    ));
    stage.expect(off.len() > 100, "too few runners have a pace");
}

/// Share of runs by the speed of their worker, before and after one turned slow, and how long
/// callers waited.
pub fn judge(
    stage: &mut Stage,
    wishes: &[Wish],
    runs: &[RunLine],
    worker_of: &BTreeMap<String, String>,
) {
    let Some((began, closed)) = stage.failed else {
        return;
    };
    let prefix = stage.deployment.groups[0].prefix.clone();
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
            let mut workers = stage.fleet.workers.iter();
            let place = workers.position(|one| one.name == worker).unwrap_or(0);
            *counts.entry(times_of(place, name != "before")).or_default() += 1;
        }
        let mut times: Vec<Duration> = wishes
            .iter()
            .filter(|wish| wish.due_ms >= from && wish.due_ms < until && wish.is_done)
            .filter(|wish| wish.function.starts_with(&prefix))
            .map(|wish| wish.took)
            .collect();
        times.sort();
        stage.note(format!(
            "{name}: runs by speed {counts:?}, p50 {} ms, p99 {} ms",
            percentile(&times, 0.5).as_millis(),
            percentile(&times, 0.99).as_millis()
        ));
        let all: usize = counts.values().sum();
        if name == "turning" {
            continue;
        }
        let slow = counts.get(&10).copied().unwrap_or(0);
        stage.expect(all > 100, "too few runs to speak of shares");
        stage.expect(
            slow * 20 < all,
            "the slowest runners got over a twentieth of the work",
        );
    }
}
