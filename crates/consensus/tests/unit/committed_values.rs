//! A committed value is only replaced by newer ones.

use crate::replicated_values::ReplicatedValues;
use crate::value::Value;
use std::sync::Arc;

const KEY: &str = "key";

fn value(version: u64, tag: u64) -> Value {
    Value {
        version,
        tag,
        bytes: Arc::new(vec![version as u8]),
    }
}

#[test]
fn an_older_committed_value_is_dropped() {
    let mut values = ReplicatedValues::new(Vec::new());
    assert!(values.commit(0, KEY, value(5, 1)));
    assert!(!values.commit(0, KEY, value(4, 2)));
    assert!(!values.commit(0, KEY, value(5, 3)));
    assert_eq!(values.committed_version(KEY), 5);
}
