//! Values of the replicated registers: committed values, the local voter's values, and missing values.

use crate::keys::REPLICATED_KEYS;
use crate::snapshot::RegisterSnapshot;
use crate::value::{Value, ValueId};
use invariants::{check, Invariant};
use register::{Ballot, VersionedValue};
use std::collections::BTreeMap;

/// Time to wait for a committed value to reach the local voter before it is requested, in milliseconds.
const LOCAL_VOTER_WAIT_MS: u64 = 100;
/// Delay before the first repeated request for a value, in milliseconds. It doubles with each request.
const FIRST_RETRY_MS: u64 = 300;
/// Maximum delay before a value is requested again, in milliseconds.
const MAX_RETRY_MS: u64 = 4_800;

/// A committed value that this controller does not have yet.
#[derive(Clone, Debug)]
struct MissingValue {
    id: ValueId,
    /// Address of a controller that has the value.
    source: String,
    request_at: u64,
    /// Delay before the next request. A value may take long to transfer and should not be sent many times.
    retry_after_ms: u64,
}

/// What to do about a missing value now.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum MissingValueStep {
    /// Wait for the value.
    Wait,
    /// The local voter has the value.
    Found(Value),
    /// Request the value from a controller that has it.
    Request {
        /// Address of that controller.
        source: String,
        /// The version it has.
        version: u64,
    },
}

/// Values of the replicated registers.
///
/// A committed value is only replaced by one with a higher version. The local voter's values are those last reported
/// by its disk and may be uncommitted.
#[derive(Clone, Debug)]
pub(crate) struct ReplicatedValues {
    committed: BTreeMap<String, Value>,
    /// The local voter's registers by key.
    local: BTreeMap<String, RegisterSnapshot>,
    missing: BTreeMap<String, MissingValue>,
}

impl ReplicatedValues {
    /// Starts from the local voter's registers. No value is known to be committed.
    pub fn new(local: Vec<RegisterSnapshot>) -> Self {
        let local = local.into_iter();
        Self {
            committed: BTreeMap::new(),
            local: local.map(|value| (value.key.clone(), value)).collect(),
            missing: BTreeMap::new(),
        }
    }

    /// The newest value of a key that is known to be committed.
    pub fn committed(&self, key: &str) -> Option<&Value> {
        self.committed.get(key)
    }

    /// Version and tag of a key's committed value; the default id if none is known.
    pub fn committed_id(&self, key: &str) -> ValueId {
        let committed = self.committed.get(key);
        committed.map_or_else(ValueId::default, Value::id)
    }

    /// Version of a key's committed value; 0 if none is known.
    pub fn committed_version(&self, key: &str) -> u64 {
        self.committed_id(key).version
    }

    /// The local voter's register for a key.
    pub fn local(&self, key: &str) -> Option<&RegisterSnapshot> {
        self.local.get(key)
    }

    /// Version and tag of the local voter's value for a key; the default id if it has none.
    pub fn local_id(&self, key: &str) -> ValueId {
        let local = self.local.get(key);
        local.map_or_else(ValueId::default, RegisterSnapshot::id)
    }

    /// Highest ballot counter that the local voter has promised for any key.
    pub fn highest_promised_counter(&self) -> Option<u64> {
        let local = self.local.values();
        local.map(|value| value.promised.counter).max()
    }

    /// The newest value known to this controller, committed or not, which others need not send.
    pub fn newest(&self, key: &str) -> Option<Value> {
        let committed = self.committed.get(key);
        let local = self.local.get(key).and_then(RegisterSnapshot::value);
        let local =
            local.filter(|local| committed.is_none_or(|known| local.version > known.version));
        local.or_else(|| committed.cloned())
    }

    /// Records the local voter's registers as reported by the disk. Omitted value bytes are unchanged.
    pub fn record_local(&mut self, values: Vec<RegisterSnapshot>) {
        for mut value in values {
            if value.bytes.is_none() {
                let old = self.local.get(&value.key);
                value.bytes = old.and_then(|old| old.bytes.clone());
            }
            self.local.insert(value.key.clone(), value);
        }
    }

    /// Drops the local voter's registers after the disk was reset.
    pub fn clear_local(&mut self) {
        self.local.clear();
    }

    /// Records a committed value. Returns whether it is newer than the known one.
    pub fn commit(&mut self, now: u64, key: &str, value: Value) -> bool {
        let version = value.version;
        if let Some(missing) = self.missing.get_mut(key) {
            if missing.id.version <= version {
                self.missing.remove(key);
            } else {
                // The request for an even newer value starts over, as if none had been sent.
                missing.request_at = now + LOCAL_VOTER_WAIT_MS;
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

    /// Records the committed values listed by another controller, in the order of [`REPLICATED_KEYS`].
    pub fn record_listing(&mut self, now: u64, source: &str, listing: &[ValueId], is_voting: bool) {
        for (key, id) in REPLICATED_KEYS.iter().zip(listing) {
            let known = self.missing.get(*key);
            let wanted = known.map_or(0, |missing| missing.id.version);
            if id.version <= self.committed_version(key) || id.version < wanted {
                continue;
            }
            // An even newer value keeps the request time of the one before: changes may arrive faster than the wait
            // ends.
            let wait_ms = if is_voting { LOCAL_VOTER_WAIT_MS } else { 0 };
            let missing = MissingValue {
                id: *id,
                source: source.to_string(),
                request_at: known.map_or(now + wait_ms, |missing| missing.request_at),
                retry_after_ms: known.map_or(FIRST_RETRY_MS, |missing| missing.retry_after_ms),
            };
            self.missing.insert((*key).to_string(), missing);
        }
    }

    /// Whether a committed value of a key is missing.
    pub fn is_missing(&self, key: &str) -> bool {
        self.missing.contains_key(key)
    }

    /// Keys of all missing values.
    pub fn missing_keys(&self) -> Vec<String> {
        self.missing.keys().cloned().collect()
    }

    /// What to do about a missing value now. A returned request is assumed to be sent.
    pub fn poll_missing(&mut self, now: u64, key: &str) -> MissingValueStep {
        let Some(missing) = self.missing.get_mut(key) else {
            return MissingValueStep::Wait;
        };
        let local = self.local.get(key).and_then(RegisterSnapshot::value);
        if let Some(local) = local.filter(|local| local.id() == missing.id) {
            return MissingValueStep::Found(local);
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

    /// The committed value of a key if it is not older than the version, with the ballot under which this
    /// controller's voter accepted it; the default ballot if the local voter did not accept it.
    pub fn committed_with_ballot(
        &self,
        key: &str,
        version: u64,
    ) -> Option<(Ballot, VersionedValue)> {
        let value = self.committed.get(key)?;
        if value.version < version {
            return None;
        }
        let local = self.local.get(key).filter(|local| local.id() == value.id());
        let ballot = local.map(|local| local.accepted).unwrap_or_default();
        Some((ballot, value.to_versioned()))
    }

    /// Whether the local voter's value is older than a committed one, or differs from it at the same version.
    pub fn is_local_behind(&self, key: &str, committed: ValueId) -> bool {
        let local = self.local_id(key);
        local.version < committed.version
            || (local.version == committed.version && local.tag != committed.tag)
    }

    /// Replicated registers whose committed value the local voter lacks, with that value's version.
    pub fn outdated_local_values(&self) -> Vec<(String, u64)> {
        let replicated = self
            .committed
            .iter()
            .filter(|(key, _)| REPLICATED_KEYS.contains(&key.as_str()));
        let outdated = replicated.filter(|(key, value)| self.is_local_behind(key, value.id()));
        outdated
            .map(|(key, value)| (key.clone(), value.version))
            .collect()
    }
}
