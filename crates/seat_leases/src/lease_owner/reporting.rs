//! Reports to the scaler about functions, and to the gateway about usage.

use super::{LeaseOwner, EVICTION_AFTER_MS};
use crate::action::{LeaseSnapshot, OwnerSnapshot, OwnerUsage, RunnerUsage};
use crate::lease_holder::LeaseHolder;
use protocol::{FunctionReport, RequestId};

impl LeaseOwner {
    /// Takes the reports that are due, or those of all functions if `is_all` is set, as for a new scaler.
    pub fn reports(&mut self, now: u64, is_all: bool) -> Vec<FunctionReport> {
        let names: Vec<String> = if is_all {
            self.functions.keys().cloned().collect()
        } else {
            self.unreported.iter().cloned().collect()
        };
        let names = names.into_iter();
        names
            .filter_map(|name| self.report(now, &name, is_all))
            .collect()
    }

    fn report(&mut self, now: u64, name: &str, is_forced: bool) -> Option<FunctionReport> {
        let Some(seats) = self.functions.get_mut(name) else {
            self.unreported.remove(name);
            return None;
        };
        let state = seats.report_state();
        let interval_ms = self.rules.policy.report_interval_ms;
        if !is_forced && !state.is_due(now, interval_ms) {
            if !state.is_changed() {
                self.unreported.remove(name);
            }
            return None;
        }
        state.record_report(now);
        self.unreported.remove(name);
        Some(seats.report(name))
    }

    /// Evicts functions that another gateway owns and that are no longer used here.
    pub fn evict_unowned(&mut self, now: u64) {
        let ownership = &self.ownership;
        self.functions.retain(|name, seats| {
            let is_recent = now < seats.used_at() + EVICTION_AFTER_MS;
            ownership.is_assigned(name) || !seats.is_idle() || is_recent
        });
        let functions = &self.functions;
        self.unreported.retain(|name| functions.contains_key(name));
        self.probes
            .retain_functions(|name| functions.contains_key(name));
    }

    /// Usage of a function's runners; empty if the function is unknown.
    #[must_use]
    pub fn runner_usage(&self, function: &str) -> Vec<RunnerUsage> {
        let Some(seats) = self.functions.get(function) else {
            return Vec::new();
        };
        let runners = seats.runners();
        runners
            .map(|runner| RunnerUsage {
                id: runner.id().into(),
                quota: runner.quota(),
                in_use: runner.in_use(),
                is_serving: runner.is_serving(),
            })
            .collect()
    }

    /// Number of leases and waiting requests, summed over all functions.
    #[must_use]
    pub fn usage(&self) -> OwnerUsage {
        let mut usage = OwnerUsage::default();
        for seats in self.functions.values() {
            let leased = seats.runners().map(|runner| u64::from(runner.in_use()));
            usage.leased += leased.sum::<u64>();
            usage.waiting += seats.waiting_count() as u64;
        }
        usage
    }

    /// Snapshot of all leases, the number of waiting requests, and the pending handovers.
    #[must_use]
    pub fn snapshot(&self) -> OwnerSnapshot {
        let mut snapshot = OwnerSnapshot {
            awaited: self
                .ownership
                .awaited()
                .into_iter()
                .map(String::from)
                .collect(),
            unanswered: self.ownership.unanswered().map(String::from).collect(),
            ..OwnerSnapshot::default()
        };
        for seats in self.functions.values() {
            for runner in seats.runners() {
                let leases = runner.holders().map(|holder| LeaseSnapshot {
                    runner: runner.id().into(),
                    gateway: holder.gateway.clone(),
                    request_id: holder.request_id,
                    is_unconfirmed: self.unconfirmed.contains(holder),
                });
                snapshot.leases.extend(leases);
            }
            snapshot.waiting += seats.waiting_count();
        }
        snapshot.leases.sort();
        snapshot
    }

    /// Whether a gateway's request holds a seat or waits for one.
    #[must_use]
    pub fn is_holder(&self, gateway: &str, request_id: RequestId) -> bool {
        let holder = LeaseHolder::new(gateway, request_id);
        self.function_by_holder.contains_key(&holder)
    }

    /// Number of known functions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.functions.len()
    }

    /// Whether no function is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.functions.is_empty()
    }
}
