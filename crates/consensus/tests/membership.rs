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
fn replaced_member(seed: u64) -> (SimulatedCluster, usize) {
    let mut cluster = SimulatedCluster::idle(seed, 3);
    cluster.partition(0, 1);
    cluster.partition(1, 2);
    cluster.must_write(0);
    cluster.isolate(2);
    let new_member = cluster.add_empty_machine();
    cluster.partition(new_member, 2);
    let mut waited = 0;
    while cluster.newest_set().number < 2 {
        cluster.run(1);
        waited += 1;
        assert!(
            waited < 3 * REPLACEMENT_TIMEOUT_MS,
            "seed {seed}: no set change was committed"
        );
    }
    assert_eq!(
        cluster.nodes[new_member].set_version(),
        SetVersion::new(0, 0),
        "the new member must still be empty"
    );
    (cluster, new_member)
}

#[test]
fn a_leaving_member_keeps_the_only_copy_until_the_new_member_has_it() {
    for seed in SEEDS {
        let (mut cluster, new_member) = replaced_member(seed);
        // Member 1 learns the new set. Then 0 is lost, so that only 2 holds the value.
        cluster.run_until(1_000, |cluster| {
            cluster.nodes[1].set_version() == SetVersion::new(1, 2)
        });
        cluster.remove_machine(0);
        cluster.isolate(new_member);
        cluster.reconnect(1, 2);
        cluster.run(4 * REPLACEMENT_TIMEOUT_MS);
        let kept = cluster.nodes[2].voter_set().map(|set| set.version());
        assert_eq!(
            kept,
            Some(SetVersion::new(1, 2)),
            "seed {seed}: the copy of member 2 is gone"
        );
        assert_eq!(cluster.membership_state(2), MembershipState::Leaving);
        cluster.reconnect_all(new_member);
        let elapsed = cluster.run_until(3_000, |cluster| {
            cluster.nodes[new_member].set_version() >= SetVersion::new(1, 2)
        });
        assert!(
            elapsed.is_some(),
            "seed {seed}: the new member did not install"
        );
        cluster.must_read(new_member);
        cluster.must_read(1);
        cluster.must_write(1);
    }
}

#[test]
fn a_restarted_new_member_still_knows_which_copies_are_sufficient() {
    for seed in SEEDS {
        let (mut cluster, new_member) = replaced_member(seed);
        cluster.run_until(1_000, |cluster| {
            cluster.nodes[1].set_version() == SetVersion::new(1, 2)
        });
        cluster.remove_machine(0);
        cluster.kill(new_member);
        cluster.boot(new_member);
        cluster.reconnect(1, 2);
        cluster.reconnect(2, new_member);
        let elapsed = cluster.run_until(3_000, |cluster| {
            cluster.nodes[new_member].set_version() >= SetVersion::new(1, 2)
        });
        assert!(
            elapsed.is_some(),
            "seed {seed}: the new member did not install"
        );
        cluster.must_read(new_member);
    }
}

#[test]
fn a_set_that_a_failed_disk_has_only_in_memory_is_not_installed() {
    for seed in SEEDS {
        let (mut cluster, new_member) = replaced_member(seed);
        cluster.isolate(new_member);
        cluster.nodes[0].folder.inject(FaultKind::Full);
        cluster.reconnect(0, 1);
        cluster.run(1_000);
        cluster.reconnect(0, 2);
        cluster.reconnect(1, 2);
        cluster.run(4 * REPLACEMENT_TIMEOUT_MS);
        let kept = cluster.nodes[2].voter_set().map(|set| set.version());
        assert_eq!(
            kept,
            Some(SetVersion::new(1, 2)),
            "seed {seed}: the copy of member 2 is gone"
        );
        cluster.remove_machine(0);
        cluster.reconnect_all(new_member);
        cluster.run(3_000);
        cluster.must_read(new_member);
    }
}

#[test]
fn the_next_change_waits_until_a_majority_has_installed_the_previous_one() {
    for seed in SEEDS {
        let (mut cluster, new_member) = replaced_member(seed);
        cluster.reconnect(0, 1);
        cluster.run_until(1_000, |cluster| {
            cluster.nodes[0].set_version() == SetVersion::new(1, 2)
        });
        // In the new set {0, 1, new member}, 1 is lost permanently and the new member cannot copy from 0.
        cluster.remove_machine(1);
        cluster.run(1_000);
        cluster.set_proposals.clear();
        let second = cluster.add_empty_machine();
        cluster.partition(second, 2);
        cluster.run(4 * REPLACEMENT_TIMEOUT_MS);
        assert_eq!(
            cluster.newest_set().number,
            2,
            "seed {seed}: the set changed without a majority"
        );
        let is_proposed_early = cluster
            .set_proposals
            .iter()
            .any(|(_, from)| *from == second);
        assert!(
            !is_proposed_early,
            "seed {seed}: a change was proposed before the previous one was installed"
        );
        cluster.reconnect_all(2);
        let elapsed = cluster.run_until(8_000, |cluster| {
            cluster.nodes[second].set_version() >= SetVersion::new(1, 3)
        });
        assert!(
            elapsed.is_some(),
            "seed {seed}: the second new member did not install"
        );
        cluster.must_read(second);
        cluster.must_read(new_member);
        cluster.remove_machine(0);
        cluster.must_read(second);
        cluster.must_write(second);
    }
}

#[test]
fn two_joining_controllers_replace_lost_members_one_after_the_other() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.must_write(0);
        cluster.remove_machine(2);
        let new_members = [cluster.add_empty_machine(), cluster.add_empty_machine()];
        cluster.run(3 * REPLACEMENT_TIMEOUT_MS);
        let set = cluster.newest_set();
        assert_eq!((set.number, set.voters.len()), (2, 3), "seed {seed}");
        let voting = new_members.map(|index| cluster.membership_state(index));
        assert!(
            voting.contains(&MembershipState::Voting) && voting.contains(&MembershipState::Joining)
        );
        cluster.remove_machine(1);
        cluster.run(3 * REPLACEMENT_TIMEOUT_MS);
        assert_eq!(cluster.newest_set().number, 3, "seed {seed}");
        for new_member in new_members {
            assert_eq!(
                cluster.membership_state(new_member),
                MembershipState::Voting
            );
            cluster.must_read(new_member);
        }
        cluster.must_write(0);
    }
}

#[test]
fn concurrent_replacements_are_made_one_after_the_other() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::first_start(seed, 5, 5);
        cluster.is_writing = false;
        cluster.run(4_000);
        assert_eq!(cluster.newest_set().voters.len(), 5, "seed {seed}");
        cluster.must_write(0);
        cluster.remove_machine(4);
        let new_member = cluster.add_empty_machine();
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
        cluster.remove_machine(0);
        cluster.remove_machine(1);
        cluster.must_read(new_member);
        cluster.must_write(2);
    }
}

#[test]
fn three_voters_grow_to_five_despite_losses() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::first_start(seed, 3, 5);
        cluster.is_writing = false;
        cluster.run(1_500);
        cluster.must_write(0);
        cluster.add_empty_machine();
        let second = cluster.add_empty_machine();
        cluster.run_until(4_000, |cluster| cluster.newest_set().voters.len() == 4);
        let lost = (seed % 3) as usize;
        let has_all_members = cluster.run_until(4_000, SimulatedCluster::has_all_members);
        assert!(has_all_members.is_some(), "seed {seed}");
        cluster.remove_machine(lost);
        let third = cluster.add_empty_machine();
        let elapsed = cluster.run_until(8 * REPLACEMENT_TIMEOUT_MS, |cluster| {
            cluster.has_all_members() && cluster.newest_set().voters.len() == 5
        });
        assert!(elapsed.is_some(), "seed {seed}: {:?}", cluster.newest_set());
        cluster.must_read(third);
        cluster.remove_machine((lost + 1) % 3);
        cluster.remove_machine(second);
        cluster.must_read(third);
        cluster.must_write((lost + 2) % 3);
    }
}

#[test]
fn a_replaced_controller_rejoins_without_a_restart() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::idle(seed, 3);
        cluster.must_write(0);
        let (incarnation, disk) = (cluster.nodes[2].incarnation, cluster.nodes[2].disk);
        cluster.isolate(2);
        let new_member = cluster.add_empty_machine();
        cluster.partition(2, new_member);
        cluster.run_until(3 * REPLACEMENT_TIMEOUT_MS, |cluster| {
            cluster.nodes[new_member].set_version() == SetVersion::new(1, 2)
        });
        cluster.reconnect_all(2);
        cluster.run(3_000);
        assert_eq!(
            cluster.nodes[2].incarnation, incarnation,
            "seed {seed}: the process was restarted"
        );
        assert_ne!(
            cluster.nodes[2].disk, disk,
            "seed {seed}: the disk kept its identity"
        );
        assert_eq!(cluster.membership_state(2), MembershipState::Joining);
        cluster.remove_machine(0);
        cluster.run(3 * REPLACEMENT_TIMEOUT_MS);
        assert_eq!(
            cluster.membership_state(2),
            MembershipState::Voting,
            "seed {seed}"
        );
        cluster.remove_machine(1);
        cluster.must_read(2);
        cluster.must_write(new_member);
    }
}

#[test]
fn the_wait_for_a_new_member_to_install_is_bounded() {
    for seed in SEEDS {
        let mut cluster = SimulatedCluster::first_start(seed, 5, 5);
        cluster.is_writing = false;
        cluster.run(4_000);
        cluster.must_write(0);
        let number = cluster.newest_set().number;
        cluster.remove_machine(4);
        let new_member = cluster.add_empty_machine();
        let mut waited = 0;
        while cluster.newest_set().number == number {
            cluster.run(1);
            waited += 1;
            assert!(
                waited < 3 * REPLACEMENT_TIMEOUT_MS,
                "seed {seed}: no set change was committed"
            );
        }
        // The next controller hears from the new member, which cannot receive copies.
        cluster.isolate(new_member);
        cluster.reconnect(new_member, 3);
        cluster.wipe(3);
        cluster.boot(3);
        cluster.run(REPLACEMENT_TIMEOUT_MS * 3 / 4);
        assert_eq!(
            cluster.newest_set().number,
            number + 1,
            "seed {seed}: the next change came too early"
        );
        cluster.run(REPLACEMENT_TIMEOUT_MS);
        assert_eq!(
            cluster.newest_set().number,
            number + 2,
            "seed {seed}: the next change is blocked"
        );
        cluster.reconnect_all(new_member);
        cluster.run_until(2_000, SimulatedCluster::has_all_members);
        cluster.remove_machine(0);
        cluster.remove_machine(1);
        cluster.must_read(new_member);
        cluster.must_write(3);
    }
}

#[test]
fn a_leaving_member_waits_for_a_live_member_that_has_not_installed_yet() {
    for seed in SEEDS {
        let (mut cluster, new_member) = replaced_member(seed);
        cluster.nodes[new_member].folder.inject(FaultKind::Full);
        cluster.cut_links.clear();
        cluster.run(2 * REPLACEMENT_TIMEOUT_MS);
        assert_eq!(
            cluster.membership_state(2),
            MembershipState::Leaving,
            "seed {seed}"
        );
        cluster.remove_machine(0);
        cluster.nodes[new_member]
            .folder
            .inject(FaultKind::SpaceFreed);
        cluster.reopen(new_member);
        let elapsed = cluster.run_until(3_000, |cluster| {
            cluster.nodes[new_member].set_version() >= SetVersion::new(1, 2)
        });
        assert!(
            elapsed.is_some(),
            "seed {seed}: the new member did not install"
        );
        cluster.must_read(new_member);
        cluster.must_write(1);
    }
}
