//! One runner as seen by the owner of its function's seats: quota, lease holders, availability and response time.

use crate::lease_holder::LeaseHolder;
use crate::rejection_backoff::RejectionBackoff;
use invariants::{check, Invariant};
use policy::LeasingPolicy;
use protocol::{RequestId, RunnerHandover, RunnerReport, RunnerStage, RunnerUpdate};
use std::collections::{BTreeMap, BTreeSet};

/// Number of responses over which the mean response time is taken. Newer responses weigh more.
const MEAN_SAMPLES: f64 = 20.0;
/// Consecutive failures (unreachable or lost response) after which a runner is considered gone.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// Milliseconds for which a probe's connection may occupy a seat.
const PROBE_SEAT_MS: u64 = 120;
/// Milliseconds for which an aborted request may occupy a seat until its runner notices that the connection was closed.
const ABORTED_SEAT_MS: u64 = 100;
/// Limits of the interval between two probes in milliseconds. Within them the interval is the expected start time divided
/// by `PROBE_INTERVAL_DIVISOR`.
const PROBE_INTERVAL_MIN_MS: u64 = 15;
const PROBE_INTERVAL_MAX_MS: u64 = 150;
const PROBE_INTERVAL_DIVISOR: u64 = 20;

/// One runner of a function. Its leases never exceed its quota.
#[derive(Clone, Debug)]
pub(crate) struct SeatRunner {
    /// The scaler's latest update.
    update: RunnerUpdate,
    is_up: bool,
    is_unreachable: bool,
    holders: BTreeSet<LeaseHolder>,
    backoff: RejectionBackoff,
    /// Time until which a probe's connection may occupy a seat.
    probe_seat_until: u64,
    /// Times until which aborted requests may still occupy a seat each.
    aborted_until: Vec<u64>,
    probe_at: u64,
    is_probing: bool,
    mean_response_ms: f64,
    /// Number of responses in the mean, limited by `MEAN_SAMPLES`.
    mean_count: f64,
    consecutive_failures: u32,
    succeeded: u64,
    total_duration_ms: u64,
    rejected: u64,
}

impl SeatRunner {
    /// Creates a newly known runner. Its first probe is due after a fraction of the expected start time, because start
    /// times vary around their average.
    pub fn new(update: RunnerUpdate, now: u64, policy: &LeasingPolicy) -> Self {
        let is_up = update.stage != RunnerStage::Starting;
        let probe_at = now + u64::from(update.starts_in_ms) * policy.first_probe_percent / 100;
        Self {
            update,
            is_up,
            is_unreachable: false,
            holders: BTreeSet::new(),
            backoff: RejectionBackoff::default(),
            probe_seat_until: 0,
            aborted_until: Vec::new(),
            probe_at,
            is_probing: false,
            mean_response_ms: 0.0,
            mean_count: 0.0,
            consecutive_failures: 0,
            succeeded: 0,
            total_duration_ms: 0,
            rejected: 0,
        }
    }

    /// Creates a runner handed over by its former owner.
    pub fn from_handover(handover: &RunnerHandover, now: u64, policy: &LeasingPolicy) -> Self {
        let mut runner = Self::new(handover.update.clone(), now, policy);
        runner.merge_handover(handover);
        runner
    }

    /// The state handed over to its next owner.
    pub fn handover(&self) -> RunnerHandover {
        RunnerHandover {
            update: self.update.clone(),
            is_up: self.is_up,
            is_unreachable: self.is_unreachable,
            mean_response_ms: self.mean_response_ms.round() as u32,
        }
    }

    /// Applies an update from the scaler.
    pub fn apply_update(&mut self, update: RunnerUpdate) {
        self.is_up |= update.stage == RunnerStage::Serving;
        self.update = update;
    }

    /// Marks the runner as draining: it gets no new requests.
    pub fn drain(&mut self) {
        self.update.stage = RunnerStage::Draining;
    }

    pub fn id(&self) -> &str {
        &self.update.id
    }

    pub fn address(&self) -> &str {
        &self.update.address
    }

    pub fn zone(&self) -> &str {
        &self.update.zone
    }

    pub fn quota(&self) -> u32 {
        self.update.quota
    }

    /// Number of leased seats.
    pub fn in_use(&self) -> u32 {
        self.holders.len() as u32
    }

    /// Leased fraction of the quota.
    pub fn utilization(&self) -> f64 {
        f64::from(self.in_use()) / f64::from(self.quota().max(1))
    }

    /// Whether the runner accepts new requests.
    pub fn is_serving(&self) -> bool {
        self.is_up && !self.is_unreachable && self.update.stage != RunnerStage::Draining
    }

    /// Whether the runner is starting and may still come up.
    pub fn is_starting(&self) -> bool {
        !self.is_up && !self.is_unreachable && self.update.stage != RunnerStage::Draining
    }

    /// Whether another seat may be leased now.
    pub fn has_free_seat(&self, now: u64) -> bool {
        let (in_use, quota) = (self.in_use(), self.backoff.limit(now, self.quota()));
        // A probe's connection may occupy a seat, but it must not block the only one.
        let probes = u32::from(now < self.probe_seat_until && quota > 1);
        let aborted = self.aborted_until.iter();
        let aborted = aborted.filter(|until| now < **until).count() as u32;
        self.is_serving() && in_use + probes + aborted < quota
    }

    /// Records that a request was aborted while the runner was processing it.
    pub fn record_aborted(&mut self, now: u64) {
        self.aborted_until.retain(|until| now < *until);
        self.aborted_until.push(now + ABORTED_SEAT_MS);
    }

    /// Leases a seat, which must be free.
    pub fn lease(&mut self, holder: LeaseHolder) {
        let (in_use, quota) = (self.in_use(), self.quota());
        check(Invariant::SeatsWithinQuota, in_use < quota, || {
            format!("runner={} in_use={in_use} quota={quota}", self.id())
        });
        self.add_lease(holder);
    }

    /// Adds a lease that another owner issued.
    pub fn add_lease(&mut self, holder: LeaseHolder) {
        self.holders.insert(holder);
    }

    /// Ends a holder's lease. Returns whether there was one.
    pub fn remove_lease(&mut self, holder: &LeaseHolder) -> bool {
        self.holders.remove(holder)
    }

    pub fn remove_gateway(&mut self, gateway: &str) {
        self.holders.retain(|holder| holder.gateway != gateway);
    }

    /// Requests that hold its seats, by gateway.
    pub fn leases_by_gateway(&self) -> BTreeMap<&str, Vec<RequestId>> {
        let mut leases: BTreeMap<&str, Vec<RequestId>> = BTreeMap::new();
        for holder in &self.holders {
            let requests = leases.entry(&holder.gateway).or_default();
            requests.push(holder.request_id);
        }
        leases
    }

    /// Adds what the former owner knows about the runner and this owner does not.
    pub fn merge_handover(&mut self, handover: &RunnerHandover) {
        self.is_up |= handover.is_up;
        self.is_unreachable |= handover.is_unreachable;
        if self.mean_count == 0.0 && handover.mean_response_ms > 0 {
            self.mean_response_ms = f64::from(handover.mean_response_ms);
            self.mean_count = 1.0;
        }
    }

    /// Holders of its leases.
    pub fn holders(&self) -> impl Iterator<Item = &LeaseHolder> {
        self.holders.iter()
    }

    pub fn has_leases(&self) -> bool {
        !self.holders.is_empty()
    }

    /// Records a successful response.
    pub fn record_success(&mut self, duration_ms: u32) {
        self.is_up = true;
        self.consecutive_failures = 0;
        self.succeeded += 1;
        self.total_duration_ms += u64::from(duration_ms);
        self.mean_count = (self.mean_count + 1.0).min(MEAN_SAMPLES);
        let difference = f64::from(duration_ms) - self.mean_response_ms;
        self.mean_response_ms += difference / self.mean_count;
    }

    /// Records that the runner rejected a request while holding its current ones.
    pub fn record_rejection(&mut self, now: u64, policy: &LeasingPolicy) {
        if policy.backs_off_after_rejections {
            self.backoff.record_rejection(now, self.in_use());
        }
        self.rejected += 1;
    }

    /// Records that the runner was unreachable or lost a response. Returns whether it is considered gone, which happens
    /// after several consecutive failures.
    pub fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.is_unreachable |= self.consecutive_failures >= CONSECUTIVE_FAILURES_MAX;
        self.is_unreachable
    }

    /// Records that nothing, or another runner, answers at its address.
    pub fn record_gone(&mut self) {
        self.is_unreachable = true;
    }

    /// Whether the runner has rejected a request recently.
    pub fn has_rejected_recently(&self, now: u64) -> bool {
        self.backoff.has_rejected_recently(now)
    }

    /// Limits the runner to its current number of requests for a while, because other runners of the function are rejecting
    /// requests.
    pub fn limit_to_current(&mut self, now: u64) {
        self.backoff.limit_to_current(now, self.in_use());
    }

    /// Mean response time in milliseconds; `None` before the first response.
    pub fn mean_response_ms(&self) -> Option<f64> {
        (self.mean_response_ms > 0.0).then_some(self.mean_response_ms)
    }

    /// Time of its next probe in milliseconds of the clock.
    pub fn probe_at(&self) -> u64 {
        self.probe_at
    }

    /// Begins a probe; returns false if one is already running.
    pub fn begin_probe(&mut self) -> bool {
        !std::mem::replace(&mut self.is_probing, true)
    }

    /// Records that a probe connected: the runner is up, and the connection may occupy a seat for a moment.
    pub fn record_probe_success(&mut self, now: u64) {
        self.is_probing = false;
        self.is_up = true;
        self.probe_seat_until = now + PROBE_SEAT_MS;
    }

    /// Records a failed probe. Returns the time of the next one, which is later for runners with a longer start time.
    pub fn record_probe_failure(&mut self, now: u64) -> u64 {
        self.is_probing = false;
        let interval_ms = u64::from(self.update.starts_in_ms) / PROBE_INTERVAL_DIVISOR;
        self.probe_at = now + interval_ms.clamp(PROBE_INTERVAL_MIN_MS, PROBE_INTERVAL_MAX_MS);
        self.probe_at
    }

    /// The runner's part of the function's report to the scaler.
    pub fn report(&self) -> RunnerReport {
        RunnerReport {
            id: self.update.id.clone(),
            in_use: self.in_use(),
            succeeded: self.succeeded,
            total_duration_ms: self.total_duration_ms,
            rejected: self.rejected,
            is_up: self.is_up,
            is_unreachable: self.is_unreachable,
        }
    }
}
