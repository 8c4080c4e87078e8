//! How an empty voter joins a voter set.

use register::{VoterRef, VoterSet};
use voter::{MembershipChange, MembershipStep, MembershipView};

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

/// A view at time 0 with a timeout of 0, in which the committed set is the current one.
fn view<'a>(
    local_voter: &'a VoterRef,
    set: &'a VoterSet,
    answering: &'a [u64],
) -> MembershipView<'a> {
    MembershipView {
        now: 0,
        replacement_timeout_ms: 0,
        local_voter,
        set,
        answering,
        committed_version: 0,
        committed_set: set,
    }
}

#[test]
fn an_unresponsive_member_is_replaced_only_after_the_timeout() {
    let mut change = MembershipChange::default();
    let set = set();
    let local_voter = voter(9);
    let mut decide = |now, answering: &[u64]| {
        change.decide(&MembershipView {
            now,
            replacement_timeout_ms: 100,
            ..view(&local_voter, &set, answering)
        })
    };
    assert_eq!(decide(0, &[1, 2, 3]), MembershipStep::Wait);
    assert_eq!(decide(10, &[1, 2]), MembershipStep::Wait);
    assert_eq!(
        decide(60, &[1, 2, 3]),
        MembershipStep::Wait,
        "it responded again"
    );
    assert_eq!(decide(70, &[1, 2]), MembershipStep::Wait);
    assert_eq!(decide(169, &[1, 2]), MembershipStep::Wait);
    let MembershipStep::Propose { expected: 0, next } = decide(170, &[1, 2]) else {
        panic!("no proposal after the timeout");
    };
    assert_eq!((next.number, next.voters[2].disk), (2, 9));
}

#[test]
fn an_emptied_disk_replaces_its_former_identity_at_once() {
    let mut change = MembershipChange::default();
    let local_voter = VoterRef {
        disk: 9,
        address: "at-3".into(),
    };
    let set = set();
    let step = change.decide(&MembershipView {
        replacement_timeout_ms: 100,
        committed_version: 4,
        ..view(&local_voter, &set, &[1, 2, 9])
    });
    let MembershipStep::Propose { expected: 4, next } = step else {
        panic!("no proposal");
    };
    assert_eq!(next.voters[2], local_voter);
}

#[test]
fn a_committed_set_is_adopted_and_installed_first() {
    let mut change = MembershipChange::default();
    let next = set().with_replacement(3, voter(7)).unwrap();
    let (local_voter, set) = (voter(9), set());
    let step = change.decide(&MembershipView {
        committed_version: 1,
        committed_set: &next,
        ..view(&local_voter, &set, &[1, 2])
    });
    assert_eq!(step, MembershipStep::Adopt(next.clone()));
    let local_voter = voter(7);
    let step = change.decide(&MembershipView {
        committed_version: 1,
        ..view(&local_voter, &next, &[1, 2])
    });
    assert_eq!(step, MembershipStep::Install);
}
