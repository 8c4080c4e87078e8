use crate::commands::CommandPlanner;
use crate::observation::{ListedState, Observation};
use configuration::{Plan, RunnerEntry, RunnerState, Version};
use request_queue::RunnerReport;
use std::collections::{BTreeMap, BTreeSet};

/// A runner that has been slow for so many return bounds is replaced.
const SLOW_RETURNS: u64 = 5;

#[derive(Debug)]
struct ObservedRunner {
    state: RunnerState,
    since: u64,
    version: Version,
    unfit_since: Option<u64>,
    slow_since: Option<u64>,
    lost_since: Option<u64>,
}

/// Moves runners through their lifecycle: wanted, draining, stopping, resting, gone.
#[derive(Debug, Default)]
pub(crate) struct RunnerStates {
    observed: BTreeMap<String, ObservedRunner>,
    warm: BTreeSet<String>,
}

fn report_of<'a>(observation: &'a Observation, entry: &RunnerEntry) -> Option<&'a RunnerReport> {
    let front = observation.fronts.get(&entry.owner.name)?;
    if front.peer != entry.owner || !observation.is_live(front) {
        return None;
    }
    let mut reports = front.report.runners.iter();
    reports.find(|report| report.runner == entry.id && report.epoch == entry.owner_epoch)
}

impl RunnerStates {
    /// Whether a runner has been seen to take connections.
    pub fn is_warm(&self, id: &str) -> bool {
        self.warm.contains(id)
    }

    /// Since when a runner has been in the state that it is in.
    pub fn since(&self, id: &str) -> u64 {
        self.observed.get(id).map_or(0, |observed| observed.since)
    }

    /// Whether a wanted runner counts towards capacity: it serves, or it is still to start.
    pub fn counts(&self, observation: &Observation, entry: &RunnerEntry) -> bool {
        let Some(report) = report_of(observation, entry) else {
            return !self.warm.contains(&entry.id);
        };
        let is_there = report.is_warm || !self.warm.contains(&entry.id);
        report.is_active && is_there && !report.is_unfit && !report.is_slow
    }

    pub fn advance(
        &mut self,
        observation: &Observation,
        commands: &CommandPlanner,
        plan: &mut Plan,
    ) {
        let current = Version {
            epoch: observation.next.epoch,
            no: observation.next.no.saturating_sub(1),
        };
        self.observed
            .retain(|id, _| observation.plan.runner(id).is_some());
        self.warm.retain(|id| observation.plan.runner(id).is_some());
        for entry in &observation.plan.runners {
            let observed = self
                .observed
                .entry(entry.id.clone())
                .or_insert(ObservedRunner {
                    state: entry.state,
                    since: observation.now,
                    version: current,
                    unfit_since: None,
                    slow_since: None,
                    lost_since: None,
                });
            if observed.state != entry.state {
                observed.state = entry.state;
                observed.since = observation.now;
                observed.version = current;
            }
            if report_of(observation, entry).is_some_and(|report| report.is_warm) {
                self.warm.insert(entry.id.clone());
            }
        }
        for place in 0..plan.runners.len() {
            let entry = &plan.runners[place];
            let next = match entry.state {
                RunnerState::Wanted => self.leave(observation, commands, entry),
                RunnerState::Draining => self.drained(observation, entry),
                RunnerState::Stopping => {
                    commands.is_gone(&entry.id).then_some(RunnerState::Resting)
                }
                RunnerState::Resting => None,
            };
            if let Some(next) = next {
                plan.runners[place].state = next;
            }
        }
        let bounds = &observation.configuration.bounds;
        let rest = observation.configuration.longest_budget_ms()
            + bounds.lease_ms()
            + 2 * bounds.seat_window_ms();
        plan.runners.retain(|entry| {
            let observed = self.observed.get(&entry.id);
            let is_rested = observed.is_some_and(|observed| {
                observed.state == RunnerState::Resting && observed.since + rest <= observation.now
            });
            entry.state != RunnerState::Resting || !is_rested
        });
    }

    /// Whether a wanted runner is to leave, and how.
    fn leave(
        &mut self,
        observation: &Observation,
        commands: &CommandPlanner,
        entry: &RunnerEntry,
    ) -> Option<RunnerState> {
        if commands.is_refused(&entry.id) {
            return Some(RunnerState::Stopping);
        }
        let bounds = &observation.configuration.bounds;
        let is_told = observation
            .listed
            .iter()
            .any(|runner| runner.id == entry.id && runner.state == ListedState::Leaving);
        let worker = observation.worker(&entry.worker);
        let is_emptied = worker.is_some_and(|worker| worker.is_leaving);
        let is_listed = observation
            .configuration
            .function_spec(&entry.function)
            .is_some();
        if is_told || is_emptied || !is_listed || !observation.configuration.is_open(&entry.zone) {
            return Some(RunnerState::Draining);
        }
        let observed = self.observed.get_mut(&entry.id)?;
        let report = report_of(observation, entry);
        let held = |since: &mut Option<u64>, is_so: bool, time: u64| {
            if !is_so {
                *since = None;
                return false;
            }
            since.get_or_insert(observation.now).saturating_add(time) <= observation.now
        };
        let is_absent = report.is_some_and(|report| report.absent_ms > bounds.lease_ms());
        // A list may miss a worker that is alive: who answers there stays, as long as its owner says so.
        let is_heard = report.is_some_and(|report| report.is_warm);
        let is_lost = worker.is_none() && !observation.workers.is_empty() && !is_heard;
        let is_long_lost = held(&mut observed.lost_since, is_lost, bounds.lease_ms());
        let is_unfit = report.is_some_and(|report| report.is_unfit);
        let is_long_unfit = held(&mut observed.unfit_since, is_unfit, bounds.lease_ms());
        // A runner that stays far slower than its peers gives its memory to one that is not.
        let is_slow = report.is_some_and(|report| report.is_slow);
        let is_long_slow = held(
            &mut observed.slow_since,
            is_slow,
            SLOW_RETURNS * bounds.return_ms,
        );
        let start_ms = observation
            .configuration
            .function_spec(&entry.function)
            .map_or(0, |function_spec| function_spec.start_ms);
        let timeout = 2 * start_ms + bounds.return_ms;
        let is_never_warm = !self.warm.contains(&entry.id)
            && report.is_some_and(|report| report.is_active)
            && observed.since + timeout <= observation.now;
        (is_absent || is_long_lost || is_long_unfit || is_long_slow || is_never_warm)
            .then_some(RunnerState::Draining)
    }

    /// Whether a draining runner has nothing in flight any more.
    fn drained(&self, observation: &Observation, entry: &RunnerEntry) -> Option<RunnerState> {
        let observed = self.observed.get(&entry.id)?;
        if observed.state != RunnerState::Draining {
            return None;
        }
        let owner = observation.fronts.get(&entry.owner.name);
        let knows = owner.is_some_and(|front| front.report.plan >= observed.version);
        let report = report_of(observation, entry).filter(|_| knows);
        let is_empty = report.is_some_and(|report| report.leased == 0 && report.is_active);
        let bounds = &observation.configuration.bounds;
        let longest = observation.configuration.longest_budget_ms()
            + 2 * bounds.lease_ms()
            + bounds.seat_window_ms();
        (is_empty || observed.since + longest <= observation.now).then_some(RunnerState::Stopping)
    }
}
