//! Seeded runs in which machines and disks are added, lost, moved and returned while messages are lost. At most one
//! copy is lost at a time, or two of five. All controllers can read every acknowledged value at the end.

#[allow(dead_code)]
mod cluster;

use cluster::{Event, SimulatedCluster};
use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use rand::Rng;

const ROUNDS: usize = 8;
const MACHINES_MAX: usize = 14;

fn any(cluster: &mut SimulatedCluster) -> usize {
    let live: Vec<usize> = (0..cluster.nodes.len())
        .filter(|place| !cluster.nodes[*place].is_gone)
        .collect();
    live[cluster.random.random_range(0..live.len())]
}

/// Number of copies that may be lost now.
fn spare_copies(cluster: &SimulatedCluster) -> usize {
    if !cluster.has_all_members() {
        return 0;
    }
    (cluster.newest_set().voters.len() - 1) / 2
}

/// Removes a machine permanently and adds a new one.
fn replace(cluster: &mut SimulatedCluster) {
    let place = any(cluster);
    cluster.lose(place);
    if cluster.nodes.len() < MACHINES_MAX {
        cluster.add_newcomer();
    }
}

/// Wipes a disk and restarts the controller at the same address.
fn wipe(cluster: &mut SimulatedCluster) {
    let place = any(cluster);
    cluster.wipe(place);
    let delay = cluster.random.random_range(10..2_500);
    cluster.later(delay, Event::Boot(place));
}

/// Restores a removed machine with its old disk.
fn bring_back(cluster: &mut SimulatedCluster) {
    let gone = (0..cluster.nodes.len()).find(|place| {
        let node = &cluster.nodes[*place];
        node.is_gone && !cluster.moved.contains(place)
    });
    if let Some(place) = gone {
        cluster.bring_back(place);
    }
}

/// Moves a disk to a machine at another address.
fn carry_over(cluster: &mut SimulatedCluster) {
    let place = any(cluster);
    if cluster.nodes.len() < MACHINES_MAX && cluster.nodes[place].consensus.is_some() {
        cluster.move_disk(place);
    }
}

/// Isolates a controller, often for long enough that another one replaces it.
fn partition_for_long(cluster: &mut SimulatedCluster) {
    let place = any(cluster);
    cluster.isolate(place);
    let span = cluster.random.random_range(2_000..6_000);
    cluster.run(span);
    cluster.rejoin(place);
}

fn restart(cluster: &mut SimulatedCluster) {
    let place = any(cluster);
    cluster.kill(place);
    let delay = cluster.random.random_range(10..3_000);
    cluster.later(delay, Event::Boot(place));
}

fn inject_fault(cluster: &mut SimulatedCluster) {
    let spare = spare_copies(cluster);
    match cluster.random.random_range(0..10) {
        0 | 1 if spare > 0 => replace(cluster),
        2 if spare > 0 => wipe(cluster),
        3 if spare > 1 => {
            replace(cluster);
            wipe(cluster);
        }
        4 | 5 => partition_for_long(cluster),
        6 => carry_over(cluster),
        7 => bring_back(cluster),
        _ => restart(cluster),
    }
}

fn read_back(cluster: &mut SimulatedCluster, seed: u64) {
    cluster.is_writing = false;
    cluster.run(2_000);
    for place in 0..cluster.nodes.len() {
        // A controller that knows no set and has no live seed has nobody to contact.
        if cluster.nodes[place].consensus.is_none() || cluster.is_lost(place) {
            continue;
        }
        for key in [CONFIGURATION_KEY, EVACUATIONS_KEY] {
            let reads = cluster.oracle.reads;
            cluster.change(place, key, false);
            cluster.run(400);
            assert!(
                cluster.oracle.reads > reads,
                "seed {seed}: controller {place} reads nothing of {key}; {}",
                cluster.describe()
            );
        }
    }
}

fn run(seed: u64, count: usize, wanted: usize) -> usize {
    let mut cluster = SimulatedCluster::first_start(seed, count, wanted);
    cluster.run(1_500);
    for _ in 0..ROUNDS {
        cluster.loss = [0.0, 0.02, 0.1][cluster.random.random_range(0..3)];
        inject_fault(&mut cluster);
        let span = cluster.random.random_range(100..2_500);
        cluster.run(span);
        if cluster.random.random_bool(0.5) {
            cluster.heal();
            cluster.until(8_000, SimulatedCluster::has_all_members);
        }
    }
    cluster.heal();
    cluster.run(8_000);
    let since = cluster.now;
    cluster.run(3_000);
    assert!(
        cluster.oracle.last_write_at > since,
        "seed {seed}: no majority came back; {}",
        cluster.describe()
    );
    read_back(&mut cluster, seed);
    cluster.oracle.writes
}

fn run_all(seeds: std::ops::Range<u64>, count: usize, wanted: usize) {
    let writes: usize = seeds.map(|seed| run(seed, count, wanted)).sum();
    assert!(writes > 2_000, "{writes} writes");
}

#[test]
fn three_voters_and_spares_keep_what_they_acknowledged() {
    run_all(5_000..5_060, 4, 3);
}

#[test]
fn three_voters_that_grow_to_five_keep_what_they_acknowledged() {
    run_all(6_000..6_035, 5, 5);
}
