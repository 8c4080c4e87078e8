//! Settlement: a voter that has accepted a value reads its register from a majority unless it soon learns that the value
//! is committed. The read commits the value if a majority may have accepted it, and so settles it for all.

use super::Consensus;
use crate::pending_change::ChangePurpose;
use rand::Rng;
use register::Change;

/// Heartbeat intervals for which a voter waits to hear that a value is committed.
const NOTICE_INTERVALS: u64 = 2;
/// Maximum random addition to the pause between two attempts, in milliseconds, so that voters do not preempt each other.
const SETTLEMENT_JITTER_MS: u64 = 200;

impl Consensus {
    /// Records which values of the local voter are not known to be committed.
    pub(super) fn update_unsettled(&mut self, now: u64) {
        let values = &self.values;
        self.unsettled.update(
            now,
            |key| values.local_id(key),
            |key| values.committed_id(key),
        );
    }

    /// Reads the registers whose accepted values have been unsettled for long.
    pub(super) fn settle_values(&mut self, now: u64) {
        if now < self.next_settlement_at || !self.sets.has_set() {
            return;
        }
        let wait_ms = NOTICE_INTERVALS * self.options.heartbeat_interval_ms;
        let keys = self.unsettled.older_than(now, wait_ms);
        if keys.is_empty() {
            return;
        }
        let jitter = self.random.random_range(0..SETTLEMENT_JITTER_MS);
        self.next_settlement_at = now + wait_ms + jitter;
        for key in keys {
            if !self.changes.has_key(key) && !self.awaits_value(now, key) {
                self.propose(now, ChangePurpose::Settlement, key, Change::Read);
            }
        }
    }

    /// Whether every value of a required register that the local voter accepted longer ago than the contact lease lasts
    /// is known to be committed or superseded.
    pub(super) fn are_required_values_settled(&self, now: u64) -> bool {
        let span_ms = self.contact.duration_ms();
        self.unsettled.are_required_settled(now, span_ms)
    }
}
