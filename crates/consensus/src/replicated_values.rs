//! Values of the replicated registers: what is committed, what this controller's own voter holds, and what is missing.

use crate::keys::REPLICATED_KEYS;
use crate::snapshot::RegisterSnapshot;
use crate::value::{Value, ValueId};
use invariants::{check, Invariant};
use register::{Ballot, VersionedValue};
use std::collections::BTreeMap;

/// Time in which a committed value may still come to this controller's own voter, in milliseconds.
const OWN_VOTER_WAIT_MS: u64 = 100;
/// Time after which a value is requested again the first time, in milliseconds; it doubles with each request.
const FIRST_RETRY_MS: u64 = 300;
/// Longest time after which a value is requested again, in milliseconds.
const MAX_RETRY_MS: u64 = 4_800;

/// A committed value that is not here yet.
#[derive(Clone, Debug)]
struct MissingValue {
    id: ValueId,
    /// Address of a controller that has it.
    source: String,
    request_at: u64,
    /// Time to wait once it was requested. A value may take long to travel, and is not to travel many times.
    retry_after_ms: u64,
}

/// What is to be done about a missing value now.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum MissingValueStep {
    /// It is waited for.
    Wait,
    /// This controller's own voter holds it.
    Found(Value),
    /// It is to be requested from a controller that has it.
    Request {
        /// That controller's address.
        source: String,
        /// The version that it has.
        version: u64,
    },
}

/// Values of the replicated registers.
///
/// A committed value only ever gives way to one of a higher version. What the own voter holds is what its disk
/// reported last, and may be a value that is not committed.
#[derive(Clone, Debug)]
pub(crate) struct ReplicatedValues {
    committed: BTreeMap<String, Value>,
    /// What this controller's voter holds, by key.
    own: BTreeMap<String, RegisterSnapshot>,
    missing: BTreeMap<String, MissingValue>,
}

impl ReplicatedValues {
    /// From what the own voter holds at the start. Nothing is known to be committed.
    pub fn new(own: Vec<RegisterSnapshot>) -> Self {
        let own = own.into_iter();
        Self {
            committed: BTreeMap::new(),
            own: own.map(|value| (value.key.clone(), value)).collect(),
            missing: BTreeMap::new(),
        }
    }

    /// The newest value of a key that is known to be committed.
    pub fn committed(&self, key: &str) -> Option<&Value> {
        self.committed.get(key)
    }

    /// Version and tag of a key's committed value; blank where none is known.
    pub fn committed_id(&self, key: &str) -> ValueId {
        let committed = self.committed.get(key);
        committed.map_or_else(ValueId::default, Value::id)
    }

    /// Version of a key's committed value; 0 where none is known.
    pub fn committed_version(&self, key: &str) -> u64 {
        self.committed_id(key).version
    }

    /// What the own voter holds for a key.
    pub fn own(&self, key: &str) -> Option<&RegisterSnapshot> {
        self.own.get(key)
    }

    /// Highest ballot counter that the own voter has promised for any key.
    pub fn highest_promised_counter(&self) -> Option<u64> {
        let own = self.own.values();
        own.map(|value| value.promised.counter).max()
    }

    /// The newest value of a key that this controller has, committed or not, and that others need not send.
    pub fn newest(&self, key: &str) -> Option<Value> {
        let committed = self.committed.get(key);
        let own = self.own.get(key).and_then(RegisterSnapshot::value);
        let own = own.filter(|own| committed.is_none_or(|known| own.version > known.version));
        own.or_else(|| committed.cloned())
    }

    /// The disk reports what the own voter holds for some keys. Bytes that are left out are as they were.
    pub fn record_own(&mut self, values: Vec<RegisterSnapshot>) {
        for mut value in values {
            if value.bytes.is_none() {
                let old = self.own.get(&value.key);
                value.bytes = old.and_then(|old| old.bytes.clone());
            }
            self.own.insert(value.key.clone(), value);
        }
    }

    /// The own voter was emptied.
    pub fn clear_own(&mut self) {
        self.own.clear();
    }

    /// Takes a committed value. Returns whether it is newer than the one that was known.
    pub fn commit(&mut self, now: u64, key: &str, value: Value) -> bool {
        let version = value.version;
        if let Some(missing) = self.missing.get_mut(key) {
            if missing.id.version <= version {
                self.missing.remove(key);
            } else {
                // One that is newer still may be requested as if nothing were under way.
                missing.request_at = now + OWN_VOTER_WAIT_MS;
                missing.retry_after_ms = FIRST_RETRY_MS;
            }
        }
        if version <= self.committed_version(key) {
            return false;
        }
        let former = self.committed.insert(key.to_string(), value);
        let former = former.map_or(0, |former| former.version);
        check(
            Invariant::CommittedVersionsMoveForward,
            version > former,
            || format!("key={key} version={version} former={former}"),
        );
        true
    }

    /// Another controller lists the committed values that it has, in the order of [`REPLICATED_KEYS`].
    pub fn record_listing(&mut self, now: u64, source: &str, listing: &[ValueId], is_voting: bool) {
        for (key, id) in REPLICATED_KEYS.iter().zip(listing) {
            let known = self.missing.get(*key);
            let wanted = known.map_or(0, |missing| missing.id.version);
            if id.version <= self.committed_version(key) || id.version < wanted {
                continue;
            }
            // A value that is newer still is requested no later: changes may come faster than it is waited.
            let wait_ms = if is_voting { OWN_VOTER_WAIT_MS } else { 0 };
            let missing = MissingValue {
                id: *id,
                source: source.to_string(),
                request_at: known.map_or(now + wait_ms, |missing| missing.request_at),
                retry_after_ms: known.map_or(FIRST_RETRY_MS, |missing| missing.retry_after_ms),
            };
            self.missing.insert((*key).to_string(), missing);
        }
    }

    /// Whether a committed value of a key is not here yet.
    pub fn is_missing(&self, key: &str) -> bool {
        self.missing.contains_key(key)
    }

    /// Keys of all values that are not here yet.
    pub fn missing_keys(&self) -> Vec<String> {
        self.missing.keys().cloned().collect()
    }

    /// What is to be done about a missing value now. A request that it returns counts as sent.
    pub fn poll_missing(&mut self, now: u64, key: &str) -> MissingValueStep {
        let Some(missing) = self.missing.get_mut(key) else {
            return MissingValueStep::Wait;
        };
        let own = self.own.get(key).and_then(RegisterSnapshot::value);
        if let Some(own) = own.filter(|own| own.id() == missing.id) {
            return MissingValueStep::Found(own);
        }
        if now < missing.request_at {
            return MissingValueStep::Wait;
        }
        missing.request_at = now + missing.retry_after_ms;
        missing.retry_after_ms = (2 * missing.retry_after_ms).min(MAX_RETRY_MS);
        MissingValueStep::Request {
            source: missing.source.clone(),
            version: missing.id.version,
        }
    }

    /// The committed value of a key, if it is not older than a version, with the ballot under which the own voter
    /// accepted it; a blank ballot where it did not.
    pub fn committed_with_ballot(
        &self,
        key: &str,
        version: u64,
    ) -> Option<(Ballot, VersionedValue)> {
        let value = self.committed.get(key)?;
        if value.version < version {
            return None;
        }
        let own = self.own.get(key).filter(|own| own.id() == value.id());
        let ballot = own.map(|own| own.accepted).unwrap_or_default();
        Some((ballot, value.to_versioned()))
    }

    /// Whether the own voter holds an older value than a committed one, or another one of its version.
    pub fn is_own_behind(&self, key: &str, committed: ValueId) -> bool {
        let own = self.own.get(key);
        let own = own.map_or_else(ValueId::default, RegisterSnapshot::id);
        own.version < committed.version
            || (own.version == committed.version && own.tag != committed.tag)
    }

    /// Replicated registers whose committed values the own voter lacks, with the versions that it lacks.
    pub fn lacking(&self) -> Vec<(String, u64)> {
        let replicated = self
            .committed
            .iter()
            .filter(|(key, _)| REPLICATED_KEYS.contains(&key.as_str()));
        let lacking = replicated.filter(|(key, value)| self.is_own_behind(key, value.id()));
        lacking
            .map(|(key, value)| (key.clone(), value.version))
            .collect()
    }
}
