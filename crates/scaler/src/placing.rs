use crate::observation::{Observation, Worker};
use configuration::{Plan, RunnerState};
use std::collections::HashSet;

/// Worker and port chosen for a new runner.
pub(crate) struct Placement<'a> {
    pub worker: &'a Worker,
    pub port: u16,
}

fn memory_used(plan: &Plan, worker: &str) -> u64 {
    let entries = plan
        .runners
        .iter()
        .filter(|entry| entry.worker == worker && entry.state != RunnerState::Resting);
    entries.map(|entry| entry.memory_mb).sum()
}

/// Occupancy as defined for HAS-GPU: the sum over its runners of memory share times quota share.
pub(crate) fn occupancy(observation: &Observation, plan: &Plan, worker: &Worker) -> f64 {
    let entries = plan
        .runners
        .iter()
        .filter(|entry| entry.worker == worker.name);
    let used: f64 = entries
        .map(|entry| {
            let max_quota = observation
                .configuration
                .function_spec(&entry.function)
                .map_or(1, |function_spec| function_spec.concurrency);
            entry.memory_mb as f64 * f64::from(entry.quota) / f64::from(max_quota.max(1))
        })
        .sum();
    used / worker.memory_mb.max(1) as f64
}

fn starting(plan: &Plan, is_warm: impl Fn(&str) -> bool, worker: &str) -> usize {
    let entries = plan.runners.iter();
    entries
        .filter(|entry| {
            entry.worker == worker && entry.state == RunnerState::Wanted && !is_warm(&entry.id)
        })
        .count()
}

/// A port used neither by a runner of the plan nor by an unplanned runner that the platform lists.
fn free_port(observation: &Observation, plan: &Plan, worker: &Worker) -> Option<u16> {
    let address = |port: u16| format!("{}:{port}", worker.host);
    let planned = plan.runners.iter().map(|entry| entry.address.as_str());
    let listed = observation.listed.iter();
    let listed = listed.filter_map(|runner| runner.address.as_deref());
    let used: HashSet<&str> = planned.chain(listed).collect();
    (worker.first_port..worker.first_port.saturating_add(worker.ports))
        .find(|port| !used.contains(address(*port).as_str()))
}

/// Why no worker can take a runner.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum PlacementError {
    /// Workers with enough memory have reached `worker_starts` concurrent starts, or no front can own the runner.
    Busy,
    /// No worker has enough free memory, or a free port.
    NoMemory,
}

/// Chooses the least-occupied worker in use that has room; an unused one only if none has.
pub(crate) fn place<'a>(
    observation: &'a Observation,
    plan: &Plan,
    memory_mb: u64,
    is_warm: impl Fn(&str) -> bool,
) -> Result<Placement<'a>, PlacementError> {
    let mut reason = PlacementError::NoMemory;
    let mut best: Option<(bool, f64, &Worker, u16)> = None;
    for worker in observation.workers {
        let is_open = !worker.is_leaving && observation.configuration.is_open(&worker.zone);
        let used = memory_used(plan, &worker.name);
        if !is_open || used + memory_mb > worker.memory_mb {
            continue;
        }
        if starting(plan, &is_warm, &worker.name)
            >= observation.configuration.bounds.worker_starts as usize
        {
            reason = PlacementError::Busy;
            continue;
        }
        let Some(port) = free_port(observation, plan, worker) else {
            continue;
        };
        let is_unused = used == 0;
        let occupied = occupancy(observation, plan, worker);
        let is_better = best
            .as_ref()
            .is_none_or(|(unused, least, ..)| (is_unused, occupied) < (*unused, *least));
        if is_better {
            best = Some((is_unused, occupied, worker, port));
        }
    }
    let Some((_, _, worker, port)) = best else {
        return Err(reason);
    };
    Ok(Placement { worker, port })
}
