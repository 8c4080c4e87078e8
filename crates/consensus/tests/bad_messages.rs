//! Duplicate, late, truncated and corrupted messages. No controller panics, and committed state never regresses.

#[allow(dead_code)]
mod cluster;

use cluster::SimulatedCluster;
use consensus::{
    execute_batch_on_disk, Consensus, ConsensusAction, ConsensusMessage, CONFIGURATION_KEY,
    EVACUATIONS_KEY, SCALER_ROLE_KEY,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::VOTERS_KEY;
use speedy::{Readable, Writable};
use voter::VoterDisk;

const REPLICATED_KEYS: [&str; 4] = [
    CONFIGURATION_KEY,
    EVACUATIONS_KEY,
    SCALER_ROLE_KEY,
    VOTERS_KEY,
];

fn committed(consensus: &Consensus) -> Vec<u64> {
    let version = |key: &&str| consensus.committed(key).map_or(0, |(version, _)| version);
    REPLICATED_KEYS.iter().map(version).collect()
}

/// Overwrites some bytes of a message, or truncates it.
fn corrupted(message: &ConsensusMessage, random: &mut StdRng) -> Option<ConsensusMessage> {
    let mut bytes = message.write_to_vec().ok()?;
    for _ in 0..random.random_range(1..4) {
        let index = random.random_range(0..bytes.len());
        bytes[index] = match random.random_range(0..4) {
            0 => 0,
            1 => u8::MAX,
            2 => bytes[index] ^ (1 << random.random_range(0..8)),
            _ => random.random(),
        };
    }
    if random.random_bool(0.1) {
        bytes.truncate(random.random_range(0..bytes.len()));
    }
    ConsensusMessage::read_from_buffer(&bytes).ok()
}

/// The oracle of the cluster checks after every event that no two committed values conflict and that there is at most
/// one holder.
#[test]
fn replayed_messages_do_not_affect_committed_state() {
    for seed in 0..40 {
        let mut cluster = SimulatedCluster::first_start(seed, 4, 3);
        cluster.recorded = Some(Vec::new());
        cluster.run(1_500);
        for _ in 0..150 {
            for _ in 0..10 {
                cluster.replay();
            }
            if cluster.random.random_bool(0.1) {
                cluster.inject_fault();
            }
            cluster.run(100);
        }
        cluster.recorded = None;
        cluster.heal();
        let writes = cluster.oracle.writes;
        cluster.run(8_000);
        assert!(
            cluster.oracle.writes > writes + 10,
            "seed {seed}: no progress after healing"
        );
    }
}

/// A consensus and its voter, taken out of a cluster.
struct Target {
    consensus: Consensus,
    voter: VoterDisk,
    local_now: u64,
}

impl Target {
    /// Takes the first controller out of a cluster.
    fn extract(cluster: &mut SimulatedCluster) -> Self {
        let node = &mut cluster.nodes[0];
        Self {
            consensus: node.consensus.take().unwrap(),
            voter: node.voter.take().unwrap(),
            local_now: node.clock(cluster.now),
        }
    }

    /// Delivers a message and advances time. No committed value or promise may regress.
    fn deliver(&mut self, from: &str, message: ConsensusMessage, pause_ms: u64) {
        let before = (
            committed(&self.consensus),
            self.consensus.voter_set().version(),
        );
        self.consensus.on_message(self.local_now, from, message);
        self.local_now += pause_ms;
        self.consensus.tick(self.local_now);
        self.execute_disk_work();
        let after = (
            committed(&self.consensus),
            self.consensus.voter_set().version(),
        );
        let mut versions = before.0.iter().zip(&after.0);
        assert!(
            versions.all(|(old, new)| old <= new),
            "a committed version decreased"
        );
        assert!(before.1 <= after.1, "the voter set version decreased");
        assert!(
            self.consensus.known_controllers().len() <= 80,
            "too many known addresses"
        );
    }

    fn execute_disk_work(&mut self) {
        let actions = self.consensus.take_actions().into_iter();
        let work = actions.filter_map(|action| match action {
            ConsensusAction::Disk(work) => Some(work),
            _ => None,
        });
        let before = self.voter.voter().acceptor().clone();
        for completion in execute_batch_on_disk(&mut self.voter, work.collect()) {
            self.consensus.on_disk(self.local_now, completion);
        }
        let registers = before.registers_after("");
        for (key, old) in registers.filter(|(key, _)| REPLICATED_KEYS.contains(&key.as_str())) {
            let new = self.voter.voter().acceptor().register(key).unwrap();
            assert!(new.promised >= old.promised && new.accepted >= old.accepted);
        }
    }
}

#[test]
fn corrupted_messages_in_any_order_never_panic_or_regress_state() {
    let mut delivered = 0;
    for seed in 0..40 {
        let mut cluster = SimulatedCluster::first_start(seed, 4, 3);
        cluster.recorded = Some(Vec::new());
        cluster.run(3_000);
        cluster.is_writing = false;
        let recorded = cluster.recorded.take().unwrap();
        let mut random = StdRng::seed_from_u64(seed);
        let mut target = Target::extract(&mut cluster);
        for _ in 0..3_000 {
            let (_, from, message) = &recorded[random.random_range(0..recorded.len())];
            let Some(message) = corrupted(message, &mut random) else {
                continue;
            };
            delivered += 1;
            target.deliver(from, message, random.random_range(0..40));
        }
    }
    println!("{delivered} corrupted messages");
    assert!(delivered > 20_000);
}
