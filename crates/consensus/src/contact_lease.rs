//! The contact lease: until when a controller may take itself to be connected to a majority of voters.

use register::VoterSet;
use std::collections::{BTreeMap, VecDeque};

/// Fifths of the time span for which the lease lasts; the rest is left for clocks that run apart.
const LEASE_FIFTHS: u64 = 4;
/// Most heartbeats whose sending is remembered.
const MAX_SENT_HEARTBEATS: usize = 256;

/// A heartbeat of this controller that others may still acknowledge.
#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    number: u64,
    sent_at: u64,
}

/// When the newest acknowledged heartbeats of this controller left, by the voter that acknowledged them.
///
/// The lease is counted from the *sending* of an acknowledged heartbeat on this controller's own monotonic
/// clock. It needs both directions of a link, and nothing that arrives late or twice makes it longer.
#[derive(Clone, Debug)]
pub struct ContactLease {
    duration_ms: u64,
    sent: VecDeque<SentHeartbeat>,
    /// When the newest acknowledged heartbeat was sent, by the voter's disk.
    acknowledged: BTreeMap<u64, u64>,
}

impl ContactLease {
    /// No contact yet. The lease lasts four fifths of the span (in milliseconds), counted from a heartbeat's sending.
    pub fn new(span_ms: u64) -> Self {
        Self {
            duration_ms: span_ms * LEASE_FIFTHS / 5,
            sent: VecDeque::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    /// Time for which the lease lasts from a heartbeat's sending, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.duration_ms
    }

    /// A heartbeat leaves now. The numbers of an incarnation ascend.
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

    /// A controller has heard a heartbeat of this one. A number that was never sent, or long ago, says nothing.
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

    /// Whether a majority of a set is in contact now. A voter on this controller's own disk always is.
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

    /// Since when a majority has been in contact: the sending of the oldest heartbeat on which the lease rests. A
    /// voter on this controller's own disk counts at any time.
    pub fn held_since(&self, set: &VoterSet, own_disk: u64) -> Option<u64> {
        let mut times: Vec<u64> = Vec::new();
        for voter in &set.voters {
            if voter.disk == own_disk {
                times.push(u64::MAX);
            } else if let Some(sent_at) = self.acknowledged.get(&voter.disk) {
                times.push(*sent_at);
            }
        }
        times.sort_unstable_by(|one, other| other.cmp(one));
        let oldest = times.get(set.majority().checked_sub(1)?);
        oldest.copied().filter(|sent_at| *sent_at != u64::MAX)
    }
}
