//! How an empty voter becomes a member of the set.

use register::{VoterRef, VoterSet};
use voter::{MembershipChange, MembershipStep};

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
    let mut decide =
        |now, answering: &[u64]| joining.decide(now, 100, &voter(9), &set, answering, (0, &set));
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
    let next = set().with_replacement(3, voter(7)).unwrap();
    let step = joining.decide(0, 0, &voter(9), &set(), &[1, 2], (1, &next));
    assert_eq!(step, MembershipStep::Adopt(next.clone()));
    let step = joining.decide(0, 0, &voter(7), &next, &[1, 2], (1, &next));
    assert_eq!(step, MembershipStep::Install);
}
