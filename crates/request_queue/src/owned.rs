use configuration::{Bounds, PeerRef, RunnerEntry, RunnerState};
use std::collections::BTreeMap;

/// Faults in a row after which a runner is left out.
const FAULTS_MAX: u32 = 3;
/// Answers over which a runner's pace is taken; the newest weigh most, so that it can mend.
const RESPONSE_TIME_SPAN: f64 = 20.0;
/// A runner this many times as slow as a good one of its function is left out as slow.
const SLOW_TIMES: f64 = 3.0;
/// Answers until which a runner is not called slow.
const SLOW_ANSWERS: u64 = 3;
/// A slow runner is tried once in so many seats that others of its function are lent.
const SLOW_PASSED: u32 = 100;
/// Answers over which a slow runner's pace is taken, so that few trials show that it has recovered.
const SLOW_SPAN: f64 = 4.0;

#[derive(Clone, Debug)]
pub(crate) struct LeasedSeat {
    pub to: PeerRef,
    pub reclaim_at: u64,
}

/// One runner as its owner holds it: what is lent, what is blocked, and how it fares.
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

    /// Seats out, also those that a former owner lent.
    pub(crate) fn out(&self, now: u64) -> u32 {
        let blocked = if now < self.blocked_until {
            self.blocked
        } else {
            0
        };
        self.leased.len() as u32 + blocked
    }

    /// Seats that may be lent now, under the listing's concurrency as it stands. A runner that is
    /// its function's last resort is lent even when it is unfit.
    pub(crate) fn free(&self, now: u64, concurrency: u32, is_last_resort: bool) -> u32 {
        let may_lend = self.entry.state == RunnerState::Wanted
            && self.is_active(now)
            && self.is_warm
            && (is_last_resort || !self.is_unfit(now));
        if !may_lend {
            return 0;
        }
        let most = self.entry.quota.min(concurrency).min(self.ramp);
        most.saturating_sub(self.out(now))
    }

    /// Milliseconds that one answer takes, from the newest answers; the prior until any was seen.
    pub(crate) fn response_time_ms(&self, prior: u32) -> f64 {
        if self.response_time_ms > 0.0 {
            self.response_time_ms
        } else {
            f64::from(prior)
        }
    }

    /// Whether it is far slower than a good one of its function's runners.
    pub(crate) fn is_slow(&self, typical_response_time: u32) -> bool {
        let is_known = self.answered >= SLOW_ANSWERS || self.entry.response_time_ms > 0;
        is_known
            && typical_response_time > 0
            && self.response_time_ms > SLOW_TIMES * f64::from(typical_response_time)
    }

    /// Whether a slow runner may be lent a seat: every so often one, to see whether it has recovered,
    /// and wherever work has already waited for longer than it takes.
    pub(crate) fn may_try_slow(&self, now: u64, waited_ms: u64) -> bool {
        waited_ms as f64 > self.response_time_ms || self.is_trial_due(now)
    }

    pub(crate) fn is_trial_due(&self, now: u64) -> bool {
        self.passed_over >= SLOW_PASSED && self.out(now) == 0
    }

    /// A seat of another runner of its function was lent.
    pub(crate) fn pass_over(&mut self) {
        self.passed_over = self.passed_over.saturating_add(1);
    }

    pub(crate) fn lease_seat(&mut self, seat_no: u64, to: PeerRef, reclaim_at: u64) {
        self.passed_over = 0;
        self.leased.insert(seat_no, LeasedSeat { to, reclaim_at });
    }

    /// Takes a seat back from whom it was lent to; the ramp rises by one with each good answer.
    pub(crate) fn take_back(
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
                true => 1.0 / SLOW_SPAN,
                false => 1.0 / RESPONSE_TIME_SPAN,
            };
            self.response_time_ms += weight * (took_ms.max(1) as f64 - self.response_time_ms);
            self.faults = 0;
            self.ejections = 0;
            self.ramp = self.ramp.saturating_add(1);
        }
        true
    }

    /// Counts a fault; after a few in a row the runner is left out, each time for longer.
    pub(crate) fn fault(&mut self, now: u64, bounds: &Bounds) {
        self.faults += 1;
        if self.faults < FAULTS_MAX {
            return;
        }
        self.faults = 0;
        self.ejections = (self.ejections + 1).min(4);
        self.unfit_until = now + bounds.lease_ms() * u64::from(self.ejections);
    }

    /// The runner was not there: it is cold until a probe finds it again.
    pub(crate) fn absent(&mut self, now: u64) {
        if self.is_warm {
            self.is_warm = false;
            self.absent_since = Some(now);
            self.ramp = 1;
            self.probe_at = now;
        }
    }

    pub(crate) fn probe_finished(&mut self, is_there: bool) {
        if is_there && !self.is_warm {
            self.is_warm = true;
            self.absent_since = None;
            self.ramp = 1;
        }
    }

    pub(crate) fn wants_probe(&mut self, now: u64, bounds: &Bounds) -> bool {
        let is_due = !self.is_warm
            && self.entry.state == RunnerState::Wanted
            && self.active_at.is_some()
            && now >= self.probe_at;
        if is_due {
            self.probe_at = now + bounds.tick_ms();
        }
        is_due
    }

    /// Seats that the former owner still has out.
    pub(crate) fn block(&mut self, count: u32, until: u64) {
        self.blocked = count;
        self.blocked_until = until;
    }

    /// Takes back every seat that nobody can be using any more.
    pub(crate) fn reclaim(&mut self, now: u64) {
        self.leased.retain(|_, leased| now < leased.reclaim_at);
    }
}
