//! Seeded runs in which machines and disks come, go, move and return while messages are lost. One copy is
//! lost at a time, two of five; whatever was acknowledged is read by all controllers in the end.

#[allow(dead_code)]
mod world;

use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use rand::Rng;
use world::{Event, World};

const ROUNDS: usize = 8;
const MACHINES_MAX: usize = 14;

fn any(world: &mut World) -> usize {
    let live: Vec<usize> = (0..world.nodes.len())
        .filter(|place| !world.nodes[*place].is_gone)
        .collect();
    live[world.random.random_range(0..live.len())]
}

/// How many copies may be lost now.
fn spare_copies(world: &World) -> usize {
    if !world.is_whole() {
        return 0;
    }
    (world.newest_set().voters.len() - 1) / 2
}

/// A machine is lost for good, with a new one in its place.
fn replace(world: &mut World) {
    let place = any(world);
    world.lose(place);
    if world.nodes.len() < MACHINES_MAX {
        world.add_newcomer();
    }
}

/// A disk is lost, and the controller comes back empty under its old name.
fn wipe(world: &mut World) {
    let place = any(world);
    world.wipe(place);
    let delay = world.random.random_range(10..2_500);
    world.later(delay, Event::Boot(place));
}

/// A machine that was taken for lost comes back with its old disk.
fn bring_back(world: &mut World) {
    let gone = (0..world.nodes.len()).find(|place| {
        let node = &world.nodes[*place];
        node.is_gone && !world.moved.contains(place)
    });
    if let Some(place) = gone {
        world.bring_back(place);
    }
}

/// A disk is carried over to a machine at another address.
fn carry_over(world: &mut World) {
    let place = any(world);
    if world.nodes.len() < MACHINES_MAX && world.nodes[place].consensus.is_some() {
        world.move_disk(place);
    }
}

/// A controller is cut off for long enough that another takes its place.
fn cut_off_for_long(world: &mut World) {
    let place = any(world);
    world.isolate(place);
    let span = world.random.random_range(2_000..6_000);
    world.run(span);
    world.rejoin(place);
}

fn restart(world: &mut World) {
    let place = any(world);
    world.kill(place);
    let delay = world.random.random_range(10..3_000);
    world.later(delay, Event::Boot(place));
}

fn befall(world: &mut World) {
    let spare = spare_copies(world);
    match world.random.random_range(0..10) {
        0 | 1 if spare > 0 => replace(world),
        2 if spare > 0 => wipe(world),
        3 if spare > 1 => {
            replace(world);
            wipe(world);
        }
        4 | 5 => cut_off_for_long(world),
        6 => carry_over(world),
        7 => bring_back(world),
        _ => restart(world),
    }
}

fn read_back(world: &mut World, seed: u64) {
    world.is_writing = false;
    world.run(2_000);
    for place in 0..world.nodes.len() {
        // Who knows no set, and whose every seed is gone, has nobody to ask.
        if world.nodes[place].consensus.is_none() || world.is_lost(place) {
            continue;
        }
        for key in [CONFIGURATION_KEY, EVACUATIONS_KEY] {
            let reads = world.oracle.reads;
            world.change(place, key, false);
            world.run(400);
            assert!(
                world.oracle.reads > reads,
                "seed {seed}: controller {place} reads nothing of {key}; {}",
                world.describe()
            );
        }
    }
}

fn run(seed: u64, count: usize, wanted: usize) -> usize {
    let mut world = World::first_start(seed, count, wanted);
    world.run(1_500);
    for _ in 0..ROUNDS {
        world.loss = [0.0, 0.02, 0.1][world.random.random_range(0..3)];
        befall(&mut world);
        let span = world.random.random_range(100..2_500);
        world.run(span);
        if world.random.random_bool(0.5) {
            world.heal();
            world.until(8_000, World::is_whole);
        }
    }
    world.heal();
    world.run(8_000);
    let since = world.now;
    world.run(3_000);
    assert!(
        world.oracle.last_write_at > since,
        "seed {seed}: no majority came back; {}",
        world.describe()
    );
    read_back(&mut world, seed);
    world.oracle.writes
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
