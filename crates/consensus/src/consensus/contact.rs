//! Whether what a controller knows may pass for current: it needs contact with a majority of the newest set, and
//! to have read everything at a majority since that contact began.

use super::Consensus;
use crate::message::Heartbeat;

impl Consensus {
    /// Whether a majority of the newest known set has lately acknowledged a heartbeat of this controller.
    pub fn is_in_contact(&self, now: u64) -> bool {
        let disk = self.sets.own_disk();
        self.contact.is_held(now, self.sets.newest(), disk)
    }

    /// Whether what this controller knows may be published as the newest: it is in contact, and has read all keys at a
    /// majority since it came into contact.
    pub fn is_current(&self, now: u64) -> bool {
        self.has_contact
            && self.is_in_contact(now)
            && self.has_read_required_keys()
            && self.reads.are_confirmed()
    }

    /// Addresses of other controllers that were heard lately and said that they are in contact.
    pub fn peers_in_contact(&self, now: u64) -> Vec<String> {
        let live = self.peers.live(now);
        let in_contact = live.filter(|(_, heartbeat)| heartbeat.is_in_contact);
        in_contact.map(|(address, _)| address.clone()).collect()
    }

    /// A heartbeat acknowledges what its sender heard from this controller. A sender that knows a newer set counts no
    /// more under the one that is known here.
    pub(super) fn on_acknowledgement(&mut self, heartbeat: &Heartbeat) {
        let acknowledged = heartbeat.acknowledged;
        let is_of_newer_set = heartbeat.known_set > self.sets.version();
        if acknowledged.incarnation != self.incarnation || is_of_newer_set {
            return;
        }
        self.contact
            .record_acknowledgement(heartbeat.disk, acknowledged.number);
    }

    /// Notes where contact has begun or ended. It comes first and last in every call, so that a controller that was
    /// frozen sees the end before anything can renew the lease.
    pub(super) fn update_contact(&mut self, now: u64) {
        let is_in_contact = self.is_in_contact(now);
        if is_in_contact == self.has_contact {
            return;
        }
        self.has_contact = is_in_contact;
        self.heartbeats.request();
        if is_in_contact {
            log::info!("consensus: in contact with a majority");
            self.restart_required_reads(now);
        } else {
            log::warn!("consensus: out of contact with a majority");
        }
    }

    fn restart_required_reads(&mut self, now: u64) {
        let (set, disk) = (self.sets.newest(), self.sets.own_disk());
        let since = self.contact.held_since(set, disk).unwrap_or(now);
        let contact_duration = self.contact.duration_ms();
        self.reads.restart_contact(since, contact_duration);
    }
}
