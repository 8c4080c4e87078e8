//! One runner as the owner of its function's seats knows it: its quota, who holds its seats, whether it is up and how
//! fast it answers.

use crate::lease_holder::LeaseHolder;
use crate::rejection_backoff::RejectionBackoff;
use invariants::{check, Invariant};
use policy::LeasingPolicy;
use protocol::{RequestId, RunnerHandover, RunnerReport, RunnerStage, RunnerUpdate};
use std::collections::{BTreeMap, BTreeSet};

/// Responses over which a runner's response time is averaged; the newest weigh most.
const MEAN_SAMPLES: f64 = 20.0;
/// Times in a row that a runner may be unreachable, or lose a response, before it counts as gone.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// Milliseconds for which the connection of a probe may hold a seat.
const PROBE_SEAT_MS: u64 = 120;
/// Milliseconds for which a runner may hold the seat of a request whose connection was closed, until it notices.
const BROKEN_OFF_SEAT_MS: u64 = 100;
/// Bounds of the milliseconds between two probes, and the part of the expected start that it is within them.
const PROBE_INTERVAL_MIN_MS: u64 = 15;
const PROBE_INTERVAL_MAX_MS: u64 = 150;
const PROBE_INTERVAL_DIVISOR: u64 = 20;

/// One runner of a function. Its leases never exceed its quota.
#[derive(Clone, Debug)]
pub(crate) struct SeatRunner {
    /// What the scaler said last.
    update: RunnerUpdate,
    is_up: bool,
    is_gone: bool,
    holders: BTreeSet<LeaseHolder>,
    backoff: RejectionBackoff,
    /// Until when the connection of a probe may hold a seat.
    probe_seat_until: u64,
    /// Until when the runner may work on requests that were broken off, each of them on one seat.
    broken_off_until: Vec<u64>,
    probe_at: u64,
    is_probing: bool,
    mean_response_ms: f64,
    /// Responses in the mean, up to its span.
    mean_count: f64,
    consecutive_failures: u32,
    succeeded: u64,
    total_duration_ms: u64,
    rejected: u64,
}

impl SeatRunner {
    /// A runner that is new here. It is first probed after a part of its expected start, since starts spread around their average.
    pub fn new(update: RunnerUpdate, now: u64, policy: &LeasingPolicy) -> Self {
        let is_up = update.stage != RunnerStage::Starting;
        let probe_at = now + u64::from(update.starts_in_ms) * policy.first_probe_percent / 100;
        Self {
            update,
            is_up,
            is_gone: false,
            holders: BTreeSet::new(),
            backoff: RejectionBackoff::default(),
            probe_seat_until: 0,
            broken_off_until: Vec::new(),
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

    /// A runner that its former owner hands over.
    pub fn from_handover(handover: &RunnerHandover, now: u64, policy: &LeasingPolicy) -> Self {
        let mut runner = Self::new(handover.update.clone(), now, policy);
        runner.merge_handover(handover);
        runner
    }

    /// What its next owner is to know of it.
    pub fn handover(&self) -> RunnerHandover {
        RunnerHandover {
            update: self.update.clone(),
            is_up: self.is_up,
            is_gone: self.is_gone,
            mean_response_ms: self.mean_response_ms.round() as u32,
        }
    }

    /// Takes what the scaler says now.
    pub fn apply_update(&mut self, update: RunnerUpdate) {
        self.is_up |= update.stage == RunnerStage::Serving;
        self.update = update;
    }

    /// The scaler wants it no more: it gets no new requests.
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

    /// Seats that are leased.
    pub fn in_use(&self) -> u32 {
        self.holders.len() as u32
    }

    /// Part of the quota that is leased.
    pub fn utilization(&self) -> f64 {
        f64::from(self.in_use()) / f64::from(self.quota().max(1))
    }

    /// Whether it gets new requests.
    pub fn is_serving(&self) -> bool {
        self.is_up && !self.is_gone && self.update.stage != RunnerStage::Draining
    }

    /// Whether it is starting and may still come up.
    pub fn is_starting(&self) -> bool {
        !self.is_up && !self.is_gone && self.update.stage != RunnerStage::Draining
    }

    /// Whether one more of its seats may be leased now.
    pub fn has_free_seat(&self, now: u64) -> bool {
        let (in_use, quota) = (self.in_use(), self.backoff.limit(now, self.quota()));
        // The connection of a probe may hold a seat, but never the only one.
        let probes = u32::from(now < self.probe_seat_until && quota > 1);
        let broken_off = self.broken_off_until.iter();
        let broken_off = broken_off.filter(|until| now < **until).count() as u32;
        self.is_serving() && in_use + probes + broken_off < quota
    }

    /// A request was broken off while the runner was at work on it.
    pub fn record_broken_off(&mut self, now: u64) {
        self.broken_off_until.retain(|until| now < *until);
        self.broken_off_until.push(now + BROKEN_OFF_SEAT_MS);
    }

    /// Leases one more seat, which must be free.
    pub fn lease(&mut self, holder: LeaseHolder) {
        let (in_use, quota) = (self.in_use(), self.quota());
        check(Invariant::SeatsWithinQuota, in_use < quota, || {
            format!("runner={} in_use={in_use} quota={quota}", self.id())
        });
        self.add_lease(holder);
    }

    /// Counts a seat that is in use already, as another owner leased it.
    pub fn add_lease(&mut self, holder: LeaseHolder) {
        self.holders.insert(holder);
    }

    /// Whether the holder had a lease of it, which is free now.
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

    /// A former owner knows of it what is not known here yet.
    pub fn merge_handover(&mut self, handover: &RunnerHandover) {
        self.is_up |= handover.is_up;
        self.is_gone |= handover.is_gone;
        if self.mean_count == 0.0 && handover.mean_response_ms > 0 {
            self.mean_response_ms = f64::from(handover.mean_response_ms);
            self.mean_count = 1.0;
        }
    }

    /// Who holds its seats.
    pub fn holders(&self) -> impl Iterator<Item = &LeaseHolder> {
        self.holders.iter()
    }

    pub fn has_leases(&self) -> bool {
        !self.holders.is_empty()
    }

    /// A request of it was answered.
    pub fn record_success(&mut self, duration_ms: u32) {
        self.is_up = true;
        self.consecutive_failures = 0;
        self.succeeded += 1;
        self.total_duration_ms += u64::from(duration_ms);
        self.mean_count = (self.mean_count + 1.0).min(MEAN_SAMPLES);
        let difference = f64::from(duration_ms) - self.mean_response_ms;
        self.mean_response_ms += difference / self.mean_count;
    }

    /// It rejected a request beside those that it still holds.
    pub fn record_rejection(&mut self, now: u64, policy: &LeasingPolicy) {
        if policy.backs_off_after_rejections {
            self.backoff.record_rejection(now, self.in_use());
        }
        self.rejected += 1;
    }

    /// It could not be reached in time, or lost a response. Several times in a row mean that it is gone; whether it is.
    pub fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.is_gone |= self.consecutive_failures >= CONSECUTIVE_FAILURES_MAX;
        self.is_gone
    }

    /// Nobody is at its address, or another runner.
    pub fn record_gone(&mut self) {
        self.is_gone = true;
    }

    /// Whether it rejected a request lately.
    pub fn has_rejected_lately(&self, now: u64) -> bool {
        self.backoff.has_rejected_lately(now)
    }

    /// Other runners of the function reject requests: this one gets no more than it has for a while.
    pub fn limit_to_current(&mut self, now: u64) {
        self.backoff.limit_to_current(now, self.in_use());
    }

    /// Mean milliseconds of a response; none before the first.
    pub fn mean_response_ms(&self) -> Option<f64> {
        (self.mean_response_ms > 0.0).then_some(self.mean_response_ms)
    }

    /// When it is probed next, in milliseconds of the clock.
    pub fn probe_at(&self) -> u64 {
        self.probe_at
    }

    /// Begins a probe; false where one is under way.
    pub fn begin_probe(&mut self) -> bool {
        !std::mem::replace(&mut self.is_probing, true)
    }

    /// A probe's connection came up: the runner is up, and the connection may hold a seat for a moment.
    pub fn record_probe_success(&mut self, now: u64) {
        self.is_probing = false;
        self.is_up = true;
        self.probe_seat_until = now + PROBE_SEAT_MS;
    }

    /// A probe failed: when the next one is due. The pause grows with how long the start takes.
    pub fn record_probe_failure(&mut self, now: u64) -> u64 {
        self.is_probing = false;
        let interval_ms = u64::from(self.update.starts_in_ms) / PROBE_INTERVAL_DIVISOR;
        self.probe_at = now + interval_ms.clamp(PROBE_INTERVAL_MIN_MS, PROBE_INTERVAL_MAX_MS);
        self.probe_at
    }

    /// Its part in the report of the function to the scaler.
    pub fn report(&self) -> RunnerReport {
        RunnerReport {
            id: self.update.id.clone(),
            in_use: self.in_use(),
            succeeded: self.succeeded,
            total_duration_ms: self.total_duration_ms,
            rejected: self.rejected,
            is_up: self.is_up,
            is_gone: self.is_gone,
        }
    }
}
