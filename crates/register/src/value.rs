//! The state of a register, and merging of its replicas.

use anti_entropy::EntryVersion;
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// A ballot number. The higher ballot takes precedence, and no two proposers share one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct Ballot {
    /// A proposer always picks a counter above all that it has seen.
    pub counter: u64,
    /// Random id of the proposer's incarnation.
    pub proposer: u64,
}

/// A register's value and its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct VersionedValue {
    /// Incremented by one with each change; 0 means that the register was never written.
    pub version: u64,
    /// Random tag of the write, by which a writer recognizes its own value.
    pub tag: u64,
    /// The serialized value, opaque to this crate.
    pub bytes: Vec<u8>,
}

/// A voter's state for one key.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RegisterState {
    /// Highest ballot promised.
    pub promised: Ballot,
    /// Ballot under which the value was accepted; the default ballot if none was.
    pub accepted: Ballot,
    /// Value that was accepted last; version 0 if none was.
    pub value: VersionedValue,
}

impl RegisterState {
    /// Identifies the accepted value when replicas of a key are compared.
    pub(crate) fn entry_version(&self) -> EntryVersion {
        EntryVersion {
            counter: self.accepted.counter,
            writer: self.accepted.proposer,
        }
    }
}

/// Merges the replicas of a majority into the state that a joining voter must start from: for each key, the newest accepted
/// value and the highest promise. With anything less, the new voter could break a promise that its predecessor made.
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
