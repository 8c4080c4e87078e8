//! One owner under agreed tables: when it may lease seats assigned to it, what it hands over, and which leases it counts.

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

/// Sends the function's runner, as the scaler does when a table makes this gateway the owner.
fn send_runner(owner: &mut LeaseOwner) {
    owner.update_runners(0, update(1, &[runner("r", "north", 1)]));
}

/// An owner under a first table of itself and a gateway with clients. The latter is about to stop and owns nothing.
fn sole_owner() -> LeaseOwner {
    let mut owner = owner();
    let first = OwnershipTable {
        joined: vec![ME.into(), CLIENT.into()],
        leaving: vec![CLIENT.into()],
        ..table(1, &[ME, CLIENT])
    };
    apply(&mut owner, first);
    send_runner(&mut owner);
    owner
}

/// An owner that takes over the functions of another gateway, which is about to stop.
fn owner_awaiting_handover() -> LeaseOwner {
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
    send_runner(&mut owner);
    owner
}

fn handover(number: u64, functions: Vec<FunctionHandover>) -> SeatHandover {
    SeatHandover {
        version: version(number),
        functions,
        is_last: true,
    }
}

/// A handover in which the other gateway has leased the only seat to this request.
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

fn requests_handover(actions: &[LeaseAction], number: u64) -> bool {
    actions.contains(&LeaseAction::RequestHandover {
        gateway: OTHER.into(),
        version: version(number),
    })
}

fn requests_confirmation(actions: &[LeaseAction], request_id: u64) -> bool {
    actions.contains(&LeaseAction::ConfirmLeases {
        gateway: CLIENT.into(),
        requests: vec![RequestId(request_id)],
    })
}

#[test]
fn nothing_is_leased_without_a_table() {
    let mut owner = owner();
    send_runner(&mut owner);
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    assert!(request_ids(&mut owner).is_empty());
    assert_eq!(*owner.seat_status(FUNCTION), SeatStatus::Unowned);
}

#[test]
fn newly_assigned_seats_are_leased_once_their_former_owner_answers() {
    let mut owner = owner_awaiting_handover();
    assert!(requests_handover(&owner.take_actions(), 2));
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
fn a_handover_under_another_table_or_from_a_non_member_is_refused() {
    let mut owner = owner_awaiting_handover();
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

/// Applies a whole table that marks this gateway as a newcomer. Its request must wait until the other gateway has answered.
fn assert_waits_as_newcomer(owner: &mut LeaseOwner, request_id: u64) {
    let whole = OwnershipTable {
        is_first: false,
        leaving: vec![OTHER.into()],
        ..table(5, &[ME, OTHER])
    };
    apply(owner, whole);
    send_runner(owner);
    assert!(requests_handover(&owner.take_actions(), 5));
    owner.request_lease(0, ME, "north", lease_request(request_id, 1));
    assert!(request_ids(owner).is_empty());
    owner
        .receive_handover(0, OTHER, handover(5, Vec::new()))
        .unwrap();
    assert_eq!(request_ids(owner), [request_id]);
}

#[test]
fn a_new_gateway_leases_nothing_before_the_existing_members_answer() {
    assert_waits_as_newcomer(&mut owner(), 1);
}

#[test]
fn a_returning_owner_leases_nothing_before_the_remaining_members_answer() {
    let mut owner = owner();
    let first = OwnershipTable {
        joined: vec![ME.into(), OTHER.into()],
        leaving: vec![OTHER.into()],
        ..table(1, &[ME, OTHER])
    };
    apply(&mut owner, first);
    send_runner(&mut owner);
    owner.request_lease(0, ME, "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.release(0, ME, &release(1, LeaseOutcome::Succeeded, 5));
    // Under the versions in between, another gateway may have owned its functions.
    assert_waits_as_newcomer(&mut owner, 2);
}

#[test]
fn a_handed_over_lease_stays_in_use_until_its_gateway_ends_it() {
    let mut owner = owner_awaiting_handover();
    owner.request_lease(0, CLIENT, "north", lease_request(2, 1));
    owner.take_actions();
    owner
        .receive_handover(0, OTHER, handover(2, vec![one_lease(1)]))
        .unwrap();
    let actions = owner.take_actions();
    assert!(requests_confirmation(&actions, 1), "{actions:?}");
    assert_eq!(in_use(&owner, "r"), Some(1));
    owner.leases_ended(0, CLIENT, &[RequestId(1)]);
    assert_eq!(leases(&mut owner), [(2, "r".to_string())]);
    // The question did not concern leases issued here since.
    owner.leases_ended(0, CLIENT, &[RequestId(2)]);
    assert_eq!(in_use(&owner, "r"), Some(1));
}

#[test]
fn an_unanswered_question_is_repeated_and_the_lease_expires() {
    let mut owner = owner_awaiting_handover();
    owner
        .receive_handover(0, OTHER, handover(2, vec![one_lease(1)]))
        .unwrap();
    owner.take_actions();
    owner.tick(499);
    assert!(!requests_confirmation(&owner.take_actions(), 1));
    owner.tick(500);
    assert!(requests_confirmation(&owner.take_actions(), 1));
    owner.tick(4_999);
    assert_eq!(in_use(&owner, "r"), Some(1));
    owner.tick(5_000);
    assert_eq!(in_use(&owner, "r"), Some(0));
}

#[test]
fn the_wait_for_a_former_owner_is_bounded_and_its_handover_requested_again_over_the_next_link() {
    let mut owner = owner_awaiting_handover();
    owner.take_actions();
    owner.gateway_disconnected(0, OTHER);
    assert!(requests_handover(&owner.take_actions(), 2));
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    owner.tick(999);
    assert!(request_ids(&mut owner).is_empty());
    owner.tick(1_000);
    assert_eq!(request_ids(&mut owner), [1]);
}

#[test]
fn a_former_owner_that_is_no_longer_a_member_is_not_waited_for() {
    let mut owner = owner_awaiting_handover();
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
    let mut owner = sole_owner();
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.gateway_disconnected(0, CLIENT);
    owner.request_lease(0, ME, "north", lease_request(2, 1));
    assert!(request_ids(&mut owner).is_empty());
    apply(&mut owner, table(2, &[ME]));
    assert_eq!(request_ids(&mut owner), [2]);
}

#[test]
fn a_lease_missing_from_a_report_stays_in_use_until_its_gateway_ends_it() {
    let mut owner = sole_owner();
    owner.request_lease(0, CLIENT, "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    // The report and the lease crossed on their way.
    owner.adopt_leases(0, CLIENT, FUNCTION, &[]);
    assert!(requests_confirmation(&owner.take_actions(), 1));
    assert_eq!(in_use(&owner, "r"), Some(1));
    owner.leases_ended(0, CLIENT, &[RequestId(1)]);
    assert_eq!(in_use(&owner, "r"), Some(0));
}

#[test]
fn a_waiting_request_is_dropped_when_the_link_of_its_gateway_ends() {
    let mut owner = sole_owner();
    owner.request_lease(0, ME, "north", lease_request(1, 1));
    owner.request_lease(0, CLIENT, "north", lease_request(2, 1));
    owner.gateway_disconnected(0, CLIENT);
    assert_eq!(owner.usage().waiting, 0);
    owner.take_actions();
    owner.release(1, ME, &release(1, LeaseOutcome::Succeeded, 5));
    assert!(request_ids(&mut owner).is_empty());
}

#[test]
fn a_handover_is_sent_once_the_requested_table_version_is_applied() {
    let mut owner = sole_owner();
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
    let received = owner
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            LeaseAction::HandOver { gateway, handover } if gateway == OTHER => Some(handover),
            _ => None,
        });
    let received = received.expect("a handover");
    assert_eq!((received.version, received.is_last), (version(2), true));
    let leased = &received.functions[0].leases[0];
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
fn a_gateway_leases_the_seats_of_an_unresponsive_owner_until_failover_ends() {
    let mut owner = owner();
    let first = OwnershipTable {
        joined: vec![ME.into(), OTHER.into()],
        ..table(1, &[ME, OTHER])
    };
    apply(&mut owner, first);
    send_runner(&mut owner);
    owner.set_failover_for(0, [OTHER.to_string()].into());
    owner.request_lease(0, ME, "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.set_failover_for(0, Default::default());
    owner.release(1, ME, &release(1, LeaseOutcome::Succeeded, 5));
    let is_other = *owner.seat_status(FUNCTION) == SeatStatus::OwnedBy(OTHER.into());
    owner.request_lease(1, ME, "north", lease_request(2, 1));
    assert_eq!(request_ids(&mut owner).is_empty(), is_other);
}
