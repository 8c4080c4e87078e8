//! What the owner of a function guarantees to the gateways that request leases.

mod common;

use common::{
    excluding, in_use, lease_request, leases, owner_with, rejections, release, request_ids, runner,
    update, FUNCTION,
};
use protocol::{LeaseOutcome, LeaseRequest, RequestId, RunnerStage, RunnerUpdate, UpdateVersion};
use seat_leases::{LeaseAction, LeaseOwner};
use std::collections::BTreeSet;

#[test]
fn a_runner_gets_no_more_than_its_quota() {
    let mut owner = owner_with(&[runner("a", "north", 2)]);
    for request_id in 1..=4 {
        owner.request_lease(0, "f", "north", lease_request(request_id, 1));
    }
    assert_eq!(request_ids(&mut owner), [1, 2]);
    owner.release(1, "f", &release(1, LeaseOutcome::Succeeded, 10));
    assert_eq!(request_ids(&mut owner), [3]);
}

#[test]
fn a_runner_with_no_quota_gets_nothing() {
    let mut owner = owner_with(&[runner("a", "north", 0)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [0; 0]);
}

#[test]
fn lower_priority_number_goes_first_then_the_longer_wait() {
    let mut owner = owner_with(&[runner("a", "north", 1)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    for (request_id, priority) in [(2, 2), (3, 1), (4, 1), (5, 0)] {
        owner.request_lease(0, "f", "north", lease_request(request_id, priority));
    }
    let mut order = Vec::new();
    for _ in 0..5 {
        let leased = request_ids(&mut owner);
        assert_eq!(leased.len(), 1);
        order.push(leased[0]);
        owner.release(1, "f", &release(leased[0], LeaseOutcome::Succeeded, 10));
    }
    assert_eq!(order, [1, 5, 3, 4, 2]);
}

#[test]
fn a_runner_in_the_same_zone_is_leased_first() {
    let mut owner = owner_with(&[runner("far", "south", 1), runner("near", "north", 1)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.request_lease(0, "f", "north", lease_request(2, 1));
    let expected = [(1, "near".to_string()), (2, "far".to_string())];
    assert_eq!(leases(&mut owner), expected);
}

#[test]
fn an_excluded_runner_is_leased_only_if_there_is_no_other() {
    let mut two = owner_with(&[runner("a", "north", 4), runner("b", "south", 1)]);
    two.request_lease(0, "f", "north", excluding(1, &["a"]));
    two.request_lease(0, "f", "north", excluding(2, &["a"]));
    assert_eq!(leases(&mut two), [(1, "b".to_string())]);
    let mut one = owner_with(&[runner("a", "north", 4)]);
    one.request_lease(0, "f", "north", excluding(3, &["a"]));
    assert_eq!(leases(&mut one), [(3, "a".to_string())]);
}

#[test]
fn cancelling_removes_a_waiting_request_and_frees_a_leased_seat() {
    let mut owner = owner_with(&[runner("a", "north", 1)]);
    for request_id in 1..=3 {
        owner.request_lease(0, "f", "north", lease_request(request_id, 1));
    }
    assert_eq!(request_ids(&mut owner), [1]);
    owner.cancel(1, "f", RequestId(2));
    owner.cancel(1, "f", RequestId(1));
    assert_eq!(request_ids(&mut owner), [3]);
    assert_eq!(in_use(&owner, "a"), Some(1));
}

#[test]
fn every_outcome_frees_the_seat() {
    let outcomes = [
        LeaseOutcome::Succeeded,
        LeaseOutcome::Unused,
        LeaseOutcome::Rejected,
        LeaseOutcome::Gone,
        LeaseOutcome::Unreachable,
        LeaseOutcome::Lost,
    ];
    for outcome in outcomes {
        let mut owner = owner_with(&[runner("a", "north", 1)]);
        owner.request_lease(0, "f", "north", lease_request(1, 1));
        owner.release(1, "f", &release(1, outcome, 10));
        assert_eq!(in_use(&owner, "a"), Some(0), "{outcome:?}");
        // A second release, or one of a gateway without a lease, has no effect.
        owner.release(1, "f", &release(1, outcome, 10));
        owner.release(1, "g", &release(1, outcome, 10));
        assert_eq!(in_use(&owner, "a"), Some(0), "{outcome:?}");
    }
}

#[test]
fn leases_and_requests_of_a_removed_gateway_are_dropped() {
    let mut owner = owner_with(&[runner("a", "north", 1)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.request_lease(0, "f", "north", lease_request(2, 1));
    owner.request_lease(0, "g", "north", lease_request(1, 1));
    assert_eq!(leases(&mut owner), [(1, "a".to_string())]);
    owner.remove_gateway(1, "f");
    let actions = owner.take_actions();
    let [LeaseAction::Lease { gateway, lease }] = &actions[..] else {
        panic!("expected exactly one lease: {actions:?}");
    };
    assert_eq!((gateway.as_str(), lease.request_id), ("g", RequestId(1)));
    assert_eq!(in_use(&owner, "a"), Some(1));
}

#[test]
fn a_runner_that_rejected_a_request_backs_off() {
    let mut owner = owner_with(&[runner("a", "north", 2)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.release(10, "f", &release(1, LeaseOutcome::Rejected, 1));
    owner.request_lease(10, "f", "north", lease_request(2, 1));
    assert_eq!(request_ids(&mut owner), [0; 0]);
    owner.tick(15);
    assert_eq!(request_ids(&mut owner), [0; 0]);
    owner.tick(60);
    assert_eq!(request_ids(&mut owner), [2]);
}

#[test]
fn a_runner_that_is_gone_gets_no_more_leases() {
    let mut owner = owner_with(&[runner("a", "north", 2)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.release(1, "f", &release(1, LeaseOutcome::Gone, 0));
    owner.request_lease(1, "f", "north", lease_request(2, 1));
    owner.tick(500);
    assert_eq!(request_ids(&mut owner), [0; 0]);
    let reports = owner.reports(600, true);
    assert!(reports[0].runners[0].is_unreachable);
}

/// Checks that a runner with one seat is gone after the last of these outcomes and not before.
fn assert_gone_after(outcomes: &[LeaseOutcome]) {
    let mut owner = owner_with(&[runner("a", "north", 1)]);
    for (request_id, outcome) in (1..).zip(outcomes) {
        owner.request_lease(0, "f", "north", lease_request(request_id, 1));
        assert_eq!(request_ids(&mut owner), [request_id], "before {outcome:?}");
        owner.release(0, "f", &release(request_id, *outcome, 10));
    }
    owner.request_lease(0, "f", "north", lease_request(9, 1));
    assert_eq!(request_ids(&mut owner), [0; 0]);
    assert!(owner.reports(1_000, true)[0].runners[0].is_unreachable);
}

#[test]
fn three_consecutive_failures_mean_gone_unless_a_success_intervenes() {
    assert_gone_after(&[
        LeaseOutcome::Unreachable,
        LeaseOutcome::Unreachable,
        LeaseOutcome::Succeeded,
        LeaseOutcome::Unreachable,
        LeaseOutcome::Unreachable,
        LeaseOutcome::Unreachable,
    ]);
}

#[test]
fn three_consecutive_lost_responses_mean_gone() {
    assert_gone_after(&[
        LeaseOutcome::Lost,
        LeaseOutcome::Lost,
        LeaseOutcome::Succeeded,
        LeaseOutcome::Lost,
        LeaseOutcome::Unreachable,
        LeaseOutcome::Lost,
    ]);
}

#[test]
fn an_older_update_is_ignored() {
    let mut owner = LeaseOwner::default();
    owner.update_runners(0, update(5, &[runner("new", "north", 1)]));
    owner.update_runners(0, update(4, &[runner("old", "north", 9)]));
    assert_eq!(in_use(&owner, "old"), None);
    assert_eq!(in_use(&owner, "new"), Some(0));
    let mut next_term = update(1, &[runner("next", "north", 1)]);
    next_term.version = UpdateVersion { term: 2, number: 1 };
    owner.update_runners(0, next_term);
    assert_eq!(in_use(&owner, "next"), Some(0));
}

#[test]
fn a_draining_runner_gets_no_leases_and_is_reported_until_empty() {
    let mut owner = owner_with(&[runner("a", "north", 2)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    let draining = RunnerUpdate {
        stage: RunnerStage::Draining,
        ..runner("a", "north", 2)
    };
    owner.update_runners(1, update(2, &[draining]));
    owner.request_lease(1, "f", "north", lease_request(2, 1));
    owner.tick(100);
    assert_eq!(request_ids(&mut owner), [0; 0]);
    assert_eq!(owner.reports(400, true)[0].runners[0].in_use, 1);
    owner.release(401, "f", &release(1, LeaseOutcome::Succeeded, 400));
    let reports = owner.reports(700, false);
    assert_eq!(reports[0].runners[0].in_use, 0);
    assert_eq!(request_ids(&mut owner), [0; 0]);
}

#[test]
fn a_runner_missing_from_the_update_keeps_only_its_leases() {
    let mut owner = owner_with(&[runner("a", "north", 2)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.update_runners(1, update(2, &[]));
    owner.request_lease(1, "f", "north", lease_request(2, 1));
    assert_eq!(request_ids(&mut owner), [1]);
    assert_eq!(in_use(&owner, "a"), Some(1));
    owner.release(2, "f", &release(1, LeaseOutcome::Succeeded, 2));
    owner.update_runners(3, update(3, &[]));
    assert_eq!(in_use(&owner, "a"), None);
}

#[test]
fn an_evacuated_zone_gets_no_leases_until_it_is_restored() {
    let mut owner = owner_with(&[runner("a", "north", 1)]);
    owner.set_evacuated_zones(BTreeSet::from(["north".to_string()]));
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.tick(50);
    assert_eq!(request_ids(&mut owner), [0; 0]);
    owner.set_evacuated_zones(BTreeSet::new());
    owner.tick(100);
    assert_eq!(request_ids(&mut owner), [1]);
}

#[test]
fn a_full_queue_rejects_with_a_retry_after_time() {
    let mut owner = LeaseOwner::default();
    for request_id in 0..2_000 {
        owner.request_lease(0, "f", "north", lease_request(request_id, 1));
    }
    let rejected = rejections(&mut owner);
    assert!(rejected.len() >= 1_000, "{} were rejected", rejected.len());
    assert!(rejected.iter().all(|(_, after)| *after > 0));
    let waiting = owner.reports(1_000, true)[0].waiting as usize;
    assert_eq!(waiting + rejected.len(), 2_000);
}

#[test]
fn a_request_past_its_deadline_is_rejected() {
    let mut owner = LeaseOwner::default();
    owner.request_lease(
        0,
        "f",
        "north",
        LeaseRequest {
            timeout_ms: 100,
            ..lease_request(1, 1)
        },
    );
    owner.tick(99);
    assert_eq!(rejections(&mut owner), []);
    owner.tick(100);
    let rejected = rejections(&mut owner);
    assert!(
        matches!(rejected[..], [(1, after)] if after > 0),
        "{rejected:?}"
    );
    owner.update_runners(101, update(1, &[runner("a", "north", 1)]));
    assert_eq!(request_ids(&mut owner), [0; 0]);
}

#[test]
fn a_request_that_would_wait_too_long_is_rejected_at_once() {
    let mut owner = owner_with(&[runner("a", "north", 1)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.release(0, "f", &release(1, LeaseOutcome::Succeeded, 1_000));
    owner.request_lease(0, "f", "north", lease_request(2, 1));
    owner.request_lease(0, "f", "north", lease_request(3, 1));
    assert_eq!(request_ids(&mut owner), [1, 2]);
    owner.request_lease(
        0,
        "f",
        "north",
        LeaseRequest {
            timeout_ms: 500,
            ..lease_request(4, 1)
        },
    );
    let rejected = rejections(&mut owner);
    assert!(
        matches!(rejected[..], [(4, after)] if after >= 1_000),
        "{rejected:?}"
    );
}

#[test]
fn a_free_seat_is_leased_however_slow_the_last_response_was() {
    let mut owner = owner_with(&[runner("a", "north", 1)]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    // A runner is slow just after its start. If it got no requests, nobody would notice that it has become fast.
    owner.release(3_000, "f", &release(1, LeaseOutcome::Succeeded, 3_000));
    assert_eq!(request_ids(&mut owner), [1]);
    owner.request_lease(
        3_001,
        "f",
        "north",
        LeaseRequest {
            timeout_ms: 2_000,
            ..lease_request(2, 1)
        },
    );
    assert_eq!(request_ids(&mut owner), [2]);
}

#[test]
fn a_starting_runner_is_probed_and_serves_once_it_accepts_a_connection() {
    let starting = RunnerUpdate {
        stage: RunnerStage::Starting,
        starts_in_ms: 1_000,
        ..runner("a", "north", 2)
    };
    let mut owner = owner_with(&[starting]);
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.request_lease(0, "f", "north", lease_request(2, 1));
    assert_eq!(owner.take_actions(), []);
    let mut probes = 0;
    for now in 0..1_200 {
        owner.tick(now);
        let actions = owner.take_actions();
        if actions.is_empty() {
            continue;
        }
        let probe = LeaseAction::Probe {
            function: FUNCTION.into(),
            runner: "a".into(),
            address: "a:1".into(),
        };
        assert_eq!(actions, [probe], "at {now}");
        probes += 1;
        owner.record_probe(now, FUNCTION, "a", now >= 1_000);
        if now >= 1_000 {
            break;
        }
    }
    assert!((2..=40).contains(&probes), "{probes} probes");
    // The probe's connection may occupy a seat for a moment.
    assert_eq!(request_ids(&mut owner), [1]);
    owner.tick(1_500);
    assert_eq!(request_ids(&mut owner), [2]);
}

#[test]
fn a_release_frees_only_the_seat_of_its_own_gateway() {
    let mut owner = owner_with(&[runner("a", "north", 2)]);
    for gateway in ["f", "g"] {
        owner.request_lease(0, gateway, "north", lease_request(1, 1));
    }
    owner.release(1, "stranger", &release(1, LeaseOutcome::Succeeded, 10));
    assert_eq!(in_use(&owner, "a"), Some(2));
    owner.release(1, "g", &release(1, LeaseOutcome::Succeeded, 10));
    owner.release(1, "g", &release(1, LeaseOutcome::Succeeded, 10));
    assert_eq!(in_use(&owner, "a"), Some(1));
}
