//! Replication: fetching missed committed values, and repairing the local voter.

use super::Consensus;
use crate::action::ConsensusAction;
use crate::disk_work::DiskWork;
use crate::keys::SCALER_ROLE_KEY;
use crate::message::ConsensusMessage;
use crate::replicated_values::MissingValueStep;
use crate::value::{Value, ValueId};
use rand::Rng;
use register::{Ballot, RegisterState, VersionedValue, VoterSet, VOTERS_KEY};
use speedy::Readable;

/// Interval between comparisons of the local voter with the committed values, in milliseconds.
const REPAIR_INTERVAL_MS: u64 = 6_000;
/// Maximum random addition to this interval, in milliseconds.
const REPAIR_JITTER_MS: u64 = 1_000;

impl Consensus {
    /// Whether a value is, or may be, in transit to this controller after its start. It may be in transit as long as
    /// fewer than a majority of members have sent a heartbeat that lists their committed values. A read started
    /// before then would transfer the value from each of the other voters in each round.
    pub(super) fn awaits_value(&self, now: u64, key: &str) -> bool {
        self.reads.is_waiting_for_values(now)
            && (self.values.is_missing(key) || !self.has_heard_majority(now))
    }

    fn has_heard_majority(&self, now: u64) -> bool {
        let own = &self.options.address;
        let set = self.sets.newest();
        let heard = set
            .voters
            .iter()
            .filter(|voter| voter.address == *own || self.peers.is_live(now, &voter.address));
        heard.count() >= set.majority()
    }

    /// Takes missing committed values that the local voter has received, and requests the others from peers.
    pub(super) fn poll_missing_values(&mut self, now: u64) {
        for key in self.values.missing_keys() {
            match self.values.poll_missing(now, &key) {
                MissingValueStep::Wait => {}
                MissingValueStep::Found(value) => self.learn_value(now, &key, value),
                MissingValueStep::Request { source, version } => {
                    self.send(&source, ConsensusMessage::RequestValue { key, version });
                }
            }
        }
    }

    /// Sends a committed value, with the ballot under which the local voter accepted it.
    pub(super) fn on_value_request(&mut self, from: &str, key: String, version: u64) {
        let Some((ballot, value)) = self.values.committed_with_ballot(&key, version) else {
            return;
        };
        let message = ConsensusMessage::Value { key, ballot, value };
        self.send(from, message);
    }

    /// Handles a committed value, and repairs the local voter with it if the voter is behind.
    pub(super) fn on_value(&mut self, now: u64, key: &str, ballot: Ballot, stored: VersionedValue) {
        self.learn_committed(now, key, &stored);
        let is_behind = self.values.is_local_behind(key, ValueId::of(&stored));
        if ballot == Ballot::default() || !self.sets.is_voting() || !is_behind {
            return;
        }
        let state = RegisterState {
            promised: ballot,
            accepted: ballot,
            value: stored,
        };
        self.submit_disk_work(DiskWork::Repair(key.to_string(), state));
    }

    /// Periodically requests committed values that the local voter lacks from other members.
    pub(super) fn repair_local_voter(&mut self, now: u64) {
        if now < self.next_repair_at || !self.sets.is_voting() {
            return;
        }
        let jitter = self.random.random_range(0..REPAIR_JITTER_MS);
        self.next_repair_at = now + REPAIR_INTERVAL_MS + jitter;
        let sources = self.live_members(now);
        if sources.is_empty() {
            return;
        }
        for (key, version) in self.values.outdated_local_values() {
            let index = self.random.random_range(0..sources.len());
            self.send(
                &sources[index],
                ConsensusMessage::RequestValue { key, version },
            );
        }
    }

    fn live_members(&self, now: u64) -> Vec<String> {
        let members = self.sets.newest().voters.iter();
        let members = members.map(|voter| voter.address.clone());
        let live = members
            .filter(|address| *address != self.options.address && self.peers.is_live(now, address));
        live.collect()
    }

    /// Records a value that is known to be committed.
    pub(super) fn learn_committed(&mut self, now: u64, key: &str, stored: &VersionedValue) {
        if stored.version > self.values.committed_version(key) {
            self.learn_value(now, key, Value::of(stored));
        }
    }

    fn learn_value(&mut self, now: u64, key: &str, value: Value) {
        let (version, bytes) = (value.version, value.bytes.clone());
        if !self.values.commit(now, key, value) {
            return;
        }
        self.update_unsettled(now);
        self.heartbeats.request();
        if key == VOTERS_KEY {
            if let Ok(set) = VoterSet::read_from_buffer(&bytes) {
                self.learn_set(now, &set);
            }
        }
        if key == SCALER_ROLE_KEY {
            self.on_role_holder(now, version, &bytes);
        }
        let key = key.to_string();
        self.actions
            .push(ConsensusAction::ValueCommitted { key, version });
    }
}
