//! When to probe starting runners.

use std::collections::BTreeMap;

/// A runner that has been started and is not known to be up.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProbeTarget {
    pub function: String,
    pub runner: String,
}

/// Times of the next probes in milliseconds of the clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeSchedule {
    due_at: BTreeMap<ProbeTarget, u64>,
}

impl ProbeSchedule {
    /// Schedules a runner's probe, replacing an already scheduled one.
    pub fn schedule(&mut self, target: ProbeTarget, at: u64) {
        self.due_at.insert(target, at);
    }

    /// Schedules a runner's probe unless one is already scheduled.
    pub fn schedule_first(&mut self, target: ProbeTarget, at: u64) {
        self.due_at.entry(target).or_insert(at);
    }

    pub fn cancel(&mut self, target: &ProbeTarget) {
        self.due_at.remove(target);
    }

    /// Takes the probes that are due.
    pub fn take_due(&mut self, now: u64) -> Vec<ProbeTarget> {
        let due = self.due_at.iter().filter(|(_, at)| **at <= now);
        let due: Vec<ProbeTarget> = due.map(|(target, _)| target.clone()).collect();
        for target in &due {
            self.due_at.remove(target);
        }
        due
    }

    /// Time of the next probe.
    pub fn next_at(&self) -> Option<u64> {
        self.due_at.values().min().copied()
    }

    /// Keeps only the probes of functions that satisfy a predicate.
    pub fn retain_functions(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.due_at.retain(|target, _| is_kept(&target.function));
    }
}
