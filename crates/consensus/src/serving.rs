//! Whether what a controller knows may pass for current: it needs contact with a majority of the newest set, and
//! to have read everything at a majority since that contact began.

use crate::consensus::{Consensus, REQUIRED_KEYS};
use crate::message::{Heartbeat, HeartbeatAck};
use crate::peer::Peer;

impl Consensus {
    /// Whether a majority of the newest known set has lately acknowledged a heartbeat of this controller.
    pub fn is_in_contact(&self, now: u64) -> bool {
        let disk = self.options.disk_id;
        self.contact.is_held(now, &self.set, disk)
    }

    /// Whether what this controller knows may be told as the newest: it is in contact, and has read all keys at a
    /// majority since it came into contact.
    pub fn is_current(&self, now: u64) -> bool {
        self.has_contact
            && self.is_in_contact(now)
            && self.has_read_required_keys()
            && self.unconfirmed.is_empty()
    }

    /// Addresses of other controllers that were heard lately and said that they are in contact.
    pub fn peers_in_contact(&self, now: u64) -> Vec<String> {
        let fresh = self
            .fresh(now)
            .filter(|(_, heartbeat)| heartbeat.is_in_contact);
        fresh.map(|(address, _)| address.clone()).collect()
    }

    /// Takes further addresses at which other controllers may be found.
    pub fn update_seeds(&mut self, seeds: Vec<String>) {
        self.options.seeds = seeds;
        for seed in self.options.seeds.clone() {
            self.admit(&seed);
        }
    }

    /// The newest heartbeat that was heard from a controller, which acknowledges it.
    pub(crate) fn heard_from(&self, address: &str) -> HeartbeatAck {
        let peer = self.peers.get(address);
        let peer = peer.filter(|peer| peer.heard_at.is_some());
        peer.map(Peer::heard).unwrap_or_default()
    }

    /// A heartbeat acknowledges what its sender heard from this controller. A sender that knows a newer set counts no
    /// more under the one that is known here.
    pub(crate) fn on_acknowledgement(&mut self, heartbeat: &Heartbeat) {
        if heartbeat.acknowledged.incarnation != self.incarnation
            || heartbeat.known_set > self.set.version()
        {
            return;
        }
        self.contact
            .record_acknowledgement(heartbeat.disk, heartbeat.acknowledged.number);
    }

    /// Notes where contact has begun or ended. It comes first and last in every call of this machine, so that a controller
    /// that was frozen sees the end before anything can renew the lease.
    pub(crate) fn tend_contact(&mut self, now: u64) {
        let is_in_contact = self.is_in_contact(now);
        if is_in_contact == self.has_contact {
            return;
        }
        self.has_contact = is_in_contact;
        self.wants_heartbeat = true;
        if is_in_contact {
            log::info!("consensus: in contact with a majority");
            self.read_all_again(now);
        } else {
            log::warn!("consensus: out of contact with a majority");
        }
    }

    /// All keys are read at a majority again before they pass for current, but for reads that began within this
    /// contact or within one span of the lease before it. A read that came to its end needed both ways to a
    /// majority, as contact does, so what it told is older by that span at most.
    fn read_all_again(&mut self, now: u64) {
        let since = self.contact.held_since(&self.set, self.options.disk_id);
        self.contact_since = since.unwrap_or(now);
        let since = self
            .contact_since
            .saturating_sub(self.contact.duration_ms());
        let is_read = |key: &&str| {
            self.read_begun
                .get(*key)
                .is_some_and(|begun| *begun >= since)
        };
        self.unconfirmed = REQUIRED_KEYS
            .into_iter()
            .filter(|key| !is_read(key))
            .collect();
    }

    /// A read of a key that began at this time came to its end at a majority.
    pub(crate) fn on_read(&mut self, key: &'static str, begun_at: u64) {
        self.read_begun.insert(key, begun_at);
        if begun_at + self.contact.duration_ms() >= self.contact_since {
            self.unconfirmed.remove(key);
        }
    }
}
