use crate::callers::PlannedCall;
use crate::deployment::Deployment;
use crate::run_log::RunRecord;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// One check of a must-never line.
pub struct Check {
    pub name: &'static str,
    /// How many cases it looked at; a check that had none proves nothing.
    pub counted: usize,
    pub found: String,
    pub is_good: bool,
}

pub const ONCE: &str = "runs of one once-key";
pub const REFUSED: &str = "runs after 'not run'";
pub const IN_FLIGHT: &str = "largest in flight in a runner";
pub const WARMING: &str = "in flight while warming";
pub const WRONG: &str = "successes that are not the runner's own answer";
pub const UNRUN: &str = "successes that no runner wrote down";
pub const MISDIRECTED: &str = "runs at another function's runner";
pub const RETRIES: &str = "retries in the worst window";

/// What the callers of one kind saw.
pub struct KindSummary {
    pub kind: String,
    pub planned_calls: usize,
    pub done: usize,
    pub p50: Duration,
    pub p99: Duration,
    /// Longest time between two pieces of work that were done, by when they were due.
    pub gap_ms: u64,
    pub reasons: BTreeMap<String, usize>,
}

/// The value below which a share of sorted values lies.
pub fn percentile(sorted: &[Duration], share: f64) -> Duration {
    let place = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(place).copied().unwrap_or_default()
}

/// Sums up each kind.
pub fn kinds(planned_calls: &[PlannedCall]) -> Vec<KindSummary> {
    let mut by_kind: BTreeMap<&str, Vec<&PlannedCall>> = BTreeMap::new();
    for planned_call in planned_calls {
        by_kind
            .entry(&planned_call.kind)
            .or_default()
            .push(planned_call);
    }
    let lines = by_kind.into_iter().map(|(kind, planned_calls)| {
        let done = planned_calls
            .iter()
            .filter(|planned_call| planned_call.is_done);
        let mut dues: Vec<u64> = done
            .clone()
            .map(|planned_call| planned_call.due_ms)
            .collect();
        dues.sort_unstable();
        let gaps = dues.windows(2).map(|pair| pair[1] - pair[0]);
        let gap_ms = gaps.max().unwrap_or(0);
        let mut times: Vec<Duration> = done.map(|planned_call| planned_call.took).collect();
        times.sort();
        let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
        for ask in planned_calls
            .iter()
            .flat_map(|planned_call| &planned_call.attempts)
        {
            if ask.outcome != "answered" || !ask.is_right {
                let reason = format!("{}/{}", ask.outcome, ask.reason);
                *reasons.entry(reason).or_default() += 1;
            }
        }
        KindSummary {
            kind: kind.to_string(),
            planned_calls: planned_calls.len(),
            done: times.len(),
            p50: percentile(&times, 0.50),
            p99: percentile(&times, 0.99),
            gap_ms,
            reasons,
        }
    });
    lines.collect()
}

/// Compares the outcomes of callers with what the runners wrote down.
pub fn checks(
    deployment: &Deployment,
    planned_calls: &[PlannedCall],
    lines: &[RunRecord],
) -> Vec<Check> {
    let runs: Vec<RunRecord> = lines
        .iter()
        .filter(|line| line.in_flight > 0)
        .cloned()
        .collect();
    let runs = runs.as_slice();
    vec![
        once_runs(runs),
        runs_after_refusal(planned_calls, runs),
        in_flight(deployment, runs),
        warming(runs),
        wrong_successes(planned_calls),
        unrun_successes(planned_calls, runs),
        misdirected(planned_calls, lines),
        retries(deployment, lines),
    ]
}

fn once_runs(runs: &[RunRecord]) -> Check {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter().filter(|run| run.key != "-") {
        *counts.entry(&run.key).or_default() += 1;
    }
    let most = counts.values().copied().max().unwrap_or(0);
    Check {
        name: ONCE,
        counted: counts.len(),
        found: format!("at most {most} over {} keys", counts.len()),
        is_good: most <= 1,
    }
}

fn runs_after_refusal(planned_calls: &[PlannedCall], runs: &[RunRecord]) -> Check {
    let ran: HashSet<&str> = runs.iter().map(|run| run.call.as_str()).collect();
    // Work under one key keeps its number; it is promised not to have run only where every request
    // with the number was answered so.
    let mut promised: HashMap<&str, bool> = HashMap::new();
    for ask in planned_calls
        .iter()
        .flat_map(|planned_call| &planned_call.attempts)
    {
        *promised.entry(&ask.call).or_insert(true) &= ask.outcome == "not-run";
    }
    let promised = promised.into_iter().filter(|(_, is_promised)| *is_promised);
    let promised: Vec<&str> = promised.map(|(call, _)| call).collect();
    let broken = promised.iter().filter(|call| ran.contains(*call)).count();
    Check {
        name: REFUSED,
        counted: promised.len(),
        found: format!("{broken} of {} promises", promised.len()),
        is_good: broken == 0,
    }
}

fn in_flight(deployment: &Deployment, runs: &[RunRecord]) -> Check {
    let mut worst = (0.0, String::from("no runs"));
    for run in runs {
        let most = deployment
            .group_of(&run.function)
            .map_or(0, |group| group.concurrency);
        let share = f64::from(run.in_flight) / f64::from(most.max(1));
        if share > worst.0 {
            let text = format!("{} of {most} in {}", run.in_flight, run.function);
            worst = (share, text);
        }
    }
    Check {
        name: IN_FLIGHT,
        counted: runs.len(),
        found: worst.1,
        is_good: worst.0 <= 1.0,
    }
}

/// The stated ramp is one seat at first and one more with each answer. Of a runner's first `n` runs,
/// with `k` in flight as the last begins, `n - k` have ended; so `k` is at most `1 + n - k`.
fn warming(runs: &[RunRecord]) -> Check {
    let mut begun: HashMap<&str, u32> = HashMap::new();
    let (mut counted, mut flooded) = (0, Vec::new());
    for run in runs {
        let begun = begun.entry(&run.runner).or_default();
        *begun += 1;
        counted += usize::from(*begun == 2);
        if 2 * run.in_flight > 1 + *begun {
            flooded.push(format!("{}: {} at run {begun}", run.runner, run.in_flight));
        }
    }
    let first = flooded.first().cloned().unwrap_or_default();
    Check {
        name: WARMING,
        counted,
        found: format!(
            "{} over the ramp of {counted} runners {first}",
            flooded.len()
        ),
        is_good: flooded.is_empty(),
    }
}

fn wrong_successes(planned_calls: &[PlannedCall]) -> Check {
    let attempts = planned_calls
        .iter()
        .flat_map(|planned_call| &planned_call.attempts);
    let answered: Vec<_> = attempts.filter(|ask| ask.outcome == "answered").collect();
    let wrong = answered.iter().filter(|ask| !ask.is_right).count();
    Check {
        name: WRONG,
        counted: answered.len(),
        found: format!("{wrong} of {}", answered.len()),
        is_good: wrong == 0,
    }
}

fn unrun_successes(planned_calls: &[PlannedCall], runs: &[RunRecord]) -> Check {
    let ran: HashSet<&str> = runs.iter().map(|run| run.call.as_str()).collect();
    let attempts = planned_calls
        .iter()
        .flat_map(|planned_call| &planned_call.attempts);
    let answered: Vec<_> = attempts.filter(|ask| ask.outcome == "answered").collect();
    let unrun = answered
        .iter()
        .filter(|ask| !ran.contains(ask.call.as_str()));
    let unrun = unrun.count();
    Check {
        name: UNRUN,
        counted: answered.len(),
        found: format!("{unrun} of {}", answered.len()),
        is_good: unrun == 0,
    }
}

/// Requests that came to a runner of another function. One that was turned away there proves that
/// the failure came about; one that ran breaks the line.
fn misdirected(planned_calls: &[PlannedCall], lines: &[RunRecord]) -> Check {
    let meant: HashMap<&str, &str> = planned_calls
        .iter()
        .flat_map(|planned_call| {
            let attempts = planned_call.attempts.iter();
            attempts.map(|ask| (ask.call.as_str(), planned_call.function.as_str()))
        })
        .collect();
    let astray = lines.iter().filter(|line| {
        let function = meant.get(line.call.as_str());
        function.is_some_and(|function| *function != line.function)
    });
    let (ran, turned): (Vec<_>, Vec<_>) = astray.partition(|line| line.in_flight > 0);
    Check {
        name: MISDIRECTED,
        counted: ran.len() + turned.len(),
        found: format!("{} ran, {} were turned away", ran.len(), turned.len()),
        is_good: ran.is_empty(),
    }
}

/// Requests of a call that came to any runner beyond its first, in the worst 10 s, against the
/// allowance.
fn retries(deployment: &Deployment, lines: &[RunRecord]) -> Check {
    let bounds = &deployment.bounds;
    let window = bounds.retry_window_ms;
    let mut seen: HashSet<&str> = HashSet::new();
    let marked: Vec<(u64, bool)> = lines
        .iter()
        .filter(|line| line.call != "-")
        .map(|line| (line.at_ms, !seen.insert(line.call.as_str())))
        .collect();
    let mut worst: f64 = 0.0;
    let mut start = 0;
    let mut text = String::from("none");
    let mut again = 0;
    for (end, (at_ms, is_again)) in marked.iter().enumerate() {
        again += usize::from(*is_again);
        while marked[start].0 + window < *at_ms {
            again -= usize::from(marked[start].1);
            start += 1;
        }
        let firsts = end + 1 - start - again;
        let allowed = bounds.retry_share * firsts as f64 + f64::from(bounds.retry_floor);
        let share = again as f64 / allowed;
        if share > worst {
            worst = share;
            text = format!("{again} beside {firsts} first tries");
        }
    }
    Check {
        name: RETRIES,
        counted: marked.iter().filter(|(_, is_again)| *is_again).count(),
        found: text,
        is_good: worst <= 1.0,
    }
}

/// Checks that broke, and those of `wanted` that had nothing to look at.
pub fn faults(checks: &[Check], wanted: &[&str]) -> Vec<String> {
    let broken = checks.iter().filter(|check| !check.is_good);
    let broken = broken.map(|check| format!("{}: {}", check.name, check.found));
    let empty = checks
        .iter()
        .filter(|check| check.counted == 0 && wanted.contains(&check.name));
    let empty = empty.map(|check| format!("{}: nothing to look at", check.name));
    broken.chain(empty).collect()
}
