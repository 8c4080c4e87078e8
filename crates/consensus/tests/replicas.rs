//! Values are replicated to all controllers with few bytes, and survive the loss of a disk.

#[allow(dead_code)]
mod cluster;

use cluster::SimulatedCluster;
use consensus::{ConsensusAction, CONFIGURATION_KEY};
use journal::FaultKind;
use rand::Rng;
use register::{ChangeOutcome, SetVersion};

fn committed_version(cluster: &SimulatedCluster, index: usize) -> u64 {
    let consensus = cluster.nodes[index].consensus.as_ref().unwrap();
    consensus
        .committed(CONFIGURATION_KEY)
        .map_or(0, |(version, _)| version)
}

fn write(cluster: &mut SimulatedCluster, index: usize) {
    let newest = cluster.oracle.newest(CONFIGURATION_KEY);
    for _ in 0..10 {
        cluster.request_change(index, CONFIGURATION_KEY, true);
        cluster.run(150);
        if cluster.oracle.newest(CONFIGURATION_KEY) > newest {
            return;
        }
    }
    panic!("no write succeeded");
}

#[test]
fn a_wiped_member_installs_a_value_that_only_one_other_holds() {
    for seed in 0..150 {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.partition(0, 2);
        cluster.partition(1, 2);
        write(&mut cluster, 0);
        // The third controller lacks the value, and can only learn it from the one that lost its disk.
        cluster.wipe(1);
        cluster.reconnect(1, 2);
        cluster.boot(1);
        let duration = cluster.random.random_range(0..400);
        cluster.run(duration);
        cluster.partition(0, 1);
        cluster.run(1_000);
        for index in [1, 2] {
            cluster.request_change(index, CONFIGURATION_KEY, false);
        }
        cluster.run(2_000);
        cluster.cut_links.clear();
        cluster.run(2_000);
        for index in 0..3 {
            assert_eq!(committed_version(&cluster, index), 1, "seed {seed}");
        }
    }
}

#[test]
fn a_value_reaches_all_controllers_in_one_heartbeat_and_is_sent_once_to_each() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::idle(seed, 4);
        let before = cluster.bytes;
        let bytes = vec![7; 1 << 20];
        let token = cluster
            .oracle
            .begin_request(CONFIGURATION_KEY, Some((0, bytes.clone())));
        let local_now = cluster.nodes[0].clock(cluster.now);
        let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
        consensus.write(local_now, token, CONFIGURATION_KEY, 0, bytes);
        cluster.process_actions(0);
        cluster.run(150);
        assert_eq!(cluster.oracle.writes, 1, "seed {seed}");
        for index in 0..4 {
            assert_eq!(committed_version(&cluster, index), 1, "seed {seed}");
        }
        let transferred = (cluster.bytes - before) >> 20;
        let is_voter = cluster.nodes[0].set_version().epoch > 0;
        let copies = if is_voter { 3 } else { 4 };
        assert!(
            transferred <= copies,
            "seed {seed}: {transferred} MiB transferred"
        );
    }
}

#[test]
fn values_are_not_transferred_again_after_all_controllers_were_killed() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        let bytes = vec![7; 1 << 20];
        let token = cluster
            .oracle
            .begin_request(CONFIGURATION_KEY, Some((0, bytes.clone())));
        let local_now = cluster.nodes[1].clock(cluster.now);
        let consensus = cluster.nodes[1].consensus.as_mut().unwrap();
        consensus.write(local_now, token, CONFIGURATION_KEY, 0, bytes);
        cluster.process_actions(1);
        cluster.run(500);
        for index in 0..3 {
            cluster.kill(index);
        }
        let before = cluster.bytes;
        for index in 0..3 {
            cluster.boot(index);
        }
        let elapsed = cluster.run_until(2_000, |cluster| {
            (0..3).all(|index| committed_version(cluster, index) == 1)
        });
        assert!(
            elapsed.is_some_and(|elapsed| elapsed < 400),
            "seed {seed}: {elapsed:?}"
        );
        let transferred = cluster.bytes - before;
        assert!(
            transferred < 1 << 16,
            "seed {seed}: {transferred} bytes transferred"
        );
    }
}

fn voter_version(cluster: &SimulatedCluster, index: usize) -> u64 {
    let voter = cluster.nodes[index].voter.as_ref().unwrap();
    let held = voter.voter().acceptor().register(CONFIGURATION_KEY);
    held.map_or(0, |held| held.value.version)
}

#[test]
fn a_voter_that_lags_behind_is_repaired() {
    let mut cluster = SimulatedCluster::idle(3, 3);
    cluster.partition(0, 2);
    cluster.partition(1, 2);
    write(&mut cluster, 0);
    cluster.cut_links.clear();
    cluster.run(1_000);
    let voter = cluster.nodes[2].voter.as_ref().unwrap().voter();
    let held = voter.acceptor().register(CONFIGURATION_KEY).unwrap();
    assert_eq!(held.value.version, 1);
}

/// The controller learned the value before it received heartbeats that list it, so the value does not count as
/// missing. Only the comparison of the local voter with the committed values repairs the voter.
#[test]
fn a_voter_that_lacks_a_value_known_to_its_controller_is_repaired() {
    for seed in 0..20 {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.partition(0, 2);
        cluster.partition(1, 2);
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
        let local_now = cluster.nodes[2].clock(cluster.now);
        let consensus = cluster.nodes[2].consensus.as_mut().unwrap();
        consensus.on_message(local_now, "at-0", message);
        cluster.process_actions(2);
        assert_eq!(
            (committed_version(&cluster, 2), voter_version(&cluster, 2)),
            (1, 0)
        );
        cluster.cut_links.clear();
        cluster.run(9_000);
        assert_eq!(voter_version(&cluster, 2), 1, "seed {seed}");
    }
}

#[test]
fn concurrent_client_changes_are_limited() {
    let mut cluster = SimulatedCluster::idle(5, 3);
    cluster.partition(0, 1);
    cluster.partition(0, 2);
    let local_now = cluster.nodes[0].clock(cluster.now);
    let consensus = cluster.nodes[0].consensus.as_mut().unwrap();
    for token in 0..65 {
        consensus.read(local_now, token, CONFIGURATION_KEY);
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
    let rejected = ChangeOutcome::NoQuorum("too many changes at once".into());
    assert_eq!(ended, vec![(64, rejected)]);
    consensus.tick(local_now + 1_600);
    let ended: Vec<(u64, ChangeOutcome)> = consensus
        .take_actions()
        .into_iter()
        .filter_map(completed)
        .collect();
    assert_eq!(ended.len(), 64);
}

#[test]
fn a_replaced_member_returns_as_an_empty_controller() {
    let mut cluster = SimulatedCluster::idle(6, 3);
    write(&mut cluster, 0);
    cluster.kill(2);
    let seeds = vec!["at-0".to_string(), "at-2".to_string()];
    let new_member = cluster.add(seeds, false);
    let elapsed = cluster.run_until(6_000, |cluster| {
        cluster.nodes[new_member].set_version() == SetVersion::new(1, 2)
    });
    assert!(
        elapsed.is_some(),
        "the new controller did not become a member"
    );
    let old = cluster.nodes[2].disk;
    cluster.boot(2);
    cluster.run(3_000);
    let node = &cluster.nodes[2];
    assert!(
        node.disk != old && node.set_version() == SetVersion::new(0, 0),
        "the replaced member kept its state"
    );
    assert_eq!(committed_version(&cluster, 2), 1);
    let controllers = node.consensus.as_ref().unwrap().known_controllers();
    assert_eq!(controllers, ["at-0", "at-1", "at-2", "at-3"]);
}

#[test]
fn a_member_votes_again_after_its_failed_disk_is_reopened() {
    let mut cluster = SimulatedCluster::idle(7, 3);
    cluster.nodes[2].folder.inject(FaultKind::Full);
    write(&mut cluster, 0);
    assert!(!cluster.nodes[2].voter.as_ref().unwrap().voter().is_open());
    cluster.nodes[2].folder.inject(FaultKind::SpaceFreed);
    cluster.reopen(2);
    cluster.kill(1);
    write(&mut cluster, 0);
    write(&mut cluster, 2);
    assert_eq!(cluster.oracle.newest(CONFIGURATION_KEY), 3);
}
