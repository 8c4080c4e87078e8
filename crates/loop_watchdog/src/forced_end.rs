//! When a process ends by force that was asked to stop.

use crate::turn_record::TurnSnapshot;
use std::time::Duration;

/// A daemon that works ends itself after 88 of these parts of its grace period at the latest.
const PARTS: u32 = 96;
/// From here on its loop is looked at for whether it goes on.
const SUSPECTED_AFTER_PARTS: u32 = 90;
/// Between the two looks that must find it in the same turn.
const LOOK_PARTS: u32 = 1;

/// Between two looks from which on the whole process stood still.
const PAUSE_MIN: Duration = Duration::from_millis(400);
/// For so long the loop is let go on after that: it has much to read.
const TIME_AFTER_PAUSE: Duration = Duration::from_millis(250);

/// What a look at a loop has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndState {
    /// The process was not asked to stop, has time left, or is about to end by itself.
    GoesOn,
    /// The grace period is nearly over, and a turn is in progress: the next look decides.
    Suspected,
    /// The same turn is still in progress: the process is to end now.
    Due,
}

/// The grace period of a process, seen from beside its loop.
#[derive(Clone, Debug)]
pub struct ForcedEnd {
    grace_period: Duration,
    suspected_after: Duration,
    look_interval: Duration,
    asked_at: Option<Duration>,
    looked_at: Duration,
    /// Nothing is suspected before, since the process stood still.
    pause_over_at: Duration,
    /// The turn that was in progress at the first look after that time.
    suspected_turn: Option<u64>,
}

impl ForcedEnd {
    /// The process is killed after `grace_period` from outside.
    #[must_use]
    pub fn new(grace_period: Duration) -> Self {
        let part = grace_period / PARTS;
        Self {
            grace_period,
            suspected_after: part * SUSPECTED_AFTER_PARTS,
            look_interval: part * LOOK_PARTS,
            asked_at: None,
            looked_at: Duration::ZERO,
            pause_over_at: Duration::ZERO,
            suspected_turn: None,
        }
    }

    /// Whether the process is to end: its grace period is nearly over, and two looks find the loop in the same turn. The period counts from
    /// the first look at which the process was asked to stop. After a pause of the whole process its loop gets time for a turn.
    pub fn look(&mut self, now: Duration, is_asked: bool, snapshot: &TurnSnapshot) -> EndState {
        let looked_at = std::mem::replace(&mut self.looked_at, now);
        if now >= looked_at + PAUSE_MIN {
            self.pause_over_at = now + TIME_AFTER_PAUSE;
        }
        if is_asked {
            self.asked_at.get_or_insert(now);
        }
        // A process that has left its loop has all of its time to close what it has open.
        let suspected_after = match snapshot.is_ending() {
            true => self.grace_period,
            false => self.suspected_after,
        };
        let is_late = self.asked_at.is_some_and(|at| now >= at + suspected_after);
        if !is_late || now < self.pause_over_at || snapshot.is_waiting() {
            self.suspected_turn = None;
            return EndState::GoesOn;
        }
        match self.suspected_turn.replace(snapshot.turn) {
            Some(turn) if turn == snapshot.turn => EndState::Due,
            _ => EndState::Suspected,
        }
    }

    /// Time until the next look.
    #[must_use]
    pub fn next_look(&self, now: Duration, interval: Duration) -> Duration {
        let Some(asked_at) = self.asked_at else {
            return interval;
        };
        let left = (asked_at + self.suspected_after).saturating_sub(now);
        let left = match left.is_zero() {
            true => self.look_interval,
            false => left,
        };
        left.min(interval)
    }
}
