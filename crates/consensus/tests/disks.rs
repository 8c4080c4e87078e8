//! Disks that return, move to another address or are lost. A disk is identified by its identity, not by its address.

#[allow(dead_code)]
mod cluster;

use cluster::{SimulatedCluster, REPLACEMENT_TIMEOUT_MS};
use consensus::MembershipState;
use register::SetVersion;

const SEEDS: std::ops::Range<u64> = 0..12;

#[test]
fn a_replaced_disk_that_returns_after_several_set_changes_is_reset() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.must_write(0);
        cluster.remove_machine(2);
        cluster.add_empty_machine();
        cluster.run(3 * REPLACEMENT_TIMEOUT_MS);
        cluster.must_write(0);
        cluster.remove_machine(1);
        let last = cluster.add_empty_machine();
        cluster.run(3 * REPLACEMENT_TIMEOUT_MS);
        assert_eq!(cluster.newest_set().number, 3, "seed {seed}");
        cluster.must_write(last);
        let disk = cluster.nodes[2].disk;
        cluster.restore_machine(2);
        cluster.restore_machine(1);
        cluster.run(4_000);
        assert_ne!(cluster.nodes[2].disk, disk, "seed {seed}");
        assert_eq!(
            cluster.membership_state(2),
            MembershipState::Joining,
            "seed {seed}"
        );
        cluster.must_read(2);
        cluster.must_read(1);
    }
}

#[test]
fn a_member_keeps_voting_after_its_disk_moved_to_another_address() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.must_write(0);
        let moved = cluster.move_disk(2);
        cluster.run(1_000);
        assert_eq!(cluster.membership_state(moved), MembershipState::Voting);
        let voters = cluster.newest_set().voters;
        assert_eq!(voters[2].address, format!("at-{moved}"), "seed {seed}");
        assert_eq!(voters[2].disk, cluster.nodes[moved].disk, "seed {seed}");
        cluster.remove_machine(1);
        cluster.must_write(0);
        cluster.must_read(moved);
    }
}

#[test]
fn a_wiped_member_at_the_same_address_replaces_itself_without_delay() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.must_write(0);
        cluster.wipe(2);
        cluster.boot(2);
        let elapsed = cluster.run_until(REPLACEMENT_TIMEOUT_MS, |cluster| {
            cluster.nodes[2].set_version() == SetVersion::new(1, 2)
        });
        assert!(
            elapsed.is_some_and(|elapsed| elapsed < 1_500),
            "seed {seed}: {elapsed:?}"
        );
        cluster.wipe(1);
        cluster.boot(1);
        let elapsed = cluster.run_until(REPLACEMENT_TIMEOUT_MS, |cluster| {
            cluster.nodes[1].set_version() == SetVersion::new(1, 3)
        });
        assert!(
            elapsed.is_some_and(|elapsed| elapsed < 1_500),
            "seed {seed}: {elapsed:?}"
        );
        cluster.remove_machine(0);
        cluster.must_read(2);
        cluster.must_write(1);
    }
}
