//! Which registers have yet to be read at a majority, and whether what was read is recent enough.

use crate::keys::REQUIRED_KEYS;
use std::collections::{BTreeMap, BTreeSet};

/// Time after a start for which values that are on their way are waited for, in milliseconds.
const VALUE_WAIT_MS: u64 = 1_500;

/// The registers in [`REQUIRED_KEYS`] that were read at a majority in this incarnation, and since contact with a
/// majority began.
///
/// A read that came to its end needed both ways to a majority, as contact does. So a read that began within this
/// contact, or within one duration of the contact lease before it, is as recent as contact itself.
#[derive(Clone, Debug)]
pub(crate) struct RequiredReads {
    /// Never read at a majority in this incarnation.
    unread: BTreeSet<&'static str>,
    /// Not read at a majority since contact began.
    unconfirmed: BTreeSet<&'static str>,
    /// When the last reads at a majority began, by key.
    read_started_at: BTreeMap<&'static str, u64>,
    contact_since: u64,
    next_at: u64,
    value_wait_until: u64,
}

impl RequiredReads {
    /// Nothing is read yet.
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

    /// Whether every key was read in this incarnation.
    pub fn are_complete(&self) -> bool {
        self.unread.is_empty()
    }

    /// Whether every key was read since contact began.
    pub fn are_confirmed(&self) -> bool {
        self.unconfirmed.is_empty()
    }

    /// The first key that was never read in this incarnation.
    pub fn first_unread(&self) -> Option<&'static str> {
        self.unread.first().copied()
    }

    /// Keys that are to be read now, in the order in which the reads begin.
    pub fn due(&self, now: u64) -> Vec<&'static str> {
        if now < self.next_at {
            return Vec::new();
        }
        self.unread.union(&self.unconfirmed).copied().collect()
    }

    /// Whether this controller started so lately that values on their way to it are waited for.
    pub fn is_waiting_for_values(&self, now: u64) -> bool {
        now < self.value_wait_until
    }

    /// A read of a key that began at this time ended with the committed value.
    pub fn record_read(&mut self, key: &'static str, started_at: u64, contact_duration_ms: u64) {
        self.read_started_at.insert(key, started_at);
        if started_at + contact_duration_ms >= self.contact_since {
            self.unconfirmed.remove(key);
        }
    }

    /// A key's value is known to be what a majority holds.
    pub fn mark_read(&mut self, key: &'static str) {
        self.unread.remove(key);
    }

    /// No read begins before.
    pub fn pause_until(&mut self, at: u64) {
        self.next_at = at;
    }

    /// Contact with a majority has lasted since this time: older reads no longer count as recent.
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

    /// This controller begins anew as a newcomer: everything is to be read again.
    pub fn reset(&mut self, now: u64) {
        self.unread = REQUIRED_KEYS.into_iter().collect();
        self.read_started_at.clear();
        self.next_at = now;
    }
}
