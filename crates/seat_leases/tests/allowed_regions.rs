//! Requests restricted to some regions get no seat in other regions, even if seats are free there.

mod common;

use common::{lease_request, leases, rejections, release, runner, update, FUNCTION};
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{
    LeaseOutcome, LeaseRequest, RequestId, RunnerLeases, RunnerStage, RunnerUpdate, StartBlock,
};
use seat_leases::LeaseOwner;
use std::collections::BTreeSet;

fn topology() -> Topology {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];
    Topology::new(
        zones
            .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
            .into(),
    )
}

fn owner_with(runners: &[RunnerUpdate]) -> LeaseOwner {
    let mut owner = LeaseOwner::standalone(LeasingPolicy::default(), topology());
    owner.update_runners(0, update(1, runners));
    owner
}

fn restricted(request_id: u64, regions: &[&str]) -> LeaseRequest {
    LeaseRequest {
        allowed_regions: regions.iter().map(|region| (*region).to_owned()).collect(),
        ..lease_request(request_id, 1)
    }
}

#[test]
fn a_free_seat_in_another_region_is_not_leased() {
    let mut owner = owner_with(&[runner("r-a", "a1", 4), runner("r-b", "b1", 4)]);
    owner.request_lease(1, "g", "b1", restricted(1, &["a"]));
    owner.request_lease(1, "g", "b1", restricted(2, &["b"]));
    let expected = [(1, "r-a".to_owned()), (2, "r-b".to_owned())];
    assert_eq!(leases(&mut owner), expected);
}

#[test]
fn the_only_runner_is_not_used_if_it_is_in_another_region() {
    let mut owner = owner_with(&[runner("r-b", "b1", 4)]);
    owner.request_lease(1, "g", "a1", restricted(1, &["a", "c"]));
    assert_eq!(leases(&mut owner), []);
    // Not even as a last resort after all other runners have failed it.
    let retried = LeaseRequest {
        excluded_runners: vec!["r-a".into()],
        ..restricted(2, &["a"])
    };
    owner.request_lease(1, "g", "a1", retried);
    assert_eq!(leases(&mut owner), []);
}

#[test]
fn a_runner_in_an_unknown_zone_is_in_no_region() {
    let mut owner = owner_with(&[runner("r-x", "elsewhere", 4)]);
    owner.request_lease(1, "g", "a1", restricted(1, &["a"]));
    assert_eq!(leases(&mut owner), []);
    owner.request_lease(1, "g", "a1", lease_request(2, 1));
    assert_eq!(leases(&mut owner), [(2, "r-x".to_owned())]);
}

#[test]
fn a_runner_reported_by_a_gateway_keeps_its_zone() {
    let mut owner = owner_with(&[]);
    let reported = RunnerLeases {
        runner: "r-b".into(),
        address: "r-b:1".into(),
        zone: "b1".into(),
        requests: vec![RequestId(9)],
    };
    owner.adopt_leases(1, "f", FUNCTION, &[reported]);
    owner.request_lease(2, "g", "a1", restricted(1, &["a"]));
    owner.release(3, "f", &release(9, LeaseOutcome::Succeeded, 10));
    assert_eq!(leases(&mut owner), []);
}

#[test]
fn a_request_waiting_for_its_region_does_not_block_others() {
    let mut owner = owner_with(&[runner("r-b", "b1", 1)]);
    owner.request_lease(1, "g", "a1", restricted(1, &["a"]));
    owner.request_lease(2, "g", "a1", lease_request(2, 1));
    assert_eq!(leases(&mut owner), [(2, "r-b".to_owned())]);
    let both = [runner("r-b", "b1", 1), runner("r-a", "a2", 1)];
    owner.update_runners(3, update(2, &both));
    assert_eq!(leases(&mut owner), [(1, "r-a".to_owned())]);
}

#[test]
fn seats_in_other_regions_do_not_shorten_the_expected_wait() {
    let slow = RunnerUpdate {
        stage: RunnerStage::Starting,
        starts_in_ms: 8_000,
        ..runner("r-a", "a1", 4)
    };
    let mut owner = owner_with(&[runner("r-b", "b1", 4), slow]);
    // The first probe of the starting runner is due after 4,800 ms, which is more than nine tenths of the timeout.
    owner.request_lease(1, "g", "a1", restricted(1, &["a"]));
    let rejected = rejections(&mut owner);
    assert!(
        matches!(rejected[..], [(1, after)] if after >= 4_000),
        "{rejected:?}"
    );
}

#[test]
fn a_request_is_rejected_at_once_if_its_regions_have_no_runner_and_none_can_start() {
    let mut owner = owner_with(&[runner("r-b", "b1", 4)]);
    let mut blocked = update(2, &[runner("r-b", "b1", 4)]);
    blocked.start_block = Some(StartBlock {
        earliest_ready_ms: None,
        retry_after_ms: 1_200,
        valid_ms: 2_000,
    });
    owner.update_runners(1, blocked);
    owner.request_lease(2, "g", "a1", restricted(1, &["a"]));
    assert_eq!(rejections(&mut owner).len(), 1);
    owner.request_lease(3, "g", "a1", lease_request(2, 1));
    assert_eq!(leases(&mut owner), [(2, "r-b".to_owned())]);
}

#[test]
fn an_evacuated_zone_does_not_move_a_request_out_of_its_region() {
    let mut owner = owner_with(&[runner("r-a", "a1", 4), runner("r-b", "b1", 4)]);
    owner.set_evacuated_zones(BTreeSet::from(["a1".to_owned()]));
    owner.request_lease(1, "g", "a1", restricted(1, &["a"]));
    assert_eq!(leases(&mut owner), []);
    owner.tick(6_000);
    assert_eq!(rejections(&mut owner).len(), 1);
}
