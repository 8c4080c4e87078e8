use register::{replaced, VoterRef, VoterSet};

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
        let next = gone.and_then(|gone| replaced(set, gone, me.clone()));
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

#[cfg(test)]
mod tests {
    use super::*;

    fn voter(disk: u64) -> VoterRef {
        VoterRef {
            disk,
            address: format!("at-{disk}"),
        }
    }

    fn set() -> VoterSet {
        VoterSet {
            epoch: 1,
            number: 1,
            voters: (1..=3).map(voter).collect(),
        }
    }

    #[test]
    fn a_silent_member_is_replaced_only_after_the_patience() {
        let mut joining = MembershipChange::default();
        let set = set();
        let mut decide = |now, answering: &[u64]| {
            joining.decide(now, 100, &voter(9), &set, answering, (0, &set))
        };
        assert_eq!(decide(0, &[1, 2, 3]), MembershipStep::Wait);
        assert_eq!(decide(10, &[1, 2]), MembershipStep::Wait);
        assert_eq!(
            decide(60, &[1, 2, 3]),
            MembershipStep::Wait,
            "it was heard again"
        );
        assert_eq!(decide(70, &[1, 2]), MembershipStep::Wait);
        assert_eq!(decide(169, &[1, 2]), MembershipStep::Wait);
        let MembershipStep::Propose(0, next) = decide(170, &[1, 2]) else {
            panic!("no claim after the patience");
        };
        assert_eq!((next.number, next.voters[2].disk), (2, 9));
    }

    #[test]
    fn an_emptied_disk_takes_its_own_place_at_once() {
        let mut joining = MembershipChange::default();
        let me = VoterRef {
            disk: 9,
            address: "at-3".into(),
        };
        let step = joining.decide(0, 100, &me, &set(), &[1, 2, 9], (4, &set()));
        let MembershipStep::Propose(4, next) = step else {
            panic!("no claim");
        };
        assert_eq!(next.voters[2], me);
    }

    #[test]
    fn a_settled_set_is_finished_before_anything_else() {
        let mut joining = MembershipChange::default();
        let next = replaced(&set(), 3, voter(7)).unwrap();
        let step = joining.decide(0, 0, &voter(9), &set(), &[1, 2], (1, &next));
        assert_eq!(step, MembershipStep::Adopt(next.clone()));
        let step = joining.decide(0, 0, &voter(7), &next, &[1, 2], (1, &next));
        assert_eq!(step, MembershipStep::Install);
    }
}
