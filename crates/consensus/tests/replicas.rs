//! Values are replicated to all controllers with few bytes, and survive the loss of a disk.

#[allow(dead_code)]
mod cluster;

use cluster::SimulatedCluster;
use consensus::{ConsensusAction, CONFIGURATION_KEY};
use journal::FaultKind;
use rand::Rng;
use register::{ChangeOutcome, SetVersion};

fn known(cluster: &SimulatedCluster, place: usize) -> u64 {
    let consensus = cluster.nodes[place].consensus.as_ref().unwrap();
    consensus
        .committed(CONFIGURATION_KEY)
        .map_or(0, |(version, _)| version)
}

fn write(cluster: &mut SimulatedCluster, place: usize) {
    let newest = cluster.oracle.newest(CONFIGURATION_KEY);
    for _ in 0..10 {
        cluster.change(place, CONFIGURATION_KEY, true);
        cluster.run(150);
        if cluster.oracle.newest(CONFIGURATION_KEY) > newest {
            return;
        }
    }
    panic!("no write went through");
}

#[test]
fn a_newcomer_installs_what_only_one_of_the_others_holds() {
    for seed in 0..150 {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.part(0, 2);
        cluster.part(1, 2);
        write(&mut cluster, 0);
        // The third controller lacks the value, and can only learn it from the one that lost its disk.
        cluster.wipe(1);
        cluster.join(1, 2);
        cluster.boot(1);
        let span = cluster.random.random_range(0..400);
        cluster.run(span);
        cluster.part(0, 1);
        cluster.run(1_000);
        for place in [1, 2] {
            cluster.change(place, CONFIGURATION_KEY, false);
        }
        cluster.run(2_000);
        cluster.cuts.clear();
        cluster.run(2_000);
        for place in 0..3 {
            assert_eq!(known(&cluster, place), 1, "seed {seed}");
        }
    }
}

#[test]
fn a_value_comes_to_all_controllers_in_one_heartbeat_and_travels_once_to_each() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::idle(seed, 4);
        let before = cluster.bytes;
        let bytes = vec![7; 1 << 20];
        let token = cluster
            .oracle
            .begin_request(CONFIGURATION_KEY, Some((0, bytes.clone())));
        let local = cluster.nodes[0].clock(cluster.now);
        let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
        consensus.write(local, token, CONFIGURATION_KEY, 0, bytes);
        cluster.drain(0);
        cluster.run(150);
        assert_eq!(cluster.oracle.writes, 1, "seed {seed}");
        for place in 0..4 {
            assert_eq!(known(&cluster, place), 1, "seed {seed}");
        }
        let travelled = (cluster.bytes - before) >> 20;
        let is_voter = cluster.nodes[0].set_version().epoch > 0;
        let copies = if is_voter { 3 } else { 4 };
        assert!(
            travelled <= copies,
            "seed {seed}: {travelled} MiB travelled"
        );
    }
}

#[test]
fn values_do_not_travel_again_after_all_controllers_were_killed() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        let bytes = vec![7; 1 << 20];
        let token = cluster
            .oracle
            .begin_request(CONFIGURATION_KEY, Some((0, bytes.clone())));
        let local = cluster.nodes[1].clock(cluster.now);
        let consensus = cluster.nodes[1].consensus.as_mut().unwrap();
        consensus.write(local, token, CONFIGURATION_KEY, 0, bytes);
        cluster.drain(1);
        cluster.run(500);
        for place in 0..3 {
            cluster.kill(place);
        }
        let before = cluster.bytes;
        for place in 0..3 {
            cluster.boot(place);
        }
        let took = cluster.until(2_000, |cluster| {
            (0..3).all(|place| known(cluster, place) == 1)
        });
        assert!(took.is_some_and(|took| took < 400), "seed {seed}: {took:?}");
        let travelled = cluster.bytes - before;
        assert!(
            travelled < 1 << 16,
            "seed {seed}: {travelled} bytes travelled"
        );
    }
}

fn voter_version(cluster: &SimulatedCluster, place: usize) -> u64 {
    let voter = cluster.nodes[place].voter.as_ref().unwrap();
    let held = voter.voter().acceptor().register(CONFIGURATION_KEY);
    held.map_or(0, |held| held.value.version)
}

#[test]
fn a_controller_whose_voter_lags_is_repaired() {
    let mut cluster = SimulatedCluster::idle(3, 3);
    cluster.part(0, 2);
    cluster.part(1, 2);
    write(&mut cluster, 0);
    cluster.cuts.clear();
    cluster.run(1_000);
    let voter = cluster.nodes[2].voter.as_ref().unwrap().voter();
    let held = voter.acceptor().register(CONFIGURATION_KEY).unwrap();
    assert_eq!(held.value.version, 1);
}

/// The controller has learned the value without its voter, and does not miss it in the heartbeats it receives later.
/// Only the comparison of the own voter with the committed values repairs the voter.
#[test]
fn a_controller_that_knows_a_value_which_its_voter_lacks_is_repaired() {
    for seed in 0..20 {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.part(0, 2);
        cluster.part(1, 2);
        write(&mut cluster, 0);
        let stored = cluster.nodes[0].consensus.as_ref().unwrap();
        let (version, bytes) = stored.committed(CONFIGURATION_KEY).unwrap();
        let sent = register::VersionedValue {
            version,
            tag: 1,
            bytes: bytes.to_vec(),
        };
        // The value comes from a controller that is not a voter, hence without the ballot under which it was
        // accepted.
        let message = consensus::ConsensusMessage::Value {
            key: CONFIGURATION_KEY.into(),
            ballot: register::Ballot::default(),
            value: sent,
        };
        let local = cluster.nodes[2].clock(cluster.now);
        let consensus = cluster.nodes[2].consensus.as_mut().unwrap();
        consensus.on_message(local, "at-0", message);
        cluster.drain(2);
        assert_eq!((known(&cluster, 2), voter_version(&cluster, 2)), (1, 0));
        cluster.cuts.clear();
        cluster.run(9_000);
        assert_eq!(voter_version(&cluster, 2), 1, "seed {seed}");
    }
}

#[test]
fn a_controller_takes_no_more_than_so_many_changes_at_once() {
    let mut cluster = SimulatedCluster::idle(5, 3);
    cluster.part(0, 1);
    cluster.part(0, 2);
    let local = cluster.nodes[0].clock(cluster.now);
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    for token in 0..65 {
        consensus.read(local, token, CONFIGURATION_KEY);
    }
    let completed = |action: ConsensusAction| match action {
        ConsensusAction::RequestCompleted { token, outcome } => Some((token, outcome)),
        _ => None,
    };
    let ended: Vec<(u64, ChangeOutcome)> = consensus
        .take_actions()
        .into_iter()
        .filter_map(completed)
        .collect();
    let refused = ChangeOutcome::NoQuorum("too many changes at once".into());
    assert_eq!(ended, vec![(64, refused)]);
    consensus.tick(local + 1_600);
    let ended: Vec<(u64, ChangeOutcome)> = consensus
        .take_actions()
        .into_iter()
        .filter_map(completed)
        .collect();
    assert_eq!(ended.len(), 64);
}

#[test]
fn a_member_that_was_replaced_comes_back_as_a_newcomer() {
    let mut cluster = SimulatedCluster::idle(6, 3);
    write(&mut cluster, 0);
    cluster.kill(2);
    let seeds = vec!["at-0".to_string(), "at-2".to_string()];
    let newcomer = cluster.add(seeds, false);
    let took = cluster.until(6_000, |cluster| {
        cluster.nodes[newcomer].set_version() == SetVersion::new(1, 2)
    });
    assert!(took.is_some(), "it got no place");
    let old = cluster.nodes[2].disk;
    cluster.boot(2);
    cluster.run(3_000);
    let node = &cluster.nodes[2];
    assert!(
        node.disk != old && node.set_version() == SetVersion::new(0, 0),
        "it kept its state"
    );
    assert_eq!(known(&cluster, 2), 1);
    let controllers = node.consensus.as_ref().unwrap().known_controllers();
    assert_eq!(controllers, ["at-0", "at-1", "at-2", "at-3"]);
}

#[test]
fn a_controller_whose_disk_failed_counts_again_once_it_was_opened_anew() {
    let mut cluster = SimulatedCluster::idle(7, 3);
    cluster.nodes[2].folder.inject(FaultKind::Full);
    write(&mut cluster, 0);
    assert!(!cluster.nodes[2].voter.as_ref().unwrap().voter().is_open());
    cluster.nodes[2].folder.inject(FaultKind::Room);
    cluster.reopen(2);
    cluster.kill(1);
    write(&mut cluster, 0);
    write(&mut cluster, 2);
    assert_eq!(cluster.oracle.newest(CONFIGURATION_KEY), 3);
}
