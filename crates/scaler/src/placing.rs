use crate::observation::{Observation, Worker};
use configuration::{Plan, RunnerState};
use std::collections::HashSet;

/// Where a new runner goes.
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

/// Occupancy after the paper: each runner's share of the worker times its share of its quota.
pub(crate) fn occupancy(observation: &Observation, plan: &Plan, worker: &Worker) -> f64 {
    let entries = plan
        .runners
        .iter()
        .filter(|entry| entry.worker == worker.name);
    let taken: f64 = entries
        .map(|entry| {
            let most = observation
                .configuration
                .function_spec(&entry.function)
                .map_or(1, |function_spec| function_spec.concurrency);
            entry.memory_mb as f64 * f64::from(entry.quota) / f64::from(most.max(1))
        })
        .sum();
    taken / worker.memory_mb.max(1) as f64
}

fn starting(plan: &Plan, is_warm: impl Fn(&str) -> bool, worker: &str) -> usize {
    let entries = plan.runners.iter();
    entries
        .filter(|entry| {
            entry.worker == worker && entry.state == RunnerState::Wanted && !is_warm(&entry.id)
        })
        .count()
}

/// A port that no runner of the plan has, nor one that is listed though nobody planned it.
fn free_port(observation: &Observation, plan: &Plan, worker: &Worker) -> Option<u16> {
    let address = |port: u16| format!("{}:{port}", worker.host);
    let planned = plan.runners.iter().map(|entry| entry.address.as_str());
    let listed = observation.listed.iter();
    let listed = listed.filter_map(|runner| runner.address.as_deref());
    let taken: HashSet<&str> = planned.chain(listed).collect();
    (worker.first_port..worker.first_port.saturating_add(worker.ports))
        .find(|port| !taken.contains(address(*port).as_str()))
}

/// Why no place was found.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum PlacementError {
    /// All workers with room have their most starts under way.
    Busy,
    /// No worker has the memory.
    NoMemory,
}

/// The least-occupied worker in use that has room; a fresh one only where none has.
pub(crate) fn place<'a>(
    observation: &'a Observation,
    plan: &Plan,
    memory_mb: u64,
    is_warm: impl Fn(&str) -> bool,
) -> Result<Placement<'a>, PlacementError> {
    let mut reason = PlacementError::NoMemory;
    let mut elected: Option<(bool, f64, &Worker, u16)> = None;
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
        let is_fresh = used == 0;
        let occupied = occupancy(observation, plan, worker);
        let is_better = elected
            .as_ref()
            .is_none_or(|(fresh, least, ..)| (is_fresh, occupied) < (*fresh, *least));
        if is_better {
            elected = Some((is_fresh, occupied, worker, port));
        }
    }
    let Some((_, _, worker, port)) = elected else {
        return Err(reason);
    };
    Ok(Placement { worker, port })
}
