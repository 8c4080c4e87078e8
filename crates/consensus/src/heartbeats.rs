use crate::action::ConsensusAction;
use crate::consensus::{Consensus, REPLICATED_KEYS, SCALER_ROLE_KEY};
use crate::duty::{term_of, Grant};
use crate::message::{ConsensusMessage, Heartbeat, HeartbeatAck, RoleLeaseAck};
use crate::peer::Peer;
use register::VoterRef;
use std::collections::BTreeSet;

const PEERS_MAX: usize = 64;
/// Time between heartbeats while no voters are known.
const FIRST_HEARTBEAT_MS: u64 = 100;
/// Time between heartbeats to an address where nobody answers.
const SILENT_HEARTBEAT_MS: u64 = 1_000;
/// Least time between heartbeats out of turn.
const HASTE_MS: u64 = 10;
/// Time after which a controller outside the set is forgotten.
const FORGET_MS: u64 = 30_000;

impl Consensus {
    /// Knows an address from now on, where there is room for it.
    pub(crate) fn admit(&mut self, address: &str) -> bool {
        if address == self.options.address {
            return false;
        }
        let has_room = self.peers.len() < PEERS_MAX || self.is_lasting(address);
        if !self.peers.contains_key(address) && has_room {
            self.peers.insert(address.to_string(), Peer::default());
        }
        self.peers.contains_key(address)
    }

    fn is_lasting(&self, address: &str) -> bool {
        let mut voters = self.set.voters.iter();
        let is_member = voters.any(|voter| voter.address == address);
        is_member || self.options.seeds.iter().any(|seed| seed == address)
    }

    /// Forgets controllers outside the set that have been silent for long.
    pub(crate) fn tend_peers(&mut self, now: u64) {
        let is_gone = |peer: &Peer| !peer.is_fresh(now, FORGET_MS);
        let gone = self.peers.iter().filter(|(_, peer)| is_gone(peer));
        let gone: Vec<String> = gone
            .map(|(address, _)| address.clone())
            .filter(|address| !self.is_lasting(address))
            .collect();
        for address in gone {
            self.peers.remove(&address);
        }
    }

    /// Time for which a heartbeat counts as a sign of life.
    pub(crate) fn fresh_ms(&self) -> u64 {
        (3 * self.options.heartbeat_interval_ms).max(600)
    }

    /// Whether a controller was heard lately.
    pub(crate) fn hears(&self, now: u64, address: &str) -> bool {
        let peer = self.peers.get(address);
        peer.is_some_and(|peer| peer.is_fresh(now, self.fresh_ms()))
    }

    /// Address of a member: where its disk was heard last, else what the set says.
    pub(crate) fn locate(&self, voter: &VoterRef) -> String {
        if voter.disk == self.options.disk_id {
            return self.options.address.clone();
        }
        let mut heard: Vec<(u64, &String)> = Vec::new();
        for (address, peer) in &self.peers {
            if let Some(at) = peer.heard_at.filter(|_| peer.heartbeat.disk == voter.disk) {
                heard.push((at, address));
            }
        }
        let newest = heard.into_iter().max();
        newest
            .map_or(&voter.address, |(_, address)| address)
            .clone()
    }

    /// Controllers that were heard lately.
    pub(crate) fn fresh(&self, now: u64) -> impl Iterator<Item = (&String, &Heartbeat)> {
        let span = self.fresh_ms();
        let fresh = self.peers.iter();
        fresh
            .filter(move |(_, peer)| peer.is_fresh(now, span))
            .map(|(address, peer)| (address, &peer.heartbeat))
    }

    /// Sends heartbeats where their time has come, or where something is new.
    pub(crate) fn send_due_heartbeats(&mut self, now: u64) {
        let is_hasty = self.heartbeat_sent_at.is_none_or(|at| now >= at + HASTE_MS);
        if now < self.next_heartbeat_at && !(self.wants_heartbeat && is_hasty) {
            return;
        }
        let has_news = self.wants_heartbeat;
        self.wants_heartbeat = false;
        self.heartbeat_sent_at = Some(now);
        let pause = match self.set.epoch {
            0 => FIRST_HEARTBEAT_MS.min(self.options.heartbeat_interval_ms),
            _ => self.options.heartbeat_interval_ms,
        };
        if now >= self.next_heartbeat_at || has_news {
            self.next_heartbeat_at = now + pause;
        }
        self.heartbeat_number += 1;
        self.contact.record_sent(now, self.heartbeat_number);
        self.back_own_claim(now);
        let heartbeat = self.heartbeat(now);
        for to in self.audience(now) {
            self.admit(&to);
            if let Some(peer) = self.peers.get_mut(&to) {
                peer.told_at = Some(now);
            }
            let heartbeat = Heartbeat {
                grants_role: self.may_grant(now, &to),
                acknowledged: self.heard_from(&to),
                ..heartbeat.clone()
            };
            self.send(&to, ConsensusMessage::Heartbeat(heartbeat));
        }
    }

    /// Members tell all controllers that live; the others tell members and seeds.
    fn audience(&self, now: u64) -> BTreeSet<String> {
        let voters = self.set.voters.iter();
        let mut audience: BTreeSet<String> = voters.map(|voter| voter.address.clone()).collect();
        for (address, peer) in &self.peers {
            let is_heard = peer.is_fresh(now, FORGET_MS);
            let is_due = peer
                .told_at
                .is_none_or(|at| now >= at + SILENT_HEARTBEAT_MS);
            let is_seed = self.options.seeds.iter().any(|seed| seed == address);
            let is_probed = is_seed && (is_heard || is_due || self.set.epoch == 0);
            if is_probed || (is_heard && self.is_named()) {
                audience.insert(address.clone());
            }
        }
        audience.remove(&self.options.address);
        audience
    }

    /// What this controller tells of itself, but for what it tells each one.
    fn heartbeat(&self, now: u64) -> Heartbeat {
        let fresh: BTreeSet<u64> = self
            .fresh(now)
            .map(|(_, heartbeat)| heartbeat.disk)
            .collect();
        let members = self.set.voters.iter().map(|voter| voter.disk);
        let mut reachable_members = 0;
        for (place, disk) in members.clone().enumerate().take(64) {
            let is_heard = disk == self.options.disk_id || fresh.contains(&disk);
            reachable_members |= u64::from(is_heard) << place;
        }
        let members: BTreeSet<u64> = members.collect();
        Heartbeat {
            disk: self.options.disk_id,
            incarnation: self.incarnation,
            number: self.heartbeat_number,
            own_set: self.own_set.version(),
            known_set: self.set.version(),
            committed: REPLICATED_KEYS
                .iter()
                .map(|key| self.settled_mark(key))
                .collect(),
            role_term: self.duty.claim.as_ref().map_or(0, |claim| claim.term),
            grants_role: false,
            reachable_members,
            spare_controllers: fresh.difference(&members).count().min(255) as u8,
            is_first_start: self.options.is_first_start,
            is_in_contact: self.is_in_contact(now),
            acknowledged: HeartbeatAck::default(),
        }
    }

    pub(crate) fn on_heartbeat(&mut self, now: u64, from: &str, heartbeat: Heartbeat) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        let is_new = peer.heartbeat.incarnation != heartbeat.incarnation;
        let is_of_former_incarnation = peer.former_incarnation == Some(heartbeat.incarnation);
        if is_of_former_incarnation || (!is_new && heartbeat.number <= peer.heartbeat.number) {
            return;
        }
        if is_new && peer.heard_at.is_some() {
            peer.former_incarnation = Some(peer.heartbeat.incarnation);
        }
        peer.heard_at = Some(now);
        peer.heartbeat = heartbeat.clone();
        self.wants_heartbeat |= is_new;
        self.compare_sets(from, &heartbeat);
        self.on_acknowledgement(&heartbeat);
        self.on_claim(now, from, &heartbeat);
        let same_era = heartbeat.known_set.epoch == self.set.epoch;
        if same_era && self.set.epoch > 0 {
            self.on_settled_marks(now, from, &heartbeat.committed);
        }
    }

    /// Whichever of two controllers knows the older set is told the newer one.
    fn compare_sets(&mut self, from: &str, heartbeat: &Heartbeat) {
        if heartbeat.known_set > self.set.version() {
            return self.send(from, ConsensusMessage::RequestVoterSet);
        }
        if heartbeat.known_set < self.set.version() && heartbeat.known_set.epoch > 0 {
            self.send(from, ConsensusMessage::VoterSet(self.set_news()));
        }
        if heartbeat.own_set.epoch > 0 || self.set.epoch == 0 {
            return;
        }
        // A member that is named by its disk and still empty missed the founding.
        let mut voters = self.set.voters.iter();
        let is_named = voters.any(|voter| voter.disk == heartbeat.disk);
        if is_named && self.set.number == 1 && self.own_set == self.set {
            self.send(from, ConsensusMessage::FormVoterSet(self.set.clone()));
        } else if heartbeat.known_set.epoch == 0 {
            self.send(from, ConsensusMessage::VoterSet(self.set_news()));
        }
    }

    fn on_claim(&mut self, now: u64, from: &str, heartbeat: &Heartbeat) {
        if heartbeat.role_term == 0 {
            return self
                .duty
                .on_no_claim(from, heartbeat.incarnation, heartbeat.number);
        }
        let known = term_of(self.set.epoch, self.settled_mark(SCALER_ROLE_KEY).0);
        if heartbeat.role_term < known {
            return;
        }
        let grant = Grant {
            holder: from.to_string(),
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
            term: heartbeat.role_term,
            received: now,
        };
        self.duty.on_claim(now, grant, self.options.lease_ms);
        if !self.backs(from, heartbeat.incarnation, heartbeat.role_term) {
            return;
        }
        let ack = RoleLeaseAck {
            disk: self.options.disk_id,
            set_version: self.own_set.version(),
            term: heartbeat.role_term,
            number: heartbeat.number,
        };
        self.send(from, ConsensusMessage::RoleLeaseAck(ack));
    }

    pub(crate) fn on_ack(&mut self, now: u64, ack: RoleLeaseAck) {
        let set_version = self.set.version();
        let Some(claim) = self.duty.claim.as_mut() else {
            return;
        };
        if ack.set_version == set_version && ack.term == claim.term {
            claim.on_ack(&self.set, ack.disk, ack.number, self.options.lease_ms);
            self.announce(now);
        }
    }

    /// Tells that the duty is held, once a majority has backed the claim.
    pub(crate) fn announce(&mut self, now: u64) {
        let Some(claim) = self.duty.claim.as_mut() else {
            return;
        };
        if now < claim.held_until && !claim.is_announced {
            claim.is_announced = true;
            log::info!(
                "consensus: this controller holds the duty, term {}",
                claim.term
            );
            let term = claim.term;
            self.actions.push(ConsensusAction::RoleAcquired { term });
        }
    }
}
