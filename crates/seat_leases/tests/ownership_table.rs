//! Functions only move when a member joins or leaves, under both the current hash and that of older daemons.

use fuzzing::seeded;
use protocol::{Member, OwnershipChange, UpdateVersion};
use seat_leases::OwnershipTable;

fn members(names: &[u8]) -> Vec<Member> {
    let mut names = names.to_vec();
    names.sort_unstable();
    names.dedup();
    let named = names.iter().map(|name| Member {
        name: format!("edge-{name}"),
        ..Member::default()
    });
    named.collect()
}

/// A table of these members, with the current or the older hash.
fn table(members: &[Member], is_agreed: bool) -> OwnershipTable {
    if !is_agreed {
        return OwnershipTable::not_agreed(UpdateVersion::default(), members.to_vec());
    }
    OwnershipTable::agreed(protocol::OwnershipTable {
        members: members.to_vec(),
        ..protocol::OwnershipTable::default()
    })
}

fn owner(function: u32, table: &OwnershipTable) -> Option<String> {
    let owner = table.owner_of(&format!("f{function}"));
    owner.map(|member| member.name.clone())
}

#[test]
fn every_member_owns_some_functions() {
    for is_agreed in [true, false] {
        let members = members(&[1, 2, 3, 4, 5]);
        let table = table(&members, is_agreed);
        let mut owned = [0; 5];
        for function in 0..1_000 {
            let name = owner(function, &table);
            let index = members
                .iter()
                .position(|one| Some(&one.name) == name.as_ref());
            owned[index.unwrap()] += 1;
        }
        assert!(
            owned.iter().all(|count| (120..=280).contains(count)),
            "{owned:?}"
        );
    }
}

#[test]
fn a_member_that_may_not_own_is_never_selected() {
    let table = table(&members(&[1, 2, 3]), true);
    for function in 0..100 {
        let name = format!("f{function}");
        let found = table.owner_among(&name, |member| member.name != "edge-2");
        assert!(found.is_some_and(|member| member.name != "edge-2"));
    }
    assert_eq!(table.owner_among("f", |_| false), None);
}

const LEGACY_OWNERS: [&str; 8] = [
    "edge-1", "edge-2", "edge-5", "edge-4", "edge-1", "edge-3", "edge-1", "edge-2",
];

/// Owners chosen by daemons that predate agreed tables. If this hash changed, old and new daemons would disagree during an
/// upgrade.
#[test]
fn the_hash_of_older_daemons_is_unchanged() {
    let table = table(&members(&[1, 2, 3, 4, 5]), false);
    let owners = (0..8).map(|function| owner(function, &table).unwrap());
    assert_eq!(owners.collect::<Vec<_>>(), LEGACY_OWNERS);
}

#[test]
fn a_leaving_member_remains_listed_but_owns_nothing() {
    let before = table(&members(&[1, 2, 3]), true);
    let after = before.changed(&OwnershipChange {
        version: UpdateVersion { term: 1, number: 2 },
        leaving: vec!["edge-2".into()],
        ..OwnershipChange::default()
    });
    let after = after.unwrap();
    assert!(after.member("edge-2").is_some() && !after.is_owner("edge-2"));
    for function in 0..200 {
        let (was, is) = (owner(function, &before), owner(function, &after));
        assert_ne!(is.as_deref(), Some("edge-2"));
        assert!(was == is || was.as_deref() == Some("edge-2"));
    }
}

seeded! {
    fn only_the_functions_of_a_removed_member_move(names: Vec<u8>, removed: usize) -> bool {
        let all = members(&names);
        if all.len() < 2 {
            return true;
        }
        let removed = all[removed % all.len()].name.clone();
        let left: Vec<Member> = all.iter().filter(|one| one.name != removed).cloned().collect();
        (0..200).all(|function| {
            let before = owner(function, &table(&all, true));
            let after = owner(function, &table(&left, true));
            after.is_some() && (before == after || before.as_ref() == Some(&removed))
        })
    }

    fn the_order_of_members_does_not_matter(names: Vec<u8>) -> bool {
        let all = members(&names);
        let reversed: Vec<Member> = all.iter().rev().cloned().collect();
        (0..50).all(|function| owner(function, &table(&all, true)) == owner(function, &table(&reversed, true)))
    }
}
