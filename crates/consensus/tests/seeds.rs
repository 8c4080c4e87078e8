//! Seeded runs of controllers under troubles of all kinds. What was acknowledged lasts, one controller at most holds
//! the duty at any time, and all is well again soon after the last trouble.

#[allow(dead_code)]
mod world;

use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use rand::Rng;
use world::World;

fn is_well(world: &World, since: u64) -> bool {
    let holders = world
        .nodes
        .iter()
        .filter(|node| node.term(world.now).is_some());
    holders.count() == 1 && world.oracle.last_write_at > since
}

fn run(seed: u64, count: usize, wanted: usize) -> (usize, usize) {
    let mut world = World::first_start(seed, count, wanted);
    world.run(1_500);
    assert!(
        is_well(&world, 0),
        "seed {seed}: no holder or no writes after the start"
    );
    for _ in 0..8 {
        world.loss = [0.0, 0.0, 0.05, 0.3][world.random.random_range(0..4)];
        for _ in 0..world.random.random_range(1..4) {
            world.befall();
        }
        let span = world.random.random_range(100..3_000);
        world.run(span);
        if world.random.random_bool(0.5) {
            world.heal();
            world.run(1_000);
        }
    }
    world.heal();
    let since = world.now;
    world.run(6_000);
    assert!(
        is_well(&world, since + 4_000),
        "seed {seed}: not well again"
    );
    read_back(&mut world, seed);
    (world.oracle.writes, world.oracle.reads)
}

fn read_back(world: &mut World, seed: u64) {
    world.is_writing = false;
    world.run(2_000);
    for place in 0..world.nodes.len() {
        for key in [CONFIGURATION_KEY, EVACUATIONS_KEY] {
            let Some(consensus) = world.nodes[place].consensus.as_ref() else {
                continue;
            };
            let known = consensus.committed(key).map_or(0, |(version, _)| version);
            let newest = world.oracle.newest(key);
            assert!(
                known >= newest,
                "seed {seed}: controller {place} lags behind at {key}"
            );
            let reads = world.oracle.reads;
            world.change(place, key, false);
            world.run(100);
            assert!(
                world.oracle.reads > reads,
                "seed {seed}: controller {place} reads nothing"
            );
        }
    }
}

fn run_all(seeds: std::ops::Range<u64>, count: usize, wanted: usize) {
    let (mut writes, mut reads) = (0, 0);
    for seed in seeds {
        let (more_writes, more_reads) = run(seed, count, wanted);
        writes += more_writes;
        reads += more_reads;
    }
    assert!(
        writes > 5_000 && reads > 5_000,
        "{writes} writes, {reads} reads"
    );
}

#[test]
fn three_controllers_keep_what_they_acknowledged() {
    run_all(0..160, 3, 3);
}

#[test]
fn five_controllers_keep_what_they_acknowledged() {
    run_all(1_000..1_040, 5, 5);
}

#[test]
fn three_voters_and_a_spare_controller_keep_what_they_acknowledged() {
    run_all(2_000..2_040, 4, 3);
}

/// All lose power at once, and as many disks are lost as five voters bear.
#[test]
fn five_voters_bear_the_loss_of_two_disks_while_all_lose_power() {
    for seed in 0..40 {
        let mut world = World::first_start(seed, 6, 5);
        world.run(2_500);
        assert!(is_well(&world, 0), "seed {seed}: not well after the start");
        let one = world.random.random_range(0..6);
        let other = (one + world.random.random_range(1..6)) % 6;
        for place in 0..6 {
            world.kill(place);
        }
        for place in [one, other] {
            world.wipe(place);
        }
        for place in 0..6 {
            world.boot(place);
        }
        let since = world.now;
        world.run(6_000);
        assert!(
            is_well(&world, since + 4_000),
            "seed {seed}: not well again without the disks of {one} and {other}"
        );
        read_back(&mut world, seed);
    }
}
