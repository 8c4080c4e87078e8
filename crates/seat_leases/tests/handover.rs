//! One owner under agreed tables: when it may lease the seats that fall to it, what it hands over, and what it takes for in use.

mod common;

use common::{in_use, lease_request, leases, release, request_ids, runner, update, FUNCTION};
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{
    FunctionHandover, GatewayLeases, LeaseOutcome, Member, OwnershipTable, RequestId,
    RunnerHandover, RunnerLeases, SeatHandover, UpdateVersion,
};
use seat_leases::{HandoverRefusal, LeaseAction, LeaseOwner, SeatStatus};
use std::sync::Arc;

const ME: &str = "me";
const OTHER: &str = "other";
const CLIENT: &str = "client";

fn version(number: u64) -> UpdateVersion {
    UpdateVersion { term: 1, number }
}

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        incarnation: 1,
        ..Member::default()
    }
}

fn table(number: u64, members: &[&str]) -> OwnershipTable {
    OwnershipTable {
        version: version(number),
        members: members.iter().map(|name| member(name)).collect(),
        is_first: true,
        ..OwnershipTable::default()
    }
}

fn apply(owner: &mut LeaseOwner, table: OwnershipTable) {
    owner.apply_table(0, Arc::new(seat_leases::OwnershipTable::agreed(table)));
}

fn owner() -> LeaseOwner {
    LeaseOwner::new(ME, LeasingPolicy::default(), Topology::default())
}

/// The scaler tells the function's runner, as it does once a table makes this gateway the owner.
fn tell_runner(owner: &mut LeaseOwner) {
    owner.update_runners(0, update(1, &[runner("r", "north", 1)]));
}

/// An owner under a first table of itself and a gateway with clients, of which the latter is about to stop and owns nothing.
fn owner_of_all() -> LeaseOwner {
    let mut owner = owner();
    let first = OwnershipTable {
        joined: vec![ME.into(), CLIENT.into()],
        leaving: vec![CLIENT.into()],
        ..table(1, &[ME, CLIENT])
    };
    apply(&mut owner, first);
    tell_runner(&mut owner);
    owner
}

/// An owner to which the functions of another gateway fall, which is about to stop.
fn owner_that_awaits_a_handover() -> LeaseOwner {
    let mut owner = owner();
    let first = OwnershipTable {
        joined: vec![ME.into(), OTHER.into(), CLIENT.into()],
        leaving: vec![ME.into(), CLIENT.into()],
        ..table(1, &[ME, OTHER, CLIENT])
    };
    apply(&mut owner, first);
    let second = OwnershipTable {
        leaving: vec![OTHER.into(), CLIENT.into()],
        ..table(2, &[ME, OTHER, CLIENT])
    };
    apply(&mut owner, second);
    tell_runner(&mut owner);
    owner
}

fn handover(number: u64, functions: Vec<FunctionHandover>) -> SeatHandover {
    SeatHandover {
        version: version(number),
        functions,
        is_last: true,
    }
}

/// The other gateway has leased the only seat to a request of this number.
fn one_lease(request_id: u64) -> FunctionHandover {
    FunctionHandover {
        function: FUNCTION.into(),
        version: version(1),
        runners: vec![RunnerHandover {
            update: runner("r", "north", 1),
            is_up: true,
            ..RunnerHandover::default()
        }],
        leases: vec![GatewayLeases {
            gateway: CLIENT.into(),
            runners: vec![RunnerLeases {
                runner: "r".into(),
                requests: vec![RequestId(request_id)],
                ..RunnerLeases::default()
            }],
        }],
    }
}

fn asks_for_handover(actions: &[LeaseAction], number: u64) -> bool {
    actions.contains(&LeaseAction::RequestHandover {
        gateway: OTHER.into(),
        version: version(number),
    })
}

fn asks_about(actions: &[LeaseAction], request_id: u64) -> bool {
    actions.contains(&LeaseAction::ConfirmLeases {
        gateway: CLIENT.into(),
        requests: vec![RequestId(request_id)],
    })
}

#[test]
fn nothing_is_leased_without_a_table() {
    let mut owner = owner();
    tell_runner(&mut owner);
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    assert!(request_ids(&mut owner).is_empty());
    assert_eq!(*owner.seat_status(FUNCTION), SeatStatus::Unowned);
}

#[test]
fn seats_that_fall_here_are_leased_once_their_former_owner_has_answered() {
    let mut owner = owner_that_awaits_a_handover();
    assert!(asks_for_handover(&owner.take_actions(), 2));
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    assert!(request_ids(&mut owner).is_empty());
    assert_eq!(*owner.seat_status(FUNCTION), SeatStatus::AwaitsHandover);
    assert_eq!(
        owner.receive_handover(0, OTHER, handover(2, Vec::new())),
        Ok(())
    );
    assert_eq!(request_ids(&mut owner), [1]);
}

#[test]
fn an_answer_under_another_table_or_of_a_stranger_frees_nothing() {
    let mut owner = owner_that_awaits_a_handover();
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    for number in [1, 3] {
        let refused = owner.receive_handover(0, OTHER, handover(number, Vec::new()));
        assert_eq!(refused, Err(HandoverRefusal::OtherVersion(version(number))));
    }
    let refused = owner.receive_handover(0, "stranger", handover(2, Vec::new()));
    assert_eq!(refused, Err(HandoverRefusal::NotAMember));
    assert!(request_ids(&mut owner).is_empty());
    let mut alone = LeaseOwner::default();
    let refused = alone.receive_handover(0, OTHER, handover(2, Vec::new()));
    assert_eq!(refused, Err(HandoverRefusal::NotAgreed));
}

/// An owner is told a whole table, as one that came anew: a request of this number waits until the other gateway has answered.
fn assert_waits_as_newcomer(owner: &mut LeaseOwner, request_id: u64) {
    let whole = OwnershipTable {
        is_first: false,
        leaving: vec![OTHER.into()],
        ..table(5, &[ME, OTHER])
    };
    apply(owner, whole);
    tell_runner(owner);
    assert!(asks_for_handover(&owner.take_actions(), 5));
    owner.request_lease(0, ME, "north", lease_request(request_id, 1));
    assert!(request_ids(owner).is_empty());
    owner
        .receive_handover(0, OTHER, handover(5, Vec::new()))
        .unwrap();
    assert_eq!(request_ids(owner), [request_id]);
}

#[test]
fn a_gateway_that_came_anew_leases_nothing_before_those_that_were_there_have_answered() {
    assert_waits_as_newcomer(&mut owner(), 1);
}

#[test]
fn an_owner_that_was_away_leases_nothing_before_those_that_stayed_have_answered() {
    let mut owner = owner();
    let first = OwnershipTable {
        joined: vec![ME.into(), OTHER.into()],
        leaving: vec![OTHER.into()],
        ..table(1, &[ME, OTHER])
    };
    apply(&mut owner, first);
    tell_runner(&mut owner);
    owner.request_lease(0, ME, "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.release(0, ME, &release(1, LeaseOutcome::Succeeded, 5));
    // Under the versions between, its functions may have been another gateway's.
    assert_waits_as_newcomer(&mut owner, 2);
}

#[test]
fn a_handed_over_lease_counts_until_its_gateway_has_told() {
    let mut owner = owner_that_awaits_a_handover();
    owner.request_lease(0, CLIENT, "north", lease_request(2, 1));
    owner.take_actions();
    owner
        .receive_handover(0, OTHER, handover(2, vec![one_lease(1)]))
        .unwrap();
    let actions = owner.take_actions();
    assert!(asks_about(&actions, 1), "{actions:?}");
    assert_eq!(in_use(&owner, "r"), Some(1));
    owner.leases_ended(0, CLIENT, &[RequestId(1)]);
    assert_eq!(leases(&mut owner), [(2, "r".to_string())]);
    // What was leased here since is none of the leases that the question was about.
    owner.leases_ended(0, CLIENT, &[RequestId(2)]);
    assert_eq!(in_use(&owner, "r"), Some(1));
}

#[test]
fn an_unanswered_question_is_repeated_and_the_lease_ends_in_time() {
    let mut owner = owner_that_awaits_a_handover();
    owner
        .receive_handover(0, OTHER, handover(2, vec![one_lease(1)]))
        .unwrap();
    owner.take_actions();
    owner.tick(499);
    assert!(!asks_about(&owner.take_actions(), 1));
    owner.tick(500);
    assert!(asks_about(&owner.take_actions(), 1));
    owner.tick(4_999);
    assert_eq!(in_use(&owner, "r"), Some(1));
    owner.tick(5_000);
    assert_eq!(in_use(&owner, "r"), Some(0));
}

#[test]
fn a_former_owner_that_does_not_answer_is_waited_for_in_bounds_and_asked_over_the_next_link() {
    let mut owner = owner_that_awaits_a_handover();
    owner.take_actions();
    owner.gateway_disconnected(0, OTHER);
    assert!(asks_for_handover(&owner.take_actions(), 2));
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    owner.tick(999);
    assert!(request_ids(&mut owner).is_empty());
    owner.tick(1_000);
    assert_eq!(request_ids(&mut owner), [1]);
}

#[test]
fn a_former_owner_that_is_no_member_any_more_is_not_waited_for() {
    let mut owner = owner_that_awaits_a_handover();
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    let without = OwnershipTable {
        leaving: vec![CLIENT.into()],
        ..table(3, &[ME, CLIENT])
    };
    apply(&mut owner, without);
    assert_eq!(request_ids(&mut owner), [1]);
}

#[test]
fn a_lease_outlives_the_link_with_its_gateway_and_ends_with_its_membership() {
    let mut owner = owner_of_all();
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.gateway_disconnected(0, CLIENT);
    owner.request_lease(0, ME, "north", lease_request(2, 1));
    assert!(request_ids(&mut owner).is_empty());
    apply(&mut owner, table(2, &[ME]));
    assert_eq!(request_ids(&mut owner), [2]);
}

#[test]
fn a_report_that_does_not_name_a_lease_frees_no_seat_before_its_gateway_has_told() {
    let mut owner = owner_of_all();
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    // The report and the lease cross on their way.
    owner.adopt_leases(0, CLIENT, FUNCTION, &[]);
    assert!(asks_about(&owner.take_actions(), 1));
    assert_eq!(in_use(&owner, "r"), Some(1));
    owner.leases_ended(0, CLIENT, &[RequestId(1)]);
    assert_eq!(in_use(&owner, "r"), Some(0));
}

#[test]
fn a_request_that_waits_is_forgotten_with_the_link_of_its_gateway() {
    let mut owner = owner_of_all();
    owner.request_lease(0, ME, "north", lease_request(1, 1));
    owner.request_lease(0, CLIENT, "north", lease_request(2, 1));
    owner.gateway_disconnected(0, CLIENT);
    assert_eq!(owner.usage().waiting, 0);
    owner.take_actions();
    owner.release(1, ME, &release(1, LeaseOutcome::Succeeded, 5));
    assert!(request_ids(&mut owner).is_empty());
}

#[test]
fn an_owner_hands_over_once_it_has_the_table_under_which_it_is_asked() {
    let mut owner = owner_of_all();
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    owner.take_actions();
    owner.handover_requested(OTHER, version(2));
    assert!(owner.take_actions().is_empty());
    let second = OwnershipTable {
        joined: vec![OTHER.into()],
        leaving: vec![ME.into(), CLIENT.into()],
        ..table(2, &[ME, OTHER, CLIENT])
    };
    apply(&mut owner, second);
    let handed = owner
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            LeaseAction::HandOver { gateway, handover } if gateway == OTHER => Some(handover),
            _ => None,
        });
    let handed = handed.expect("a hand-over");
    assert_eq!((handed.version, handed.is_last), (version(2), true));
    let leased = &handed.functions[0].leases[0];
    assert_eq!(
        (leased.gateway.as_str(), &leased.runners[0].requests[..]),
        (CLIENT, &[RequestId(1)][..])
    );
    // From then on it leases none of these seats.
    owner.release(1, CLIENT, &release(1, LeaseOutcome::Succeeded, 5));
    owner.request_lease(1, CLIENT, "north", lease_request(2, 1));
    assert!(request_ids(&mut owner).is_empty());
}

#[test]
fn who_acts_for_a_silent_owner_leases_its_seats_until_it_acts_no_more() {
    let mut owner = owner();
    let first = OwnershipTable {
        joined: vec![ME.into(), OTHER.into()],
        ..table(1, &[ME, OTHER])
    };
    apply(&mut owner, first);
    tell_runner(&mut owner);
    owner.set_failover_for(0, [OTHER.to_string()].into());
    owner.request_lease(0, ME, "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.set_failover_for(0, Default::default());
    owner.release(1, ME, &release(1, LeaseOutcome::Succeeded, 5));
    let is_other = *owner.seat_status(FUNCTION) == SeatStatus::OwnedBy(OTHER.into());
    owner.request_lease(1, ME, "north", lease_request(2, 1));
    assert_eq!(request_ids(&mut owner).is_empty(), is_other);
}
