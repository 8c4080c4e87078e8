use crate::commands::CommandPlanner;
use crate::observation::{ListedState, Observation};
use configuration::{Plan, RunnerEntry, RunnerState, Version};
use request_queue::RunnerReport;
use std::collections::{BTreeMap, BTreeSet};

/// A runner is replaced after it has been slow for this many times `return_ms`.
const SLOW_RETURN_BOUNDS: u64 = 5;

#[derive(Debug)]
struct ObservedRunner {
    state: RunnerState,
    since: u64,
    version: Version,
    unfit_since: Option<u64>,
    slow_since: Option<u64>,
    worker_missing_since: Option<u64>,
}

/// Advances runners through their states: wanted, draining, stopping, resting, and removed from the plan.
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
    /// Whether a runner has ever been reported as accepting connections.
    pub fn is_warm(&self, id: &str) -> bool {
        self.warm.contains(id)
    }

    /// Time since which a runner has been in its current state, in milliseconds.
    pub fn since(&self, id: &str) -> u64 {
        self.observed.get(id).map_or(0, |observed| observed.since)
    }

    /// Whether a wanted runner counts towards capacity: it is serving, or it is still starting.
    pub fn counts(&self, observation: &Observation, entry: &RunnerEntry) -> bool {
        let Some(report) = report_of(observation, entry) else {
            return !self.warm.contains(&entry.id);
        };
        let is_available = report.is_warm || !self.warm.contains(&entry.id);
        report.is_active && is_available && !report.is_unfit && !report.is_slow
    }

    /// Moves each runner of the plan to its next state where that is due, and removes rested ones.
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
                    worker_missing_since: None,
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
        for index in 0..plan.runners.len() {
            let entry = &plan.runners[index];
            let next = match entry.state {
                RunnerState::Wanted => self.next_state_of_wanted(observation, commands, entry),
                RunnerState::Draining => self.next_state_of_draining(observation, entry),
                RunnerState::Stopping => {
                    commands.is_gone(&entry.id).then_some(RunnerState::Resting)
                }
                RunnerState::Resting => None,
            };
            if let Some(next) = next {
                plan.runners[index].state = next;
            }
        }
        let bounds = &observation.configuration.bounds;
        let rest_ms = observation.configuration.longest_budget_ms()
            + bounds.lease_ms()
            + 2 * bounds.seat_window_ms();
        plan.runners.retain(|entry| {
            let observed = self.observed.get(&entry.id);
            let has_rested = observed.is_some_and(|observed| {
                observed.state == RunnerState::Resting
                    && observed.since + rest_ms <= observation.now
            });
            entry.state != RunnerState::Resting || !has_rested
        });
    }

    /// The next state of a wanted runner; none if it stays wanted.
    fn next_state_of_wanted(
        &mut self,
        observation: &Observation,
        commands: &CommandPlanner,
        entry: &RunnerEntry,
    ) -> Option<RunnerState> {
        if commands.is_refused(&entry.id) {
            return Some(RunnerState::Stopping);
        }
        let bounds = &observation.configuration.bounds;
        let is_leaving = observation
            .listed
            .iter()
            .any(|runner| runner.id == entry.id && runner.state == ListedState::Leaving);
        let worker = observation.worker(&entry.worker);
        let is_worker_leaving = worker.is_some_and(|worker| worker.is_leaving);
        let is_configured = observation
            .configuration
            .function_spec(&entry.function)
            .is_some();
        if is_leaving
            || is_worker_leaving
            || !is_configured
            || !observation.configuration.is_open(&entry.zone)
        {
            return Some(RunnerState::Draining);
        }
        let observed = self.observed.get_mut(&entry.id)?;
        let report = report_of(observation, entry);
        let has_lasted = |since: &mut Option<u64>, is_true: bool, duration: u64| {
            if !is_true {
                *since = None;
                return false;
            }
            since
                .get_or_insert(observation.now)
                .saturating_add(duration)
                <= observation.now
        };
        let is_unreachable = report.is_some_and(|report| report.absent_ms > bounds.lease_ms());
        // The platform's list may omit a live worker, so a runner that its owner reports as warm is kept.
        let responds = report.is_some_and(|report| report.is_warm);
        let is_worker_missing = worker.is_none() && !observation.workers.is_empty() && !responds;
        let is_missing_too_long = has_lasted(
            &mut observed.worker_missing_since,
            is_worker_missing,
            bounds.lease_ms(),
        );
        let is_unfit = report.is_some_and(|report| report.is_unfit);
        let is_unfit_too_long = has_lasted(&mut observed.unfit_since, is_unfit, bounds.lease_ms());
        // A runner that stays far slower than its peers is replaced, which frees its memory for a faster one.
        let is_slow = report.is_some_and(|report| report.is_slow);
        let is_slow_too_long = has_lasted(
            &mut observed.slow_since,
            is_slow,
            SLOW_RETURN_BOUNDS * bounds.return_ms,
        );
        let start_ms = observation
            .configuration
            .function_spec(&entry.function)
            .map_or(0, |function_spec| function_spec.start_ms);
        let start_timeout = 2 * start_ms + bounds.return_ms;
        let has_failed_to_start = !self.warm.contains(&entry.id)
            && report.is_some_and(|report| report.is_active)
            && observed.since + start_timeout <= observation.now;
        (is_unreachable
            || is_missing_too_long
            || is_unfit_too_long
            || is_slow_too_long
            || has_failed_to_start)
            .then_some(RunnerState::Draining)
    }

    /// The next state of a draining runner: stopping, once nothing is in flight or `max_drain_ms` has passed.
    fn next_state_of_draining(
        &self,
        observation: &Observation,
        entry: &RunnerEntry,
    ) -> Option<RunnerState> {
        let observed = self.observed.get(&entry.id)?;
        if observed.state != RunnerState::Draining {
            return None;
        }
        let owner = observation.fronts.get(&entry.owner.name);
        let knows_of_drain = owner.is_some_and(|front| front.report.plan >= observed.version);
        let report = report_of(observation, entry).filter(|_| knows_of_drain);
        let is_empty = report.is_some_and(|report| report.leased == 0 && report.is_active);
        let bounds = &observation.configuration.bounds;
        let max_drain_ms = observation.configuration.longest_budget_ms()
            + 2 * bounds.lease_ms()
            + bounds.seat_window_ms();
        (is_empty || observed.since + max_drain_ms <= observation.now)
            .then_some(RunnerState::Stopping)
    }
}
