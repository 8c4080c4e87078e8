//! Tests when a candidate contends and for how long a leader leads.

use configuration::PeerRef;
use leader_election::{ElectionStep, LeaderElection, Leadership};

fn peer(name: &str) -> PeerRef {
    PeerRef {
        name: name.into(),
        incarnation: 1,
    }
}

#[test]
fn a_vacant_leadership_is_contended_for_only_after_the_lease() {
    let mut election = LeaderElection::new(peer("a"), 1_000, 0);
    election.enter_epoch(1);
    assert_eq!(election.next_step(0), ElectionStep::Read);
    election.observe(
        0,
        7,
        Leadership {
            leader: peer("b"),
            term: 3,
        },
    );
    assert_eq!(election.next_step(500), ElectionStep::Read);
    let ElectionStep::Write(7, won) = election.next_step(1_000) else {
        panic!("no write after the lease");
    };
    assert_eq!(won.term, (1 << 40) | 8);
    election.on_elected(1_010, 1_000, 8, won);
    assert_eq!(election.term(1_799), Some((1 << 40) | 8));
}

#[test]
fn a_leader_suspended_past_its_lease_no_longer_leads() {
    let mut election = LeaderElection::new(peer("a"), 1_000, 0);
    election.on_elected(
        10,
        0,
        1,
        Leadership {
            leader: peer("a"),
            term: 1,
        },
    );
    assert_eq!(election.term(799), Some(1));
    assert_eq!(election.term(800), None);
    election.observe(
        5_000,
        2,
        Leadership {
            leader: peer("b"),
            term: 2,
        },
    );
    assert_eq!(election.term(5_001), None);
    assert_eq!(election.next_step(5_001), ElectionStep::Read);
}
