//! For how long a gateway that was silent owns nothing.

use crate::peer_suspicions::PeerSuspicions;
use protocol::Member;

const PEER: &str = "peer-1";

fn member(incarnation: u64) -> Member {
    Member {
        name: PEER.into(),
        incarnation,
        ..Member::default()
    }
}

fn suspected_at(now: u64) -> PeerSuspicions {
    let mut suspicions = PeerSuspicions::default();
    suspicions.suspect(PEER, Some(1), now);
    suspicions
}

#[test]
fn a_suspicion_ends_by_itself_and_when_the_gateway_is_heard() {
    let mut suspicions = suspected_at(100);
    assert!(suspicions.is_suspect(PEER, 1_599));
    assert!(!suspicions.is_suspect(PEER, 1_600));
    suspicions.clear(PEER);
    assert!(!suspicions.is_suspect(PEER, 101));
}

#[test]
fn a_gateway_that_stays_silent_is_suspected_for_longer_up_to_a_bound() {
    let mut suspicions = suspected_at(0);
    let mut now = 1_500;
    for expected in [3_000, 6_000, 6_000] {
        now += 650;
        suspicions.suspect(PEER, Some(1), now);
        assert!(suspicions.is_suspect(PEER, now + expected - 1));
        now += expected;
        assert!(!suspicions.is_suspect(PEER, now));
    }
    // Long after the last one it is a first suspicion again.
    now += 3_000;
    suspicions.suspect(PEER, Some(1), now);
    assert!(!suspicions.is_suspect(PEER, now + 1_500));
}

#[test]
fn another_incarnation_is_not_the_one_that_was_silent() {
    let mut suspicions = suspected_at(0);
    suspicions.members_changed(&[member(1)]);
    assert!(suspicions.is_suspect(PEER, 10));
    suspicions.members_changed(&[member(2)]);
    assert!(!suspicions.is_suspect(PEER, 10));
}

#[test]
fn a_gateway_that_is_no_member_any_more_is_forgotten() {
    let mut suspicions = suspected_at(0);
    suspicions.members_changed(&[]);
    suspicions.suspect(PEER, Some(1), 10);
    assert!(!suspicions.is_suspect(PEER, 1_510));
}

#[test]
fn of_an_unknown_incarnation_a_membership_tells_the_better() {
    let mut suspicions = PeerSuspicions::default();
    suspicions.suspect(PEER, None, 0);
    suspicions.members_changed(&[member(1)]);
    assert!(!suspicions.is_suspect(PEER, 10));
}
