//! A change of the membership applies to the version on which it builds, and to no other.

use crate::applied_configuration::AppliedConfiguration;
use protocol::{Member, UpdateVersion};

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

fn three_members() -> AppliedConfiguration {
    let mut configuration = AppliedConfiguration::default();
    let members = ["a", "b", "c"].map(|name| member(name, 1));
    assert!(configuration.apply_membership(version(4), members.to_vec()));
    configuration
}

#[test]
fn members_that_join_return_and_leave_are_merged_in_order_of_their_names() {
    let configuration = three_members();
    let joined = vec![member("d", 1), member("b", 2)];
    let members = configuration.changed_members(version(4), joined, &["a".into()]);
    let expected = vec![member("b", 2), member("c", 1), member("d", 1)];
    assert_eq!(members, Some(expected));
}

#[test]
fn a_change_that_builds_on_another_version_is_dropped() {
    let configuration = three_members();
    for base in [version(3), version(5), UpdateVersion { term: 6, number: 4 }] {
        assert_eq!(configuration.changed_members(base, Vec::new(), &[]), None);
    }
}
