//! Which runner list an owner uses for leases. It must not use a list from an earlier period of ownership, because the
//! scaler has since sent changes of the runners to other owners.

mod common;

use common::{in_use, lease_request, leases, release, request_ids, runner, update, FUNCTION};
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{
    FunctionHandover, LeaseOutcome, Member, OwnershipTable, RequestId, RunnerHandover,
    RunnerLeases, RunnerStage, RunnerUpdate, SeatHandover, UpdateVersion,
};
use seat_leases::{LeaseAction, LeaseOwner};
use std::sync::Arc;

const ME: &str = "me";
/// Time in milliseconds at which the other owner is gone, long after it joined.
const LATER: u64 = 4_300;

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        incarnation: 1,
        ..Member::default()
    }
}

fn table(number: u64, members: &[&str], joined: &[&str]) -> OwnershipTable {
    OwnershipTable {
        version: UpdateVersion { term: 1, number },
        members: members.iter().map(|name| member(name)).collect(),
        joined: joined.iter().map(|name| name.to_string()).collect(),
        leaving: Vec::new(),
        is_first: true,
    }
}

fn apply(owner: &mut LeaseOwner, now: u64, table: OwnershipTable) {
    owner.apply_table(now, Arc::new(seat_leases::OwnershipTable::agreed(table)));
}

fn apply_not_agreed(owner: &mut LeaseOwner, now: u64, number: u64, members: &[&str]) {
    let members = members.iter().map(|name| member(name)).collect();
    let version = UpdateVersion { term: 1, number };
    let table = seat_leases::OwnershipTable::not_agreed(version, members);
    owner.apply_table(now, Arc::new(table));
}

/// Name of a gateway that owns the function in a table with this one.
fn other_owner(is_agreed: bool) -> String {
    let names = (0..).map(|number| format!("other-{number}"));
    let mut owners = names.filter(|name| {
        let members = vec![member(ME), member(name)];
        let version = UpdateVersion::default();
        let table = match is_agreed {
            true => seat_leases::OwnershipTable::agreed(OwnershipTable {
                members,
                ..OwnershipTable::default()
            }),
            false => seat_leases::OwnershipTable::not_agreed(version, members),
        };
        table
            .owner_of(FUNCTION)
            .is_some_and(|owner| owner.name == *name)
    });
    owners.next().expect("a name that owns the function")
}

fn draining(id: &str) -> RunnerUpdate {
    RunnerUpdate {
        stage: RunnerStage::Draining,
        ..runner(id, "north", 2)
    }
}

/// A report that a gateway has this request at a runner.
fn seat_in_use(runner: &str, request_id: u64) -> RunnerLeases {
    RunnerLeases {
        runner: runner.into(),
        address: format!("{runner}:1"),
        zone: "north".into(),
        requests: vec![RequestId(request_id)],
    }
}

/// An owner of all functions that knows one runner with two seats.
fn sole_owner() -> LeaseOwner {
    let mut owner = LeaseOwner::new(ME, LeasingPolicy::default(), Topology::default());
    apply(&mut owner, 0, table(1, &[ME], &[ME]));
    owner.update_runners(0, update(1, &[runner("r", "north", 2)]));
    owner.request_lease(0, ME, "north", lease_request(1, 1));
    assert_eq!(leases(&mut owner), [(1, "r".to_string())]);
    owner.release(5, ME, &release(1, LeaseOutcome::Succeeded, 5));
    owner
}

#[test]
fn a_returning_owner_does_not_lease_at_a_runner_removed_meanwhile() {
    let mut owner = sole_owner();
    let other = other_owner(true);
    apply(&mut owner, 10, table(2, &[ME, &other], &[&other]));
    // The scaler tells the other owner that the runner is draining. Then that owner crashes without a handover.
    apply(&mut owner, LATER, table(3, &[ME], &[]));
    owner.request_lease(LATER, ME, "north", lease_request(2, 1));
    assert!(leases(&mut owner).is_empty());
    let report = owner.reports(LATER + 50, false).pop().expect("a report");
    assert_eq!(
        report.update_number, 0,
        "the scaler would not send the list again"
    );
    owner.update_runners(
        LATER + 55,
        update(2, &[draining("r"), runner("s", "north", 2)]),
    );
    assert_eq!(leases(&mut owner), [(2, "s".to_string())]);
}

#[test]
fn an_owner_that_keeps_a_function_under_a_new_table_keeps_leasing() {
    let mut owner = sole_owner();
    let other = other_owner(true);
    let mut still = table(2, &[ME, &other], &[&other]);
    still.leaving = vec![other];
    apply(&mut owner, 10, still);
    apply(&mut owner, 20, table(3, &[ME], &[]));
    owner.request_lease(30, ME, "north", lease_request(2, 1));
    assert_eq!(leases(&mut owner), [(2, "r".to_string())]);
}

#[test]
fn a_handed_over_list_replaces_the_known_one() {
    let mut owner = sole_owner();
    let other = other_owner(true);
    apply(&mut owner, 10, table(2, &[ME, &other], &[&other]));
    let mut back = table(3, &[ME, &other], &[]);
    back.leaving = vec![other.clone()];
    apply(&mut owner, LATER, back);
    owner.request_lease(LATER, ME, "north", lease_request(2, 1));
    owner.request_lease(LATER, ME, "north", lease_request(3, 1));
    let handover = SeatHandover {
        version: UpdateVersion { term: 1, number: 3 },
        functions: vec![FunctionHandover {
            function: FUNCTION.into(),
            version: UpdateVersion { term: 1, number: 9 },
            runners: vec![RunnerHandover {
                update: runner("s", "north", 1),
                is_up: true,
                ..RunnerHandover::default()
            }],
            leases: Vec::new(),
        }],
        is_last: true,
    };
    owner
        .receive_handover(LATER, &other, handover)
        .expect("the handover is accepted");
    // The former owner's list does not contain the earlier runner, so that runner has been removed.
    assert_eq!(leases(&mut owner), [(2, "s".to_string())]);
    owner.tick(LATER + 100);
    assert!(leases(&mut owner).is_empty());
}

/// The function's part of the handover that an owner sends to a gateway under a version.
fn handed_over(owner: &mut LeaseOwner, to: &str, number: u64) -> FunctionHandover {
    owner.take_actions();
    owner.handover_requested(to, UpdateVersion { term: 1, number });
    let actions = owner.take_actions().into_iter();
    let mut functions = actions.filter_map(|action| match action {
        LeaseAction::HandOver { handover, .. } => handover.functions.into_iter().next(),
        _ => None,
    });
    functions.next().expect("the function is handed over")
}

#[test]
fn a_list_is_handed_over_only_to_the_next_owner() {
    let mut owner = sole_owner();
    let other = other_owner(true);
    apply(&mut owner, 10, table(2, &[ME, &other], &[&other]));
    let handed = handed_over(&mut owner, &other, 2);
    assert_eq!(handed.version, UpdateVersion { term: 1, number: 1 });
    // Another gateway joins, which does not affect the function.
    let mut third = table(3, &[ME, &other, "third"], &["third"]);
    third.leaving = vec!["third".into()];
    apply(&mut owner, 20, third);
    assert!(handed_over(&mut owner, &other, 3).is_confirmed());
    // The next owner crashes and restarts as another incarnation, which requests handovers from all members.
    let mut again = table(4, &[ME, &other], &[&other]);
    again.members[1].incarnation = 2;
    apply(&mut owner, LATER, again);
    assert!(!handed_over(&mut owner, &other, 4).is_confirmed());
}

#[test]
fn a_runner_reported_only_by_a_gateway_gets_no_leases_before_the_scaler_lists_it() {
    let mut owner = LeaseOwner::new(ME, LeasingPolicy::default(), Topology::default());
    let mut first = table(1, &[ME, "client"], &[ME, "client"]);
    first.leaving = vec!["client".into()];
    apply(&mut owner, 0, first);
    owner.adopt_leases(0, "client", FUNCTION, &[seat_in_use("r", 7)]);
    assert_eq!(in_use(&owner, "r"), Some(1));
    owner.request_lease(1, ME, "north", lease_request(8, 1));
    owner.release(5, "client", &release(7, LeaseOutcome::Succeeded, 5));
    assert!(request_ids(&mut owner).is_empty());
    owner.update_runners(9, update(1, &[runner("r", "north", 1)]));
    assert_eq!(request_ids(&mut owner), [8]);
}

#[test]
fn a_reported_runner_missing_from_the_scalers_list_gets_no_leases() {
    let mut owner = sole_owner();
    owner.adopt_leases(10, ME, FUNCTION, &[seat_in_use("gone", 7)]);
    owner.release(15, ME, &release(7, LeaseOutcome::Succeeded, 5));
    for number in 2..6 {
        owner.request_lease(20, ME, "north", lease_request(number, 1));
    }
    let leased = leases(&mut owner);
    assert_eq!(leased, [(2, "r".to_string()), (3, "r".to_string())]);
}

#[test]
fn without_a_scaler_a_reported_runner_is_leased() {
    let other = other_owner(true);
    let mut owner = LeaseOwner::new(ME, LeasingPolicy::default(), Topology::default());
    apply(&mut owner, 0, table(1, &[ME, &other], &[ME, &other]));
    owner.set_scaler_reachable(0, false);
    owner.set_failover_for(0, [other].into());
    owner.adopt_leases(0, ME, FUNCTION, &[seat_in_use("r", 7)]);
    owner.request_lease(1, ME, "north", lease_request(8, 1));
    owner.release(5, ME, &release(7, LeaseOutcome::Succeeded, 5));
    assert_eq!(request_ids(&mut owner), [8]);
}

#[test]
fn a_substitute_owner_without_agreed_tables_does_not_use_an_old_list() {
    let other = other_owner(false);
    let mut owner = LeaseOwner::new(ME, LeasingPolicy::default(), Topology::default());
    apply_not_agreed(&mut owner, 0, 1, &[ME]);
    owner.update_runners(0, update(1, &[runner("r", "north", 2)]));
    apply_not_agreed(&mut owner, 10, 2, &[ME, &other]);
    // A gateway that cannot reach the owner asks this one.
    owner.request_lease(LATER, "client", "north", lease_request(2, 1));
    assert!(leases(&mut owner).is_empty());
    owner.update_runners(
        LATER + 20,
        update(2, &[draining("r"), runner("s", "north", 2)]),
    );
    assert_eq!(leases(&mut owner), [(2, "s".to_string())]);
}

#[test]
fn an_occasional_substitute_owner_requests_the_list_each_time() {
    let other = other_owner(false);
    let mut owner = LeaseOwner::new(ME, LeasingPolicy::default(), Topology::default());
    apply_not_agreed(&mut owner, 0, 1, &[ME, &other]);
    owner.request_lease(0, "client", "north", lease_request(1, 1));
    owner.update_runners(20, update(1, &[runner("r", "north", 2)]));
    assert_eq!(leases(&mut owner), [(1, "r".to_string())]);
    // While the function is in use, its reports show the scaler when the list is outdated.
    owner.request_lease(30, "client", "north", lease_request(2, 1));
    assert_eq!(leases(&mut owner), [(2, "r".to_string())]);
    for number in [1, 2] {
        owner.release(40, "client", &release(number, LeaseOutcome::Succeeded, 5));
    }
    owner.request_lease(3_000, "client", "north", lease_request(3, 1));
    assert!(leases(&mut owner).is_empty());
}

#[test]
fn an_unconfirmed_list_is_used_after_a_timeout() {
    let mut owner = sole_owner();
    let other = other_owner(true);
    apply(&mut owner, 10, table(2, &[ME, &other], &[&other]));
    apply(&mut owner, 20, table(3, &[ME], &[]));
    owner.request_lease(20, ME, "north", lease_request(2, 1));
    owner.tick(269);
    assert!(leases(&mut owner).is_empty());
    owner.tick(270);
    assert_eq!(leases(&mut owner), [(2, "r".to_string())]);
}

#[test]
fn only_the_functions_owner_requests_a_list() {
    let mut owner = sole_owner();
    owner.reports(1_000, true);
    let other = other_owner(true);
    apply(&mut owner, 1_010, table(2, &[ME, &other], &[&other]));
    // The other owner restarts as another incarnation, so the list here is outdated.
    let mut again = table(3, &[ME, &other], &[&other]);
    again.members[1].incarnation = 2;
    apply(&mut owner, 1_020, again);
    assert!(owner.reports(2_000, false).is_empty());
    apply(&mut owner, 2_010, table(4, &[ME], &[]));
    assert_eq!(owner.reports(2_020, false).len(), 1);
}

#[test]
fn an_idle_function_with_an_unconfirmed_list_waits_for_it_on_its_first_request() {
    let mut owner = sole_owner();
    let other = other_owner(true);
    apply(&mut owner, 10, table(2, &[ME, &other], &[&other]));
    apply(&mut owner, 20, table(3, &[ME], &[]));
    // The scaler has just started and sends nothing. The function is used again later.
    owner.request_lease(LATER, ME, "north", lease_request(2, 1));
    assert!(leases(&mut owner).is_empty());
    owner.tick(LATER + 250);
    assert_eq!(leases(&mut owner), [(2, "r".to_string())]);
}

#[test]
fn an_outdated_update_does_not_confirm_a_list() {
    let mut owner = sole_owner();
    owner.update_runners(6, update(5, &[draining("r"), runner("s", "north", 2)]));
    let other = other_owner(true);
    apply(&mut owner, 10, table(2, &[ME, &other], &[&other]));
    apply(&mut owner, LATER, table(3, &[ME], &[]));
    owner.request_lease(LATER, ME, "north", lease_request(2, 1));
    owner.update_runners(LATER, update(4, &[runner("r", "north", 2)]));
    assert!(leases(&mut owner).is_empty());
    owner.update_runners(LATER, update(5, &[draining("r"), runner("s", "north", 2)]));
    assert_eq!(leases(&mut owner), [(2, "s".to_string())]);
}
