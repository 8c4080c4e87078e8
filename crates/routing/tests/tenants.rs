//! Tenants by their keys: each key has one tenant at most, whatever changes, and no key can be read back.

use fuzzing::{seeded, TestResult};
use routing::{intersect_regions, KeyDigest, Tenant, TenantDirectory, TenantError};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter();
    Tenant {
        name: name.into(),
        keys: keys.map(|key| KeyDigest::of(key.as_bytes())).collect(),
        ..Tenant::default()
    }
}

fn holder<'a>(directory: &'a TenantDirectory, key: &str) -> Option<&'a str> {
    let tenant = directory.find(&KeyDigest::of(key.as_bytes()));
    tenant.map(|tenant| tenant.name.as_ref())
}

fn directory(tenants: &[Tenant]) -> TenantDirectory {
    TenantDirectory::new(tenants.to_vec()).unwrap()
}

fn removed(names: &[&str]) -> HashSet<String> {
    names.iter().map(|name| name.to_string()).collect()
}

#[test]
fn a_key_names_its_tenant_and_nothing_else_does() {
    let directory = directory(&[tenant("north", &["a", "b"]), tenant("south", &["c"])]);
    assert_eq!(holder(&directory, "a"), Some("north"));
    assert_eq!(holder(&directory, "b"), Some("north"));
    assert_eq!(holder(&directory, "c"), Some("south"));
    for other in ["", "A", "a ", "ab", "north"] {
        assert_eq!(holder(&directory, other), None, "{other:?}");
    }
    assert_eq!((directory.len(), directory.key_count()), (2, 3));
}

#[test]
fn names_and_keys_are_there_once() {
    let twice = TenantDirectory::new(vec![tenant("north", &["a"]), tenant("north", &["b"])]);
    assert_eq!(twice, Err(TenantError::RepeatedName("north".into())));
    let repeated = TenantDirectory::new(vec![tenant("north", &["a", "a"])]);
    assert_eq!(repeated, Err(TenantError::RepeatedKey("north".into())));
    let shared = TenantDirectory::new(vec![tenant("north", &["a"]), tenant("south", &["b", "a"])]);
    let expected = TenantError::SharedKey {
        tenant: "south".into(),
        other: "north".into(),
    };
    assert_eq!(shared, Err(expected));
}

#[test]
fn a_key_moves_in_one_change_in_whatever_order_its_tenants_stand() {
    let base = directory(&[tenant("north", &["a", "b"]), tenant("south", &["c"])]);
    let without = tenant("north", &["b"]);
    let with = tenant("south", &["c", "a"]);
    for tenants in [
        vec![without.clone(), with.clone()],
        vec![with.clone(), without],
    ] {
        let changed = base.with_changes(tenants, &removed(&[])).unwrap();
        assert_eq!(holder(&changed, "a"), Some("south"));
        assert_eq!(changed.key_count(), 3);
    }
    let refused = base.with_changes(vec![with], &removed(&[]));
    assert!(matches!(refused, Err(TenantError::SharedKey { .. })));
    assert_eq!(
        holder(&base, "a"),
        Some("north"),
        "the base stays as it was"
    );
}

#[test]
fn a_tenant_without_keys_stays_and_one_that_is_dropped_may_come_back() {
    let base = directory(&[tenant("north", &["a"])]);
    let keyless = base.with_changes(vec![tenant("north", &[])], &removed(&[]));
    let keyless = keyless.unwrap();
    assert_eq!((keyless.len(), keyless.key_count()), (1, 0));
    assert_eq!(holder(&keyless, "a"), None);
    let dropped = base.with_changes(Vec::new(), &removed(&["north", "nobody"]));
    let dropped = dropped.unwrap();
    assert!(dropped.is_empty());
    assert_eq!(holder(&dropped, "a"), None);
    let back = dropped.with_changes(vec![tenant("north", &["z"])], &removed(&[]));
    assert_eq!(holder(&back.unwrap(), "a"), None);
}

#[test]
fn what_is_removed_in_the_change_that_adds_it_is_not_there() {
    let base = directory(&[]);
    let changed = base.with_changes(vec![tenant("north", &["a"])], &removed(&["north"]));
    assert!(changed.unwrap().is_empty());
}

#[test]
fn a_change_of_one_tenant_leaves_all_others_as_they_are() {
    let all: Vec<Tenant> = (0..5_000)
        .map(|number| {
            let keys: Vec<String> = (0..4).map(|key| format!("key-{number}-{key}")).collect();
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            tenant(&format!("tenant-{number}"), &keys)
        })
        .collect();
    let base = directory(&all);
    let changed = base.with_changes(vec![tenant("tenant-7", &["new"])], &removed(&[]));
    let changed = changed.unwrap();
    assert_eq!((changed.len(), changed.key_count()), (5_000, 19_997));
    let is_shared = |other: &&Arc<Tenant>| {
        let same = changed.tenant(&other.name);
        same.is_some_and(|same| Arc::ptr_eq(same, other))
    };
    assert_eq!(base.iter().filter(is_shared).count(), 4_999);
    assert_eq!(holder(&changed, "key-7-0"), None);
    assert_eq!(holder(&changed, "key-8-0"), Some("tenant-8"));
}

#[test]
fn debug_output_bears_no_key_and_no_digest() {
    let directory = directory(&[tenant("north", &["secret-key"])]);
    let shown = format!("{directory:?}");
    assert!(shown.contains("north") && shown.contains("KeyDigest"));
    assert!(!shown.contains("secret"));
    // Neither its bytes nor a hash of them: nothing but the priority is a number.
    let digits = shown.bytes().filter(u8::is_ascii_digit);
    assert_eq!(digits.count(), 1, "{shown}");
}

#[test]
fn regions_of_two_lists_are_those_in_both() {
    let list =
        |names: &[&str]| -> Vec<String> { names.iter().map(|name| name.to_string()).collect() };
    assert_eq!(intersect_regions(&list(&[]), &list(&["a"])), list(&["a"]));
    assert_eq!(intersect_regions(&list(&["a"]), &list(&[])), list(&["a"]));
    assert_eq!(
        intersect_regions(&list(&["a", "b"]), &list(&["b", "c"])),
        list(&["b"])
    );
    assert_eq!(intersect_regions(&list(&["a"]), &list(&["b"])), list(&[]));
}

/// Tenants by number, each with numbers of keys.
type Drawn = Vec<(u8, Vec<u8>)>;

fn drawn(tenants: &Drawn) -> Vec<Tenant> {
    let tenants = tenants.iter().take(6);
    tenants
        .map(|(name, keys)| {
            let mut keys: Vec<u8> = keys.iter().take(4).map(|key| key % 16).collect();
            keys.sort_unstable();
            keys.dedup();
            let keys: Vec<String> = keys.iter().map(|key| format!("k{key}")).collect();
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            tenant(&format!("t{}", name % 6), &keys)
        })
        .collect()
}

seeded! {
    fn changes_keep_what_a_plain_map_of_tenants_keeps(first: Drawn, changes: Vec<(Drawn, Vec<u8>)>) -> TestResult {
        let mut plain: BTreeMap<String, Tenant> = BTreeMap::new();
        for tenant in drawn(&first) {
            plain.insert(tenant.name.to_string(), tenant);
        }
        let all: Vec<Tenant> = plain.values().cloned().collect();
        let Ok(mut directory) = TenantDirectory::new(all) else {
            return TestResult::discard();
        };
        for (upserted, gone) in changes.iter().take(8) {
            let gone: HashSet<String> = gone.iter().take(2).map(|name| format!("t{}", name % 6)).collect();
            let mut next = plain.clone();
            for tenant in drawn(upserted) {
                next.insert(tenant.name.to_string(), tenant);
            }
            next.retain(|name, _| !gone.contains(name));
            let whole = TenantDirectory::new(next.values().cloned().collect());
            let changed = directory.with_changes(drawn(upserted), &gone);
            match (whole, changed) {
                (Ok(whole), Ok(changed)) if whole == changed => {
                    plain = next;
                    directory = changed;
                }
                (Err(_), Err(_)) => {}
                _ => return TestResult::failed(),
            }
        }
        TestResult::passed()
    }
}
