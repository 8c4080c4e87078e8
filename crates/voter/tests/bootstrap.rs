//! When the first set of an epoch is formed, and which members it is sent to again.

use configuration::Bounds;
use register::VoterSet;
use voter::{
    median_wall_clock, Bootstrap, BootstrapStep, BootstrapView, GatewayEvidence, PeerStatus,
};

fn empty(disk: u64) -> PeerStatus {
    PeerStatus {
        address: format!("at-{disk}"),
        disk,
        set: VoterSet::default(),
        gateway_epoch: 0,
    }
}

/// Decision of the first of three seeds, whose disk is 1.
fn decide(
    bootstrap: &mut Bootstrap,
    now: u64,
    peers: &[PeerStatus],
    evidence: Option<GatewayEvidence>,
) -> BootstrapStep {
    bootstrap.decide(&BootstrapView {
        now,
        wall: 1_000_000,
        bounds: &Bounds::default(),
        own_disk: 1,
        is_first_seed: true,
        seeds: 3,
        peers,
        evidence,
    })
}

#[test]
fn an_epoch_begins_above_that_of_the_gateways_once_a_majority_reported() {
    let peers = [empty(1), empty(2), empty(3)];
    let mut bootstrap = Bootstrap::default();
    let evidence = |is_majority| {
        Some(GatewayEvidence {
            epoch: 4,
            is_majority,
        })
    };
    assert_eq!(
        decide(&mut bootstrap, 0, &peers, evidence(true)),
        BootstrapStep::Wait
    );
    assert_eq!(
        decide(&mut bootstrap, 1_500, &peers, evidence(false)),
        BootstrapStep::Wait
    );
    let BootstrapStep::Form {
        set,
        refused_before,
    } = decide(&mut bootstrap, 1_600, &peers, evidence(true))
    else {
        panic!("no set was formed");
    };
    assert_eq!((set.epoch, set.number, set.voters.len()), (5, 1, 3));
    assert!(
        refused_before > 1_003_000,
        "keys from before the loss are rejected"
    );
    assert_eq!(
        decide(&mut bootstrap, 1_700, &peers[..2], evidence(true)),
        BootstrapStep::Wait
    );
    assert_eq!(
        decide(&mut bootstrap, 1_800, &peers, evidence(true)),
        BootstrapStep::Wait
    );
}

#[test]
fn no_epoch_begins_empty_if_any_peer_heard_of_an_earlier_one() {
    let mut bootstrap = Bootstrap::default();
    let informed = PeerStatus {
        gateway_epoch: 4,
        ..empty(3)
    };
    let peers = [empty(1), empty(2), informed];
    assert_eq!(decide(&mut bootstrap, 0, &peers, None), BootstrapStep::Wait);
    assert_eq!(
        decide(&mut bootstrap, 60_000, &peers, None),
        BootstrapStep::Wait
    );
}

#[test]
fn one_wrong_clock_does_not_determine_the_floor() {
    let hour = 3_600_000;
    let others = [hour, hour + 20, hour - 30];
    assert_eq!(
        median_wall_clock(10 * 3_600_000, others.into_iter()),
        11 * 3_600_000
    );
    assert_eq!(median_wall_clock(5_000, [-10, hour, 10].into_iter()), 5_010);
    assert_eq!(median_wall_clock(5_000, std::iter::empty()), 5_000);
}

#[test]
fn a_majority_or_all_gateways_of_the_membership_are_sufficient() {
    assert!(GatewayEvidence::is_sufficient(6, 10, 3) && !GatewayEvidence::is_sufficient(5, 10, 3));
    assert!(GatewayEvidence::is_sufficient(3, 6, 3) && !GatewayEvidence::is_sufficient(2, 6, 3));
    assert!(!GatewayEvidence::is_sufficient(0, 3, 3));
}

#[test]
fn an_epoch_without_values_is_restored_without_a_majority_after_a_timeout() {
    let (mut bootstrap, bounds) = (Bootstrap::default(), Bounds::default());
    assert!(!bootstrap.may_restore_values(0, &bounds, false));
    assert!(!bootstrap.may_restore_values(5_999, &bounds, false));
    assert!(bootstrap.may_restore_values(6_000, &bounds, false));
    assert!(Bootstrap::default().may_restore_values(0, &bounds, true));
}

#[test]
fn a_member_that_missed_the_first_set_is_sent_it_again() {
    let mut bootstrap = Bootstrap::default();
    let peers = [empty(1), empty(2), empty(3)];
    let BootstrapStep::Wait = decide(&mut bootstrap, 0, &peers, None) else {
        panic!("a set was formed too early");
    };
    let BootstrapStep::Form { set, .. } = decide(&mut bootstrap, 1_500, &peers, None) else {
        panic!("no set was formed");
    };
    let bootstrapped = PeerStatus {
        set: set.clone(),
        ..empty(1)
    };
    let non_member = empty(9);
    let other = PeerStatus {
        disk: 3,
        ..bootstrapped.clone()
    };
    let peers = [empty(1), empty(2), other];
    let step = decide(&mut bootstrap, 1_550, &peers, None);
    assert_eq!(
        step,
        BootstrapStep::Wait,
        "an empty voter does not know the floor"
    );
    let peers = [bootstrapped, empty(2), non_member];
    let step = decide(&mut bootstrap, 1_600, &peers, None);
    assert_eq!(
        step,
        BootstrapStep::Resend {
            set,
            addresses: vec!["at-2".into()]
        }
    );
}
