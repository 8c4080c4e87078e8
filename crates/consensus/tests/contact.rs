//! A controller takes itself to be in contact only while a majority acknowledges its heartbeats, counted from their
//! sending; out of contact it passes for current nowhere.

#[allow(dead_code)]
mod world;

use consensus::{ContactLease, CONFIGURATION_KEY, EVACUATIONS_KEY};
use rand::Rng;
use register::{VoterRef, VoterSet};
use std::collections::VecDeque;
use world::{World, LEASE};

const SPAN: u64 = 1_000;
/// What is left of the span when clocks may run apart.
const LASTS: u64 = SPAN * 4 / 5;
const OWN: u64 = 1;
/// In this time a settled value comes from the controller that wrote it to all that it reaches.
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
    // The acknowledgement is on its way for long; the lease is as short as if it had come at once.
    lease.record_acknowledgement(2, 1);
    assert!(lease.is_held(100 + LASTS - 1, &set, OWN));
    assert!(!lease.is_held(100 + LASTS, &set, OWN));
}

#[test]
fn a_cut_of_either_way_ends_contact() {
    let set = set_of(&[OWN, 2, 3]);
    let mut lease = ContactLease::new(SPAN);
    for number in 1..=100 {
        lease.record_sent(number * 100, number);
        // From the tenth on nothing of this controller arrives, but it goes on hearing the others.
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

/// Newest acknowledged versions over time, so that what was settled some time ago is known.
struct Settled {
    since: VecDeque<(u64, [u64; 2])>,
}

const REQUIRED_KEYS: [&str; 2] = [CONFIGURATION_KEY, EVACUATIONS_KEY];

impl Settled {
    fn new() -> Self {
        Self {
            since: VecDeque::from([(0, [0, 0])]),
        }
    }

    fn note(&mut self, world: &World) {
        let newest = REQUIRED_KEYS.map(|key| world.oracle.newest(key));
        self.since.push_back((world.now, newest));
        while self.since.len() > 1 && self.since[1].0 + LEASE + SPREAD <= world.now {
            self.since.pop_front();
        }
    }

    /// No controller that passes for current knows less than what was acknowledged a lease ago.
    fn look(&self, world: &World, seed: u64) {
        let (_, floor) = self.since[0];
        for (place, node) in world.nodes.iter().enumerate() {
            if !node.is_current(world.now) {
                continue;
            }
            for (key, floor) in REQUIRED_KEYS.iter().zip(floor) {
                let known = node.settled(key);
                assert!(
                    known >= floor,
                    "seed {seed}: at {} controller {place} passes for current with {key} {known}, and {floor} is settled",
                    world.now
                );
            }
        }
    }

    fn run(&mut self, world: &mut World, span: u64, seed: u64) {
        let end = world.now + span;
        while world.now < end {
            world.run(10);
            self.note(world);
            self.look(world, seed);
        }
    }
}

fn started(seed: u64, count: usize) -> World {
    let mut world = World::first_start(seed, count, 3);
    world.run(2_000);
    let nodes = world.nodes.iter();
    let current = nodes.filter(|node| node.is_current(world.now)).count();
    assert_eq!(
        current, count,
        "seed {seed}: not all are current after the start"
    );
    world
}

#[test]
fn a_controller_that_is_cut_off_for_twenty_seconds_passes_for_current_nowhere() {
    for seed in 0..30 {
        let mut world = started(seed, 3 + seed as usize % 2);
        let mut settled = Settled::new();
        let cut = world.random.random_range(0..world.nodes.len());
        let others: Vec<usize> = (0..world.nodes.len())
            .filter(|place| *place != cut)
            .collect();
        for other in &others {
            // A cut of one way alone is enough.
            if seed % 3 != 1 {
                world.cuts.insert((cut, *other));
            }
            if seed % 3 != 2 {
                world.cuts.insert((*other, cut));
            }
        }
        let began = world.now;
        let writes = world.oracle.writes;
        settled.run(&mut world, LEASE, seed);
        while world.now < began + 20_000 {
            settled.run(&mut world, 10, seed);
            assert!(!world.nodes[cut].is_current(world.now), "seed {seed}");
            for other in &others {
                assert!(world.nodes[*other].is_current(world.now), "seed {seed}");
            }
        }
        assert!(world.oracle.writes > writes + 50, "seed {seed}: no load");
        world.cuts.clear();
        let mut took = 0;
        while !world.nodes[cut].is_current(world.now) {
            settled.run(&mut world, 10, seed);
            took += 10;
            assert!(took < 1_000, "seed {seed}: not current again");
        }
        settled.run(&mut world, 1_000, seed);
    }
}

#[test]
fn a_controller_that_thaws_finds_its_contact_over_before_anything_else() {
    for seed in 0..30 {
        let mut world = started(seed, 3);
        world.nodes[0].is_frozen = true;
        world.run(LEASE + 10);
        assert!(!world.nodes[0].is_current(world.now), "seed {seed}");
        let mut settled = Settled::new();
        settled.run(&mut world, 3_000, seed);
        // Heartbeats that came while it was frozen acknowledge what it sent before.
        world.thaw(0);
        settled.run(&mut world, 2_000, seed);
        assert!(world.nodes[0].is_current(world.now), "seed {seed}");
    }
}

#[test]
fn no_controller_passes_for_current_with_old_values_whatever_befalls() {
    for seed in 0..60 {
        let mut world = World::first_start(seed, 4, 3);
        world.run(2_000);
        let mut settled = Settled::new();
        for _ in 0..12 {
            world.befall();
            let span = world.random.random_range(100..1_500);
            settled.run(&mut world, span, seed);
            if world.random.random_bool(0.3) {
                world.heal();
                settled.run(&mut world, 1_000, seed);
            }
        }
    }
}
