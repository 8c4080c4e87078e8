//! Decides whether this controller's state is current. This requires contact with a majority of the newest voter set,
//! and a read of every required key from a majority since that contact began.

use super::Consensus;
use crate::message::Heartbeat;

impl Consensus {
    /// Whether a majority of the newest known voter set has recently acknowledged a heartbeat of this controller.
    pub fn is_in_contact(&self, now: u64) -> bool {
        let disk = self.sets.own_disk();
        self.contact.is_held(now, self.sets.newest(), disk)
    }

    /// Whether this controller's state may be published as the newest: it is in contact, has read all required keys from
    /// a majority since contact began, and has settled what its voter accepted.
    pub fn is_current(&self, now: u64) -> bool {
        self.has_contact
            && self.is_in_contact(now)
            && self.has_read_required_keys()
            && self.reads.are_confirmed()
            && self.are_required_values_settled(now)
    }

    /// Addresses of other live controllers that reported to be in contact with a majority.
    pub fn peers_in_contact(&self, now: u64) -> Vec<String> {
        let live = self.peers.live(now);
        let in_contact = live.filter(|(_, heartbeat)| heartbeat.is_in_contact);
        in_contact.map(|(address, _)| address.clone()).collect()
    }

    /// Records the acknowledgement contained in a heartbeat. It is ignored if the sender knows a newer voter set,
    /// because the sender no longer counts as a member of the set known here, or if the sender's voter is empty, because
    /// it may have replaced one that held the newest value. In the first set an empty voter has replaced none.
    pub(super) fn on_acknowledgement(&mut self, heartbeat: &Heartbeat) {
        let acknowledged = heartbeat.acknowledged;
        let is_of_newer_set = heartbeat.known_set > self.sets.version();
        let is_empty = heartbeat.own_set.epoch == 0 && self.sets.version().number > 1;
        if acknowledged.incarnation != self.incarnation || is_of_newer_set || is_empty {
            return;
        }
        self.contact
            .record_acknowledgement(heartbeat.disk, acknowledged.number);
    }

    /// Records when contact begins or ends. It runs first and last in every input, so that a controller that was
    /// frozen sees the end of its contact before any message can renew the lease.
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
