//! Decides when a process that was asked to stop must be ended because its loop is stuck.

use crate::turn_record::TurnSnapshot;
use std::time::Duration;

/// Number of equal parts into which the grace period is divided. A working daemon exits by itself after at most 88 of them.
const GRACE_PERIOD_PARTS: u32 = 96;
/// Number of parts after which the watchdog checks whether the loop makes progress.
const CHECKED_AFTER_PARTS: u32 = 90;
/// Number of parts between the two checks that must find the loop in the same turn.
const CHECK_INTERVAL_PARTS: u32 = 1;

/// Minimum time between two checks that is taken for a pause of the whole process.
const MIN_PAUSE: Duration = Duration::from_millis(400);
/// Time that the loop gets after such a pause before it is suspected, since it has much pending input to read.
const PAUSE_RECOVERY_TIME: Duration = Duration::from_millis(250);

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForcedExitState {
    /// The process was not asked to stop, has time left, or is about to exit by itself.
    NotDue,
    /// The grace period is nearly over, and a turn is in progress: the next check decides.
    Suspected,
    /// The same turn is still in progress: the process must be ended now.
    Due,
}

/// Tracks the grace period of a process independently of its loop.
#[derive(Clone, Debug)]
pub struct ForcedExit {
    grace_period: Duration,
    checked_after: Duration,
    check_interval: Duration,
    stop_requested_at: Option<Duration>,
    checked_at: Duration,
    /// Time before which the loop is not suspected, because the process was paused.
    checks_resume_at: Duration,
    /// The turn that was in progress at the last check, if the loop was then suspected.
    suspected_turn: Option<u64>,
}

impl ForcedExit {
    /// Creates the tracker for a process that is killed from outside after `grace_period`.
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

    /// Checks whether the process must be ended: its grace period is nearly over, and two checks find the loop in the same turn.
    /// The grace period starts at the first check that sees the stop request. After a pause of the whole process the loop gets
    /// time for a turn.
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
        // A process that has left its loop may use the whole grace period to close its connections and files.
        let checked_after = match snapshot.is_ending() {
            true => self.grace_period,
            false => self.checked_after,
        };
        let is_check_due = self
            .stop_requested_at
            .is_some_and(|at| now >= at + checked_after);
        if !is_check_due || now < self.checks_resume_at || snapshot.is_waiting() {
            self.suspected_turn = None;
            return ForcedExitState::NotDue;
        }
        match self.suspected_turn.replace(snapshot.turn) {
            Some(turn) if turn == snapshot.turn => ForcedExitState::Due,
            _ => ForcedExitState::Suspected,
        }
    }

    /// Time until the next check, at most `interval`.
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
