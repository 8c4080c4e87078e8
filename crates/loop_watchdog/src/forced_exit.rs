//! When a process ends by force that was asked to stop.

use crate::turn_record::TurnSnapshot;
use std::time::Duration;

/// A daemon that works ends itself after 88 of these parts of its grace period at the latest.
const GRACE_PERIOD_PARTS: u32 = 96;
/// From here on its loop is looked at for whether it goes on.
const CHECKED_AFTER_PARTS: u32 = 90;
/// Between the two looks that must find it in the same turn.
const CHECK_INTERVAL_PARTS: u32 = 1;

/// Between two looks from which on the whole process stood still.
const MIN_PAUSE: Duration = Duration::from_millis(400);
/// For so long the loop is let go on after that: it has much to read.
const PAUSE_RECOVERY_TIME: Duration = Duration::from_millis(250);

/// What a look at a loop has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForcedExitState {
    /// The process was not asked to stop, has time left, or is about to end by itself.
    NotDue,
    /// The grace period is nearly over, and a turn is in progress: the next look decides.
    Suspected,
    /// The same turn is still in progress: the process is to end now.
    Due,
}

/// The grace period of a process, seen from beside its loop.
#[derive(Clone, Debug)]
pub struct ForcedExit {
    grace_period: Duration,
    checked_after: Duration,
    check_interval: Duration,
    stop_requested_at: Option<Duration>,
    checked_at: Duration,
    /// Nothing is suspected before, since the process stood still.
    checks_resume_at: Duration,
    /// The turn that was in progress at the first look after that time.
    suspected_turn: Option<u64>,
}

impl ForcedExit {
    /// The process is killed after `grace_period` from outside.
    #[must_use]
    pub fn new(grace_period: Duration) -> Self {
        let part = grace_period / GRACE_PERIOD_PARTS;
        Self {
            grace_period,
            checked_after: part * CHECKED_AFTER_PARTS,
            check_interval: part * CHECK_INTERVAL_PARTS,
            stop_requested_at: None,
            checked_at: Duration::ZERO,
            checks_resume_at: Duration::ZERO,
            suspected_turn: None,
        }
    }

    /// Whether the process is to end: its grace period is nearly over, and two looks find the loop in the same turn. The period counts from
    /// the first look at which the process was asked to stop. After a pause of the whole process its loop gets time for a turn.
    pub fn check(
        &mut self,
        now: Duration,
        is_stop_requested: bool,
        snapshot: &TurnSnapshot,
    ) -> ForcedExitState {
        let checked_at = std::mem::replace(&mut self.checked_at, now);
        if now >= checked_at + MIN_PAUSE {
            self.checks_resume_at = now + PAUSE_RECOVERY_TIME;
        }
        if is_stop_requested {
            self.stop_requested_at.get_or_insert(now);
        }
        // A process that has left its loop has all of its time to close what it has open.
        let checked_after = match snapshot.is_ending() {
            true => self.grace_period,
            false => self.checked_after,
        };
        let is_grace_ending = self
            .stop_requested_at
            .is_some_and(|at| now >= at + checked_after);
        if !is_grace_ending || now < self.checks_resume_at || snapshot.is_waiting() {
            self.suspected_turn = None;
            return ForcedExitState::NotDue;
        }
        match self.suspected_turn.replace(snapshot.turn) {
            Some(turn) if turn == snapshot.turn => ForcedExitState::Due,
            _ => ForcedExitState::Suspected,
        }
    }

    /// Time until the next look.
    #[must_use]
    pub fn next_check_in(&self, now: Duration, interval: Duration) -> Duration {
        let Some(stop_requested_at) = self.stop_requested_at else {
            return interval;
        };
        let left = (stop_requested_at + self.checked_after).saturating_sub(now);
        let left = match left.is_zero() {
            true => self.check_interval,
            false => left,
        };
        left.min(interval)
    }
}
