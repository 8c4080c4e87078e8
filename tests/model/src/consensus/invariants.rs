//! What must hold in every state, and what must be reached at all for that to mean something.

use super::system::System;
use consensus::CONFIGURATION_KEY;
use register::{SetVersion, VoterSet};
use std::collections::BTreeMap;

/// Situations that an exploration of sufficient depth brings about.
pub const MILESTONES: [&str; 4] = [
    "a member was replaced",
    "two members were replaced",
    "a holder was followed by another",
    "a newcomer votes",
];

/// What a voter's disk holds, as far as invariants look at it.
struct Replica {
    set_version: SetVersion,
    version: u64,
    bytes: Vec<u8>,
}

fn replicas(system: &System) -> BTreeMap<u64, Replica> {
    let mut replicas = BTreeMap::new();
    for node in &system.nodes {
        let held = node.held().register(CONFIGURATION_KEY);
        let stored = held.map(|held| held.value.clone()).unwrap_or_default();
        let replica = Replica {
            set_version: node.held().set().version(),
            version: stored.version,
            bytes: stored.bytes,
        };
        replicas.insert(node.disk(), replica);
    }
    replicas
}

/// The newest set that any voter is in.
fn newest_set(system: &System) -> VoterSet {
    let sets = system.nodes.iter();
    let sets = sets.map(|node| node.held().set().clone());
    sets.max_by_key(VoterSet::version).unwrap_or_default()
}

/// Every majority of the newest set whose members all vote in it holds what was acknowledged.
pub fn check(system: &System) -> Result<(), String> {
    let version = system.history.acknowledged(CONFIGURATION_KEY);
    if version == 0 {
        return Ok(());
    }
    let set = newest_set(system);
    let replicas = replicas(system);
    let voting = set.voters.iter().filter_map(|voter| {
        let replica = replicas.get(&voter.disk)?;
        (replica.set_version == set.version()).then_some(replica)
    });
    let voting: Vec<&Replica> = voting.collect();
    let holding = voting.iter().filter(|replica| replica.version >= version);
    let lacking = voting.len() - holding.count();
    if lacking >= set.majority() {
        return Err(format!(
            "version {version} was acknowledged, and {lacking} of the set {:?} that vote do not hold it",
            set.version()
        ));
    }
    check_committed_replicas(system, &set, &voting)
}

/// A value that a majority holds is the one that was said to be committed.
fn check_committed_replicas(
    system: &System,
    set: &VoterSet,
    voting: &[&Replica],
) -> Result<(), String> {
    for replica in voting {
        let same = voting
            .iter()
            .filter(|other| other.version == replica.version && other.bytes == replica.bytes);
        let known = system.history.committed(CONFIGURATION_KEY, replica.version);
        let differs = known.is_some_and(|bytes| *bytes != replica.bytes);
        if same.count() >= set.majority() && differs {
            return Err(format!(
                "a majority holds another version {}",
                replica.version
            ));
        }
    }
    Ok(())
}

/// Which of the milestones a state shows.
pub fn reached(system: &System) -> Vec<bool> {
    let replaced = newest_set(system).number.saturating_sub(1);
    let newcomer = system.nodes.last();
    let votes = newcomer.is_some_and(|node| node.held().set().epoch > 0);
    vec![
        replaced >= 1,
        replaced >= 2,
        system.history.terms_won() >= 2,
        votes,
    ]
}
