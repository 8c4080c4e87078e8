//! Tracks which registers must still be read from a majority, and whether the last reads are recent enough.

use crate::keys::REQUIRED_KEYS;
use std::collections::{BTreeMap, BTreeSet};

/// Time after start during which values in transit are waited for, in milliseconds.
const VALUE_WAIT_MS: u64 = 1_500;

/// Tracks reads of the registers in [`REQUIRED_KEYS`] from a majority, in this incarnation and since contact with a
/// majority began.
///
/// Like contact, a completed read requires both directions of the links to a majority. A read that started during the
/// current contact, or at most one contact lease duration before it, is therefore as recent as contact itself.
#[derive(Clone, Debug)]
pub(crate) struct RequiredReads {
    /// Keys never read from a majority in this incarnation.
    unread: BTreeSet<&'static str>,
    /// Keys not read from a majority since contact began.
    unconfirmed: BTreeSet<&'static str>,
    /// Start times of the last completed reads, by key.
    read_started_at: BTreeMap<&'static str, u64>,
    contact_since: u64,
    next_at: u64,
    value_wait_until: u64,
}

impl RequiredReads {
    /// Starts with all keys unread.
    pub fn new(now: u64) -> Self {
        Self {
            unread: REQUIRED_KEYS.into_iter().collect(),
            unconfirmed: BTreeSet::new(),
            read_started_at: BTreeMap::new(),
            contact_since: now,
            next_at: now,
            value_wait_until: now + VALUE_WAIT_MS,
        }
    }

    /// Whether every key has been read in this incarnation.
    pub fn are_complete(&self) -> bool {
        self.unread.is_empty()
    }

    /// Whether every key has been read since contact began.
    pub fn are_confirmed(&self) -> bool {
        self.unconfirmed.is_empty()
    }

    /// The first key that has not been read in this incarnation.
    pub fn first_unread(&self) -> Option<&'static str> {
        self.unread.first().copied()
    }

    /// Keys that should be read now, in this order.
    pub fn due(&self, now: u64) -> Vec<&'static str> {
        if now < self.next_at {
            return Vec::new();
        }
        self.unread.union(&self.unconfirmed).copied().collect()
    }

    /// Whether this controller started so recently that it waits for values in transit.
    pub fn is_waiting_for_values(&self, now: u64) -> bool {
        now < self.value_wait_until
    }

    /// Records that a read of a key, started at the given time, returned the committed value.
    pub fn record_read(&mut self, key: &'static str, started_at: u64, contact_duration_ms: u64) {
        self.read_started_at.insert(key, started_at);
        if started_at + contact_duration_ms >= self.contact_since {
            self.unconfirmed.remove(key);
        }
    }

    /// Records that the committed value of a key is known.
    pub fn mark_read(&mut self, key: &'static str) {
        self.unread.remove(key);
    }

    /// Delays all reads until the given time.
    pub fn pause_until(&mut self, at: u64) {
        self.next_at = at;
    }

    /// Records when contact with a majority began. Older reads no longer count as recent.
    pub fn restart_contact(&mut self, since: u64, contact_duration_ms: u64) {
        self.contact_since = since;
        let oldest = since.saturating_sub(contact_duration_ms);
        let is_recent = |key: &&str| {
            let started_at = self.read_started_at.get(*key);
            started_at.is_some_and(|started_at| *started_at >= oldest)
        };
        self.unconfirmed = REQUIRED_KEYS
            .into_iter()
            .filter(|key| !is_recent(key))
            .collect();
    }

    /// Resets all reads because this controller rejoins as a new member.
    pub fn reset(&mut self, now: u64) {
        self.unread = REQUIRED_KEYS.into_iter().collect();
        self.read_started_at.clear();
        self.next_at = now;
    }
}
