//! The owner of the seats of all functions that fell to one gateway.

use crate::action::{LeaseAction, OwnerUsage, RunnerUsage};
use crate::function_seats::{FunctionSeats, RETRY_AFTER_MS};
use crate::lease_holder::LeaseHolder;
use crate::lease_rules::LeaseRules;
use crate::probe_schedule::{ProbeSchedule, ProbeTarget};
use invariants::{check, Invariant};
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{
    FunctionReport, FunctionUpdate, LeaseRelease, LeaseRequest, RequestId, RunnerLeases,
};
use std::collections::{BTreeSet, HashMap};

/// Most functions that one owner knows.
const FUNCTIONS_MAX: usize = 65_536;
/// Milliseconds after which a function that another gateway owns, and that nobody uses here, is evicted.
const EVICTION_AFTER_MS: u64 = 4_000;

/// The owner of the seats of all functions that fell to one gateway. It does no I/O: `now` is a steady clock in
/// milliseconds, and what is to be done is taken out by [`take_actions`](Self::take_actions).
#[derive(Default)]
pub struct LeaseOwner {
    functions: HashMap<String, FunctionSeats>,
    /// The function for which each request holds a lease or waits.
    function_by_holder: HashMap<LeaseHolder, String>,
    /// Functions that may have something to report to the scaler.
    unreported: BTreeSet<String>,
    probes: ProbeSchedule,
    rules: LeaseRules,
    actions: Vec<LeaseAction>,
}

impl LeaseOwner {
    /// An owner that knows no function yet.
    #[must_use]
    pub fn new(policy: LeasingPolicy, topology: Topology) -> Self {
        let rules = LeaseRules {
            policy,
            topology,
            evacuated_zones: BTreeSet::new(),
        };
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Sets the zones whose runners get no new requests.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<String>) {
        self.rules.evacuated_zones = zones;
    }

    /// Takes what is to be done now, in order.
    pub fn take_actions(&mut self) -> Vec<LeaseAction> {
        std::mem::take(&mut self.actions)
    }

    /// A request of a gateway wants a seat. A lease or a rejection follows, at once or later, unless it is cancelled.
    /// What the request held or waited for before is free: it has one seat at most, in whatever order its messages come.
    pub fn request_lease(&mut self, now: u64, gateway: &str, zone: &str, request: LeaseRequest) {
        self.forget_holder(&LeaseHolder::new(gateway, request.request_id));
        let is_new = !self.functions.contains_key(&request.function);
        if is_new && self.functions.len() >= FUNCTIONS_MAX {
            self.reject(gateway, request.request_id, RETRY_AFTER_MS);
            return;
        }
        let function = request.function.clone();
        let seats = self.functions.entry(function.clone()).or_default();
        seats.touch(now);
        seats.record_arrival(zone, &request);
        if let Some(retry_after_ms) = seats.rejects(now, &request, &self.rules) {
            seats.record_abandoned();
            self.reject(gateway, request.request_id, retry_after_ms);
            self.unreported.insert(function);
            return;
        }
        let holder = LeaseHolder::new(gateway, request.request_id);
        self.function_by_holder
            .insert(holder.clone(), function.clone());
        seats.enqueue(now, holder, zone, request);
        seats.check_queue();
        self.issue_leases(now, &function);
        if let Some(seats) = self.functions.get_mut(&function) {
            if seats.has_waiting() {
                seats.report_state().mark_urgent();
            }
            self.unreported.insert(function);
        }
    }

    /// A request of a gateway wants no seat any more; one that was leased for it is free.
    pub fn cancel(&mut self, now: u64, gateway: &str, request_id: RequestId) {
        let holder = LeaseHolder::new(gateway, request_id);
        let Some(function) = self.forget_holder(&holder) else {
            return;
        };
        self.unreported.insert(function.clone());
        self.issue_leases(now, &function);
    }

    /// Ends the lease of a request, or its wait. Returns the function that it was for.
    fn forget_holder(&mut self, holder: &LeaseHolder) -> Option<String> {
        let function = self.function_by_holder.remove(holder)?;
        if let Some(seats) = self.functions.get_mut(&function) {
            seats.cancel(holder);
        }
        Some(function)
    }

    /// Checks that each seat that is leased, and each request that waits, has its holder, and no holder more than one.
    pub fn check_accounts(&self) {
        let usage = self.usage();
        let holders = self.function_by_holder.len() as u64;
        let is_accounted = usage.leased + usage.waiting == holders;
        check(Invariant::SeatsAreAccounted, is_accounted, || {
            format!("usage={usage:?} holders={holders}")
        });
    }

    /// A gateway gives a lease back. One that it does not hold changes nothing.
    pub fn release(&mut self, now: u64, gateway: &str, release: &LeaseRelease) {
        let holder = LeaseHolder::new(gateway, release.request_id);
        let Some(function) = self.function_by_holder.get(&holder).cloned() else {
            return;
        };
        let Some(seats) = self.functions.get_mut(&function) else {
            return;
        };
        seats.touch(now);
        if !seats.release(now, &holder, release, &self.rules) {
            return;
        }
        self.function_by_holder.remove(&holder);
        self.unreported.insert(function.clone());
        self.issue_leases(now, &function);
    }

    /// A gateway reports to the function's new owner all seats that it uses. Of those that were known before, the others are free.
    pub fn adopt_leases(
        &mut self,
        now: u64,
        gateway: &str,
        function: &str,
        runners: &[RunnerLeases],
    ) {
        let seats = self.functions.entry(function.to_string()).or_default();
        let known = seats.holders_of(gateway);
        let reported = runners.iter().flat_map(|runner| &runner.requests);
        let reported = reported.map(|request_id| LeaseHolder::new(gateway, *request_id));
        for holder in known.into_iter().chain(reported) {
            self.forget_holder(&holder);
        }
        let seats = self.functions.entry(function.to_string()).or_default();
        seats.touch(now);
        for leases in runners {
            let runner = seats.runner_or_add(now, leases, &self.rules);
            for request_id in &leases.requests {
                let holder = LeaseHolder::new(gateway, *request_id);
                runner.add_lease(holder.clone());
                self.function_by_holder.insert(holder, function.to_string());
            }
        }
        seats.report_state().mark_changed();
        self.unreported.insert(function.to_string());
        self.issue_leases(now, function);
    }

    /// An update of a function's runners from the scaler.
    pub fn update_runners(&mut self, now: u64, update: FunctionUpdate) {
        let function = update.function.clone();
        let seats = self.functions.entry(function.clone()).or_default();
        // An update is no use, but it keeps the function for a while.
        seats.touch(now.saturating_sub(EVICTION_AFTER_MS / 2));
        seats.apply_update(now, update, &self.rules);
        for runner in seats.runners().filter(|one| one.is_starting()) {
            let target = ProbeTarget {
                function: function.clone(),
                runner: runner.id().into(),
            };
            self.probes.schedule_first(target, runner.probe_at());
        }
        self.unreported.insert(function.clone());
        self.issue_leases(now, &function);
        self.reject_hopeless(now, &function);
    }

    /// A gateway is gone; what it held or wanted is free.
    pub fn remove_gateway(&mut self, now: u64, gateway: &str) {
        let functions = self.functions.iter_mut();
        let with_gateway = functions.filter_map(|(name, seats)| {
            let is_known = seats.remove_gateway(gateway);
            is_known.then(|| name.clone())
        });
        let functions: Vec<String> = with_gateway.collect();
        self.function_by_holder
            .retain(|holder, _| holder.gateway != gateway);
        for function in functions {
            self.unreported.insert(function.clone());
            self.issue_leases(now, &function);
        }
    }

    /// What came of a probe: whether the runner accepted the connection.
    pub fn record_probe(&mut self, now: u64, function: &str, runner: &str, is_up: bool) {
        let Some(seats) = self.functions.get_mut(function) else {
            return;
        };
        let Some(probed) = seats.runner(runner) else {
            return;
        };
        let target = ProbeTarget {
            function: function.into(),
            runner: runner.into(),
        };
        if !is_up {
            let next_at = probed.record_probe_failure(now);
            self.probes.schedule(target, next_at);
            return;
        }
        probed.record_probe_success(now);
        seats.report_state().mark_changed();
        self.probes.cancel(&target);
        self.unreported.insert(function.to_string());
        self.issue_leases(now, function);
    }

    /// Advances the clock: probes that are due, leases of runners that paused, rejections and reminders.
    pub fn tick(&mut self, now: u64) {
        for target in self.probes.take_due(now) {
            self.probe(target);
        }
        let functions = self.functions.iter();
        let with_waiting = functions.filter(|(_, seats)| seats.has_waiting());
        let names: Vec<String> = with_waiting.map(|(name, _)| name.clone()).collect();
        for function in names {
            self.reject_hopeless(now, &function);
            self.issue_leases(now, &function);
            self.remind_of_waiting(now, function);
        }
    }

    fn remind_of_waiting(&mut self, now: u64, function: String) {
        let Some(seats) = self.functions.get_mut(&function) else {
            return;
        };
        if seats.has_waiting() && seats.report_state().is_reminder_due(now) {
            seats.report_state().mark_changed();
            self.unreported.insert(function);
        }
    }

    /// When the next probe is due, in milliseconds of the clock.
    #[must_use]
    pub fn next_probe_at(&self) -> Option<u64> {
        self.probes.next_at()
    }

    fn probe(&mut self, target: ProbeTarget) {
        let seats = self.functions.get_mut(&target.function);
        let runner = seats.and_then(|seats| seats.runner(&target.runner));
        let Some(runner) = runner.filter(|runner| runner.is_starting()) else {
            return;
        };
        if !runner.begin_probe() {
            return;
        }
        let address = runner.address().into();
        self.actions.push(LeaseAction::Probe {
            function: target.function,
            runner: target.runner,
            address,
        });
    }

    fn reject(&mut self, gateway: &str, request_id: RequestId, retry_after_ms: u32) {
        self.actions.push(LeaseAction::Reject {
            gateway: gateway.into(),
            request_id,
            retry_after_ms,
        });
    }

    /// Rejects requests whose time is over, and those that nothing can serve in time.
    fn reject_hopeless(&mut self, now: u64, function: &str) {
        let Some(seats) = self.functions.get_mut(function) else {
            return;
        };
        for rejected in seats.take_hopeless(now, &self.rules) {
            let holder = rejected.holder;
            self.function_by_holder.remove(&holder);
            self.reject(&holder.gateway, holder.request_id, rejected.retry_after_ms);
        }
    }

    /// Leases what is free to those that wait.
    fn issue_leases(&mut self, now: u64, function: &str) {
        let Some(seats) = self.functions.get_mut(function) else {
            return;
        };
        while let Some(issued) = seats.lease_next(now, &self.rules) {
            self.actions.push(LeaseAction::Lease {
                gateway: issued.gateway,
                lease: issued.lease,
            });
        }
    }

    /// Takes the reports that are due. `is_all` takes those of all functions, as after a new scaler was met.
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

    /// Evicts functions that another gateway owns and that are not used here any more.
    pub fn evict_unowned(&mut self, now: u64, is_owned: impl Fn(&str) -> bool) {
        self.functions.retain(|name, seats| {
            let is_recent = now < seats.used_at() + EVICTION_AFTER_MS;
            is_owned(name) || !seats.is_idle() || is_recent
        });
        let functions = &self.functions;
        self.unreported.retain(|name| functions.contains_key(name));
        self.probes
            .retain_functions(|name| functions.contains_key(name));
    }

    /// Usage of a function's runners; empty where the function is not known here.
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

    /// What is leased and who waits, over all functions.
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

    /// Whether a request of a gateway holds a seat or waits for one.
    #[must_use]
    pub fn is_holder(&self, gateway: &str, request_id: RequestId) -> bool {
        let holder = LeaseHolder::new(gateway, request_id);
        self.function_by_holder.contains_key(&holder)
    }

    /// Number of functions that are known here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.functions.len()
    }

    /// Whether no function is known here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.functions.is_empty()
    }
}
