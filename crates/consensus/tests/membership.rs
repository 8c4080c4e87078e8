//! Voter set changes with failures just before, during or after the change. Acknowledged values persist and a
//! majority recovers, as long as only one copy is lost at a time.

#[allow(dead_code)]
mod cluster;

use cluster::{SimulatedCluster, REPLACEMENT_TIMEOUT_MS};
use consensus::MembershipState;
use journal::FaultKind;
use register::SetVersion;

const SEEDS: std::ops::Range<u64> = 0..12;

/// Commits a value that only members 0 and 2 hold, isolates 2, and lets a new member replace it by the votes of 0 and
/// 1. Returns when the new set is committed and the new member is still empty.
fn replaced_holder(seed: u64) -> (SimulatedCluster, usize) {
    let mut cluster = SimulatedCluster::idle(seed, 3);
    cluster.part(0, 1);
    cluster.part(1, 2);
    cluster.must_write(0);
    cluster.isolate(2);
    let newcomer = cluster.add_newcomer();
    cluster.part(newcomer, 2);
    let mut waited = 0;
    while cluster.newest_set().number < 2 {
        cluster.run(1);
        waited += 1;
        assert!(
            waited < 3 * REPLACEMENT_TIMEOUT_MS,
            "seed {seed}: no place was given"
        );
    }
    assert_eq!(
        cluster.nodes[newcomer].set_version(),
        SetVersion::new(0, 0),
        "it must be empty yet"
    );
    (cluster, newcomer)
}

#[test]
fn a_leaving_member_keeps_the_only_copy_until_the_newcomer_has_it() {
    for seed in SEEDS {
        let (mut cluster, newcomer) = replaced_holder(seed);
        // Member 1 learns the new set. Then 0 is lost, so that only 2 holds the value.
        cluster.until(1_000, |cluster| {
            cluster.nodes[1].set_version() == SetVersion::new(1, 2)
        });
        cluster.lose(0);
        cluster.isolate(newcomer);
        cluster.join(1, 2);
        cluster.run(4 * REPLACEMENT_TIMEOUT_MS);
        let kept = cluster.nodes[2].voter_set().map(|set| set.version());
        assert_eq!(
            kept,
            Some(SetVersion::new(1, 2)),
            "seed {seed}: its copy is gone"
        );
        assert_eq!(cluster.membership_state(2), MembershipState::Leaving);
        cluster.rejoin(newcomer);
        let took = cluster.until(3_000, |cluster| {
            cluster.nodes[newcomer].set_version() >= SetVersion::new(1, 2)
        });
        assert!(took.is_some(), "seed {seed}: the newcomer installs nothing");
        cluster.must_read(newcomer);
        cluster.must_read(1);
        cluster.must_write(1);
    }
}

#[test]
fn a_newcomer_that_restarts_still_knows_whose_copies_are_enough() {
    for seed in SEEDS {
        let (mut cluster, newcomer) = replaced_holder(seed);
        cluster.until(1_000, |cluster| {
            cluster.nodes[1].set_version() == SetVersion::new(1, 2)
        });
        cluster.lose(0);
        cluster.kill(newcomer);
        cluster.boot(newcomer);
        cluster.join(1, 2);
        cluster.join(2, newcomer);
        let took = cluster.until(3_000, |cluster| {
            cluster.nodes[newcomer].set_version() >= SetVersion::new(1, 2)
        });
        assert!(took.is_some(), "seed {seed}: the newcomer installs nothing");
        cluster.must_read(newcomer);
    }
}

#[test]
fn a_set_that_a_failed_disk_took_in_memory_alone_is_not_installed() {
    for seed in SEEDS {
        let (mut cluster, newcomer) = replaced_holder(seed);
        cluster.isolate(newcomer);
        cluster.nodes[0].folder.inject(FaultKind::Full);
        cluster.join(0, 1);
        cluster.run(1_000);
        cluster.join(0, 2);
        cluster.join(1, 2);
        cluster.run(4 * REPLACEMENT_TIMEOUT_MS);
        let kept = cluster.nodes[2].voter_set().map(|set| set.version());
        assert_eq!(
            kept,
            Some(SetVersion::new(1, 2)),
            "seed {seed}: its copy is gone"
        );
        cluster.lose(0);
        cluster.rejoin(newcomer);
        cluster.run(3_000);
        cluster.must_read(newcomer);
    }
}

#[test]
fn the_next_change_waits_until_a_majority_has_installed_the_former() {
    for seed in SEEDS {
        let (mut cluster, newcomer) = replaced_holder(seed);
        cluster.join(0, 1);
        cluster.until(1_000, |cluster| {
            cluster.nodes[0].set_version() == SetVersion::new(1, 2)
        });
        // In the new set {0, 1, new member}, 1 is lost permanently and the new member cannot copy from 0.
        cluster.lose(1);
        cluster.run(1_000);
        cluster.set_proposals.clear();
        let second = cluster.add_newcomer();
        cluster.part(second, 2);
        cluster.run(4 * REPLACEMENT_TIMEOUT_MS);
        assert_eq!(
            cluster.newest_set().number,
            2,
            "seed {seed}: changed without a majority"
        );
        let early = cluster
            .set_proposals
            .iter()
            .any(|(_, from)| *from == second);
        assert!(
            !early,
            "seed {seed}: request for a change before the former was installed"
        );
        cluster.rejoin(2);
        let took = cluster.until(8_000, |cluster| {
            cluster.nodes[second].set_version() >= SetVersion::new(1, 3)
        });
        assert!(
            took.is_some(),
            "seed {seed}: the second newcomer got no place"
        );
        cluster.must_read(second);
        cluster.must_read(newcomer);
        cluster.lose(0);
        cluster.must_read(second);
        cluster.must_write(second);
    }
}

#[test]
fn of_two_newcomers_one_gets_the_place_and_the_other_the_next() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.must_write(0);
        cluster.lose(2);
        let newcomers = [cluster.add_newcomer(), cluster.add_newcomer()];
        cluster.run(3 * REPLACEMENT_TIMEOUT_MS);
        let set = cluster.newest_set();
        assert_eq!((set.number, set.voters.len()), (2, 3), "seed {seed}");
        let voting = newcomers.map(|place| cluster.membership_state(place));
        assert!(
            voting.contains(&MembershipState::Voting) && voting.contains(&MembershipState::Joining)
        );
        cluster.lose(1);
        cluster.run(3 * REPLACEMENT_TIMEOUT_MS);
        assert_eq!(cluster.newest_set().number, 3, "seed {seed}");
        for newcomer in newcomers {
            assert_eq!(cluster.membership_state(newcomer), MembershipState::Voting);
            cluster.must_read(newcomer);
        }
        cluster.must_write(0);
    }
}

#[test]
fn a_planned_and_an_unplanned_replacement_at_once_are_made_one_after_the_other() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::first_start(seed, 5, 5);
        cluster.is_writing = false;
        cluster.run(4_000);
        assert_eq!(cluster.newest_set().voters.len(), 5, "seed {seed}");
        cluster.must_write(0);
        cluster.lose(4);
        let newcomer = cluster.add_newcomer();
        cluster.wipe(3);
        cluster.boot(3);
        cluster.run(4 * REPLACEMENT_TIMEOUT_MS);
        assert!(
            cluster.has_all_members(),
            "seed {seed}: {:?}",
            cluster.newest_set()
        );
        cluster.must_write(3);
        // Two more losses are tolerated now.
        cluster.lose(0);
        cluster.lose(1);
        cluster.must_read(newcomer);
        cluster.must_write(2);
    }
}

#[test]
fn three_voters_grow_to_five_with_losses_in_between() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::first_start(seed, 3, 5);
        cluster.is_writing = false;
        cluster.run(1_500);
        cluster.must_write(0);
        cluster.add_newcomer();
        let second = cluster.add_newcomer();
        cluster.until(4_000, |cluster| cluster.newest_set().voters.len() == 4);
        let lost = (seed % 3) as usize;
        let has_all_members = cluster.until(4_000, SimulatedCluster::has_all_members);
        assert!(has_all_members.is_some(), "seed {seed}");
        cluster.lose(lost);
        let third = cluster.add_newcomer();
        let took = cluster.until(8 * REPLACEMENT_TIMEOUT_MS, |cluster| {
            cluster.has_all_members() && cluster.newest_set().voters.len() == 5
        });
        assert!(took.is_some(), "seed {seed}: {:?}", cluster.newest_set());
        cluster.must_read(third);
        cluster.lose((lost + 1) % 3);
        cluster.lose(second);
        cluster.must_read(third);
        cluster.must_write((lost + 2) % 3);
    }
}

#[test]
fn a_controller_rejoins_without_a_restart_after_another_took_its_place() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.must_write(0);
        let (incarnation, disk) = (cluster.nodes[2].incarnation, cluster.nodes[2].disk);
        cluster.isolate(2);
        let newcomer = cluster.add_newcomer();
        cluster.part(2, newcomer);
        cluster.until(3 * REPLACEMENT_TIMEOUT_MS, |cluster| {
            cluster.nodes[newcomer].set_version() == SetVersion::new(1, 2)
        });
        cluster.rejoin(2);
        cluster.run(3_000);
        assert_eq!(
            cluster.nodes[2].incarnation, incarnation,
            "seed {seed}: its process ended"
        );
        assert_ne!(
            cluster.nodes[2].disk, disk,
            "seed {seed}: it kept its identity"
        );
        assert_eq!(cluster.membership_state(2), MembershipState::Joining);
        cluster.lose(0);
        cluster.run(3 * REPLACEMENT_TIMEOUT_MS);
        assert_eq!(
            cluster.membership_state(2),
            MembershipState::Voting,
            "seed {seed}"
        );
        cluster.lose(1);
        cluster.must_read(2);
        cluster.must_write(newcomer);
    }
}

#[test]
fn a_change_leaves_the_former_newcomer_time_to_install_and_no_more_than_that() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::first_start(seed, 5, 5);
        cluster.is_writing = false;
        cluster.run(4_000);
        cluster.must_write(0);
        let number = cluster.newest_set().number;
        cluster.lose(4);
        let newcomer = cluster.add_newcomer();
        let mut waited = 0;
        while cluster.newest_set().number == number {
            cluster.run(1);
            waited += 1;
            assert!(
                waited < 3 * REPLACEMENT_TIMEOUT_MS,
                "seed {seed}: no place was given"
            );
        }
        // The next controller hears from the new member, which cannot receive copies.
        cluster.isolate(newcomer);
        cluster.join(newcomer, 3);
        cluster.wipe(3);
        cluster.boot(3);
        cluster.run(REPLACEMENT_TIMEOUT_MS * 3 / 4);
        assert_eq!(
            cluster.newest_set().number,
            number + 1,
            "seed {seed}: too early"
        );
        cluster.run(REPLACEMENT_TIMEOUT_MS);
        assert_eq!(
            cluster.newest_set().number,
            number + 2,
            "seed {seed}: blocked"
        );
        cluster.rejoin(newcomer);
        cluster.until(2_000, SimulatedCluster::has_all_members);
        cluster.lose(0);
        cluster.lose(1);
        cluster.must_read(newcomer);
        cluster.must_write(3);
    }
}

#[test]
fn a_leaving_member_waits_for_a_newcomer_that_is_heard_and_has_not_installed_yet() {
    for seed in SEEDS {
        let (mut cluster, newcomer) = replaced_holder(seed);
        cluster.nodes[newcomer].folder.inject(FaultKind::Full);
        cluster.cuts.clear();
        cluster.run(2 * REPLACEMENT_TIMEOUT_MS);
        assert_eq!(
            cluster.membership_state(2),
            MembershipState::Leaving,
            "seed {seed}"
        );
        cluster.lose(0);
        cluster.nodes[newcomer].folder.inject(FaultKind::Room);
        cluster.reopen(newcomer);
        let took = cluster.until(3_000, |cluster| {
            cluster.nodes[newcomer].set_version() >= SetVersion::new(1, 2)
        });
        assert!(took.is_some(), "seed {seed}: the newcomer installs nothing");
        cluster.must_read(newcomer);
        cluster.must_write(1);
    }
}
