//! The last report of each gateway that owns a function's seats.
//!
//! The gateway that owns a function's seats reports the arrivals, the waiting requests and the state of each runner. While
//! ownership is being transferred, two gateways may report on one function.

use protocol::{FunctionReport, RunnerReport};
use std::collections::BTreeMap;

/// Milliseconds without a report after which a gateway no longer counts as an owner of the function.
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
    /// Whether the report was received within the last `limit_ms` milliseconds.
    pub fn is_within(&self, limit_ms: u64, now: u64) -> bool {
        self.reported_at + limit_ms > now
    }

    /// Whether the report is recent enough for its sender to count as an owner.
    pub fn is_current(&self, now: u64) -> bool {
        self.is_within(REPORT_TIMEOUT_MS, now)
    }

    /// Number of the update that the owner had received when it sent the report.
    pub fn update_number(&self) -> u64 {
        self.update_number
    }

    /// Number of requests in flight at a runner.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.runners.get(id).map_or(0, |report| report.in_use)
    }

    /// Whether a request is in flight at any runner.
    pub fn has_requests_in_flight(&self) -> bool {
        self.runners.values().any(|report| report.in_use > 0)
    }

    /// Stores the arrival counter of a zone. Returns its increase since the previous report.
    pub fn update_arrival_counter(&mut self, zone: &str, counter: u64) -> u64 {
        let before = self.arrived_by_zone.insert(zone.to_owned(), counter);
        counter.saturating_sub(before.unwrap_or(0))
    }

    /// Stores everything in a report except the arrivals.
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
    /// Whether there is a report of this owner.
    pub fn contains(&self, owner: &str) -> bool {
        self.by_owner.contains_key(owner)
    }

    /// Names of the owners.
    pub fn owners(&self) -> impl Iterator<Item = &String> {
        self.by_owner.keys()
    }

    /// The reports, sorted by owner name.
    pub fn iter(&self) -> impl Iterator<Item = &OwnerReport> {
        self.by_owner.values()
    }

    /// The report of an owner. An empty one is inserted for a new owner.
    pub fn entry(&mut self, owner: &str) -> &mut OwnerReport {
        self.by_owner.entry(owner.to_owned()).or_default()
    }

    /// Removes the report of an owner.
    pub fn remove(&mut self, owner: &str) {
        self.by_owner.remove(owner);
    }

    /// The last report of an owner on a runner.
    pub fn runner(&self, owner: &str, id: &str) -> Option<&RunnerReport> {
        self.by_owner.get(owner)?.runners.get(id)
    }

    /// Number of requests waiting for a seat, by the current reports.
    pub fn waiting(&self, now: u64) -> u32 {
        let current = self.iter().filter(|report| report.is_current(now));
        current.fold(0, |sum, report| sum.saturating_add(report.waiting))
    }

    /// Whether any current report shows a request in flight.
    pub fn has_requests_in_flight(&self, now: u64) -> bool {
        let mut current = self.iter().filter(|report| report.is_current(now));
        current.any(OwnerReport::has_requests_in_flight)
    }

    /// Number of requests in flight at a runner, by the last report of each owner.
    pub fn in_flight(&self, id: &str) -> u32 {
        let reported = self.iter().map(|report| report.in_flight(id));
        reported.fold(0, u32::saturating_add)
    }
}
