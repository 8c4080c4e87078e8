//! Disks that return, move to another address or are lost. A disk is identified by its identity, not by its address.

#[allow(dead_code)]
mod cluster;

use cluster::{SimulatedCluster, REPLACEMENT_TIMEOUT_MS};
use consensus::MembershipState;
use register::SetVersion;

const SEEDS: std::ops::Range<u64> = 0..12;

#[test]
fn an_old_disk_comes_back_after_several_changes_and_counts_for_nothing() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.must_write(0);
        cluster.lose(2);
        cluster.add_newcomer();
        cluster.run(3 * REPLACEMENT_TIMEOUT_MS);
        cluster.must_write(0);
        cluster.lose(1);
        let last = cluster.add_newcomer();
        cluster.run(3 * REPLACEMENT_TIMEOUT_MS);
        assert_eq!(cluster.newest_set().number, 3, "seed {seed}");
        cluster.must_write(last);
        let disk = cluster.nodes[2].disk;
        cluster.bring_back(2);
        cluster.bring_back(1);
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
fn a_member_whose_disk_moved_to_another_address_goes_on_voting() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.must_write(0);
        let moved = cluster.move_disk(2);
        cluster.run(1_000);
        assert_eq!(cluster.membership_state(moved), MembershipState::Voting);
        let voters = cluster.newest_set().voters;
        assert_eq!(voters[2].address, format!("at-{moved}"), "seed {seed}");
        assert_eq!(voters[2].disk, cluster.nodes[moved].disk, "seed {seed}");
        cluster.lose(1);
        cluster.must_write(0);
        cluster.must_read(moved);
    }
}

#[test]
fn a_member_that_comes_back_empty_under_its_old_name_takes_its_own_place_at_once() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.must_write(0);
        cluster.wipe(2);
        cluster.boot(2);
        let took = cluster.until(REPLACEMENT_TIMEOUT_MS, |cluster| {
            cluster.nodes[2].set_version() == SetVersion::new(1, 2)
        });
        assert!(
            took.is_some_and(|took| took < 1_500),
            "seed {seed}: {took:?}"
        );
        cluster.wipe(1);
        cluster.boot(1);
        let took = cluster.until(REPLACEMENT_TIMEOUT_MS, |cluster| {
            cluster.nodes[1].set_version() == SetVersion::new(1, 3)
        });
        assert!(
            took.is_some_and(|took| took < 1_500),
            "seed {seed}: {took:?}"
        );
        cluster.lose(0);
        cluster.must_read(2);
        cluster.must_write(1);
    }
}
