//! Changes of the set of voters with a loss right before, in the middle or after: what was acknowledged
//! lasts, and a majority comes back, as long as one copy is lost at a time.

#[allow(dead_code)]
mod world;

use consensus::MembershipState;
use journal::FaultKind;
use register::SetVersion;
use world::{World, PATIENCE};

const SEEDS: std::ops::Range<u64> = 0..12;

fn started(seed: u64) -> World {
    let mut world = World::first_start(seed, 3, 3);
    world.is_writing = false;
    world.run(1_500);
    world
}

fn membership(world: &World, place: usize) -> MembershipState {
    world.nodes[place]
        .consensus
        .as_ref()
        .unwrap()
        .membership_state()
}

/// Settles a value that members 0 and 2 alone hold, cuts 2 off, and lets a newcomer take its place by
/// the votes of 0 and 1. Returns when that is settled and the newcomer holds nothing yet.
fn replaced_holder(seed: u64) -> (World, usize) {
    let mut world = started(seed);
    world.part(0, 1);
    world.part(1, 2);
    world.must_write(0);
    world.isolate(2);
    let newcomer = world.add_newcomer();
    world.part(newcomer, 2);
    let mut waited = 0;
    while world.newest_set().number < 2 {
        world.run(1);
        waited += 1;
        assert!(waited < 3 * PATIENCE, "seed {seed}: no place was given");
    }
    assert_eq!(
        world.nodes[newcomer].set_version(),
        SetVersion::new(0, 0),
        "it must be empty yet"
    );
    (world, newcomer)
}

#[test]
fn a_leaving_member_keeps_the_only_copy_until_the_newcomer_has_it() {
    for seed in SEEDS {
        let (mut world, newcomer) = replaced_holder(seed);
        // Member 1 learns of the new set; then 0 is lost, and nobody but 2 has the value.
        world.until(1_000, |world| {
            world.nodes[1].set_version() == SetVersion::new(1, 2)
        });
        world.lose(0);
        world.isolate(newcomer);
        world.join(1, 2);
        world.run(4 * PATIENCE);
        let kept = world.nodes[2].voter_set().map(|set| set.version());
        assert_eq!(
            kept,
            Some(SetVersion::new(1, 2)),
            "seed {seed}: its copy is gone"
        );
        assert_eq!(membership(&world, 2), MembershipState::Leaving);
        world.rejoin(newcomer);
        let took = world.until(3_000, |world| {
            world.nodes[newcomer].set_version() >= SetVersion::new(1, 2)
        });
        assert!(took.is_some(), "seed {seed}: the newcomer installs nothing");
        world.must_read(newcomer);
        world.must_read(1);
        world.must_write(1);
    }
}

#[test]
fn a_newcomer_that_restarts_still_knows_whose_copies_are_enough() {
    for seed in SEEDS {
        let (mut world, newcomer) = replaced_holder(seed);
        world.until(1_000, |world| {
            world.nodes[1].set_version() == SetVersion::new(1, 2)
        });
        world.lose(0);
        world.kill(newcomer);
        world.boot(newcomer);
        world.join(1, 2);
        world.join(2, newcomer);
        let took = world.until(3_000, |world| {
            world.nodes[newcomer].set_version() >= SetVersion::new(1, 2)
        });
        assert!(took.is_some(), "seed {seed}: the newcomer installs nothing");
        world.must_read(newcomer);
    }
}

#[test]
fn a_set_that_a_failed_disk_took_in_memory_alone_is_not_installed() {
    for seed in SEEDS {
        let (mut world, newcomer) = replaced_holder(seed);
        world.isolate(newcomer);
        world.nodes[0].folder.inject(FaultKind::Full);
        world.join(0, 1);
        world.run(1_000);
        world.join(0, 2);
        world.join(1, 2);
        world.run(4 * PATIENCE);
        let kept = world.nodes[2].voter_set().map(|set| set.version());
        assert_eq!(
            kept,
            Some(SetVersion::new(1, 2)),
            "seed {seed}: its copy is gone"
        );
        world.lose(0);
        world.rejoin(newcomer);
        world.run(3_000);
        world.must_read(newcomer);
    }
}

#[test]
fn the_next_change_waits_until_a_majority_has_installed_the_former() {
    for seed in SEEDS {
        let (mut world, newcomer) = replaced_holder(seed);
        world.join(0, 1);
        world.until(1_000, |world| {
            world.nodes[0].set_version() == SetVersion::new(1, 2)
        });
        // Of the new set {0, 1, newcomer}, 1 is gone for good and the newcomer is kept from copies of 0.
        world.lose(1);
        world.run(1_000);
        world.set_proposals.clear();
        let second = world.add_newcomer();
        world.part(second, 2);
        world.run(4 * PATIENCE);
        assert_eq!(
            world.newest_set().number,
            2,
            "seed {seed}: changed without a majority"
        );
        let early = world.set_proposals.iter().any(|(_, from)| *from == second);
        assert!(
            !early,
            "seed {seed}: asked for a change before the former was installed"
        );
        world.rejoin(2);
        let took = world.until(8_000, |world| {
            world.nodes[second].set_version() >= SetVersion::new(1, 3)
        });
        assert!(
            took.is_some(),
            "seed {seed}: the second newcomer got no place"
        );
        world.must_read(second);
        world.must_read(newcomer);
        world.lose(0);
        world.must_read(second);
        world.must_write(second);
    }
}

#[test]
fn of_two_newcomers_one_gets_the_place_and_the_other_the_next() {
    for seed in SEEDS {
        let mut world = started(seed);
        world.must_write(0);
        world.lose(2);
        let newcomers = [world.add_newcomer(), world.add_newcomer()];
        world.run(3 * PATIENCE);
        let set = world.newest_set();
        assert_eq!((set.number, set.voters.len()), (2, 3), "seed {seed}");
        let voting = newcomers.map(|place| membership(&world, place));
        assert!(
            voting.contains(&MembershipState::Voting) && voting.contains(&MembershipState::Joining)
        );
        world.lose(1);
        world.run(3 * PATIENCE);
        assert_eq!(world.newest_set().number, 3, "seed {seed}");
        for newcomer in newcomers {
            assert_eq!(membership(&world, newcomer), MembershipState::Voting);
            world.must_read(newcomer);
        }
        world.must_write(0);
    }
}

#[test]
fn a_planned_and_an_unplanned_replacement_at_once_are_made_one_after_the_other() {
    for seed in SEEDS {
        let mut world = World::first_start(seed, 5, 5);
        world.is_writing = false;
        world.run(4_000);
        assert_eq!(world.newest_set().voters.len(), 5, "seed {seed}");
        world.must_write(0);
        world.lose(4);
        let newcomer = world.add_newcomer();
        world.wipe(3);
        world.boot(3);
        world.run(4 * PATIENCE);
        assert!(world.is_whole(), "seed {seed}: {:?}", world.newest_set());
        world.must_write(3);
        // Two more losses may follow now.
        world.lose(0);
        world.lose(1);
        world.must_read(newcomer);
        world.must_write(2);
    }
}

#[test]
fn three_voters_grow_to_five_with_losses_in_between() {
    for seed in SEEDS {
        let mut world = World::first_start(seed, 3, 5);
        world.is_writing = false;
        world.run(1_500);
        world.must_write(0);
        world.add_newcomer();
        let second = world.add_newcomer();
        world.until(4_000, |world| world.newest_set().voters.len() == 4);
        let lost = (seed % 3) as usize;
        let is_whole = world.until(4_000, World::is_whole);
        assert!(is_whole.is_some(), "seed {seed}");
        world.lose(lost);
        let third = world.add_newcomer();
        let took = world.until(8 * PATIENCE, |world| {
            world.is_whole() && world.newest_set().voters.len() == 5
        });
        assert!(took.is_some(), "seed {seed}: {:?}", world.newest_set());
        world.must_read(third);
        world.lose((lost + 1) % 3);
        world.lose(second);
        world.must_read(third);
        world.must_write((lost + 2) % 3);
    }
}

#[test]
fn a_controller_rejoins_within_its_life_after_another_took_its_place() {
    for seed in SEEDS {
        let mut world = started(seed);
        world.must_write(0);
        let (incarnation, disk) = (world.nodes[2].incarnation, world.nodes[2].disk);
        world.isolate(2);
        let newcomer = world.add_newcomer();
        world.part(2, newcomer);
        world.until(3 * PATIENCE, |world| {
            world.nodes[newcomer].set_version() == SetVersion::new(1, 2)
        });
        world.rejoin(2);
        world.run(3_000);
        assert_eq!(
            world.nodes[2].incarnation, incarnation,
            "seed {seed}: its process ended"
        );
        assert_ne!(
            world.nodes[2].disk, disk,
            "seed {seed}: it kept its identity"
        );
        assert_eq!(membership(&world, 2), MembershipState::Joining);
        world.lose(0);
        world.run(3 * PATIENCE);
        assert_eq!(
            membership(&world, 2),
            MembershipState::Voting,
            "seed {seed}"
        );
        world.lose(1);
        world.must_read(2);
        world.must_write(newcomer);
    }
}

#[test]
fn an_old_disk_comes_back_after_several_changes_and_counts_for_nothing() {
    for seed in SEEDS {
        let mut world = started(seed);
        world.must_write(0);
        world.lose(2);
        world.add_newcomer();
        world.run(3 * PATIENCE);
        world.must_write(0);
        world.lose(1);
        let last = world.add_newcomer();
        world.run(3 * PATIENCE);
        assert_eq!(world.newest_set().number, 3, "seed {seed}");
        world.must_write(last);
        let disk = world.nodes[2].disk;
        world.bring_back(2);
        world.bring_back(1);
        world.run(4_000);
        assert_ne!(world.nodes[2].disk, disk, "seed {seed}");
        assert_eq!(
            membership(&world, 2),
            MembershipState::Joining,
            "seed {seed}"
        );
        world.must_read(2);
        world.must_read(1);
    }
}

#[test]
fn a_member_whose_disk_moved_to_another_address_goes_on_voting() {
    for seed in SEEDS {
        let mut world = started(seed);
        world.must_write(0);
        let moved = world.move_disk(2);
        world.run(1_000);
        assert_eq!(membership(&world, moved), MembershipState::Voting);
        let voters = world.newest_set().voters;
        assert_eq!(voters[2].address, format!("at-{moved}"), "seed {seed}");
        assert_eq!(voters[2].disk, world.nodes[moved].disk, "seed {seed}");
        world.lose(1);
        world.must_write(0);
        world.must_read(moved);
    }
}

#[test]
fn a_member_that_comes_back_empty_under_its_old_name_takes_its_own_place_at_once() {
    for seed in SEEDS {
        let mut world = started(seed);
        world.must_write(0);
        world.wipe(2);
        world.boot(2);
        let took = world.until(PATIENCE, |world| {
            world.nodes[2].set_version() == SetVersion::new(1, 2)
        });
        assert!(
            took.is_some_and(|took| took < 1_500),
            "seed {seed}: {took:?}"
        );
        world.wipe(1);
        world.boot(1);
        let took = world.until(PATIENCE, |world| {
            world.nodes[1].set_version() == SetVersion::new(1, 3)
        });
        assert!(
            took.is_some_and(|took| took < 1_500),
            "seed {seed}: {took:?}"
        );
        world.lose(0);
        world.must_read(2);
        world.must_write(1);
    }
}

#[test]
fn a_change_leaves_the_former_newcomer_time_to_install_and_no_more_than_that() {
    for seed in SEEDS {
        let mut world = World::first_start(seed, 5, 5);
        world.is_writing = false;
        world.run(4_000);
        world.must_write(0);
        let number = world.newest_set().number;
        world.lose(4);
        let newcomer = world.add_newcomer();
        let mut waited = 0;
        while world.newest_set().number == number {
            world.run(1);
            waited += 1;
            assert!(waited < 3 * PATIENCE, "seed {seed}: no place was given");
        }
        // The newcomer is heard by the next one, and gets no copies.
        world.isolate(newcomer);
        world.join(newcomer, 3);
        world.wipe(3);
        world.boot(3);
        world.run(PATIENCE * 3 / 4);
        assert_eq!(
            world.newest_set().number,
            number + 1,
            "seed {seed}: too early"
        );
        world.run(PATIENCE);
        assert_eq!(
            world.newest_set().number,
            number + 2,
            "seed {seed}: blocked"
        );
        world.rejoin(newcomer);
        world.until(2_000, World::is_whole);
        world.lose(0);
        world.lose(1);
        world.must_read(newcomer);
        world.must_write(3);
    }
}

#[test]
fn a_leaving_member_waits_for_a_newcomer_that_is_heard_and_has_not_installed_yet() {
    for seed in SEEDS {
        let (mut world, newcomer) = replaced_holder(seed);
        world.nodes[newcomer].folder.inject(FaultKind::Full);
        world.cuts.clear();
        world.run(2 * PATIENCE);
        assert_eq!(
            membership(&world, 2),
            MembershipState::Leaving,
            "seed {seed}"
        );
        world.lose(0);
        world.nodes[newcomer].folder.inject(FaultKind::Room);
        world.reopen(newcomer);
        let took = world.until(3_000, |world| {
            world.nodes[newcomer].set_version() >= SetVersion::new(1, 2)
        });
        assert!(took.is_some(), "seed {seed}: the newcomer installs nothing");
        world.must_read(newcomer);
        world.must_write(1);
    }
}
