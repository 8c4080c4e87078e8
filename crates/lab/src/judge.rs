use crate::callers::Wish;
use crate::deployment::Deployment;
use crate::ledger::RunLine;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// One check of a must-never line.
pub struct Check {
    pub name: &'static str,
    pub found: String,
    pub is_good: bool,
}

/// What the callers of one kind saw.
pub struct KindLine {
    pub kind: String,
    pub wishes: usize,
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
pub fn kinds(wishes: &[Wish]) -> Vec<KindLine> {
    let mut by_kind: BTreeMap<&str, Vec<&Wish>> = BTreeMap::new();
    for wish in wishes {
        by_kind.entry(&wish.kind).or_default().push(wish);
    }
    let lines = by_kind.into_iter().map(|(kind, wishes)| {
        let done = wishes.iter().filter(|wish| wish.is_done);
        let mut dues: Vec<u64> = done.clone().map(|wish| wish.due_ms).collect();
        dues.sort_unstable();
        let gaps = dues.windows(2).map(|pair| pair[1] - pair[0]);
        let gap_ms = gaps.max().unwrap_or(0);
        let mut times: Vec<Duration> = done.map(|wish| wish.took).collect();
        times.sort();
        let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
        for ask in wishes.iter().flat_map(|wish| &wish.asks) {
            if ask.outcome != "answered" || !ask.is_right {
                let reason = format!("{}/{}", ask.outcome, ask.reason);
                *reasons.entry(reason).or_default() += 1;
            }
        }
        KindLine {
            kind: kind.to_string(),
            wishes: wishes.len(),
            done: times.len(),
            p50: percentile(&times, 0.50),
            p99: percentile(&times, 0.99),
            gap_ms,
            reasons,
        }
    });
    lines.collect()
}

/// Holds what callers were told against what the runners wrote down.
pub fn checks(deployment: &Deployment, wishes: &[Wish], runs: &[RunLine]) -> Vec<Check> {
    vec![
        once_runs(runs),
        runs_after_refusal(wishes, runs),
        in_flight(deployment, runs),
        wrong_successes(wishes),
        unrun_successes(wishes, runs),
        misdirected(wishes, runs),
        retries(deployment, runs),
    ]
}

fn once_runs(runs: &[RunLine]) -> Check {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter().filter(|run| run.key != "-") {
        *counts.entry(&run.key).or_default() += 1;
    }
    let most = counts.values().copied().max().unwrap_or(0);
    Check {
        name: "runs of one once-key",
        found: format!("at most {most} over {} keys", counts.len()),
        is_good: most <= 1,
    }
}

fn runs_after_refusal(wishes: &[Wish], runs: &[RunLine]) -> Check {
    let ran: HashSet<&str> = runs.iter().map(|run| run.call.as_str()).collect();
    // Work under one key keeps its number; it is promised not to have run only where every request
    // with the number was told so.
    let broken = wishes
        .iter()
        .flat_map(|wish| {
            let mut promised: HashMap<&str, bool> = HashMap::new();
            for ask in &wish.asks {
                *promised.entry(&ask.call).or_insert(true) &= ask.outcome == "not-run";
            }
            promised
        })
        .filter(|(call, is_promised)| *is_promised && ran.contains(call))
        .count();
    Check {
        name: "runs after 'not run'",
        found: format!("{broken}"),
        is_good: broken == 0,
    }
}

fn in_flight(deployment: &Deployment, runs: &[RunLine]) -> Check {
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
        name: "largest in flight in a runner",
        found: worst.1,
        is_good: worst.0 <= 1.0,
    }
}

fn wrong_successes(wishes: &[Wish]) -> Check {
    let asks = wishes.iter().flat_map(|wish| &wish.asks);
    let wrong = asks
        .filter(|ask| ask.outcome == "answered" && !ask.is_right)
        .count();
    Check {
        name: "successes that are not the runner's own answer",
        found: format!("{wrong}"),
        is_good: wrong == 0,
    }
}

fn unrun_successes(wishes: &[Wish], runs: &[RunLine]) -> Check {
    let ran: HashSet<&str> = runs.iter().map(|run| run.call.as_str()).collect();
    let asks = wishes.iter().flat_map(|wish| &wish.asks);
    let unrun = asks
        .filter(|ask| ask.outcome == "answered" && !ran.contains(ask.call.as_str()))
        .count();
    Check {
        name: "successes that no runner wrote down",
        found: format!("{unrun}"),
        is_good: unrun == 0,
    }
}

fn misdirected(wishes: &[Wish], runs: &[RunLine]) -> Check {
    let meant: HashMap<&str, &str> = wishes
        .iter()
        .flat_map(|wish| {
            let asks = wish.asks.iter();
            asks.map(|ask| (ask.call.as_str(), wish.function.as_str()))
        })
        .collect();
    let wrong = runs
        .iter()
        .filter(|run| {
            let function = meant.get(run.call.as_str());
            function.is_some_and(|function| *function != run.function)
        })
        .count();
    Check {
        name: "runs at another function's runner",
        found: format!("{wrong}"),
        is_good: wrong == 0,
    }
}

/// Runs of a call beyond its first, in the worst 10 s, against the allowance.
fn retries(deployment: &Deployment, runs: &[RunLine]) -> Check {
    let bounds = &deployment.bounds;
    let window = bounds.retry_window_ms;
    let mut seen: HashSet<&str> = HashSet::new();
    let marked: Vec<(u64, bool)> = runs
        .iter()
        .map(|run| (run.at_ms, !seen.insert(run.call.as_str())))
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
        name: "retries in the worst window",
        found: text,
        is_good: worst <= 1.0,
    }
}
