//! The tenant directory: every key belongs to at most one tenant after any change, and keys cannot be recovered from it.

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

fn tenant_of_key<'a>(directory: &'a TenantDirectory, key: &str) -> Option<&'a str> {
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
fn tenants_are_found_only_by_their_exact_keys() {
    let directory = directory(&[tenant("north", &["a", "b"]), tenant("south", &["c"])]);
    assert_eq!(tenant_of_key(&directory, "a"), Some("north"));
    assert_eq!(tenant_of_key(&directory, "b"), Some("north"));
    assert_eq!(tenant_of_key(&directory, "c"), Some("south"));
    for other in ["", "A", "a ", "ab", "north"] {
        assert_eq!(tenant_of_key(&directory, other), None, "{other:?}");
    }
    assert_eq!((directory.len(), directory.key_count()), (2, 3));
}

#[test]
fn duplicate_names_and_keys_are_rejected() {
    let repeated_name =
        TenantDirectory::new(vec![tenant("north", &["a"]), tenant("north", &["b"])]);
    assert_eq!(
        repeated_name,
        Err(TenantError::RepeatedName("north".into()))
    );
    let repeated_key = TenantDirectory::new(vec![tenant("north", &["a", "a"])]);
    assert_eq!(repeated_key, Err(TenantError::RepeatedKey("north".into())));
    let shared_key =
        TenantDirectory::new(vec![tenant("north", &["a"]), tenant("south", &["b", "a"])]);
    let expected = TenantError::SharedKey {
        tenant: "south".into(),
        other: "north".into(),
    };
    assert_eq!(shared_key, Err(expected));
}

#[test]
fn a_key_can_move_between_tenants_in_one_change_in_either_order() {
    let base = directory(&[tenant("north", &["a", "b"]), tenant("south", &["c"])]);
    let without = tenant("north", &["b"]);
    let with = tenant("south", &["c", "a"]);
    for tenants in [
        vec![without.clone(), with.clone()],
        vec![with.clone(), without],
    ] {
        let changed = base.with_changes(tenants, &removed(&[])).unwrap();
        assert_eq!(tenant_of_key(&changed, "a"), Some("south"));
        assert_eq!(changed.key_count(), 3);
    }
    let rejected = base.with_changes(vec![with], &removed(&[]));
    assert!(matches!(rejected, Err(TenantError::SharedKey { .. })));
    assert_eq!(
        tenant_of_key(&base, "a"),
        Some("north"),
        "the base directory is unchanged"
    );
}

#[test]
fn a_tenant_may_have_no_keys_and_a_removed_tenant_may_be_added_again() {
    let base = directory(&[tenant("north", &["a"])]);
    let without_keys = base.with_changes(vec![tenant("north", &[])], &removed(&[]));
    let without_keys = without_keys.unwrap();
    assert_eq!((without_keys.len(), without_keys.key_count()), (1, 0));
    assert_eq!(tenant_of_key(&without_keys, "a"), None);
    let without_tenant = base.with_changes(Vec::new(), &removed(&["north", "nobody"]));
    let without_tenant = without_tenant.unwrap();
    assert!(without_tenant.is_empty());
    assert_eq!(tenant_of_key(&without_tenant, "a"), None);
    let added_again = without_tenant.with_changes(vec![tenant("north", &["z"])], &removed(&[]));
    assert_eq!(tenant_of_key(&added_again.unwrap(), "a"), None);
}

#[test]
fn a_tenant_that_one_change_both_adds_and_removes_does_not_exist() {
    let base = directory(&[]);
    let changed = base.with_changes(vec![tenant("north", &["a"])], &removed(&["north"]));
    assert!(changed.unwrap().is_empty());
}

#[test]
fn a_change_of_one_tenant_shares_all_others() {
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
    assert_eq!(tenant_of_key(&changed, "key-7-0"), None);
    assert_eq!(tenant_of_key(&changed, "key-8-0"), Some("tenant-8"));
}

#[test]
fn debug_output_contains_no_key_and_no_digest() {
    let directory = directory(&[tenant("north", &["secret-key"])]);
    let shown = format!("{directory:?}");
    assert!(shown.contains("north") && shown.contains("KeyDigest"));
    assert!(!shown.contains("secret"));
    // Neither the key's bytes nor a digest: the only number in the output is the priority.
    let digits = shown.bytes().filter(u8::is_ascii_digit);
    assert_eq!(digits.count(), 1, "{shown}");
}

#[test]
fn region_lists_are_intersected_and_an_empty_list_allows_all() {
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

/// Random tenants: the number of each tenant with the numbers of its keys.
type RandomTenants = Vec<(u8, Vec<u8>)>;

fn tenants_from(tenants: &RandomTenants) -> Vec<Tenant> {
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
    fn changes_agree_with_a_plain_map(first: RandomTenants, changes: Vec<(RandomTenants, Vec<u8>)>) -> TestResult {
        let mut plain: BTreeMap<String, Tenant> = BTreeMap::new();
        for tenant in tenants_from(&first) {
            plain.insert(tenant.name.to_string(), tenant);
        }
        let all: Vec<Tenant> = plain.values().cloned().collect();
        let Ok(mut directory) = TenantDirectory::new(all) else {
            return TestResult::discard();
        };
        for (upserted, deleted) in changes.iter().take(8) {
            let deleted: HashSet<String> = deleted.iter().take(2).map(|name| format!("t{}", name % 6)).collect();
            let mut next = plain.clone();
            for tenant in tenants_from(upserted) {
                next.insert(tenant.name.to_string(), tenant);
            }
            next.retain(|name, _| !deleted.contains(name));
            let whole = TenantDirectory::new(next.values().cloned().collect());
            let changed = directory.with_changes(tenants_from(upserted), &deleted);
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
