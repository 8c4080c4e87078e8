//! How an empty voter joins an existing voter set.

use register::{VoterRef, VoterSet};

/// The next step of an empty voter towards membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipStep {
    /// Nothing to do for now.
    Wait,
    /// Tell the members to adopt this next set, which is committed.
    Adopt(VoterSet),
    /// Copy the state of the other members.
    Install,
    /// Write a next set to the register of voter sets.
    Propose {
        /// Version that the register is expected to have.
        expected: u64,
        /// The next set, in which this voter replaces a member.
        next: VoterSet,
    },
}

/// Input of a decision about the membership.
#[derive(Clone, Copy, Debug)]
pub struct MembershipView<'a> {
    /// Boot-time clock of this machine, in milliseconds.
    pub now: u64,
    /// How long a member must have been unresponsive before it is replaced, in milliseconds.
    pub replacement_timeout_ms: u64,
    /// The local voter, which is empty.
    pub local_voter: &'a VoterRef,
    /// The set that the other voters belong to.
    pub set: &'a VoterSet,
    /// Disks of the voters that currently respond.
    pub answering: &'a [u64],
    /// Version of the register of voter sets.
    pub committed_version: u64,
    /// The set committed in that register.
    pub committed_set: &'a VoterSet,
}

/// A member that does not respond.
#[derive(Clone, Debug)]
struct UnresponsiveMember {
    disk: u64,
    since: u64,
}

/// Decides how an empty voter joins a set. A state machine without I/O or a clock.
#[derive(Clone, Debug, Default)]
pub struct MembershipChange {
    unresponsive: Vec<UnresponsiveMember>,
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
        let replaceable = self.replaceable_disk(view);
        let next =
            replaceable.and_then(|disk| view.set.with_replacement(disk, view.local_voter.clone()));
        next.map_or(MembershipStep::Wait, |next| MembershipStep::Propose {
            expected: view.committed_version,
            next,
        })
    }

    /// Disk of a member that may be replaced: either its disk was emptied, since this voter has its address, or it has timed out.
    fn replaceable_disk(&mut self, view: &MembershipView) -> Option<u64> {
        let members = view.set.voters.iter();
        let missing: Vec<&VoterRef> = members
            .filter(|voter| !view.answering.contains(&voter.disk))
            .collect();
        self.update_unresponsive(view.now, &missing);
        let emptied = missing
            .iter()
            .find(|voter| voter.address == view.local_voter.address);
        let mut unresponsive = self.unresponsive.iter();
        let unresponsive =
            unresponsive.find(|member| member.since + view.replacement_timeout_ms <= view.now);
        emptied
            .map(|voter| voter.disk)
            .or_else(|| unresponsive.map(|member| member.disk))
    }

    fn update_unresponsive(&mut self, now: u64, missing: &[&VoterRef]) {
        self.unresponsive
            .retain(|member| missing.iter().any(|voter| voter.disk == member.disk));
        for voter in missing {
            if !self
                .unresponsive
                .iter()
                .any(|member| member.disk == voter.disk)
            {
                let disk = voter.disk;
                self.unresponsive
                    .push(UnresponsiveMember { disk, since: now });
            }
        }
    }
}
