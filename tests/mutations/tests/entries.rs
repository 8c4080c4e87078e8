//! Every mutation applies to the sources and names existing tests, and there is a minimum number of mutations.

use mutations::{load_entries, Workspace};
use std::path::Path;

const MIN_ENTRIES: usize = 25;

#[test]
fn every_mutation_applies_exactly_once() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let entries = load_entries(&root).expect("the entries can be read");
    assert!(entries.len() >= MIN_ENTRIES);
    let failures: Vec<String> = entries
        .iter()
        .filter_map(|entry| entry.check(&root).err())
        .map(|error| error.to_string())
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn every_mutation_names_existing_tests() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let entries = load_entries(&root).expect("the entries can be read");
    let workspace = Workspace::read(&root).expect("the manifests can be read");
    let failures: Vec<String> = entries
        .iter()
        .filter_map(|entry| workspace.check_tests(entry).err())
        .map(|error| error.to_string())
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
