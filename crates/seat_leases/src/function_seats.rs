//! Seats of one function: its runners, its waiting requests and its reports to the scaler.

mod handover;
mod reporting;

use crate::lease_holder::LeaseHolder;
use crate::lease_rules::LeaseRules;
use crate::list_confirmation::{ListConfirmation, UpdateAge};
use crate::report_state::ReportState;
use crate::runner_set::{RunnerCriteria, RunnerSet};
use crate::seat_runner::SeatRunner;
use crate::start_block::ReceivedStartBlock;
use crate::wait_queue::{QueuePosition, WaitQueue, WaitingRequest};
use invariants::{check, Invariant};
use protocol::{
    FunctionUpdate, LeaseOutcome, LeaseRelease, LeaseRequest, RunnerLeases, RunnerStage, SeatLease,
};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of waiting requests per function.
const WAITING_MAX: usize = 512;
/// Maximum expected wait as a fraction of a request's timeout. The rest of the timeout is left for running it.
const WAIT_FRACTION_MAX: f64 = 0.9;
/// Default retry delay of a rejected request in milliseconds, used if no better estimate exists.
pub(crate) const RETRY_AFTER_MS: u32 = 250;

/// A waiting request that is rejected because it cannot get a seat in time.
pub(crate) struct RejectedRequest {
    pub holder: LeaseHolder,
    pub retry_after_ms: u32,
}

/// A lease issued to a waiting request.
pub(crate) struct IssuedLease {
    pub gateway: String,
    pub lease: SeatLease,
}

/// Runners and waiting requests of one function.
#[derive(Clone, Debug, Default)]
pub(crate) struct FunctionSeats {
    runners: RunnerSet,
    list: ListConfirmation,
    queue: WaitQueue,
    /// The scaler's latest statement that no new runner can start in time.
    start_block: Option<ReceivedStartBlock>,
    /// Number of first attempts, by zone of the gateway.
    arrivals: BTreeMap<String, u64>,
    abandoned: u64,
    used_at: u64,
    report: ReportState,
}

impl FunctionSeats {
    /// Creates the state of a function about which nothing is known yet.
    pub fn new(now: u64) -> Self {
        Self {
            list: ListConfirmation::unconfirmed(now),
            ..Self::default()
        }
    }

    /// State of the reports to the scaler.
    pub fn report_state(&mut self) -> &mut ReportState {
        &mut self.report
    }

    /// Records that the function was used at `now` or later.
    pub fn touch(&mut self, now: u64) {
        self.used_at = self.used_at.max(now);
    }

    /// Time of the last use.
    pub fn used_at(&self) -> u64 {
        self.used_at
    }

    /// Whether any request is waiting.
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Whether no request is waiting and no seat is leased.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && !self.runners.has_leases()
    }

    /// All runners of the function.
    pub fn runners(&self) -> impl Iterator<Item = &SeatRunner> {
        self.runners.iter()
    }

    /// Looks up a runner by id.
    pub fn runner(&mut self, id: &str) -> Option<&mut SeatRunner> {
        self.runners.get_mut(id)
    }

    /// Applies an update of the runner list from the scaler. An update older than the last one is ignored.
    pub fn apply_update(
        &mut self,
        now: u64,
        update: FunctionUpdate,
        age: UpdateAge,
        rules: &LeaseRules,
    ) {
        if !self.list.confirm(update.version) {
            return;
        }
        if age == UpdateAge::Fresh {
            self.list.record_received(now);
        }
        let block = update.start_block;
        self.start_block = block.map(|block| ReceivedStartBlock::new(now, block));
        self.runners
            .apply_updates(now, update.runners, &rules.policy);
        self.report.mark_changed();
    }

    /// Marks the runner list as possibly outdated. It is reported as unknown, and the scaler then sends it again.
    pub fn invalidate_runner_list(&mut self, now: u64) {
        self.list.invalidate(now);
        self.start_block = None;
    }

    /// Invalidates a list from before a process pause: the scaler may have sent newer ones to other gateways meanwhile.
    pub fn invalidate_list_from_before_pause(&mut self, now: u64, rules: &LeaseRules) {
        if !self.list.is_from_before_pause(rules) {
            return;
        }
        self.invalidate_runner_list(now);
        self.report.mark_changed();
        self.report.mark_urgent();
    }

    /// Invalidates an unconfirmed list of an idle function, so that a new request waits until the scaler sends it again.
    pub fn invalidate_unconfirmed_list_if_idle(&mut self, now: u64) {
        if self.is_idle() && !self.list.is_confirmed() {
            self.invalidate_runner_list(now);
        }
    }

    /// Ids of the runners that serve requests here and are marked as draining by a newer update.
    pub fn newly_draining(&self, update: &FunctionUpdate) -> Vec<String> {
        if update.version < self.list.version() {
            return Vec::new();
        }
        let updated = update.runners.iter();
        let draining = updated.filter(|runner| runner.stage == RunnerStage::Draining);
        let draining: BTreeSet<&str> = draining.map(|runner| runner.id.as_str()).collect();
        let serving = self.runners.iter().filter(|runner| runner.is_serving());
        serving
            .filter(|runner| draining.contains(runner.id()))
            .map(|runner| runner.id().to_string())
            .collect()
    }

    /// Returns a runner at which a gateway holds leases, adding it if unknown. A runner missing from a confirmed list has
    /// been removed and is added as draining; otherwise it is assumed to be serving.
    pub fn runner_or_add(
        &mut self,
        now: u64,
        leases: &RunnerLeases,
        rules: &LeaseRules,
    ) -> &mut SeatRunner {
        let stage = match self.list.is_confirmed() {
            true => RunnerStage::Draining,
            false => RunnerStage::Serving,
        };
        self.runners.get_or_add(now, leases, stage, &rules.policy)
    }

    /// Holders of the leases of a gateway.
    pub fn holders_of(&self, gateway: &str) -> Vec<LeaseHolder> {
        self.runners.holders_of(gateway)
    }

    /// Counts a request as an arrival unless it is a retry after a failed runner.
    pub fn record_arrival(&mut self, zone: &str, request: &LeaseRequest) {
        if request.excluded_runners.is_empty() {
            *self.arrivals.entry(zone.into()).or_insert(0) += 1;
        }
    }

    /// Milliseconds after which to retry a request that would not get a seat in time; `None` if it may wait.
    pub fn retry_after(&self, now: u64, request: &LeaseRequest, rules: &LeaseRules) -> Option<u32> {
        let timeout_ms = request.timeout_ms;
        let ahead = self.queue.ahead_of(request);
        let allowed_regions = &request.allowed_regions;
        let wait_ms = self
            .runners
            .expected_wait_ms(now, ahead, allowed_regions, rules);
        let criteria = RunnerCriteria {
            excluded: &request.excluded_runners,
            allowed_regions,
        };
        // A free seat involves no wait, and the response time of a runner is only measured by sending requests to it.
        let is_late = wait_ms.is_some_and(|wait| wait > f64::from(timeout_ms) * WAIT_FRACTION_MAX)
            && !self.has_free_seat(now, rules, &criteria);
        let deadline = now + u64::from(timeout_ms);
        let blocked = self.retry_after_block(now, deadline, allowed_regions, rules);
        let fits_queue = !self.is_full() || self.queue.displaced_by(request).is_some();
        if !is_late && blocked.is_none() && fits_queue {
            return None;
        }
        let retry_after_ms = wait_ms.unwrap_or(0.0).max(f64::from(RETRY_AFTER_MS));
        Some(blocked.unwrap_or(retry_after_ms as u32))
    }

    fn is_full(&self) -> bool {
        self.queue.len() >= WAITING_MAX
    }

    /// Removes the last request of a full queue if the new request precedes it.
    pub fn displace_for(&mut self, request: &LeaseRequest) -> Option<RejectedRequest> {
        if !self.is_full() {
            return None;
        }
        let last = self.queue.displaced_by(request)?;
        let displaced = self.queue.remove(last)?;
        self.record_abandoned();
        Some(RejectedRequest {
            holder: displaced.holder,
            retry_after_ms: RETRY_AFTER_MS,
        })
    }

    /// Checks that the queue does not exceed its limit.
    pub fn check_queue(&self) {
        let waiting = self.queue.len();
        check(Invariant::QueueIsBounded, waiting <= WAITING_MAX, || {
            format!("waiting={waiting} max={WAITING_MAX}")
        });
    }

    /// Records that a request was dropped because it got no seat.
    pub fn record_abandoned(&mut self) {
        self.abandoned += 1;
        self.report.mark_changed();
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, now: u64, holder: LeaseHolder, zone: &str, request: LeaseRequest) {
        self.queue
            .push(WaitingRequest::new(now, holder, zone, request));
        self.report.mark_changed();
    }

    /// Removes a holder's waiting request or ends its lease.
    pub fn cancel(&mut self, holder: &LeaseHolder) {
        self.queue.remove_holder(holder);
        self.runners.remove_lease(holder);
        self.report.mark_changed();
    }

    /// Removes the waiting requests of a gateway and returns their holders.
    pub fn remove_waiting_of(&mut self, gateway: &str) -> Vec<LeaseHolder> {
        let removed = self.queue.take(|holder| holder.gateway == gateway);
        if !removed.is_empty() {
            self.report.mark_changed();
        }
        removed.into_iter().map(|waiting| waiting.holder).collect()
    }

    /// Removes all waiting requests and leases of a gateway. Returns whether it had any.
    pub fn remove_gateway(&mut self, gateway: &str) -> bool {
        let has_any = self.queue.has_gateway(gateway) || !self.holders_of(gateway).is_empty();
        if has_any {
            self.queue.remove_gateway(gateway);
            self.runners.remove_gateway(gateway);
            self.report.mark_changed();
        }
        has_any
    }

    /// Ends a lease and records its outcome for the runner. Returns false if the holder has no lease, which happens if a
    /// release arrives late, after its request has been queued again.
    pub fn release(
        &mut self,
        now: u64,
        holder: &LeaseHolder,
        release: &LeaseRelease,
        rules: &LeaseRules,
    ) -> bool {
        let Some(runner) = self.runners.remove_lease(holder) else {
            return false;
        };
        if release.is_aborted() {
            runner.record_aborted(now);
        }
        match release.outcome {
            LeaseOutcome::Succeeded => runner.record_success(release.duration_ms),
            LeaseOutcome::Rejected => {
                runner.record_rejection(now, &rules.policy);
                self.runners.limit_if_contended(now);
            }
            LeaseOutcome::Gone => {
                runner.record_gone();
                self.report.mark_urgent();
            }
            // A runner that loses several responses in a row is treated as gone.
            LeaseOutcome::Unreachable | LeaseOutcome::Lost => {
                if runner.record_failure() {
                    self.report.mark_urgent();
                }
            }
            LeaseOutcome::Unused => {}
        }
        self.report.mark_changed();
        true
    }

    /// Leases a free seat to the first waiting request that may use it.
    pub fn lease_next(&mut self, now: u64, rules: &LeaseRules) -> Option<IssuedLease> {
        let (position, index) = self.match_next(now, rules)?;
        let waiting = self.queue.serve(position)?;
        let runner = self.runners.at_mut(index);
        let lease = SeatLease {
            request_id: waiting.holder.request_id,
            runner: runner.id().into(),
            address: runner.address().into(),
            zone: runner.zone().into(),
        };
        let gateway = waiting.holder.gateway.clone();
        runner.lease(waiting.holder);
        Some(IssuedLease { gateway, lease })
    }

    fn match_next(&self, now: u64, rules: &LeaseRules) -> Option<(QueuePosition, usize)> {
        if self.queue.is_empty() || !self.list.may_be_used(now, rules) {
            return None;
        }
        let free = self.runners.free_runners(now, rules);
        if free.is_empty() {
            return None;
        }
        self.queue.iter().find_map(|(position, waiting)| {
            let criteria = RunnerCriteria {
                excluded: &waiting.excluded_runners,
                allowed_regions: &waiting.allowed_regions,
            };
            let runners = &self.runners;
            let index = runners.cheapest(&free, &waiting.zone, &criteria, rules)?;
            Some((position, index))
        })
    }

    fn has_free_seat(&self, now: u64, rules: &LeaseRules, criteria: &RunnerCriteria<'_>) -> bool {
        let free = self.runners.free_runners(now, rules);
        let has_usable = self.runners.usable(&free, criteria, rules).next().is_some();
        has_usable
    }

    /// Milliseconds after which to retry a request that cannot be served before its deadline. `None` if an existing,
    /// backed-off, starting or new runner may still serve it.
    fn retry_after_block(
        &self,
        now: u64,
        deadline: u64,
        allowed_regions: &[String],
        rules: &LeaseRules,
    ) -> Option<u32> {
        let block = self.start_block?;
        if self.runners.may_serve(allowed_regions, rules) || !block.rules_out(now, deadline) {
            return None;
        }
        Some(block.retry_after_ms(now))
    }

    /// Removes requests past their deadline, then requests that no runner can serve in time.
    pub fn take_unservable(&mut self, now: u64, rules: &LeaseRules) -> Vec<RejectedRequest> {
        let waiting = self.queue.iter();
        let late = waiting.filter(|(_, request)| request.deadline <= now);
        let late = late.map(|(position, _)| (position, RETRY_AFTER_MS));
        let blocked = self.queue.iter().filter_map(|(position, request)| {
            let regions = &request.allowed_regions;
            let retry_after_ms = self.retry_after_block(now, request.deadline, regions, rules)?;
            Some((position, retry_after_ms))
        });
        let unservable: Vec<(QueuePosition, u32)> = late.chain(blocked).collect();
        let mut rejected = Vec::new();
        for (position, retry_after_ms) in unservable {
            let Some(waiting) = self.queue.remove(position) else {
                continue;
            };
            self.record_abandoned();
            rejected.push(RejectedRequest {
                holder: waiting.holder,
                retry_after_ms,
            });
        }
        rejected
    }
}
