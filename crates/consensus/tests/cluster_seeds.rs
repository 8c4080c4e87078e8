//! Seeded runs of controllers under random faults. Acknowledged values persist, at most one controller holds the
//! scaler role at any time, and the cluster recovers soon after the last fault.

#[allow(dead_code)]
mod cluster;

use cluster::SimulatedCluster;
use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use rand::Rng;

fn is_healthy(cluster: &SimulatedCluster, since: u64) -> bool {
    let holders = cluster
        .nodes
        .iter()
        .filter(|node| node.term(cluster.now).is_some());
    holders.count() == 1 && cluster.oracle.last_write_at > since
}

fn run(seed: u64, count: usize, target_voters: usize) -> (usize, usize) {
    let mut cluster = SimulatedCluster::first_start(seed, count, target_voters);
    cluster.run(1_500);
    assert!(
        is_healthy(&cluster, 0),
        "seed {seed}: no holder or no writes after the start"
    );
    for _ in 0..8 {
        cluster.loss = [0.0, 0.0, 0.05, 0.3][cluster.random.random_range(0..4)];
        for _ in 0..cluster.random.random_range(1..4) {
            cluster.inject_fault();
        }
        let duration = cluster.random.random_range(100..3_000);
        cluster.run(duration);
        if cluster.random.random_bool(0.5) {
            cluster.heal();
            cluster.run(1_000);
        }
    }
    cluster.heal();
    let since = cluster.now;
    cluster.run(6_000);
    assert!(
        is_healthy(&cluster, since + 4_000),
        "seed {seed}: not healthy again"
    );
    read_back(&mut cluster, seed);
    (cluster.oracle.writes, cluster.oracle.reads)
}

fn read_back(cluster: &mut SimulatedCluster, seed: u64) {
    cluster.is_writing = false;
    cluster.run(2_000);
    for index in 0..cluster.nodes.len() {
        for key in [CONFIGURATION_KEY, EVACUATIONS_KEY] {
            let Some(consensus) = cluster.nodes[index].consensus.as_ref() else {
                continue;
            };
            let known = consensus.committed(key).map_or(0, |(version, _)| version);
            let newest = cluster.oracle.newest(key);
            assert!(
                known >= newest,
                "seed {seed}: controller {index} has an old version of {key}"
            );
            let reads = cluster.oracle.reads;
            cluster.request_change(index, key, false);
            cluster.run(100);
            assert!(
                cluster.oracle.reads > reads,
                "seed {seed}: read at controller {index} failed"
            );
        }
    }
}

fn run_all(seeds: std::ops::Range<u64>, count: usize, target_voters: usize) {
    let (mut writes, mut reads) = (0, 0);
    for seed in seeds {
        let (more_writes, more_reads) = run(seed, count, target_voters);
        writes += more_writes;
        reads += more_reads;
    }
    assert!(
        writes > 5_000 && reads > 5_000,
        "{writes} writes, {reads} reads"
    );
}

#[test]
fn three_controllers_preserve_acknowledged_values() {
    run_all(0..160, 3, 3);
}

#[test]
fn five_controllers_preserve_acknowledged_values() {
    run_all(1_000..1_040, 5, 5);
}

#[test]
fn three_voters_and_a_spare_controller_preserve_acknowledged_values() {
    run_all(2_000..2_040, 4, 3);
}

/// All controllers lose power at once, and two disks are lost, the most that five voters tolerate.
#[test]
fn five_voters_survive_two_disk_losses_during_a_power_failure() {
    for seed in 0..40 {
        let mut cluster = SimulatedCluster::first_start(seed, 6, 5);
        cluster.run(2_500);
        assert!(
            is_healthy(&cluster, 0),
            "seed {seed}: not healthy after the start"
        );
        let one = cluster.random.random_range(0..6);
        let other = (one + cluster.random.random_range(1..6)) % 6;
        for index in 0..6 {
            cluster.kill(index);
        }
        for index in [one, other] {
            cluster.wipe(index);
        }
        for index in 0..6 {
            cluster.boot(index);
        }
        let since = cluster.now;
        cluster.run(6_000);
        assert!(
            is_healthy(&cluster, since + 4_000),
            "seed {seed}: not healthy again without the disks of {one} and {other}"
        );
        read_back(&mut cluster, seed);
    }
}
