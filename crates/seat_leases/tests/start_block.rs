//! Requests of a function without runners are rejected at once while no worker has room for one, and never too early.

mod common;

use common::{lease_request, leases, owner_with, rejections, release, runner, update, FUNCTION};
use protocol::{
    FunctionUpdate, LeaseOutcome, LeaseRequest, RunnerStage, RunnerUpdate, StartBlock,
    UpdateVersion, ZoneArrivals,
};
use seat_leases::LeaseOwner;

const RETRY_AFTER_MS: u32 = 2_400;
const VALID_MS: u32 = 2_000;

fn blocked(
    number: u64,
    earliest_ready_ms: Option<u32>,
    runners: &[RunnerUpdate],
) -> FunctionUpdate {
    FunctionUpdate {
        start_block: Some(StartBlock {
            earliest_ready_ms,
            retry_after_ms: RETRY_AFTER_MS,
            valid_ms: VALID_MS,
        }),
        ..update(number, runners)
    }
}

fn with_timeout(request_id: u64, timeout_ms: u32) -> LeaseRequest {
    LeaseRequest {
        timeout_ms,
        ..lease_request(request_id, 1)
    }
}

#[test]
fn waiting_requests_are_rejected_when_a_start_block_arrives() {
    let mut owner = LeaseOwner::default();
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.request_lease(5, "g", "north", lease_request(2, 0));
    assert_eq!(rejections(&mut owner), []);
    owner.update_runners(40, blocked(1, None, &[]));
    let expected = [(2, RETRY_AFTER_MS), (1, RETRY_AFTER_MS)];
    assert_eq!(rejections(&mut owner), expected);
    let report = owner.reports(1_000, true).remove(0);
    assert_eq!((report.waiting, report.abandoned), (0, 2));
}

#[test]
fn later_requests_are_rejected_at_once_and_count_as_arrivals() {
    let mut owner = owner_with(&[]);
    owner.update_runners(0, blocked(2, None, &[]));
    owner.request_lease(400, "f", "north", lease_request(1, 1));
    assert_eq!(rejections(&mut owner), [(1, RETRY_AFTER_MS - 400)]);
    let report = owner.reports(1_000, true).remove(0);
    let expected = ZoneArrivals {
        zone: "north".to_string(),
        count: 1,
    };
    assert_eq!(report.arrivals, [expected]);
}

#[test]
fn a_start_block_expires_unless_it_is_repeated() {
    let mut owner = LeaseOwner::default();
    owner.update_runners(0, blocked(1, None, &[]));
    owner.request_lease(1_999, "f", "north", lease_request(1, 1));
    assert_eq!(rejections(&mut owner).len(), 1);
    owner.request_lease(2_000, "f", "north", lease_request(2, 1));
    owner.tick(2_100);
    assert_eq!(rejections(&mut owner), [], "the start block has expired");
    owner.update_runners(2_200, blocked(2, None, &[]));
    assert_eq!(rejections(&mut owner), [(2, RETRY_AFTER_MS)]);
}

#[test]
fn an_unbounded_start_block_is_bounded_by_the_owner() {
    let mut owner = LeaseOwner::default();
    let mut unbounded = blocked(1, None, &[]);
    let block = unbounded.start_block.as_mut().unwrap();
    block.valid_ms = u32::MAX;
    block.retry_after_ms = u32::MAX;
    owner.update_runners(0, unbounded);
    owner.request_lease(4_999, "f", "north", lease_request(1, 1));
    assert_eq!(rejections(&mut owner), [(1, 60_000)]);
    owner.request_lease(5_000, "f", "north", lease_request(2, 1));
    assert_eq!(rejections(&mut owner), []);
}

#[test]
fn a_newer_update_without_the_block_ends_it_and_an_older_one_does_not_restore_it() {
    let mut owner = LeaseOwner::default();
    owner.update_runners(0, blocked(3, None, &[]));
    owner.update_runners(100, update(4, &[]));
    owner.update_runners(110, blocked(3, None, &[]));
    owner.request_lease(120, "f", "north", lease_request(1, 1));
    owner.tick(200);
    assert_eq!(rejections(&mut owner), []);
}

#[test]
fn a_new_term_without_a_start_block_ends_it() {
    let mut owner = LeaseOwner::default();
    owner.update_runners(0, blocked(9, None, &[]));
    let later = FunctionUpdate {
        version: UpdateVersion { term: 2, number: 1 },
        ..update(1, &[])
    };
    owner.update_runners(100, later);
    owner.request_lease(120, "f", "north", lease_request(1, 1));
    assert_eq!(rejections(&mut owner), []);
}

#[test]
fn only_requests_with_a_deadline_before_the_earliest_start_are_rejected() {
    let mut owner = LeaseOwner::default();
    owner.request_lease(0, "f", "north", with_timeout(1, 1_000));
    owner.request_lease(0, "f", "north", with_timeout(2, 1_001));
    owner.update_runners(100, blocked(1, Some(900), &[]));
    owner.request_lease(100, "f", "north", with_timeout(3, 900));
    owner.request_lease(100, "f", "north", with_timeout(4, 901));
    let rejected: Vec<u64> = rejections(&mut owner).iter().map(|one| one.0).collect();
    assert_eq!(rejected, [1, 3]);
}

#[test]
fn a_starting_runner_prevents_rejection() {
    let starting = RunnerUpdate {
        stage: RunnerStage::Starting,
        starts_in_ms: 1_000,
        ..runner("a", "north", 2)
    };
    let mut owner = LeaseOwner::default();
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.update_runners(0, blocked(1, None, &[starting]));
    owner.request_lease(10, "f", "north", lease_request(2, 1));
    owner.tick(20);
    assert_eq!(rejections(&mut owner), []);
    owner.record_probe(900, FUNCTION, "a", true);
    owner.tick(1_100);
    assert_eq!(leases(&mut owner).len(), 2);
}

#[test]
fn a_full_or_backed_off_runner_prevents_rejection_until_it_is_gone() {
    let mut owner = LeaseOwner::default();
    owner.update_runners(0, blocked(1, None, &[runner("a", "north", 1)]));
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    owner.request_lease(0, "f", "north", lease_request(2, 1));
    assert_eq!(leases(&mut owner), [(1, "a".to_string())]);
    owner.release(100, "f", &release(1, LeaseOutcome::Rejected, 5));
    owner.request_lease(101, "f", "north", lease_request(3, 1));
    owner.tick(110);
    assert_eq!(rejections(&mut owner), [], "the runner is only backed off");
    owner.tick(200);
    assert_eq!(leases(&mut owner), [(2, "a".to_string())]);
    owner.release(300, "f", &release(2, LeaseOutcome::Gone, 5));
    owner.tick(310);
    assert_eq!(rejections(&mut owner), [(3, RETRY_AFTER_MS - 310)]);
}

#[test]
fn draining_runners_do_not_prevent_rejection() {
    let draining = RunnerUpdate {
        stage: RunnerStage::Draining,
        ..runner("a", "north", 1)
    };
    let mut owner = LeaseOwner::default();
    owner.update_runners(0, blocked(1, None, &[draining]));
    owner.request_lease(0, "f", "north", lease_request(1, 1));
    assert_eq!(rejections(&mut owner).len(), 1);
}
