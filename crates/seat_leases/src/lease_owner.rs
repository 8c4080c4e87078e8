//! The owner of the seats of all functions that fell to one gateway.

mod confirmation;
mod handover;
mod pauses;
mod reporting;

use crate::action::LeaseAction;
use crate::function_seats::{FunctionSeats, RejectedRequest, RETRY_AFTER_MS};
use crate::lease_holder::LeaseHolder;
use crate::lease_rules::LeaseRules;
use crate::list_confirmation::UpdateAge;
use crate::probe_schedule::{ProbeSchedule, ProbeTarget};
use crate::seat_ownership::{SeatOwnership, SeatStatus};
use crate::unconfirmed_leases::UnconfirmedLeases;
use invariants::{check, Invariant};
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{FunctionUpdate, LeaseRelease, LeaseRequest, RequestId};
use std::collections::{BTreeSet, HashMap};

/// Most functions that one owner knows.
const FUNCTIONS_MAX: usize = 65_536;
/// Milliseconds after which a function that another gateway owns, and that nobody uses here, is evicted.
const EVICTION_AFTER_MS: u64 = 4_000;

/// The owner of the seats of all functions that fell to one gateway. It does no I/O: `now` is a steady clock in
/// milliseconds, and what is to be done is taken out by [`take_actions`](Self::take_actions).
#[derive(Clone, Default)]
pub struct LeaseOwner {
    functions: HashMap<String, FunctionSeats>,
    /// The function for which each request holds a lease or waits.
    function_by_holder: HashMap<LeaseHolder, String>,
    unconfirmed: UnconfirmedLeases,
    /// Functions that may have something to report to the scaler.
    unreported: BTreeSet<String>,
    probes: ProbeSchedule,
    ownership: SeatOwnership,
    rules: LeaseRules,
    actions: Vec<LeaseAction>,
}

impl LeaseOwner {
    /// The owner at the gateway of this name, which knows no function yet. Without a table of owners it leases nothing.
    #[must_use]
    pub fn new(gateway: &str, policy: LeasingPolicy, topology: Topology) -> Self {
        Self {
            ownership: SeatOwnership::new(gateway),
            ..Self::standalone(policy, topology)
        }
    }

    /// An owner without other gateways, which owns all functions.
    #[must_use]
    pub fn standalone(policy: LeasingPolicy, topology: Topology) -> Self {
        let rules = LeaseRules {
            policy,
            topology,
            ..LeaseRules::default()
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

    /// Whether a controller scales that can be asked for runners. While none does, seats are leased by the lists that there are, however old.
    pub fn set_scaler_reachable(&mut self, now: u64, is_reachable: bool) {
        let was_reachable = std::mem::replace(&mut self.rules.is_scaler_reachable, is_reachable);
        if was_reachable && !is_reachable {
            self.issue_all_leases(now);
        }
    }

    /// Takes what is to be done now, in order.
    pub fn take_actions(&mut self) -> Vec<LeaseAction> {
        std::mem::take(&mut self.actions)
    }

    /// A request of a gateway wants a seat. A lease or a rejection follows, at once or later, unless it is cancelled.
    /// What the request held or waited for before is free: it has one seat at most, in whatever order its messages come.
    pub fn request_lease(&mut self, now: u64, gateway: &str, zone: &str, request: LeaseRequest) {
        self.end_holder(&LeaseHolder::new(gateway, request.request_id));
        let is_new = !self.functions.contains_key(&request.function);
        if is_new && self.functions.len() >= FUNCTIONS_MAX {
            self.reject(gateway, request.request_id, RETRY_AFTER_MS);
            return;
        }
        let function = request.function.clone();
        let is_owned_elsewhere = self.ownership.leases_for_other_owner(&function);
        let seats = self.functions.entry(function.clone());
        let seats = seats.or_insert_with(|| FunctionSeats::new(now));
        if is_owned_elsewhere && seats.is_idle() {
            // The scaler tells the owner alone of changes, so that the list may be old.
            seats.invalidate_runner_list(now);
        }
        seats.invalidate_unconfirmed_list_if_idle(now);
        seats.touch(now);
        seats.record_arrival(zone, &request);
        if let Some(retry_after_ms) = seats.retry_after(now, &request, &self.rules) {
            seats.record_abandoned();
            self.reject(gateway, request.request_id, retry_after_ms);
            self.unreported.insert(function);
            return;
        }
        let displaced = seats.displace_for(&request);
        let holder = LeaseHolder::new(gateway, request.request_id);
        self.function_by_holder
            .insert(holder.clone(), function.clone());
        seats.enqueue(now, holder, zone, request);
        seats.check_queue();
        if let Some(displaced) = displaced {
            self.reject_waiting(&displaced);
        }
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
        let Some(function) = self.end_holder(&holder) else {
            return;
        };
        self.unreported.insert(function.clone());
        self.issue_leases(now, &function);
    }

    /// Ends the lease of a request, or its wait. Returns the function that it was for.
    fn end_holder(&mut self, holder: &LeaseHolder) -> Option<String> {
        self.unconfirmed.remove(holder);
        let function = self.function_by_holder.remove(holder)?;
        if let Some(seats) = self.functions.get_mut(&function) {
            seats.cancel(holder);
        }
        Some(function)
    }

    /// Checks that each seat that is leased, and each request that waits, has its holder, and no holder more than one.
    pub fn check_lease_accounting(&self) {
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
        self.unconfirmed.remove(&holder);
        self.function_by_holder.remove(&holder);
        self.unreported.insert(function.clone());
        self.issue_leases(now, &function);
    }

    /// An update of a function's runners that the scaler has just sent.
    pub fn update_runners(&mut self, now: u64, update: FunctionUpdate) {
        self.receive_update(now, update, UpdateAge::Fresh);
    }

    /// An update of a function's runners from the scaler.
    pub fn receive_update(&mut self, now: u64, update: FunctionUpdate, age: UpdateAge) {
        let function = update.function.clone();
        let seats = self.functions.entry(function.clone());
        let seats = seats.or_insert_with(|| FunctionSeats::new(now));
        // An update is no use, but it keeps the function for a while.
        seats.touch(now.saturating_sub(EVICTION_AFTER_MS / 2));
        for runner in seats.newly_draining(&update) {
            let version = update.version;
            log::info!(
                "gateway: runner leaving function={function} runner={runner} version={version}"
            );
        }
        seats.apply_update(now, update, age, &self.rules);
        self.schedule_probes(&function);
        self.unreported.insert(function.clone());
        self.issue_leases(now, &function);
        self.reject_unservable(now, &function);
    }

    fn schedule_probes(&mut self, function: &str) {
        let Some(seats) = self.functions.get(function) else {
            return;
        };
        for runner in seats.runners().filter(|runner| runner.is_starting()) {
            let target = ProbeTarget {
                function: function.into(),
                runner: runner.id().into(),
            };
            self.probes.schedule_first(target, runner.probe_at());
        }
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
        self.unconfirmed.remove_gateway(gateway);
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
        self.expire_pause(now);
        self.expire_handovers(now);
        self.poll_unconfirmed(now);
        for target in self.probes.take_due(now) {
            self.probe(target);
        }
        for function in self.functions_with_waiting() {
            self.reject_unservable(now, &function);
            self.issue_leases(now, &function);
            self.remind_of_waiting(now, function);
        }
    }

    fn functions_with_waiting(&self) -> Vec<String> {
        let functions = self.functions.iter();
        let with_waiting = functions.filter(|(_, seats)| seats.has_waiting());
        with_waiting.map(|(name, _)| name.clone()).collect()
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
        if matches!(
            self.ownership.status(&target.function),
            SeatStatus::OwnedBy(_)
        ) {
            return;
        }
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
    fn reject_unservable(&mut self, now: u64, function: &str) {
        let Some(seats) = self.functions.get_mut(function) else {
            return;
        };
        for rejected in seats.take_unservable(now, &self.rules) {
            self.reject_waiting(&rejected);
        }
    }

    /// Rejects a request that was taken out of its queue.
    fn reject_waiting(&mut self, rejected: &RejectedRequest) {
        let holder = &rejected.holder;
        self.function_by_holder.remove(holder);
        self.reject(&holder.gateway, holder.request_id, rejected.retry_after_ms);
    }

    /// Leases what is free to those that wait, where the seats are this gateway's to lease.
    fn issue_leases(&mut self, now: u64, function: &str) {
        self.observe_clock(now);
        if *self.ownership.status(function) != SeatStatus::Owned {
            return;
        }
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
}
