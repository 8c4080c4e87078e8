//! What a register holds, and how replicas of it are merged.

use anti_entropy::EntryVersion;
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// A ballot: the higher one wins, and no two proposers share one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct Ballot {
    /// Counted up by each proposer past all it has seen.
    pub counter: u64,
    /// Random id of the proposer's incarnation.
    pub proposer: u64,
}

/// A value in a register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct VersionedValue {
    /// Counted up by one with each change; 0 is a register that was never written.
    pub version: u64,
    /// Random tag of the write, by which a writer knows its own value again.
    pub tag: u64,
    /// The value.
    pub bytes: Vec<u8>,
}

/// What a voter holds for one key.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RegisterState {
    /// Highest ballot promised.
    pub promised: Ballot,
    /// Ballot under which the value was accepted; blank where none was.
    pub accepted: Ballot,
    /// The accepted value.
    pub value: VersionedValue,
}

impl RegisterState {
    /// What tells two accepted values of a key apart.
    pub(crate) fn entry_version(&self) -> EntryVersion {
        EntryVersion {
            counter: self.accepted.counter,
            writer: self.accepted.proposer,
        }
    }
}

/// Merges the replicas of a majority into what a joining voter must hold: for each key the newest accepted value and the
/// highest promise. With anything less it could break a promise that its predecessor gave.
pub fn merge_replicas(replicas: Vec<Vec<(String, RegisterState)>>) -> Vec<(String, RegisterState)> {
    let mut merged: BTreeMap<String, RegisterState> = BTreeMap::new();
    for (key, state) in replicas.into_iter().flatten() {
        let known = merged.entry(key).or_default();
        known.promised = known.promised.max(state.promised);
        if state.accepted > known.accepted {
            known.accepted = state.accepted;
            known.value = state.value;
        }
    }
    merged.into_iter().collect()
}
