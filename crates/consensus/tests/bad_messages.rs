//! Messages that are told again, late, cut or garbled: no controller panics, and nothing that is settled moves back.

#[allow(dead_code)]
mod world;

use consensus::{Consensus, ConsensusMessage, CONFIGURATION_KEY, EVACUATIONS_KEY, SCALER_ROLE_KEY};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::VOTERS_KEY;
use speedy::{Readable, Writable};
use world::World;

const REQUIRED_KEYS: [&str; 4] = [
    CONFIGURATION_KEY,
    EVACUATIONS_KEY,
    SCALER_ROLE_KEY,
    VOTERS_KEY,
];

fn settled(consensus: &Consensus) -> Vec<u64> {
    let version = |key: &&str| consensus.committed(key).map_or(0, |(version, _)| version);
    REQUIRED_KEYS.iter().map(version).collect()
}

/// Changes some bytes of a message, or cuts it.
fn garbled(message: &ConsensusMessage, random: &mut StdRng) -> Option<ConsensusMessage> {
    let mut bytes = message.write_to_vec().ok()?;
    for _ in 0..random.random_range(1..4) {
        let place = random.random_range(0..bytes.len());
        bytes[place] = match random.random_range(0..4) {
            0 => 0,
            1 => u8::MAX,
            2 => bytes[place] ^ (1 << random.random_range(0..8)),
            _ => random.random(),
        };
    }
    if random.random_bool(0.1) {
        bytes.truncate(random.random_range(0..bytes.len()));
    }
    ConsensusMessage::read_from_buffer(&bytes).ok()
}

/// The oracle of the world looks at every step: two values or two holders are never seen at once.
#[test]
fn messages_of_the_past_that_come_again_change_nothing() {
    for seed in 0..40 {
        let mut world = World::first_start(seed, 4, 3);
        world.past = Some(Vec::new());
        world.run(1_500);
        for _ in 0..150 {
            for _ in 0..10 {
                world.replay();
            }
            if world.random.random_bool(0.1) {
                world.befall();
            }
            world.run(100);
        }
        world.past = None;
        world.heal();
        let writes = world.oracle.writes;
        world.run(8_000);
        assert!(world.oracle.writes > writes + 10, "seed {seed}: it stands");
    }
}

#[test]
fn garbled_messages_in_any_order_never_panic_and_move_nothing_back() {
    let mut fed = 0;
    for seed in 0..40 {
        let mut world = World::first_start(seed, 4, 3);
        world.past = Some(Vec::new());
        world.run(3_000);
        world.is_writing = false;
        let past = world.past.take().unwrap();
        let mut random = StdRng::seed_from_u64(seed);
        let node = &mut world.nodes[0];
        let mut local = node.clock(world.now);
        let (mut consensus, mut voter) =
            (node.consensus.take().unwrap(), node.voter.take().unwrap());
        for _ in 0..3_000 {
            let (_, from, message) = &past[random.random_range(0..past.len())];
            let Some(message) = garbled(message, &mut random) else {
                continue;
            };
            let before = (settled(&consensus), consensus.voter_set().version());
            fed += 1;
            consensus.on_message(local, from, message);
            local += random.random_range(0..40);
            consensus.tick(local);
            let works = consensus
                .take_actions()
                .into_iter()
                .filter_map(|action| match action {
                    consensus::ConsensusAction::Disk(work) => Some(work),
                    _ => None,
                });
            let promised = voter.voter().acceptor().clone();
            for done in consensus::execute_batch_on_disk(&mut voter, works.collect()) {
                consensus.on_disk(local, done);
            }
            let after = (settled(&consensus), consensus.voter_set().version());
            let mut versions = before.0.iter().zip(&after.0);
            assert!(versions.all(|(old, new)| old <= new), "a value moved back");
            assert!(before.1 <= after.1, "the set moved back");
            for (key, held) in promised
                .registers_after("")
                .filter(|(key, _)| REQUIRED_KEYS.contains(&key.as_str()))
            {
                let now = voter.voter().acceptor().register(key).unwrap();
                assert!(now.promised >= held.promised && now.accepted >= held.accepted);
            }
            assert!(
                consensus.known_controllers().len() <= 80,
                "addresses are bounded"
            );
        }
    }
    println!("{fed} garbled messages");
    assert!(fed > 20_000);
}
