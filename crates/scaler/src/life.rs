use crate::orders::Orders;
use crate::sight::{ListedState, Sight};
use configuration::{Plan, RunnerEntry, RunnerState, Version};
use request_queue::RunnerReport;
use std::collections::{BTreeMap, BTreeSet};

/// A runner that has been slow for so many return bounds is replaced.
const SLOW_RETURNS: u64 = 5;

#[derive(Debug)]
struct Seen {
    state: RunnerState,
    since: u64,
    version: Version,
    unfit_since: Option<u64>,
    slow_since: Option<u64>,
    lost_since: Option<u64>,
}

/// Moves runners through their lives: wanted, draining, stopping, resting, gone.
#[derive(Debug, Default)]
pub(crate) struct Lives {
    seen: BTreeMap<String, Seen>,
    warm: BTreeSet<String>,
}

fn report_of<'a>(sight: &'a Sight, entry: &RunnerEntry) -> Option<&'a RunnerReport> {
    let front = sight.fronts.get(&entry.keeper.name)?;
    if front.peer != entry.keeper || !sight.is_live(front) {
        return None;
    }
    let mut reports = front.report.runners.iter();
    reports.find(|report| report.runner == entry.id && report.epoch == entry.keeper_epoch)
}

impl Lives {
    /// Whether a runner has been seen to take connections.
    pub fn is_warm(&self, id: &str) -> bool {
        self.warm.contains(id)
    }

    /// Since when a runner has been in the state that it is in.
    pub fn since(&self, id: &str) -> u64 {
        self.seen.get(id).map_or(0, |seen| seen.since)
    }

    /// Whether a wanted runner counts towards capacity: it serves, or it is still to start.
    pub fn counts(&self, sight: &Sight, entry: &RunnerEntry) -> bool {
        let Some(report) = report_of(sight, entry) else {
            return !self.warm.contains(&entry.id);
        };
        let is_there = report.is_warm || !self.warm.contains(&entry.id);
        report.is_active && is_there && !report.is_unfit && !report.is_slow
    }

    pub fn tend(&mut self, sight: &Sight, orders: &Orders, plan: &mut Plan) {
        let current = Version {
            era: sight.next.era,
            no: sight.next.no.saturating_sub(1),
        };
        self.seen.retain(|id, _| sight.plan.runner(id).is_some());
        self.warm.retain(|id| sight.plan.runner(id).is_some());
        for entry in &sight.plan.runners {
            let seen = self.seen.entry(entry.id.clone()).or_insert(Seen {
                state: entry.state,
                since: sight.now,
                version: current,
                unfit_since: None,
                slow_since: None,
                lost_since: None,
            });
            if seen.state != entry.state {
                seen.state = entry.state;
                seen.since = sight.now;
                seen.version = current;
            }
            if report_of(sight, entry).is_some_and(|report| report.is_warm) {
                self.warm.insert(entry.id.clone());
            }
        }
        for place in 0..plan.runners.len() {
            let entry = &plan.runners[place];
            let next = match entry.state {
                RunnerState::Wanted => self.leave(sight, orders, entry),
                RunnerState::Draining => self.drained(sight, entry),
                RunnerState::Stopping => orders.is_gone(&entry.id).then_some(RunnerState::Resting),
                RunnerState::Resting => None,
            };
            if let Some(next) = next {
                plan.runners[place].state = next;
            }
        }
        let bounds = &sight.blueprint.bounds;
        let rest =
            sight.blueprint.longest_budget_ms() + bounds.lease_ms() + 2 * bounds.seat_window_ms();
        plan.runners.retain(|entry| {
            let seen = self.seen.get(&entry.id);
            let is_rested = seen.is_some_and(|seen| {
                seen.state == RunnerState::Resting && seen.since + rest <= sight.now
            });
            entry.state != RunnerState::Resting || !is_rested
        });
    }

    /// Whether a wanted runner is to leave, and how.
    fn leave(
        &mut self,
        sight: &Sight,
        orders: &Orders,
        entry: &RunnerEntry,
    ) -> Option<RunnerState> {
        if orders.is_refused(&entry.id) {
            return Some(RunnerState::Stopping);
        }
        let bounds = &sight.blueprint.bounds;
        let is_told = sight
            .listed
            .iter()
            .any(|runner| runner.id == entry.id && runner.state == ListedState::Leaving);
        let worker = sight.worker(&entry.worker);
        let is_emptied = worker.is_some_and(|worker| worker.is_leaving);
        let is_listed = sight.blueprint.listing(&entry.function).is_some();
        if is_told || is_emptied || !is_listed || !sight.blueprint.is_open(&entry.district) {
            return Some(RunnerState::Draining);
        }
        let seen = self.seen.get_mut(&entry.id)?;
        let report = report_of(sight, entry);
        let held = |since: &mut Option<u64>, is_so: bool, time: u64| {
            if !is_so {
                *since = None;
                return false;
            }
            since.get_or_insert(sight.now).saturating_add(time) <= sight.now
        };
        let is_absent = report.is_some_and(|report| report.absent_ms > bounds.lease_ms());
        // A list may miss a worker that lives: who answers there stays, as long as its keeper says so.
        let is_heard = report.is_some_and(|report| report.is_warm);
        let is_lost = worker.is_none() && !sight.workers.is_empty() && !is_heard;
        let is_long_lost = held(&mut seen.lost_since, is_lost, bounds.lease_ms());
        let is_unfit = report.is_some_and(|report| report.is_unfit);
        let is_long_unfit = held(&mut seen.unfit_since, is_unfit, bounds.lease_ms());
        // A runner that stays far slower than its kin gives its memory to one that is not.
        let is_slow = report.is_some_and(|report| report.is_slow);
        let is_long_slow = held(
            &mut seen.slow_since,
            is_slow,
            SLOW_RETURNS * bounds.return_ms,
        );
        let start_ms = sight
            .blueprint
            .listing(&entry.function)
            .map_or(0, |listing| listing.start_ms);
        let patience = 2 * start_ms + bounds.return_ms;
        let is_never_warm = !self.warm.contains(&entry.id)
            && report.is_some_and(|report| report.is_active)
            && seen.since + patience <= sight.now;
        (is_absent || is_long_lost || is_long_unfit || is_long_slow || is_never_warm)
            .then_some(RunnerState::Draining)
    }

    /// Whether a draining runner has nothing in flight any more.
    fn drained(&self, sight: &Sight, entry: &RunnerEntry) -> Option<RunnerState> {
        let seen = self.seen.get(&entry.id)?;
        if seen.state != RunnerState::Draining {
            return None;
        }
        let keeper = sight.fronts.get(&entry.keeper.name);
        let knows = keeper.is_some_and(|front| front.report.plan >= seen.version);
        let report = report_of(sight, entry).filter(|_| knows);
        let is_empty = report.is_some_and(|report| report.lent == 0 && report.is_active);
        let bounds = &sight.blueprint.bounds;
        let longest =
            sight.blueprint.longest_budget_ms() + 2 * bounds.lease_ms() + bounds.seat_window_ms();
        (is_empty || seen.since + longest <= sight.now).then_some(RunnerState::Stopping)
    }
}
