use configuration::{Bounds, PeerRef, RunnerEntry, RunnerState};
use std::collections::BTreeMap;

/// Consecutive faults after which a runner is ejected.
const MAX_CONSECUTIVE_FAULTS: u32 = 3;
/// Number of responses over which a runner's response time is averaged. The newest weigh most, so that a
/// recovered runner is no longer considered slow.
const RESPONSE_TIME_SAMPLES: f64 = 20.0;
/// A runner counts as slow if its response time is above the function's typical one times this factor.
const SLOW_FACTOR: f64 = 3.0;
/// Minimum number of responses before a runner may count as slow.
const SLOW_MIN_RESPONSES: u64 = 3;
/// A slow runner gets a trial request once per this many seats leased on other runners of its function.
const SLOW_TRIAL_INTERVAL: u32 = 100;
/// Number of responses over which a slow runner's response time is averaged; small, so that few trials show
/// that it has recovered.
const SLOW_RESPONSE_TIME_SAMPLES: f64 = 4.0;

#[derive(Clone, Debug)]
pub(crate) struct LeasedSeat {
    pub to: PeerRef,
    pub reclaim_at: u64,
}

/// A runner as seen by its owner: leased seats, seats still leased by a former owner, and health.
#[derive(Debug)]
pub struct OwnedRunner {
    pub(crate) entry: RunnerEntry,
    pub(crate) active_at: Option<u64>,
    pub(crate) leased: BTreeMap<u64, LeasedSeat>,
    blocked: u32,
    blocked_until: u64,
    is_warm: bool,
    absent_since: Option<u64>,
    ramp: u32,
    faults: u32,
    ejections: u32,
    unfit_until: u64,
    probe_at: u64,
    response_time_ms: f64,
    passed_over: u32,
    pub(crate) answered: u64,
    pub(crate) took_ms: u64,
}

impl OwnedRunner {
    pub(crate) fn new(entry: RunnerEntry, now: u64) -> Self {
        Self {
            active_at: (entry.owner_epoch == 1).then_some(now),
            response_time_ms: f64::from(entry.response_time_ms),
            passed_over: 0,
            entry,
            leased: BTreeMap::new(),
            blocked: 0,
            blocked_until: 0,
            is_warm: false,
            absent_since: None,
            ramp: 1,
            faults: 0,
            ejections: 0,
            unfit_until: 0,
            probe_at: now,
            answered: 0,
            took_ms: 0,
        }
    }

    pub(crate) fn is_active(&self, now: u64) -> bool {
        self.active_at.is_some_and(|time| time <= now)
    }

    pub(crate) fn is_warm(&self) -> bool {
        self.is_warm
    }

    pub(crate) fn is_unfit(&self, now: u64) -> bool {
        now < self.unfit_until
    }

    pub(crate) fn absent_ms(&self, now: u64) -> u64 {
        self.absent_since
            .map_or(0, |since| now.saturating_sub(since))
    }

    /// Number of seats in use, including those leased by a former owner.
    pub(crate) fn leased_count(&self, now: u64) -> u32 {
        let blocked = if now < self.blocked_until {
            self.blocked
        } else {
            0
        };
        self.leased.len() as u32 + blocked
    }

    /// Number of seats that may be leased now, under the function's current concurrency limit. A runner that
    /// is its function's last resort gets requests even while it is ejected.
    pub(crate) fn free(&self, now: u64, concurrency: u32, is_last_resort: bool) -> u32 {
        let may_lease = self.entry.state == RunnerState::Wanted
            && self.is_active(now)
            && self.is_warm
            && (is_last_resort || !self.is_unfit(now));
        if !may_lease {
            return 0;
        }
        let limit = self.entry.quota.min(concurrency).min(self.ramp);
        limit.saturating_sub(self.leased_count(now))
    }

    /// Average response time in milliseconds, weighted to the newest responses; `prior` until one was seen.
    pub(crate) fn response_time_ms(&self, prior: u32) -> f64 {
        if self.response_time_ms > 0.0 {
            self.response_time_ms
        } else {
            f64::from(prior)
        }
    }

    /// Whether the runner is far slower than a typical one of its function.
    pub(crate) fn is_slow(&self, typical_response_time: u32) -> bool {
        let is_known = self.answered >= SLOW_MIN_RESPONSES || self.entry.response_time_ms > 0;
        is_known
            && typical_response_time > 0
            && self.response_time_ms > SLOW_FACTOR * f64::from(typical_response_time)
    }

    /// Whether a slow runner may get a request: a trial from time to time, to see whether it has recovered,
    /// and any request that has already waited longer than this runner's response time.
    pub(crate) fn may_lease_while_slow(&self, now: u64, waited_ms: u64) -> bool {
        waited_ms as f64 > self.response_time_ms || self.is_trial_due(now)
    }

    pub(crate) fn is_trial_due(&self, now: u64) -> bool {
        self.passed_over >= SLOW_TRIAL_INTERVAL && self.leased_count(now) == 0
    }

    /// Counts a seat that was leased on another runner of the function.
    pub(crate) fn record_passed_over(&mut self) {
        self.passed_over = self.passed_over.saturating_add(1);
    }

    pub(crate) fn lease_seat(&mut self, seat_no: u64, to: PeerRef, reclaim_at: u64) {
        self.passed_over = 0;
        self.leased.insert(seat_no, LeasedSeat { to, reclaim_at });
    }

    /// Takes a seat back from the front it was leased to; each valid response raises the ramp-up limit by one.
    pub(crate) fn accept_return(
        &mut self,
        from: &PeerRef,
        seat_no: u64,
        took_ms: Option<u64>,
        typical_response_time: u32,
    ) -> bool {
        if self
            .leased
            .get(&seat_no)
            .is_none_or(|leased| leased.to != *from)
        {
            return false;
        }
        self.leased.remove(&seat_no);
        if let Some(took_ms) = took_ms {
            self.answered += 1;
            self.took_ms += took_ms;
            let is_first = self.response_time_ms == 0.0;
            let weight = match self.is_slow(typical_response_time) {
                _ if is_first => 1.0,
                true => 1.0 / SLOW_RESPONSE_TIME_SAMPLES,
                false => 1.0 / RESPONSE_TIME_SAMPLES,
            };
            self.response_time_ms += weight * (took_ms.max(1) as f64 - self.response_time_ms);
            self.faults = 0;
            self.ejections = 0;
            self.ramp = self.ramp.saturating_add(1);
        }
        true
    }

    /// Counts a fault. After several consecutive ones the runner is ejected, for longer each time.
    pub(crate) fn record_fault(&mut self, now: u64, bounds: &Bounds) {
        self.faults += 1;
        if self.faults < MAX_CONSECUTIVE_FAULTS {
            return;
        }
        self.faults = 0;
        self.ejections = (self.ejections + 1).min(4);
        self.unfit_until = now + bounds.lease_ms() * u64::from(self.ejections);
    }

    /// Marks the runner as unreachable; it counts as cold until a probe succeeds.
    pub(crate) fn record_absence(&mut self, now: u64) {
        if self.is_warm {
            self.is_warm = false;
            self.absent_since = Some(now);
            self.ramp = 1;
            self.probe_at = now;
        }
    }

    pub(crate) fn probe_finished(&mut self, is_reachable: bool) {
        if is_reachable && !self.is_warm {
            self.is_warm = true;
            self.absent_since = None;
            self.ramp = 1;
        }
    }

    pub(crate) fn take_due_probe(&mut self, now: u64, bounds: &Bounds) -> bool {
        let is_due = !self.is_warm
            && self.entry.state == RunnerState::Wanted
            && self.active_at.is_some()
            && now >= self.probe_at;
        if is_due {
            self.probe_at = now + bounds.tick_ms();
        }
        is_due
    }

    /// Sets aside the seats that the former owner still has leased.
    pub(crate) fn block(&mut self, count: u32, until: u64) {
        self.blocked = count;
        self.blocked_until = until;
    }

    /// Takes back every seat that can no longer be in use.
    pub(crate) fn reclaim(&mut self, now: u64) {
        self.leased.retain(|_, leased| now < leased.reclaim_at);
    }
}
