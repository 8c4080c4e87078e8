//! How an owner handles the leases that gateways report to it.

mod common;

use common::{in_use, lease_request, release, request_ids, runner, update, FUNCTION};
use protocol::{LeaseOutcome, RequestId, RunnerLeases};
use seat_leases::LeaseOwner;

#[test]
fn a_new_owner_counts_the_leases_that_gateways_report() {
    let mut owner = LeaseOwner::default();
    let held = vec![RunnerLeases {
        runner: "a".into(),
        address: "a:1".into(),
        zone: "north".into(),
        requests: vec![RequestId(7), RequestId(8)],
    }];
    owner.adopt_leases(0, "f", FUNCTION, &held);
    assert_eq!(in_use(&owner, "a"), Some(2));
    owner.update_runners(1, update(1, &[runner("a", "north", 3)]));
    owner.request_lease(1, "g", "north", lease_request(1, 1));
    owner.request_lease(1, "g", "north", lease_request(2, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.release(2, "f", &release(7, LeaseOutcome::Succeeded, 5));
    assert_eq!(request_ids(&mut owner), [2]);
}

#[test]
fn a_later_report_of_a_gateway_replaces_the_earlier_one() {
    let mut owner = LeaseOwner::default();
    let report = |requests: &[u64]| {
        vec![RunnerLeases {
            runner: "a".into(),
            address: "a:1".into(),
            zone: "north".into(),
            requests: requests.iter().copied().map(RequestId).collect(),
        }]
    };
    owner.adopt_leases(0, "f", FUNCTION, &report(&[7, 8]));
    owner.adopt_leases(0, "g", FUNCTION, &report(&[7]));
    owner.update_runners(1, update(1, &[runner("a", "north", 3)]));
    owner.request_lease(1, "g", "north", lease_request(1, 1));
    assert!(request_ids(&mut owner).is_empty());
    owner.adopt_leases(2, "f", FUNCTION, &report(&[8]));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.adopt_leases(3, "f", FUNCTION, &[]);
    assert_eq!(in_use(&owner, "a"), Some(2));
}

#[test]
fn a_repeated_request_holds_only_one_seat() {
    let mut owner = common::owner_with(&[runner("a", "north", 2), runner("b", "north", 2)]);
    // Either request may arrive first if a partition delayed one of them.
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.take_actions();
    owner.check_lease_accounting();
    assert_eq!(owner.usage().leased, 1);
    owner.release(1, "f", &release(1, LeaseOutcome::Unused, 0));
    assert_eq!(owner.usage().leased, 0);
}

#[test]
fn a_removed_gateway_holds_no_leases() {
    let mut owner = common::owner_with(&[runner("a", "north", 2), runner("b", "north", 2)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.release(1, "f", &release(1, LeaseOutcome::Unused, 0));
    owner.remove_gateway(2, "f");
    assert_eq!(owner.usage().leased, 0);
}

#[test]
fn a_late_release_does_not_affect_a_waiting_request() {
    let mut owner = LeaseOwner::default();
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.release(1, "f", &release(1, LeaseOutcome::Unreachable, 0));
    owner.check_lease_accounting();
    owner.cancel(2, "f", RequestId(1));
    assert_eq!(owner.usage().waiting, 0);
}
