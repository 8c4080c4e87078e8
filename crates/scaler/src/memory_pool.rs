use crate::observation::Observation;
use crate::runner_states::RunnerStates;
use configuration::{FunctionSpec, Plan, RunnerState};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A function's capacity and demand, as used to divide scarce memory between functions.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryShare {
    pub priority: u8,
    pub runners: usize,
    pub capacity: f64,
    pub demand: f64,
    pub is_idle: bool,
    pub last_arrival: u64,
}

impl MemoryShare {
    /// The share of the demand that this capacity serves.
    fn served_share(&self, capacity: f64) -> f64 {
        capacity / self.demand.max(f64::MIN_POSITIVE)
    }

    fn capacity_per_runner(&self) -> f64 {
        self.capacity / self.runners.max(1) as f64
    }

    fn capacity_without_one(&self) -> f64 {
        self.capacity - self.capacity_per_runner()
    }
}

/// Order in which runners are drained for the benefit of another function; the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PreemptionOrder {
    /// One of several runners of a function with a lower priority.
    LowerPriority,
    /// One of several runners of a function with the same priority (which stays better served than the recipient,
    /// if that has a runner), or with a higher priority if its demand is met without the runner.
    SamePriority,
    /// The only runner of a function without demand.
    Idle,
    /// The only runner of a function with a lower priority.
    LastOfLowerPriority,
    /// The only runner of a function with the same priority, once it has been in its state for `return_ms`.
    LastOfSamePriority,
}

/// Memory of each worker that is free, or will be free once its draining runners have stopped.
/// Functions that lack memory reserve from it in turn, so that each drains only what is still missing.
pub(crate) struct MemoryPool {
    available_mb: BTreeMap<String, u64>,
    shares: BTreeMap<String, MemoryShare>,
}

struct Donor {
    preemption_order: PreemptionOrder,
    since: u64,
    index: usize,
    memory_mb: u64,
}

impl MemoryPool {
    pub fn new(
        observation: &Observation,
        plan: &Plan,
        shares: BTreeMap<String, MemoryShare>,
    ) -> Self {
        let open = observation
            .workers
            .iter()
            .filter(|worker| !worker.is_leaving && observation.configuration.is_open(&worker.zone));
        let available_mb = open.map(|worker| {
            let staying = plan
                .runners
                .iter()
                .filter(|entry| entry.worker == worker.name && entry.state == RunnerState::Wanted);
            let used: u64 = staying.map(|entry| entry.memory_mb).sum();
            (worker.name.clone(), worker.memory_mb.saturating_sub(used))
        });
        Self {
            available_mb: available_mb.collect(),
            shares,
        }
    }

    /// Provides memory for one more runner of a function. If no worker has enough, drains runners of other
    /// functions, on the worker where the lowest preemption order and the fewest runners suffice.
    /// Returns whether the memory is or becomes available.
    pub fn reserve(
        &mut self,
        observation: &Observation,
        plan: &mut Plan,
        recipient: &FunctionSpec,
        runner_states: &RunnerStates,
    ) -> bool {
        let reserved = self
            .available_mb
            .values_mut()
            .find(|mb| **mb >= recipient.memory_mb);
        if let Some(memory) = reserved {
            *memory -= recipient.memory_mb;
            return true;
        }
        let Some(share) = self.shares.get(&recipient.name).cloned() else {
            return false;
        };
        let mut best: Option<(PreemptionOrder, usize, String, Vec<Donor>)> = None;
        for (worker, free) in &self.available_mb {
            let donors = self.donors(observation, plan, &share, recipient, worker, runner_states);
            let Some(chosen_donors) = select_donors(plan, &self.shares, donors, *free, recipient)
            else {
                continue;
            };
            let costliest = chosen_donors
                .iter()
                .map(|donor| donor.preemption_order)
                .max();
            let cost = (
                costliest.unwrap_or(PreemptionOrder::LowerPriority),
                chosen_donors.len(),
            );
            if best
                .as_ref()
                .is_none_or(|(preemption_order, count, ..)| cost < (*preemption_order, *count))
            {
                best = Some((cost.0, cost.1, worker.clone(), chosen_donors));
            }
        }
        let Some((_, _, worker, donors)) = best else {
            return false;
        };
        let memory = self.available_mb.entry(worker).or_default();
        for donor in &donors {
            let entry = &mut plan.runners[donor.index];
            entry.quota = 0;
            entry.state = RunnerState::Draining;
            *memory += entry.memory_mb;
            if let Some(share) = self.shares.get_mut(&entry.function) {
                share.capacity = share.capacity_without_one();
                share.runners = share.runners.saturating_sub(1);
            }
        }
        *memory = memory.saturating_sub(recipient.memory_mb);
        true
    }

    fn donors(
        &self,
        observation: &Observation,
        plan: &Plan,
        share: &MemoryShare,
        recipient: &FunctionSpec,
        worker: &str,
        runner_states: &RunnerStates,
    ) -> Vec<Donor> {
        let entries = plan.runners.iter().enumerate();
        let candidates = entries.filter(|(_, entry)| {
            entry.worker == worker
                && entry.state == RunnerState::Wanted
                && entry.function != recipient.name
        });
        let mut donors: Vec<Donor> = candidates
            .filter_map(|(index, entry)| {
                let other = self.shares.get(&entry.function)?;
                let since = runner_states.since(&entry.id);
                let has_run_long_enough =
                    since + observation.configuration.bounds.return_ms <= observation.now;
                let preemption_order = preemption_order_of(
                    share,
                    other,
                    has_run_long_enough,
                    observation.configuration.bounds.alpha,
                )?;
                let since = if preemption_order == PreemptionOrder::Idle {
                    other.last_arrival
                } else {
                    since
                };
                Some(Donor {
                    preemption_order,
                    since,
                    index,
                    memory_mb: entry.memory_mb,
                })
            })
            .collect();
        donors.sort_by_key(|donor| (donor.preemption_order, donor.since));
        donors
    }
}

/// Whether a runner of `other` may be drained for the function that lacks memory, and in which order.
/// Priority decides first. Within a priority no function ends up worse served than the one it yields memory to.
fn preemption_order_of(
    recipient: &MemoryShare,
    other: &MemoryShare,
    has_run_long_enough: bool,
    alpha: f64,
) -> Option<PreemptionOrder> {
    let has_several = other.runners > 1;
    let is_unneeded = other.capacity_without_one() * alpha >= other.demand;
    if recipient.runners > 0 {
        let raised_share =
            recipient.served_share(recipient.capacity + recipient.capacity_per_runner());
        let stays_better_served = other.served_share(other.capacity_without_one()) > raised_share;
        return match (has_several, other.priority.cmp(&recipient.priority)) {
            (true, Ordering::Greater) => Some(PreemptionOrder::LowerPriority),
            (true, Ordering::Equal) if stays_better_served => Some(PreemptionOrder::SamePriority),
            (true, Ordering::Less) if is_unneeded => Some(PreemptionOrder::SamePriority),
            _ => None,
        };
    }
    match other.priority.cmp(&recipient.priority) {
        Ordering::Greater if has_several => Some(PreemptionOrder::LowerPriority),
        Ordering::Equal if has_several => Some(PreemptionOrder::SamePriority),
        Ordering::Less if has_several => is_unneeded.then_some(PreemptionOrder::SamePriority),
        _ if other.is_idle => Some(PreemptionOrder::Idle),
        Ordering::Greater => Some(PreemptionOrder::LastOfLowerPriority),
        Ordering::Equal => has_run_long_enough.then_some(PreemptionOrder::LastOfSamePriority),
        Ordering::Less => None,
    }
}

/// The first donors that together free enough memory; none if all of them don't. At most `runners - 1` runners of
/// a function are taken, or its only one.
fn select_donors(
    plan: &Plan,
    shares: &BTreeMap<String, MemoryShare>,
    donors: Vec<Donor>,
    mut free: u64,
    recipient: &FunctionSpec,
) -> Option<Vec<Donor>> {
    let mut selected = Vec::new();
    let mut donated: BTreeMap<&str, usize> = BTreeMap::new();
    for donor in donors {
        let function = plan.runners[donor.index].function.as_str();
        let runners = shares.get(function).map_or(0, |share| share.runners);
        let donated_count = donated.entry(function).or_default();
        if *donated_count > 0 && *donated_count + 1 >= runners {
            continue;
        }
        *donated_count += 1;
        free += donor.memory_mb;
        selected.push(donor);
        if free >= recipient.memory_mb {
            return Some(selected);
        }
    }
    None
}
