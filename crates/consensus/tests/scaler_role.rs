//! At most one controller holds the scaler role, even if members restart, lose their disks or are frozen. The oracle
//! checks this after every event.

#[allow(dead_code)]
mod cluster;

use cluster::{Event, SimulatedCluster, HEARTBEAT_INTERVAL_MS, LEASE_MS};
use consensus::{ConsensusMessage, RoleLeaseAck};
use rand::Rng;

fn started(seed: u64) -> (SimulatedCluster, usize, usize, usize) {
    let mut cluster = SimulatedCluster::first_start(seed, 3, 3);
    cluster.run(1_500);
    let (holder, one, other) = cluster.holder().expect("nobody holds");
    (cluster, holder, one, other)
}

#[test]
fn the_first_start_gives_a_holder_at_once() {
    for seed in 0..20 {
        let mut cluster = SimulatedCluster::first_start(seed, 3, 3);
        let took = cluster.until(2_000, |cluster| cluster.holder().is_some());
        assert!(
            took.is_some_and(|took| took <= 700),
            "seed {seed}: {took:?}"
        );
    }
}

#[test]
fn a_killed_holder_is_followed_soon_after_the_lease() {
    for seed in 0..20 {
        let (mut cluster, holder, _, _) = started(seed);
        cluster.kill(holder);
        let took = cluster.until(3_000, |cluster| cluster.holder().is_some());
        let took = took.expect("nobody follows");
        let soonest = LEASE_MS - 2 * HEARTBEAT_INTERVAL_MS;
        assert!(
            (soonest..LEASE_MS + 400).contains(&took),
            "seed {seed}: {took}"
        );
    }
}

#[test]
fn a_holder_that_comes_back_as_another_incarnation_with_all_others_is_followed_before_the_lease_is_over(
) {
    for seed in 0..40 {
        let (mut cluster, holder, one, other) = started(seed);
        for controller in [holder, one, other] {
            cluster.kill(controller);
        }
        for controller in [holder, one, other] {
            cluster.boot(controller);
        }
        let took = cluster.until(3_000, |cluster| cluster.holder().is_some());
        assert!(
            took.is_some_and(|took| took < LEASE_MS / 2),
            "seed {seed}: {took:?}"
        );
    }
}

#[test]
fn a_holder_that_resigns_is_followed_at_once_and_does_not_come_back() {
    for seed in 0..20 {
        let (mut cluster, holder, _, _) = started(seed);
        let local = cluster.nodes[holder].clock(cluster.now);
        let consensus = cluster.nodes[holder].consensus.as_mut().unwrap();
        consensus.resign(local);
        assert_eq!(consensus.role_term(local), None);
        cluster.drain(holder);
        let took = cluster.until(3_000, |cluster| cluster.holder().is_some());
        assert!(took.is_some_and(|took| took < 300), "seed {seed}: {took:?}");
        assert_ne!(cluster.holder().unwrap().0, holder);
        cluster.run(3_000);
        assert_ne!(cluster.holder().unwrap().0, holder);
    }
}

#[test]
fn a_frozen_holder_sees_at_once_that_its_lease_is_over() {
    for seed in 0..20 {
        let (mut cluster, holder, _, _) = started(seed);
        cluster.nodes[holder].is_frozen = true;
        cluster.run(LEASE_MS + 400);
        assert_eq!(cluster.nodes[holder].term(cluster.now), None);
        let (next, _, _) = cluster.holder().expect("nobody follows");
        assert_ne!(next, holder);
        cluster.thaw(holder);
        cluster.run(1_000);
        assert_eq!(cluster.holder().map(|(next, _, _)| next), Some(next));
    }
}

#[test]
fn a_holder_stays_where_one_controller_does_not_hear_it() {
    for seed in 0..20 {
        let (mut cluster, holder, one, _) = started(seed);
        let term = cluster.nodes[holder].term(cluster.now);
        cluster.part(holder, one);
        for _ in 0..50 {
            cluster.run(100);
            assert_eq!(cluster.nodes[holder].term(cluster.now), term, "seed {seed}");
        }
        cluster.join(holder, one);
        cluster.run(1_000);
        assert_eq!(cluster.nodes[holder].term(cluster.now), term);
    }
}

#[test]
fn a_member_that_restarts_keeps_what_it_promised() {
    for seed in 0..100 {
        let (mut cluster, holder, one, other) = started(seed);
        cluster.part(holder, other);
        let span = cluster.random.random_range(2 * LEASE_MS..3 * LEASE_MS);
        cluster.run(span);
        cluster.part(holder, one);
        cluster.kill(one);
        cluster.boot(one);
        let took = cluster.until(4_000, |cluster| {
            cluster.holder().is_some_and(|(next, _, _)| next != holder)
        });
        assert!(took.is_some(), "seed {seed}: nobody follows");
    }
}

#[test]
fn a_member_that_lost_its_disk_keeps_what_it_promised() {
    for seed in 0..200 {
        let (mut cluster, holder, one, other) = started(seed);
        cluster.part(holder, other);
        let span = cluster.random.random_range(2 * LEASE_MS..3 * LEASE_MS);
        cluster.run(span);
        cluster.wipe(one);
        cluster.boot(one);
        cluster.until(2_000, |cluster| cluster.nodes[one].set_version().number > 1);
        cluster.part(holder, one);
        cluster.run(3_000);
        let (next, _, _) = cluster.holder().expect("nobody follows");
        assert_ne!(next, holder);
    }
}

#[test]
fn a_heartbeat_is_small_and_a_calm_consensus_says_little() {
    let (mut cluster, _, _, _) = started(1);
    cluster.is_writing = false;
    cluster.run(1_000);
    let (sent, bytes) = (cluster.sent, cluster.bytes);
    cluster.run(10_000);
    let (sent, bytes) = (cluster.sent - sent, cluster.bytes - bytes);
    let heartbeats = 6 * 10_000 / HEARTBEAT_INTERVAL_MS;
    assert!(sent <= heartbeats * 3 / 2, "{sent} messages");
    assert!(bytes <= sent * 180, "{bytes} bytes in {sent} messages");
    let link = ConsensusMessage::Link {
        address: "10.0.0.1:7300".into(),
    };
    assert!(cluster::size(&link) < 32);
}

#[test]
fn a_holder_that_reaches_nobody_stops_within_four_fifths_of_a_lease() {
    for seed in 0..20 {
        let (mut cluster, holder, one, other) = started(seed);
        cluster.part(holder, one);
        cluster.part(holder, other);
        cluster.run(LEASE_MS * 4 / 5);
        assert_eq!(cluster.nodes[holder].term(cluster.now), None, "seed {seed}");
    }
}

#[test]
fn an_ack_of_another_term_prolongs_no_lease() {
    for seed in 0..20 {
        let (mut cluster, holder, one, other) = started(seed);
        let term = cluster.nodes[holder].term(cluster.now).expect("it holds");
        cluster.part(holder, one);
        cluster.part(holder, other);
        for _ in 0..LEASE_MS * 4 / 5 / 50 {
            acknowledge_all_heartbeats(&mut cluster, one, holder, term - 1);
            cluster.run(50);
        }
        assert_eq!(cluster.nodes[holder].term(cluster.now), None, "seed {seed}");
    }
}

/// Delivers acknowledgements of a term from a member to a controller, for all heartbeats that the controller may have
/// sent.
fn acknowledge_all_heartbeats(
    cluster: &mut SimulatedCluster,
    member: usize,
    controller: usize,
    term: u64,
) {
    let from = cluster.nodes[member].address.clone();
    for number in 1..200 {
        let ack = RoleLeaseAck {
            disk: cluster.nodes[member].disk,
            set_version: cluster.nodes[controller].set_version(),
            term,
            number,
        };
        let ack = ConsensusMessage::RoleLeaseAck(ack);
        cluster.later(0, Event::Deliver(controller, from.clone(), ack));
    }
}

/// A member backs the holder and then loses its disk. The other members, which have not heard from the holder for
/// long, readmit it without the holder. Only its own delay before making promises protects the holder's lease.
#[test]
fn a_newcomer_in_place_of_a_member_that_backed_the_holder_lets_the_lease_pass_first() {
    let mut tried = 0;
    for seed in 0..60 {
        let mut cluster = SimulatedCluster::first_start(seed, 5, 5);
        cluster.run(10_000);
        assert_eq!(cluster.newest_set().voters.len(), 5, "seed {seed}");
        let (holder, ..) = cluster.holder().expect("nobody holds");
        let others: Vec<usize> = (0..5).filter(|place| *place != holder).collect();
        cluster.part(holder, others[2]);
        cluster.part(holder, others[3]);
        let span = cluster.random.random_range(2 * LEASE_MS..3 * LEASE_MS);
        cluster.run(span);
        if cluster.nodes[holder].term(cluster.now).is_none() {
            continue;
        }
        tried += 1;
        cluster.wipe(others[0]);
        cluster.part(holder, others[0]);
        cluster.boot(others[0]);
        // The oracle fails the test if there are two holders at once.
        cluster.run(4 * LEASE_MS);
        assert!(cluster.holder().is_some(), "seed {seed}: nobody holds");
    }
    assert!(
        tried >= 50,
        "the holder kept the role in {tried} of 60 runs"
    );
}
