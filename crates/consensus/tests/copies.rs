//! Values come to all controllers with few bytes, and last through the loss of a disk.

#[allow(dead_code)]
mod world;

use consensus::{ConsensusAction, CONFIGURATION_KEY};
use journal::FaultKind;
use rand::Rng;
use register::{ChangeOutcome, SetVersion};
use world::World;

fn started(seed: u64, count: usize) -> World {
    let mut world = World::first_start(seed, count, 3);
    world.is_writing = false;
    world.run(1_500);
    world
}

fn known(world: &World, place: usize) -> u64 {
    let consensus = world.nodes[place].consensus.as_ref().unwrap();
    consensus
        .committed(CONFIGURATION_KEY)
        .map_or(0, |(version, _)| version)
}

fn write(world: &mut World, place: usize) {
    let newest = world.oracle.newest(CONFIGURATION_KEY);
    for _ in 0..10 {
        world.change(place, CONFIGURATION_KEY, true);
        world.run(150);
        if world.oracle.newest(CONFIGURATION_KEY) > newest {
            return;
        }
    }
    panic!("no write went through");
}

#[test]
fn a_newcomer_installs_what_only_one_of_the_others_holds() {
    for seed in 0..150 {
        let mut world = started(seed, 3);
        world.part(0, 2);
        world.part(1, 2);
        write(&mut world, 0);
        // The third controller lacks the value, and can learn it from none but the one that lost its disk.
        world.wipe(1);
        world.join(1, 2);
        world.boot(1);
        let span = world.random.random_range(0..400);
        world.run(span);
        world.part(0, 1);
        world.run(1_000);
        for place in [1, 2] {
            world.change(place, CONFIGURATION_KEY, false);
        }
        world.run(2_000);
        world.cuts.clear();
        world.run(2_000);
        for place in 0..3 {
            assert_eq!(known(&world, place), 1, "seed {seed}");
        }
    }
}

#[test]
fn a_value_comes_to_all_controllers_in_one_heartbeat_and_travels_once_to_each() {
    for seed in 0..10 {
        let mut world = started(seed, 4);
        let before = world.bytes;
        let bytes = vec![7; 1 << 20];
        let token = world
            .oracle
            .ask(CONFIGURATION_KEY, Some((0, bytes.clone())));
        let local = world.nodes[0].clock(world.now);
        let consensus = world.nodes[0].consensus.as_mut().unwrap();
        consensus.write(local, token, CONFIGURATION_KEY, 0, bytes);
        world.drain(0);
        world.run(150);
        assert_eq!(world.oracle.writes, 1, "seed {seed}");
        for place in 0..4 {
            assert_eq!(known(&world, place), 1, "seed {seed}");
        }
        let travelled = (world.bytes - before) >> 20;
        let is_voter = world.nodes[0].set_version().epoch > 0;
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
        let mut world = started(seed, 3);
        let bytes = vec![7; 1 << 20];
        let token = world
            .oracle
            .ask(CONFIGURATION_KEY, Some((0, bytes.clone())));
        let local = world.nodes[1].clock(world.now);
        let consensus = world.nodes[1].consensus.as_mut().unwrap();
        consensus.write(local, token, CONFIGURATION_KEY, 0, bytes);
        world.drain(1);
        world.run(500);
        for place in 0..3 {
            world.kill(place);
        }
        let before = world.bytes;
        for place in 0..3 {
            world.boot(place);
        }
        let took = world.until(2_000, |world| (0..3).all(|place| known(world, place) == 1));
        assert!(took.is_some_and(|took| took < 400), "seed {seed}: {took:?}");
        let travelled = world.bytes - before;
        assert!(
            travelled < 1 << 16,
            "seed {seed}: {travelled} bytes travelled"
        );
    }
}

fn voter_version(world: &World, place: usize) -> u64 {
    let voter = world.nodes[place].voter.as_ref().unwrap();
    let held = voter.voter().acceptor().register(CONFIGURATION_KEY);
    held.map_or(0, |held| held.value.version)
}

#[test]
fn a_controller_whose_voter_lags_is_mended() {
    let mut world = started(3, 3);
    world.part(0, 2);
    world.part(1, 2);
    write(&mut world, 0);
    world.cuts.clear();
    world.run(1_000);
    let voter = world.nodes[2].voter.as_ref().unwrap().voter();
    let held = voter.acceptor().register(CONFIGURATION_KEY).unwrap();
    assert_eq!(held.value.version, 1);
}

/// It read the value at the others before it heard their heartbeats, so it lacks nothing but its own copy.
#[test]
fn a_controller_that_knows_a_value_which_its_voter_lacks_is_mended() {
    for seed in 0..20 {
        let mut world = started(seed, 3);
        world.part(0, 2);
        world.part(1, 2);
        write(&mut world, 0);
        let stored = world.nodes[0].consensus.as_ref().unwrap();
        let (version, bytes) = stored.committed(CONFIGURATION_KEY).unwrap();
        let told = register::VersionedValue {
            version,
            tag: 1,
            bytes: bytes.to_vec(),
        };
        // It comes from a controller that is no voter, and so without the ballot under which it was accepted.
        let message = consensus::ConsensusMessage::Value {
            key: CONFIGURATION_KEY.into(),
            ballot: register::Ballot::default(),
            value: told,
        };
        let local = world.nodes[2].clock(world.now);
        let consensus = world.nodes[2].consensus.as_mut().unwrap();
        consensus.on_message(local, "at-0", message);
        world.drain(2);
        assert_eq!((known(&world, 2), voter_version(&world, 2)), (1, 0));
        world.cuts.clear();
        world.run(9_000);
        assert_eq!(voter_version(&world, 2), 1, "seed {seed}");
    }
}

#[test]
fn a_controller_takes_no_more_than_so_many_changes_at_once() {
    let mut world = started(5, 3);
    world.part(0, 1);
    world.part(0, 2);
    let local = world.nodes[0].clock(world.now);
    let consensus = world.nodes[0].consensus.as_mut().unwrap();
    for token in 0..65 {
        consensus.read(local, token, CONFIGURATION_KEY);
    }
    let done = |action: ConsensusAction| match action {
        ConsensusAction::RequestCompleted { token, outcome } => Some((token, outcome)),
        _ => None,
    };
    let ended: Vec<(u64, ChangeOutcome)> = consensus
        .take_actions()
        .into_iter()
        .filter_map(done)
        .collect();
    let refused = ChangeOutcome::NoQuorum("too many changes at once".into());
    assert_eq!(ended, vec![(64, refused)]);
    consensus.tick(local + 1_600);
    let ended: Vec<(u64, ChangeOutcome)> = consensus
        .take_actions()
        .into_iter()
        .filter_map(done)
        .collect();
    assert_eq!(ended.len(), 64);
}

#[test]
fn a_member_that_was_replaced_comes_back_as_a_newcomer() {
    let mut world = started(6, 3);
    write(&mut world, 0);
    world.kill(2);
    let seeds = vec!["at-0".to_string(), "at-2".to_string()];
    let newcomer = world.add(seeds, false);
    let took = world.until(6_000, |world| {
        world.nodes[newcomer].set_version() == SetVersion::new(1, 2)
    });
    assert!(took.is_some(), "it got no place");
    let old = world.nodes[2].disk;
    world.boot(2);
    world.run(3_000);
    let node = &world.nodes[2];
    assert!(
        node.disk != old && node.set_version() == SetVersion::new(0, 0),
        "it kept its state"
    );
    assert_eq!(known(&world, 2), 1);
    let controllers = node.consensus.as_ref().unwrap().known_controllers();
    assert_eq!(controllers, ["at-0", "at-1", "at-2", "at-3"]);
}

#[test]
fn a_controller_whose_disk_failed_counts_again_once_it_was_opened_anew() {
    let mut world = started(7, 3);
    world.nodes[2].folder.inject(FaultKind::Full);
    write(&mut world, 0);
    assert!(!world.nodes[2].voter.as_ref().unwrap().voter().is_open());
    world.nodes[2].folder.inject(FaultKind::Room);
    world.reopen(2);
    world.kill(1);
    write(&mut world, 0);
    write(&mut world, 2);
    assert_eq!(world.oracle.newest(CONFIGURATION_KEY), 3);
}
