//! The contact lease: how long a controller may consider itself connected to a majority of voters.

use register::VoterSet;
use std::collections::{BTreeMap, VecDeque};

/// Fifths of the configured time span for which the lease lasts. The rest is a margin for clock drift.
const LEASE_FIFTHS: u64 = 4;
/// Maximum number of sent heartbeats that are remembered.
const MAX_SENT_HEARTBEATS: usize = 256;

/// A heartbeat of this controller that may still be acknowledged.
#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    number: u64,
    sent_at: u64,
}

/// Send times of the newest acknowledged heartbeats of this controller, per voter.
///
/// The lease is counted from the time an acknowledged heartbeat was *sent*, on this controller's own monotonic clock.
/// It requires both directions of a link, and late or duplicate messages do not extend it.
#[derive(Clone, Debug)]
pub struct ContactLease {
    duration_ms: u64,
    sent: VecDeque<SentHeartbeat>,
    /// Send time of the newest acknowledged heartbeat, by the voter's disk.
    acknowledged: BTreeMap<u64, u64>,
}

impl ContactLease {
    /// Starts without contact. The lease lasts four fifths of the span (in milliseconds) from the sending of a
    /// heartbeat.
    pub fn new(span_ms: u64) -> Self {
        Self {
            duration_ms: span_ms * LEASE_FIFTHS / 5,
            sent: VecDeque::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    /// Duration of the lease from the sending of a heartbeat, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.duration_ms
    }

    /// Records a heartbeat that is being sent. Numbers must ascend within an incarnation.
    pub fn record_sent(&mut self, now: u64, number: u64) {
        let span = self.duration_ms;
        self.sent.retain(|heartbeat| now < heartbeat.sent_at + span);
        self.acknowledged.retain(|_, sent_at| now < *sent_at + span);
        if self.sent.len() >= MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
        let sent_at = now;
        self.sent.push_back(SentHeartbeat { number, sent_at });
    }

    /// Records that a voter acknowledged a heartbeat. Numbers that were never sent, or were sent too long ago, are
    /// ignored.
    pub fn record_acknowledgement(&mut self, disk: u64, number: u64) {
        let sent = self
            .sent
            .iter()
            .find(|heartbeat| heartbeat.number == number);
        let Some(sent_at) = sent.map(|heartbeat| heartbeat.sent_at) else {
            return;
        };
        let newest = self.acknowledged.entry(disk).or_default();
        *newest = (*newest).max(sent_at);
    }

    /// Whether a majority of the set is in contact. A voter on this controller's own disk always is.
    pub fn is_held(&self, now: u64, set: &VoterSet, own_disk: u64) -> bool {
        if set.voters.is_empty() {
            return false;
        }
        let in_contact = set.voters.iter().filter(|voter| {
            let sent_at = self.acknowledged.get(&voter.disk);
            voter.disk == own_disk
                || sent_at.is_some_and(|sent_at| now < sent_at + self.duration_ms)
        });
        in_contact.count() >= set.majority()
    }

    /// When contact with a majority began: the send time of the oldest heartbeat that the lease depends on. A voter
    /// on this controller's own disk is always in contact.
    pub fn held_since(&self, set: &VoterSet, own_disk: u64) -> Option<u64> {
        let mut times: Vec<u64> = Vec::new();
        for voter in &set.voters {
            if voter.disk == own_disk {
                times.push(u64::MAX);
            } else if let Some(sent_at) = self.acknowledged.get(&voter.disk) {
                times.push(*sent_at);
            }
        }
        times.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = times.get(set.majority().checked_sub(1)?);
        oldest.copied().filter(|sent_at| *sent_at != u64::MAX)
    }
}
