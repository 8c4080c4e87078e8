//! Digests follow the changes of keys and show where two replicas differ.

use anti_entropy::{range_of, EntryVersion, RangeDigests};
use fuzzing::seeded;
use std::collections::BTreeMap;

fn version(counter: u64) -> EntryVersion {
    EntryVersion { counter, writer: 1 }
}

seeded! {
    fn digests_follow_any_course_of_changes(changes: Vec<(u8, Option<u64>)>) -> bool {
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
        let mut fresh = RangeDigests::default();
        for (key, counter) in &counters {
            fresh.update(key, None, Some(version(*counter)));
        }
        fresh == digests
    }

    fn a_newer_key_shows_in_its_range_alone(keys: Vec<u16>, changed: u16) -> bool {
        let mut one = RangeDigests::default();
        for key in &keys {
            one.update(&key.to_string(), None, Some(version(1)));
        }
        let mut other = one.clone();
        let name = format!("other-{changed}");
        other.update(&name, None, Some(version(2)));
        one.differing_ranges(other.as_slice()) == vec![range_of(&name)]
    }
}
