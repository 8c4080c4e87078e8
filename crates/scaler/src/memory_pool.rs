use crate::observation::Observation;
use crate::runner_states::RunnerStates;
use configuration::{FunctionSpec, Plan, RunnerState};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// What a function has and what it wants, as far as sharing memory goes.
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
    /// How much of the demand a capacity meets.
    fn met(&self, capacity: f64) -> f64 {
        capacity / self.demand.max(f64::MIN_POSITIVE)
    }

    fn runner(&self) -> f64 {
        self.capacity / self.runners.max(1) as f64
    }

    fn without_one(&self) -> f64 {
        self.capacity - self.runner()
    }
}

/// How willingly a runner gives way; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PreemptionOrder {
    /// One of several of a lower priority.
    Below,
    /// One of several of the same priority that stays better served, or one that is not needed.
    Beside,
    /// The only one of a function that nobody calls.
    Idle,
    /// The only one of a lower priority.
    OnlyBelow,
    /// The only one of the same priority that had its turn.
    Turn,
}

/// Memory that is free on each worker, or will be when what drains has gone. Functions that lack
/// memory reserve from it in their order, so that each drains only what is still missing.
pub(crate) struct MemoryPool {
    soon: BTreeMap<String, u64>,
    shares: BTreeMap<String, MemoryShare>,
}

struct Donor {
    preemption_order: PreemptionOrder,
    since: u64,
    place: usize,
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
        let soon = open.map(|worker| {
            let staying = plan
                .runners
                .iter()
                .filter(|entry| entry.worker == worker.name && entry.state == RunnerState::Wanted);
            let used: u64 = staying.map(|entry| entry.memory_mb).sum();
            (worker.name.clone(), worker.memory_mb.saturating_sub(used))
        });
        Self {
            soon: soon.collect(),
            shares,
        }
    }

    /// Makes room for one more runner of a function: what others must give for it is drained, on
    /// the worker where they give it most willingly.
    pub fn make(
        &mut self,
        observation: &Observation,
        plan: &mut Plan,
        needy: &FunctionSpec,
        runner_states: &RunnerStates,
    ) -> bool {
        let reserved = self.soon.values_mut().find(|mb| **mb >= needy.memory_mb);
        if let Some(memory) = reserved {
            *memory -= needy.memory_mb;
            return true;
        }
        let Some(share) = self.shares.get(&needy.name).cloned() else {
            return false;
        };
        let mut best: Option<(PreemptionOrder, usize, String, Vec<Donor>)> = None;
        for (worker, free) in &self.soon {
            let givers = self.givers(observation, plan, &share, needy, worker, runner_states);
            let Some(chosen_givers) = enough(plan, &self.shares, givers, *free, needy) else {
                continue;
            };
            let worst = chosen_givers
                .iter()
                .map(|giver| giver.preemption_order)
                .max();
            let cost = (worst.unwrap_or(PreemptionOrder::Below), chosen_givers.len());
            if best
                .as_ref()
                .is_none_or(|(preemption_order, count, ..)| cost < (*preemption_order, *count))
            {
                best = Some((cost.0, cost.1, worker.clone(), chosen_givers));
            }
        }
        let Some((_, _, worker, givers)) = best else {
            return false;
        };
        let memory = self.soon.entry(worker).or_default();
        for giver in &givers {
            let entry = &mut plan.runners[giver.place];
            entry.quota = 0;
            entry.state = RunnerState::Draining;
            *memory += entry.memory_mb;
            if let Some(share) = self.shares.get_mut(&entry.function) {
                share.capacity = share.without_one();
                share.runners = share.runners.saturating_sub(1);
            }
        }
        *memory = memory.saturating_sub(needy.memory_mb);
        true
    }

    fn givers(
        &self,
        observation: &Observation,
        plan: &Plan,
        share: &MemoryShare,
        needy: &FunctionSpec,
        worker: &str,
        runner_states: &RunnerStates,
    ) -> Vec<Donor> {
        let entries = plan.runners.iter().enumerate();
        let there = entries.filter(|(_, entry)| {
            entry.worker == worker
                && entry.state == RunnerState::Wanted
                && entry.function != needy.name
        });
        let mut givers: Vec<Donor> = there
            .filter_map(|(place, entry)| {
                let other = self.shares.get(&entry.function)?;
                let since = runner_states.since(&entry.id);
                let has_had_turn =
                    since + observation.configuration.bounds.return_ms <= observation.now;
                let preemption_order = way_of(
                    share,
                    other,
                    has_had_turn,
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
                    place,
                    memory_mb: entry.memory_mb,
                })
            })
            .collect();
        givers.sort_by_key(|giver| (giver.preemption_order, giver.since));
        givers
    }
}

/// Whether and how willingly a runner of `other` gives way to the needy function: by priority first,
/// and within a priority so that no function is left worse off than the one that it gives to.
fn way_of(
    needy: &MemoryShare,
    other: &MemoryShare,
    has_had_turn: bool,
    alpha: f64,
) -> Option<PreemptionOrder> {
    let has_several = other.runners > 1;
    let is_unneeded = other.without_one() * alpha >= other.demand;
    if needy.runners > 0 {
        let gained = needy.met(needy.capacity + needy.runner());
        let is_fair = other.met(other.without_one()) > gained;
        return match (has_several, other.priority.cmp(&needy.priority)) {
            (true, Ordering::Greater) => Some(PreemptionOrder::Below),
            (true, Ordering::Equal) if is_fair => Some(PreemptionOrder::Beside),
            (true, Ordering::Less) if is_unneeded => Some(PreemptionOrder::Beside),
            _ => None,
        };
    }
    match other.priority.cmp(&needy.priority) {
        Ordering::Greater if has_several => Some(PreemptionOrder::Below),
        Ordering::Equal if has_several => Some(PreemptionOrder::Beside),
        Ordering::Less if has_several => is_unneeded.then_some(PreemptionOrder::Beside),
        _ if other.is_idle => Some(PreemptionOrder::Idle),
        Ordering::Greater => Some(PreemptionOrder::OnlyBelow),
        Ordering::Equal => has_had_turn.then_some(PreemptionOrder::Turn),
        Ordering::Less => None,
    }
}

/// The first givers that free enough; each function gives no more than one runner of several.
fn enough(
    plan: &Plan,
    shares: &BTreeMap<String, MemoryShare>,
    givers: Vec<Donor>,
    mut free: u64,
    needy: &FunctionSpec,
) -> Option<Vec<Donor>> {
    let mut elected = Vec::new();
    let mut given: BTreeMap<&str, usize> = BTreeMap::new();
    for giver in givers {
        let function = plan.runners[giver.place].function.as_str();
        let runners = shares.get(function).map_or(0, |share| share.runners);
        let gives = given.entry(function).or_default();
        if *gives > 0 && *gives + 1 >= runners {
            continue;
        }
        *gives += 1;
        free += giver.memory_mb;
        elected.push(giver);
        if free >= needy.memory_mb {
            return Some(elected);
        }
    }
    None
}
