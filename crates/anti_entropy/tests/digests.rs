//! Digests follow changes of keys and reveal where two replicas differ.

use anti_entropy::{range_of, EntryVersion, RangeDigests};
use fuzzing::seeded;
use std::collections::BTreeMap;

fn version(counter: u64) -> EntryVersion {
    EntryVersion { counter, writer: 1 }
}

seeded! {
    fn incremental_digests_equal_rebuilt_ones(changes: Vec<(u8, Option<u64>)>) -> bool {
        let mut digests = RangeDigests::default();
        let mut counters: BTreeMap<String, u64> = BTreeMap::new();
        for (key, counter) in changes {
            let key = format!("key-{key}");
            let old = match counter {
                Some(counter) => counters.insert(key.clone(), counter),
                None => counters.remove(&key),
            };
            digests.update(&key, old.map(version), counter.map(version));
        }
        let mut rebuilt = RangeDigests::default();
        for (key, counter) in &counters {
            rebuilt.update(key, None, Some(version(*counter)));
        }
        rebuilt == digests
    }

    fn a_changed_key_differs_in_its_range_only(keys: Vec<u16>, changed: u16) -> bool {
        let mut one = RangeDigests::default();
        for key in &keys {
            one.update(&key.to_string(), None, Some(version(1)));
        }
        let mut other = one.clone();
        let key = format!("other-{changed}");
        other.update(&key, None, Some(version(2)));
        one.differing_ranges(other.as_slice()) == vec![range_of(&key)]
    }
}
