//! A request prefers runners that have not failed it and returns to a failed one only if there is no alternative.

mod common;

use common::{excluding, leases, owner_with, release, runner, update};
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{LeaseOutcome, LeaseRequest, RunnerStage, RunnerUpdate};
use seat_leases::LeaseOwner;
use std::collections::BTreeSet;

fn runner_in_stage(id: &str, stage: RunnerStage) -> RunnerUpdate {
    RunnerUpdate {
        stage,
        starts_in_ms: 1_000,
        ..runner(id, "north", 4)
    }
}

fn request(owner: &mut LeaseOwner, request: LeaseRequest) -> Vec<(u64, String)> {
    owner.request_lease(1, "f", "north", request);
    leases(owner)
}

#[test]
fn a_request_that_all_runners_failed_goes_to_one_of_them_again() {
    let mut owner = owner_with(&[runner("a", "north", 4), runner("b", "south", 4)]);
    let leased = request(&mut owner, excluding(1, &["a", "b"]));
    assert_eq!(leased, [(1, "a".to_string())]);
}

#[test]
fn a_draining_runner_is_not_an_alternative_to_wait_for() {
    let mut owner = owner_with(&[runner("a", "north", 4), runner("b", "north", 1)]);
    assert_eq!(
        request(&mut owner, excluding(1, &["a"])),
        [(1, "b".to_string())]
    );
    // The runner stays in the list until its lease ends, but gets no new requests.
    owner.update_runners(2, update(2, &[runner("a", "north", 4)]));
    let leased = request(&mut owner, excluding(2, &["a"]));
    assert_eq!(leased, [(2, "a".to_string())]);
}

#[test]
fn a_runner_that_is_gone_is_not_an_alternative_to_wait_for() {
    let mut owner = owner_with(&[runner("a", "north", 4), runner("b", "north", 4)]);
    assert_eq!(
        request(&mut owner, excluding(1, &["a"])),
        [(1, "b".to_string())]
    );
    owner.release(2, "f", &release(1, LeaseOutcome::Gone, 0));
    let leased = request(&mut owner, excluding(2, &["a"]));
    assert_eq!(leased, [(2, "a".to_string())]);
}

#[test]
fn a_runner_in_an_evacuated_zone_is_not_an_alternative_to_wait_for() {
    let mut owner = owner_with(&[runner("a", "north", 4), runner("b", "south", 4)]);
    owner.set_evacuated_zones(BTreeSet::from(["south".to_string()]));
    let leased = request(&mut owner, excluding(1, &["a"]));
    assert_eq!(leased, [(1, "a".to_string())]);
}

#[test]
fn a_runner_in_a_forbidden_region_is_not_an_alternative_to_wait_for() {
    let zones = [("north", "n"), ("south", "s")];
    let zones = zones.map(|(zone, region)| (zone.to_string(), region.to_string()));
    let mut owner = LeaseOwner::standalone(LeasingPolicy::default(), Topology::new(zones.into()));
    let runners = [runner("a", "north", 4), runner("b", "south", 4)];
    owner.update_runners(0, update(1, &runners));
    let restricted = LeaseRequest {
        allowed_regions: vec!["n".into()],
        ..excluding(1, &["a"])
    };
    assert_eq!(request(&mut owner, restricted), [(1, "a".to_string())]);
}

#[test]
fn a_request_waits_for_another_runner_that_is_serving_or_starting() {
    let mut owner = owner_with(&[
        runner("a", "north", 4),
        runner_in_stage("b", RunnerStage::Starting),
    ]);
    assert_eq!(request(&mut owner, excluding(1, &["a"])), []);
    let mut owner = owner_with(&[runner("a", "north", 4), runner("b", "north", 1)]);
    assert_eq!(
        request(&mut owner, excluding(1, &["a"])),
        [(1, "b".to_string())]
    );
    assert_eq!(request(&mut owner, excluding(2, &["a"])), []);
}

#[test]
fn a_waiting_request_returns_to_a_failed_runner_once_the_alternative_drains() {
    let mut owner = owner_with(&[
        runner("a", "north", 4),
        runner_in_stage("b", RunnerStage::Starting),
    ]);
    assert_eq!(request(&mut owner, excluding(1, &["a"])), []);
    let leaving = [
        runner("a", "north", 4),
        runner_in_stage("b", RunnerStage::Draining),
    ];
    owner.update_runners(2, update(2, &leaving));
    assert_eq!(leases(&mut owner), [(1, "a".to_string())]);
}
