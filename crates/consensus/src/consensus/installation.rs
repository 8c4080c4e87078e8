//! Installation: an empty voter that is in the newest voter set copies the replicas of other members before it votes.

use super::Consensus;
use crate::disk_work::DiskWork;
use crate::keys::SCALER_ROLE_KEY;
use crate::message::{ConsensusMessage, ReplicaPage};
use crate::replica_copies::PageStep;
use register::{SetVersion, VoterRef};
use voter::Installation;

/// Silence after which no page is assumed to be in transit from a member, in milliseconds. On a slow link, heartbeats
/// may be queued behind a page.
const SOURCE_SILENT_AFTER_MS: u64 = 2_000;

impl Consensus {
    /// Members whose replicas may be copied: the other members of the newest set, and all members of the previous set
    /// if known.
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

    /// Requests replica pages from other members while the local voter is empty.
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
        self.submit_disk_work(DiskWork::ReadReplica {
            to: from.to_string(),
            set_version,
            after,
        });
    }

    /// Handles a replica page if the local voter is empty and in the newest set.
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

    /// Installs the copied state once enough copies are complete. The local voter has never voted on this disk
    /// before.
    fn install(&mut self, now: u64) {
        let set = self.sets.newest().clone();
        if !self.copies.are_sufficient(&set, self.sets.previous()) {
            return;
        }
        let (claim_floors, registers) = self.copies.take_merged();
        // A lease backed by a majority of an older set can no longer be renewed, since a member of that majority has
        // given its copy under the newest set. It must still expire before the local voter promises the role to
        // another controller.
        let mut states = registers.iter();
        if states.any(|(key, state)| key == SCALER_ROLE_KEY && state.value.version > 0) {
            self.role.withhold_promises(now);
        }
        self.change_local_set(DiskWork::Install(Installation {
            set,
            claim_floors,
            registers,
        }));
    }
}
