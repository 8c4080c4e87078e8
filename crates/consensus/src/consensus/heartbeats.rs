//! Heartbeats: recipients, contents, and handling of received ones.

use super::Consensus;
use crate::keys::{REPLICATED_KEYS, SCALER_ROLE_KEY};
use crate::message::{ConsensusMessage, Heartbeat, HeartbeatAck, RoleLeaseAck};
use crate::peers::HeartbeatOrigin;
use crate::role_register::term_of;
use crate::scaler_role::ObservedLease;
use register::VoterRef;
use std::collections::BTreeSet;

/// Maximum heartbeat interval while no voter set is known, in milliseconds.
const BOOTSTRAP_INTERVAL_MS: u64 = 100;
/// Maximum number of members whose reachability is reported in a heartbeat, one bit each.
const MAX_REACHABLE_BITS: usize = 64;

impl Consensus {
    /// Replaces the list of seed addresses.
    pub fn update_seeds(&mut self, seeds: Vec<String>) {
        self.options.seeds = seeds;
        self.admit_seeds();
    }

    pub(super) fn admit_seeds(&mut self) {
        for seed in self.options.seeds.clone() {
            self.admit(&seed);
        }
    }

    /// Adds a peer address if there is room. Returns false for this controller's own address.
    pub(super) fn admit(&mut self, address: &str) -> bool {
        let (sets, seeds) = (&self.sets, &self.options.seeds);
        let is_permanent = |address: &str| {
            sets.is_member_address(address) || seeds.iter().any(|seed| seed == address)
        };
        self.peers.admit(address, is_permanent)
    }

    /// Removes peers that are neither members nor seeds and have been silent for a long time.
    pub(super) fn forget_silent_peers(&mut self, now: u64) {
        let (sets, seeds) = (&self.sets, &self.options.seeds);
        let is_permanent = |address: &str| {
            sets.is_member_address(address) || seeds.iter().any(|seed| seed == address)
        };
        self.peers.forget_silent(now, is_permanent);
    }

    /// Current address of a member: where its disk was last heard from, otherwise its address in the voter set.
    pub(super) fn locate(&self, voter: &VoterRef) -> String {
        if voter.disk == self.sets.own_disk() {
            return self.options.address.clone();
        }
        self.peers.locate(voter)
    }

    /// Sends heartbeats if the interval has elapsed or a change is to be reported.
    pub(super) fn send_due_heartbeats(&mut self, now: u64) {
        if !self.heartbeats.is_due(now) {
            return;
        }
        let interval_ms = if self.sets.has_set() {
            self.options.heartbeat_interval_ms
        } else {
            BOOTSTRAP_INTERVAL_MS.min(self.options.heartbeat_interval_ms)
        };
        let number = self.heartbeats.start_heartbeat(now, interval_ms);
        self.contact.record_sent(now, number);
        self.back_own_lease(now, number);
        let heartbeat = self.heartbeat(now, number);
        for to in self.heartbeat_receivers(now) {
            self.admit(&to);
            self.peers.record_heartbeat_sent(now, &to);
            let heartbeat = Heartbeat {
                grants_role: self.grants_role(now, &to),
                acknowledged: self.acknowledgement(now, &to),
                ..heartbeat.clone()
            };
            self.send(&to, ConsensusMessage::Heartbeat(heartbeat));
        }
    }

    /// The acknowledgement of a peer's newest heartbeat. None is given while the local voter may hold a committed value
    /// that it cannot tell its peers of, because theirs may be older.
    fn acknowledgement(&self, now: u64, to: &str) -> HeartbeatAck {
        if self.are_required_values_settled(now) {
            self.peers.acknowledgement(to)
        } else {
            HeartbeatAck::default()
        }
    }

    /// Members send heartbeats to all live controllers; other controllers send them to members and seeds.
    fn heartbeat_receivers(&self, now: u64) -> BTreeSet<String> {
        let members = self.sets.newest().voters.iter();
        let members = members.map(|voter| voter.address.clone());
        let others = self.peers.additional_receivers(
            now,
            &self.options.seeds,
            self.sets.has_set(),
            self.sets.is_member(),
        );
        let mut receivers: BTreeSet<String> = members.chain(others.cloned()).collect();
        receivers.remove(&self.options.address);
        receivers
    }

    /// Builds a heartbeat without its recipient-specific fields.
    fn heartbeat(&self, now: u64, number: u64) -> Heartbeat {
        let live = self.peers.live(now);
        let live: BTreeSet<u64> = live.map(|(_, heartbeat)| heartbeat.disk).collect();
        let members = self.sets.newest().voters.iter().map(|voter| voter.disk);
        let mut reachable_members = 0;
        for (index, disk) in members.clone().enumerate().take(MAX_REACHABLE_BITS) {
            let is_reachable = disk == self.sets.own_disk() || live.contains(&disk);
            reachable_members |= u64::from(is_reachable) << index;
        }
        let members: BTreeSet<u64> = members.collect();
        let committed = REPLICATED_KEYS.iter();
        Heartbeat {
            disk: self.sets.own_disk(),
            incarnation: self.incarnation,
            number,
            own_set: self.sets.local().version(),
            known_set: self.sets.version(),
            committed: committed.map(|key| self.values.committed_id(key)).collect(),
            role_term: self.role.claimed_term().unwrap_or(0),
            grants_role: false,
            reachable_members,
            spare_controllers: live.difference(&members).count().min(255) as u8,
            is_first_start: self.options.is_first_start,
            is_in_contact: self.is_in_contact(now),
            acknowledged: HeartbeatAck::default(),
        }
    }

    pub(super) fn on_heartbeat(&mut self, now: u64, from: &str, heartbeat: &Heartbeat) {
        let Some(origin) = self.peers.record_heartbeat(now, from, heartbeat) else {
            return;
        };
        if origin == HeartbeatOrigin::NewIncarnation {
            self.heartbeats.request();
        }
        self.compare_sets(from, heartbeat);
        self.on_acknowledgement(heartbeat);
        self.on_role_claim(now, from, heartbeat);
        let is_same_epoch = heartbeat.known_set.epoch == self.sets.newest().epoch;
        if is_same_epoch && self.sets.has_set() {
            let is_voting = self.sets.is_voting();
            self.values
                .record_listing(now, from, &heartbeat.committed, is_voting);
            self.poll_missing_values(now);
        }
    }

    /// Compares the voter sets known to both sides, so that the side with the older set learns the newer one.
    fn compare_sets(&mut self, from: &str, heartbeat: &Heartbeat) {
        let version = self.sets.version();
        if heartbeat.known_set > version {
            return self.send(from, ConsensusMessage::RequestVoterSet);
        }
        if heartbeat.known_set < version && heartbeat.known_set.epoch > 0 {
            self.send_voter_set(from);
        }
        if heartbeat.own_set.epoch > 0 || !self.sets.has_set() {
            return;
        }
        // A member that is listed by its disk but still empty has missed the formation of the first set.
        let is_member = self.sets.is_member_disk(heartbeat.disk);
        let is_first_set = version.number == 1 && self.sets.local() == self.sets.newest();
        if is_member && is_first_set {
            let set = self.sets.newest().clone();
            self.send(from, ConsensusMessage::FormVoterSet(set));
        } else if heartbeat.known_set.epoch == 0 {
            self.send_voter_set(from);
        }
    }

    /// Handles the scaler role claim in a heartbeat. Sends an acknowledgement if the local voter backs the claimed
    /// lease.
    fn on_role_claim(&mut self, now: u64, from: &str, heartbeat: &Heartbeat) {
        let (incarnation, number, term) =
            (heartbeat.incarnation, heartbeat.number, heartbeat.role_term);
        if term == 0 {
            return self.role.observe_no_lease(from, incarnation, number);
        }
        let known_version = self.values.committed_version(SCALER_ROLE_KEY);
        let known_term = term_of(self.sets.newest().epoch, known_version);
        if term < known_term {
            return;
        }
        let lease = ObservedLease {
            holder: from.to_string(),
            incarnation,
            number,
            term,
            received_at: now,
        };
        self.role.observe_lease(now, lease);
        if !self.backs(from, incarnation, term) {
            return;
        }
        let ack = RoleLeaseAck {
            disk: self.sets.own_disk(),
            set_version: self.sets.local().version(),
            term,
            number,
        };
        self.send(from, ConsensusMessage::RoleLeaseAck(ack));
    }
}
