//! Values that the local voter has accepted and that are not known to be committed or superseded.

use crate::keys::{REQUIRED_KEYS, SETTLED_KEYS};
use crate::value::ValueId;
use std::collections::BTreeMap;

/// An accepted value whose fate is unknown.
#[derive(Clone, Copy, Debug)]
struct UnsettledValue {
    id: ValueId,
    /// When it became known that the local voter has accepted it.
    since: u64,
}

/// Accepted values of the registers in [`SETTLED_KEYS`] whose fate is unknown.
///
/// The proposer of a value tells when it is committed. It may be lost before that, after it has told its client. Each
/// voter that has accepted the value must therefore find out by itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnsettledValues {
    values: BTreeMap<&'static str, UnsettledValue>,
}

impl UnsettledValues {
    /// Compares the local voter's values with the committed ones. Both functions return the id of a key's value.
    pub fn update(
        &mut self,
        now: u64,
        accepted: impl Fn(&str) -> ValueId,
        committed: impl Fn(&str) -> ValueId,
    ) {
        for key in SETTLED_KEYS {
            let id = accepted(key);
            if id.version <= committed(key).version {
                self.values.remove(key);
                continue;
            }
            let known = self.values.get(key).filter(|known| known.id == id);
            let since = known.map_or(now, |known| known.since);
            self.values.insert(key, UnsettledValue { id, since });
        }
    }

    /// Keys whose values have been unsettled for a time span.
    pub fn older_than(&self, now: u64, span_ms: u64) -> Vec<&'static str> {
        let values = self.values.iter();
        let old = values.filter(|(_, value)| now >= value.since + span_ms);
        old.map(|(key, _)| *key).collect()
    }

    /// Whether no required register has had an unsettled value for a time span.
    pub fn are_required_settled(&self, now: u64, span_ms: u64) -> bool {
        let old = self.older_than(now, span_ms);
        !old.iter().any(|key| REQUIRED_KEYS.contains(key))
    }
}
