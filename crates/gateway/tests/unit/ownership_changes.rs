//! A change of the membership or ownership applies only to the version on which it is based.

use crate::connection_reuse_tests::options;
use crate::gateway::Gateway;
use protocol::{Member, OwnershipChange, OwnershipTable, UpdateVersion};
use seat_leases::changed_members;

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        name: name.into(),
        incarnation,
        address: format!("{name}:1"),
        zone: "north".into(),
    }
}

fn version(number: u64) -> UpdateVersion {
    UpdateVersion { term: 7, number }
}

fn names(gateway: &Gateway) -> Vec<&str> {
    let members = gateway.configuration.members().iter();
    members.map(|member| member.name.as_str()).collect()
}

fn gateway_with_members() -> Gateway {
    let mut gateway = Gateway::open(options()).unwrap();
    let members = ["a", "b", "c"].map(|name| member(name, 1));
    gateway.membership_received(version(4), members.to_vec());
    gateway
}

fn gateway_with_owners() -> Gateway {
    let mut gateway = Gateway::open(options()).unwrap();
    let table = OwnershipTable {
        version: version(4),
        members: ["a", "b", "c"].map(|name| member(name, 1)).to_vec(),
        is_first: true,
        ..OwnershipTable::default()
    };
    gateway.ownership_received(seat_leases::OwnershipTable::agreed(table));
    gateway
}

fn change(base: UpdateVersion, number: u64) -> OwnershipChange {
    OwnershipChange {
        base,
        version: version(number),
        joined: vec![member("d", 1)],
        leaving: vec!["b".into()],
        left: vec!["a".into()],
    }
}

#[test]
fn members_that_join_return_and_leave_are_merged_in_order_of_their_names() {
    let members = ["a", "b", "c"].map(|name| member(name, 1));
    let joined = [member("d", 1), member("b", 2)];
    let members = changed_members(&members, &joined, &["a".into()]);
    let expected = vec![member("b", 2), member("c", 1), member("d", 1)];
    assert_eq!(members, expected);
}

#[test]
fn a_change_of_the_membership_that_builds_on_another_version_is_dropped() {
    let mut gateway = gateway_with_members();
    for base in [version(3), version(5), UpdateVersion { term: 6, number: 4 }] {
        gateway.membership_changed(base, version(6), &[member("d", 1)], &["a".into()]);
        assert_eq!(names(&gateway), ["a", "b", "c"]);
    }
    gateway.membership_changed(version(4), version(5), &[member("d", 1)], &["a".into()]);
    assert_eq!(names(&gateway), ["b", "c", "d"]);
}

#[test]
fn a_change_of_the_owners_that_builds_on_another_version_is_dropped() {
    let mut gateway = gateway_with_owners();
    for base in [version(3), version(5), UpdateVersion { term: 6, number: 4 }] {
        gateway.ownership_changed(&change(base, 6));
        assert_eq!(names(&gateway), ["a", "b", "c"]);
    }
    gateway.ownership_changed(&change(version(4), 5));
    assert_eq!(names(&gateway), ["b", "c", "d"]);
    let table = gateway.configuration.ownership().unwrap();
    assert!(!table.is_owner("b") && table.is_owner("c") && table.has_joined("d"));
}

#[test]
fn membership_and_ownership_changes_are_dropped_under_a_table_of_the_other_kind() {
    let mut gateway = gateway_with_members();
    gateway.ownership_changed(&change(version(4), 5));
    assert_eq!(names(&gateway), ["a", "b", "c"]);
    let mut gateway = gateway_with_owners();
    gateway.membership_changed(version(4), version(5), &[member("d", 1)], &[]);
    assert_eq!(names(&gateway), ["a", "b", "c"]);
}

#[test]
fn an_older_table_than_the_one_in_force_is_dropped() {
    let mut gateway = gateway_with_owners();
    gateway.membership_received(version(3), vec![member("z", 1)]);
    assert_eq!(names(&gateway), ["a", "b", "c"]);
}
