//! How an empty voter becomes a member of a set that others formed.

use register::{VoterRef, VoterSet};

/// What an empty voter does next to become a member.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipStep {
    /// Nothing can be done yet.
    Wait,
    /// Tell the members of the set to take the next one, which is committed.
    Adopt(VoterSet),
    /// Take over what the other members hold.
    Install,
    /// Write a next set to the register of sets.
    Propose {
        /// Version that the register must have.
        expected: u64,
        /// The set, in which this voter takes a member's place.
        next: VoterSet,
    },
}

/// What a decision about the membership is based on.
#[derive(Clone, Copy, Debug)]
pub struct MembershipView<'a> {
    /// Boot-time clock of this machine in milliseconds.
    pub now: u64,
    /// How long a member must have been silent before it is replaced, in milliseconds.
    pub replacement_timeout_ms: u64,
    /// This empty voter.
    pub local_voter: &'a VoterRef,
    /// The set that the others are in.
    pub set: &'a VoterSet,
    /// Disks that answer now.
    pub answering: &'a [u64],
    /// Version of the register of sets.
    pub committed_version: u64,
    /// The set that this register holds.
    pub committed_set: &'a VoterSet,
}

/// A member that does not answer.
#[derive(Clone, Debug)]
struct SilentMember {
    disk: u64,
    since: u64,
}

/// An empty voter's way into the set. A pure machine.
#[derive(Clone, Debug, Default)]
pub struct MembershipChange {
    silent: Vec<SilentMember>,
}

impl MembershipChange {
    /// Decides the next step.
    pub fn decide(&mut self, view: &MembershipView) -> MembershipStep {
        if view.committed_set.version() > view.set.version() {
            return MembershipStep::Adopt(view.committed_set.clone());
        }
        if view.set.contains_disk(view.local_voter.disk) {
            return MembershipStep::Install;
        }
        let vacant = self.vacant_disk(view);
        let next =
            vacant.and_then(|disk| view.set.with_replacement(disk, view.local_voter.clone()));
        next.map_or(MembershipStep::Wait, |next| MembershipStep::Propose {
            expected: view.committed_version,
            next,
        })
    }

    /// Disk of a member whose place is free: it was emptied, as this voter has its address, or it was silent for long.
    fn vacant_disk(&mut self, view: &MembershipView) -> Option<u64> {
        let members = view.set.voters.iter();
        let missing: Vec<&VoterRef> = members
            .filter(|voter| !view.answering.contains(&voter.disk))
            .collect();
        self.follow_silence(view.now, &missing);
        let emptied = missing
            .iter()
            .find(|voter| voter.address == view.local_voter.address);
        let mut silent = self.silent.iter();
        let silent = silent.find(|member| member.since + view.replacement_timeout_ms <= view.now);
        emptied
            .map(|voter| voter.disk)
            .or_else(|| silent.map(|member| member.disk))
    }

    fn follow_silence(&mut self, now: u64, missing: &[&VoterRef]) {
        self.silent
            .retain(|member| missing.iter().any(|voter| voter.disk == member.disk));
        for voter in missing {
            if !self.silent.iter().any(|member| member.disk == voter.disk) {
                let disk = voter.disk;
                self.silent.push(SilentMember { disk, since: now });
            }
        }
    }
}
