//! Invariants of every state, and milestones that an exploration must reach for the invariants to be meaningful.

use super::system::System;
use consensus::CONFIGURATION_KEY;
use register::{SetVersion, VoterSet};
use std::collections::BTreeMap;

/// Situations that an exploration of sufficient depth reaches.
pub const MILESTONES: [&str; 4] = [
    "a member was replaced",
    "two members were replaced",
    "a holder was followed by another",
    "a newcomer votes",
];

/// The parts of a voter's disk that the invariants refer to.
struct Replica {
    set_version: SetVersion,
    version: u64,
    bytes: Vec<u8>,
}

fn replicas(system: &System) -> BTreeMap<u64, Replica> {
    let mut replicas = BTreeMap::new();
    for node in &system.nodes {
        let register = node.acceptor().register(CONFIGURATION_KEY);
        let stored = register
            .map(|register| register.value.clone())
            .unwrap_or_default();
        let replica = Replica {
            set_version: node.acceptor().set().version(),
            version: stored.version,
            bytes: stored.bytes,
        };
        replicas.insert(node.disk(), replica);
    }
    replicas
}

/// Returns the newest voter set that any voter has adopted.
fn newest_set(system: &System) -> VoterSet {
    let sets = system.nodes.iter();
    let sets = sets.map(|node| node.acceptor().set().clone());
    sets.max_by_key(VoterSet::version).unwrap_or_default()
}

/// Checks that every majority of the newest voter set, taken from its members that have adopted it, includes a voter that
/// stores the newest acknowledged version.
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
    let current = voting.iter().filter(|replica| replica.version >= version);
    let stale = voting.len() - current.count();
    if stale >= set.majority() {
        return Err(format!(
            "version {version} was acknowledged, and {stale} voting members of set {:?} do not store it",
            set.version()
        ));
    }
    check_committed_replicas(system, &set, &voting)
}

/// Checks that a value stored by a majority equals the value known to be committed at its version.
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
                "a majority stores a value at version {} that differs from the committed one",
                replica.version
            ));
        }
    }
    Ok(())
}

/// For each of [`MILESTONES`], whether the state satisfies it.
pub fn reached(system: &System) -> Vec<bool> {
    let replaced = newest_set(system).number.saturating_sub(1);
    let newcomer = system.nodes.last();
    let votes = newcomer.is_some_and(|node| node.acceptor().set().epoch > 0);
    vec![
        replaced >= 1,
        replaced >= 2,
        system.history.terms_won() >= 2,
        votes,
    ]
}
