//! How an empty voter that the newest set names gathers all that it must hold, before it votes.

use super::Consensus;
use crate::disk_work::DiskWork;
use crate::keys::SCALER_ROLE_KEY;
use crate::message::{ConsensusMessage, ReplicaPage};
use crate::replica_copies::PageStep;
use register::{SetVersion, VoterRef};
use voter::Installation;

/// Silence after which nothing is taken to be on its way from a member, in milliseconds. Behind a slow link a heartbeat
/// may wait for a page that is on its way.
const SOURCE_SILENT_AFTER_MS: u64 = 2_000;

impl Consensus {
    /// Members whose replicas count: the others of this set, and all of the set before, if it is known.
    fn replica_sources(&self) -> Vec<VoterRef> {
        let mut sources = self.sets.newest().voters.clone();
        for voter in self.sets.previous().iter().flat_map(|set| &set.voters) {
            if !sources.iter().any(|known| known.disk == voter.disk) {
                sources.push(voter.clone());
            }
        }
        let own_disk = self.sets.own_disk();
        sources.retain(|voter| voter.disk != own_disk);
        sources
    }

    /// Requests other members' replicas, as a member that holds nothing yet.
    pub(super) fn poll_installation(&mut self, now: u64) {
        if !self.copies.poll(now) {
            return;
        }
        for source in self.replica_sources() {
            let address = self.locate(&source);
            let is_heard = self
                .peers
                .is_heard_within(now, &address, SOURCE_SILENT_AFTER_MS);
            if self.copies.poll_source(now, source.disk, is_heard) {
                self.request_page(now, &source);
            }
        }
    }

    fn request_page(&mut self, now: u64, source: &VoterRef) {
        let after = self.copies.start_request(now, source.disk);
        let set_version = self.sets.version();
        let to = self.locate(source);
        if to != self.options.address {
            self.send(&to, ConsensusMessage::RequestReplica { set_version, after });
        }
    }

    pub(super) fn on_replica_request(
        &mut self,
        from: &str,
        set_version: SetVersion,
        after: String,
    ) {
        self.give_to_disk(DiskWork::ReadReplica {
            to: from.to_string(),
            set_version,
            after,
        });
    }

    /// Takes a page of a member's replica, as long as this controller's voter is empty and has a place in the set.
    pub(super) fn on_replica_page(&mut self, now: u64, page: ReplicaPage) {
        let mut sources = self.replica_sources().into_iter();
        let source = sources.find(|source| source.disk == page.disk);
        let is_empty = self.sets.is_voter_empty() && !self.sets.has_disk_work();
        let is_wanted = is_empty && self.sets.is_member();
        let is_of_newest_set = page.set_version == self.sets.version();
        let Some(source) = source.filter(|_| is_wanted && is_of_newest_set) else {
            return;
        };
        match self.copies.record_page(page) {
            PageStep::Ignored => {}
            PageStep::RequestNext => self.request_page(now, &source),
            PageStep::Complete => self.install(now),
        }
    }

    /// Votes from now on, where enough copies are complete; before that, this controller's disk never voted.
    fn install(&mut self, now: u64) {
        let set = self.sets.newest().clone();
        if !self.copies.are_sufficient(&set, self.sets.previous()) {
            return;
        }
        let (claim_floors, registers) = self.copies.take_merged();
        // No member of an old set backs a lease any more that a majority of it had backed, since one of
        // them gave its copy here. What they had backed must be over before this controller's voter promises.
        let mut states = registers.iter();
        if states.any(|(key, state)| key == SCALER_ROLE_KEY && state.value.version > 0) {
            self.role.withhold_promises(now);
        }
        self.change_own_set(DiskWork::Install(Installation {
            set,
            claim_floors,
            registers,
        }));
    }
}
