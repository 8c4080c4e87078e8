//! A controller is in contact only while a majority acknowledges its heartbeats, counted from their send times.
//! Without contact it is not current.

#[allow(dead_code)]
mod cluster;

use cluster::{SimulatedCluster, LEASE_MS};
use consensus::{ContactLease, CONFIGURATION_KEY, EVACUATIONS_KEY};
use rand::Rng;
use register::{VoterRef, VoterSet};
use std::collections::VecDeque;

const SPAN: u64 = 1_000;
/// The lease duration that remains after the margin for clock drift.
const LASTS: u64 = SPAN * 4 / 5;
const OWN: u64 = 1;
/// Time in which a committed value reaches all connected controllers.
const SPREAD: u64 = 600;

fn set_of(disks: &[u64]) -> VoterSet {
    let voters = disks.iter().map(|disk| VoterRef {
        disk: *disk,
        address: format!("at-{disk}"),
    });
    VoterSet {
        epoch: 1,
        number: 1,
        voters: voters.collect(),
    }
}

#[test]
fn contact_is_counted_from_the_sending_of_the_acknowledged_heartbeat() {
    let set = set_of(&[OWN, 2, 3]);
    let mut lease = ContactLease::new(SPAN);
    lease.record_sent(100, 1);
    assert!(!lease.is_held(100, &set, OWN), "nobody acknowledged");
    // A late acknowledgement does not extend the lease.
    lease.record_acknowledgement(2, 1);
    assert!(lease.is_held(100 + LASTS - 1, &set, OWN));
    assert!(!lease.is_held(100 + LASTS, &set, OWN));
}

#[test]
fn a_partition_of_either_way_ends_contact() {
    let set = set_of(&[OWN, 2, 3]);
    let mut lease = ContactLease::new(SPAN);
    for number in 1..=100 {
        lease.record_sent(number * 100, number);
        // From the eleventh heartbeat on, only the incoming direction works.
        lease.record_acknowledgement(2, number.min(10));
        lease.record_acknowledgement(3, number.min(10));
        let now = number * 100;
        assert_eq!(lease.is_held(now, &set, OWN), now < 1_000 + LASTS, "{now}");
    }
}

#[test]
fn late_doubled_and_made_up_acknowledgements_prolong_nothing() {
    let set = set_of(&[OWN, 2, 3]);
    let mut lease = ContactLease::new(SPAN);
    lease.record_sent(0, 1);
    lease.record_sent(300, 2);
    lease.record_acknowledgement(2, 2);
    for number in [1, 2, 1, 0, 3, u64::MAX] {
        lease.record_acknowledgement(2, number);
    }
    assert!(lease.is_held(300 + LASTS - 1, &set, OWN));
    assert!(!lease.is_held(300 + LASTS, &set, OWN));
    lease.record_sent(5_000, 4);
    lease.record_acknowledgement(2, 2);
    assert!(!lease.is_held(5_000, &set, OWN), "a number from long ago");
}

#[test]
fn another_set_counts_its_own_voters_only() {
    let mut lease = ContactLease::new(SPAN);
    lease.record_sent(0, 1);
    lease.record_acknowledgement(2, 1);
    assert!(lease.is_held(1, &set_of(&[OWN, 2, 3]), OWN));
    assert!(
        !lease.is_held(1, &set_of(&[OWN, 3, 4]), OWN),
        "2 was replaced"
    );
    assert!(!lease.is_held(1, &set_of(&[OWN, 2, 3, 4]), OWN), "2 of 4");
    assert!(
        !lease.is_held(1, &set_of(&[2, 3, 4]), OWN),
        "it is no voter itself"
    );
    lease.record_acknowledgement(4, 1);
    assert!(
        lease.is_held(1, &set_of(&[2, 3, 4]), OWN),
        "a spare controller"
    );
    assert!(!lease.is_held(1, &set_of(&[]), OWN), "no set is known");
    assert!(lease.is_held(1, &set_of(&[OWN]), OWN), "alone in its set");
}

#[test]
fn what_is_remembered_of_heartbeats_is_bounded() {
    let set = set_of(&[OWN, 2, 3]);
    let mut lease = ContactLease::new(u64::MAX / 8);
    for number in 0..100_000 {
        lease.record_sent(number, number);
    }
    lease.record_acknowledgement(2, 99_000);
    assert!(!lease.is_held(100_000, &set, OWN), "forgotten");
    lease.record_acknowledgement(2, 99_990);
    assert!(lease.is_held(100_000, &set, OWN));
}

/// Newest acknowledged versions over time, to look up what had been committed some time ago.
struct CommittedHistory {
    since: VecDeque<(u64, [u64; 2])>,
}

const REQUIRED_KEYS: [&str; 2] = [CONFIGURATION_KEY, EVACUATIONS_KEY];

impl CommittedHistory {
    fn new() -> Self {
        Self {
            since: VecDeque::from([(0, [0, 0])]),
        }
    }

    fn note(&mut self, cluster: &SimulatedCluster) {
        let newest = REQUIRED_KEYS.map(|key| cluster.oracle.newest(key));
        self.since.push_back((cluster.now, newest));
        while self.since.len() > 1 && self.since[1].0 + LEASE_MS + SPREAD <= cluster.now {
            self.since.pop_front();
        }
    }

    /// Checks that no current controller lacks a version that was acknowledged one lease ago.
    fn look(&self, cluster: &SimulatedCluster, seed: u64) {
        let (_, floor) = self.since[0];
        for (place, node) in cluster.nodes.iter().enumerate() {
            if !node.is_current(cluster.now) {
                continue;
            }
            for (key, floor) in REQUIRED_KEYS.iter().zip(floor) {
                let known = node.committed_version(key);
                assert!(
                    known >= floor,
                    "seed {seed}: at {} controller {place} passes for current with {key} {known}, and {floor} is committed",
                    cluster.now
                );
            }
        }
    }

    fn run(&mut self, cluster: &mut SimulatedCluster, span: u64, seed: u64) {
        let end = cluster.now + span;
        while cluster.now < end {
            cluster.run(10);
            self.note(cluster);
            self.look(cluster, seed);
        }
    }
}

fn started(seed: u64, count: usize) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::first_start(seed, count, 3);
    cluster.run(2_000);
    let nodes = cluster.nodes.iter();
    let current = nodes.filter(|node| node.is_current(cluster.now)).count();
    assert_eq!(
        current, count,
        "seed {seed}: not all are current after the start"
    );
    cluster
}

#[test]
fn a_controller_that_is_partitioned_for_twenty_seconds_passes_for_current_nowhere() {
    for seed in 0..30 {
        let mut cluster = started(seed, 3 + seed as usize % 2);
        let mut history = CommittedHistory::new();
        let cut = cluster.random.random_range(0..cluster.nodes.len());
        let others: Vec<usize> = (0..cluster.nodes.len())
            .filter(|place| *place != cut)
            .collect();
        for other in &others {
            // Cutting one direction is sufficient.
            if seed % 3 != 1 {
                cluster.cuts.insert((cut, *other));
            }
            if seed % 3 != 2 {
                cluster.cuts.insert((*other, cut));
            }
        }
        let began = cluster.now;
        let writes = cluster.oracle.writes;
        history.run(&mut cluster, LEASE_MS, seed);
        while cluster.now < began + 20_000 {
            history.run(&mut cluster, 10, seed);
            assert!(!cluster.nodes[cut].is_current(cluster.now), "seed {seed}");
            for other in &others {
                assert!(cluster.nodes[*other].is_current(cluster.now), "seed {seed}");
            }
        }
        assert!(cluster.oracle.writes > writes + 50, "seed {seed}: no load");
        cluster.cuts.clear();
        let mut took = 0;
        while !cluster.nodes[cut].is_current(cluster.now) {
            history.run(&mut cluster, 10, seed);
            took += 10;
            assert!(took < 1_000, "seed {seed}: not current again");
        }
        history.run(&mut cluster, 1_000, seed);
    }
}

#[test]
fn a_controller_that_thaws_finds_its_contact_over_before_anything_else() {
    for seed in 0..30 {
        let mut cluster = started(seed, 3);
        cluster.nodes[0].is_frozen = true;
        cluster.run(LEASE_MS + 10);
        assert!(!cluster.nodes[0].is_current(cluster.now), "seed {seed}");
        let mut history = CommittedHistory::new();
        history.run(&mut cluster, 3_000, seed);
        // Heartbeats delivered after the freeze acknowledge heartbeats that were sent before it.
        cluster.thaw(0);
        history.run(&mut cluster, 2_000, seed);
        assert!(cluster.nodes[0].is_current(cluster.now), "seed {seed}");
    }
}

#[test]
fn no_controller_passes_for_current_with_old_values_under_any_faults() {
    for seed in 0..60 {
        let mut cluster = SimulatedCluster::first_start(seed, 4, 3);
        cluster.run(2_000);
        let mut history = CommittedHistory::new();
        for _ in 0..12 {
            cluster.inject_fault();
            let span = cluster.random.random_range(100..1_500);
            history.run(&mut cluster, span, seed);
            if cluster.random.random_bool(0.3) {
                cluster.heal();
                history.run(&mut cluster, 1_000, seed);
            }
        }
    }
}
