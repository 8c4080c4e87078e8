//! Further tries stay within their share, and functions move only with a member that goes.

use fuzzing::seeded;
use protocol::Member;
use seat_leases::{select_owner, RetryBudget};

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

fn elected(function: u32, members: &[Member]) -> Option<String> {
    let name = format!("f{function}");
    select_owner(&name, members, |_| true).map(|member| member.name.clone())
}

#[test]
fn every_member_owns_some_functions() {
    let members = members(&[1, 2, 3, 4, 5]);
    let mut kept = [0; 5];
    for function in 0..1_000 {
        let name = elected(function, &members);
        let place = members
            .iter()
            .position(|one| Some(&one.name) == name.as_ref());
        kept[place.unwrap()] += 1;
    }
    assert!(
        kept.iter().all(|count| (120..=280).contains(count)),
        "{kept:?}"
    );
}

#[test]
fn a_member_that_may_not_own_is_never_selected() {
    let members = members(&[1, 2, 3]);
    for function in 0..100 {
        let name = format!("f{function}");
        let found = select_owner(&name, &members, |member| member.name != "edge-2");
        assert!(found.is_some_and(|member| member.name != "edge-2"));
    }
    assert_eq!(select_owner("f", &members, |_| false), None);
}

seeded! {
    fn retries_stay_below_the_capacity_and_the_ratio(events: Vec<bool>, cap: u8, share: u8) -> bool {
        let (cap, share) = (1.0 + f64::from(cap % 8), f64::from(share % 100) / 100.0);
        let mut budget = RetryBudget::new(share, cap);
        let taken: Vec<(bool, bool)> = events
            .iter()
            .map(|is_first| {
                if *is_first {
                    budget.deposit();
                    return (true, false);
                }
                (false, budget.try_withdraw())
            })
            .collect();
        (0..taken.len()).all(|start| {
            let (mut first, mut further) = (0.0, 0.0);
            taken[start..].iter().all(|(is_first, is_further)| {
                first += f64::from(u8::from(*is_first));
                further += f64::from(u8::from(*is_further));
                further <= cap + share * first + 1e-9
            })
        })
    }

    fn a_lower_capacity_holds_at_once(earned: u8, cap: u8) -> bool {
        let mut budget = RetryBudget::new(0.5, 40.0);
        (0..earned).for_each(|_| budget.deposit());
        let cap = f64::from(cap % 10);
        budget.set_capacity(cap);
        let spent = (0..100).filter(|_| budget.try_withdraw()).count();
        spent as f64 <= cap
    }

    fn only_the_functions_of_a_removed_member_move(names: Vec<u8>, gone: usize) -> bool {
        let all = members(&names);
        if all.len() < 2 {
            return true;
        }
        let gone = all[gone % all.len()].name.clone();
        let left: Vec<Member> = all.iter().filter(|one| one.name != gone).cloned().collect();
        (0..200).all(|function| {
            let before = elected(function, &all);
            let after = elected(function, &left);
            after.is_some() && (before == after || before.as_ref() == Some(&gone))
        })
    }

    fn the_order_of_the_membership_does_not_matter(names: Vec<u8>) -> bool {
        let all = members(&names);
        let turned: Vec<Member> = all.iter().rev().cloned().collect();
        (0..50).all(|function| elected(function, &all) == elected(function, &turned))
    }
}
