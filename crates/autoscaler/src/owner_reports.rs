//! The last reports of the gateways that own a function's seats.
//!
//! The gateway that owns a function's seats reports what arrived, what waits and what each runner does. While ownership
//! moves, two gateways may report on one function.

use protocol::{FunctionReport, RunnerReport};
use std::collections::BTreeMap;

/// Milliseconds without a report after which a gateway counts as no owner of the function any more.
pub(crate) const REPORT_TIMEOUT_MS: u64 = 3_000;

/// The last report of one owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerReport {
    reported_at: u64,
    update_number: u64,
    waiting: u32,
    arrived_by_zone: BTreeMap<String, u64>,
    runners: BTreeMap<String, RunnerReport>,
}

impl OwnerReport {
    /// Whether it was received within the last `limit_ms`.
    pub fn is_within(&self, limit_ms: u64, now: u64) -> bool {
        self.reported_at + limit_ms > now
    }

    /// Whether its owner counts as one.
    pub fn is_current(&self, now: u64) -> bool {
        self.is_within(REPORT_TIMEOUT_MS, now)
    }

    /// Number of the update that the owner held.
    pub fn update_number(&self) -> u64 {
        self.update_number
    }

    /// Requests in flight at a runner.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.runners.get(id).map_or(0, |report| report.in_use)
    }

    /// Whether any runner holds a request.
    pub fn has_requests_in_flight(&self) -> bool {
        self.runners.values().any(|report| report.in_use > 0)
    }

    /// Takes the counter of a zone's arrivals; gives by how much it grew.
    pub fn update_arrival_counter(&mut self, zone: &str, counter: u64) -> u64 {
        let before = self.arrived_by_zone.insert(zone.to_owned(), counter);
        counter.saturating_sub(before.unwrap_or(0))
    }

    /// Takes all else that a report says.
    pub fn replace(&mut self, report: &FunctionReport, now: u64) {
        self.reported_at = now;
        self.update_number = report.update_number;
        self.waiting = report.waiting;
        let runners = report.runners.iter();
        self.runners = runners.map(|one| (one.id.clone(), one.clone())).collect();
    }
}

/// The last report of each owner of one function.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerReports {
    by_owner: BTreeMap<String, OwnerReport>,
}

impl OwnerReports {
    /// Whether the owner reported before.
    pub fn contains(&self, owner: &str) -> bool {
        self.by_owner.contains_key(owner)
    }

    /// Names of the owners.
    pub fn owners(&self) -> impl Iterator<Item = &String> {
        self.by_owner.keys()
    }

    /// The reports, in the order of their owners' names.
    pub fn iter(&self) -> impl Iterator<Item = &OwnerReport> {
        self.by_owner.values()
    }

    /// The report of an owner, blank where it is new.
    pub fn entry(&mut self, owner: &str) -> &mut OwnerReport {
        self.by_owner.entry(owner.to_owned()).or_default()
    }

    /// Forgets an owner.
    pub fn remove(&mut self, owner: &str) {
        self.by_owner.remove(owner);
    }

    /// What an owner reported of a runner before.
    pub fn runner(&self, owner: &str, id: &str) -> Option<&RunnerReport> {
        self.by_owner.get(owner)?.runners.get(id)
    }

    /// Requests that wait for a seat, at owners that reported lately.
    pub fn waiting(&self, now: u64) -> u32 {
        let current = self.iter().filter(|report| report.is_current(now));
        current.fold(0, |sum, report| sum.saturating_add(report.waiting))
    }

    /// Whether an owner that reported lately has a request in flight.
    pub fn has_requests_in_flight(&self, now: u64) -> bool {
        let mut current = self.iter().filter(|report| report.is_current(now));
        current.any(OwnerReport::has_requests_in_flight)
    }

    /// Requests in flight at a runner, by the last report of each owner.
    pub fn in_flight(&self, id: &str) -> u32 {
        let reported = self.iter().map(|report| report.in_flight(id));
        reported.fold(0, u32::saturating_add)
    }
}
