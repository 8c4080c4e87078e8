use register::{VoterRef, VoterSet};

/// What an empty voter does next to become a member.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipStep {
    /// Nothing can be done yet.
    Wait,
    /// Tell the members of the set to take the next one, which is settled.
    Adopt(VoterSet),
    /// Take over what the other members hold.
    Install,
    /// Write this next set with this expected version.
    Propose(u64, VoterSet),
}

/// An empty voter's way into the set. A pure machine.
#[derive(Clone, Debug, Default)]
pub struct MembershipChange {
    /// Members that did not answer, and since when.
    silent: Vec<(u64, u64)>,
}

impl MembershipChange {
    /// Decides the next step, from the set that the others are in, the disks that answer now, and
    /// the version and value of the register that settles sets.
    pub fn decide(
        &mut self,
        now: u64,
        patience: u64,
        me: &VoterRef,
        set: &VoterSet,
        answering: &[u64],
        settled: (u64, &VoterSet),
    ) -> MembershipStep {
        let (version, newest) = settled;
        if newest.version() > set.version() {
            return MembershipStep::Adopt(newest.clone());
        }
        if set.voters.iter().any(|voter| voter.disk == me.disk) {
            return MembershipStep::Install;
        }
        let gone = self.gone(now, patience, me, set, answering);
        let next = gone.and_then(|gone| set.with_replacement(gone, me.clone()));
        next.map_or(MembershipStep::Wait, |next| {
            MembershipStep::Propose(version, next)
        })
    }

    /// A member whose place is free: its disk was emptied, or it has been silent for long.
    fn gone(
        &mut self,
        now: u64,
        patience: u64,
        me: &VoterRef,
        set: &VoterSet,
        answering: &[u64],
    ) -> Option<u64> {
        let missing = set
            .voters
            .iter()
            .filter(|voter| !answering.contains(&voter.disk));
        let missing: Vec<&VoterRef> = missing.collect();
        self.silent
            .retain(|(disk, _)| missing.iter().any(|voter| voter.disk == *disk));
        for voter in &missing {
            if !self.silent.iter().any(|(disk, _)| *disk == voter.disk) {
                self.silent.push((voter.disk, now));
            }
        }
        let emptied = missing.iter().find(|voter| voter.address == me.address);
        let silent = self
            .silent
            .iter()
            .find(|(_, since)| since + patience <= now);
        emptied
            .map(|voter| voter.disk)
            .or_else(|| silent.map(|(disk, _)| *disk))
    }
}
