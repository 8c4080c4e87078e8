//! The lease owner of all functions that the ownership table assigns to one gateway.

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

/// Maximum number of functions that one owner tracks.
const FUNCTIONS_MAX: usize = 65_536;
/// Milliseconds without use after which a function owned by another gateway is evicted.
const EVICTION_AFTER_MS: u64 = 4_000;

/// Owns the seats of all functions assigned to one gateway. It performs no I/O: `now` is a monotonic clock in milliseconds,
/// and [`take_actions`](Self::take_actions) returns the resulting actions.
#[derive(Clone, Default)]
pub struct LeaseOwner {
    functions: HashMap<String, FunctionSeats>,
    /// The function for which each request holds a lease or waits.
    function_by_holder: HashMap<LeaseHolder, String>,
    unconfirmed: UnconfirmedLeases,
    /// Functions with state that may have to be reported to the scaler.
    unreported: BTreeSet<String>,
    probes: ProbeSchedule,
    ownership: SeatOwnership,
    rules: LeaseRules,
    actions: Vec<LeaseAction>,
}

impl LeaseOwner {
    /// Creates the owner of the gateway with this name. It leases nothing until it receives an ownership table.
    #[must_use]
    pub fn new(gateway: &str, policy: LeasingPolicy, topology: Topology) -> Self {
        Self {
            ownership: SeatOwnership::new(gateway),
            ..Self::standalone(policy, topology)
        }
    }

    /// Creates an owner that owns all functions because there are no other gateways.
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

    /// Sets the zones whose runners accept no new requests.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<String>) {
        self.rules.evacuated_zones = zones;
    }

    /// Sets whether a controller with the scaler role can be asked for runners. Without one, seats are leased from the
    /// known runner lists, however old they are.
    pub fn set_scaler_reachable(&mut self, now: u64, is_reachable: bool) {
        let was_reachable = std::mem::replace(&mut self.rules.is_scaler_reachable, is_reachable);
        if was_reachable && !is_reachable {
            self.issue_all_leases(now);
        }
    }

    /// Takes the pending actions, in order.
    pub fn take_actions(&mut self) -> Vec<LeaseAction> {
        std::mem::take(&mut self.actions)
    }

    /// Handles a gateway's lease request. A lease or a rejection follows now or later, unless the request is cancelled.
    /// Whatever the request held or waited for before is freed, so it has at most one seat in whatever order its messages
    /// arrive.
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
            // The scaler sends changes only to the function's owner, so this gateway's list may be outdated.
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

    /// Removes a gateway's request from the queue, or frees the seat leased to it.
    pub fn cancel(&mut self, now: u64, gateway: &str, request_id: RequestId) {
        let holder = LeaseHolder::new(gateway, request_id);
        let Some(function) = self.end_holder(&holder) else {
            return;
        };
        self.unreported.insert(function.clone());
        self.issue_leases(now, &function);
    }

    /// Ends the lease or the wait of a request. Returns the function that the request was for.
    fn end_holder(&mut self, holder: &LeaseHolder) -> Option<String> {
        self.unconfirmed.remove(holder);
        let function = self.function_by_holder.remove(holder)?;
        if let Some(seats) = self.functions.get_mut(&function) {
            seats.cancel(holder);
        }
        Some(function)
    }

    /// Checks that every lease and every waiting request has exactly one holder, and every holder only one of them.
    pub fn check_lease_accounting(&self) {
        let usage = self.usage();
        let holders = self.function_by_holder.len() as u64;
        let is_accounted = usage.leased + usage.waiting == holders;
        check(Invariant::SeatsAreAccounted, is_accounted, || {
            format!("usage={usage:?} holders={holders}")
        });
    }

    /// Releases a gateway's lease. A release of a lease that the gateway does not hold is ignored.
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

    /// Applies a runner update that the scaler has just sent.
    pub fn update_runners(&mut self, now: u64, update: FunctionUpdate) {
        self.receive_update(now, update, UpdateAge::Fresh);
    }

    /// Applies a runner update from the scaler.
    pub fn receive_update(&mut self, now: u64, update: FunctionUpdate, age: UpdateAge) {
        let function = update.function.clone();
        let seats = self.functions.entry(function.clone());
        let seats = seats.or_insert_with(|| FunctionSeats::new(now));
        // An update does not count as a use of the function, but it delays its eviction.
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

    /// Removes a gateway and frees everything that it held or waited for.
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

    /// Records the result of a probe: whether the runner accepted the connection.
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

    /// Advances the clock: expires pauses, handovers and unconfirmed leases, sends due probes, rejects late requests,
    /// leases seats of runners whose backoff has ended, and reminds the scaler of waiting requests.
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

    /// Time of the next probe in milliseconds of the clock.
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

    /// Rejects requests past their deadline and requests that no runner can serve in time.
    fn reject_unservable(&mut self, now: u64, function: &str) {
        let Some(seats) = self.functions.get_mut(function) else {
            return;
        };
        for rejected in seats.take_unservable(now, &self.rules) {
            self.reject_waiting(&rejected);
        }
    }

    /// Rejects a request that was removed from its queue.
    fn reject_waiting(&mut self, rejected: &RejectedRequest) {
        let holder = &rejected.holder;
        self.function_by_holder.remove(holder);
        self.reject(&holder.gateway, holder.request_id, rejected.retry_after_ms);
    }

    /// Leases free seats to waiting requests if this gateway may lease the function's seats.
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
