//! Requests of a function that has no runner while no worker has room for one: refused at once, never too early.

mod common;

use common::{bid, grants, keeper, news, refusals, release, runner, FUNCTION};
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
        ..news(number, runners)
    }
}

fn short(ticket: u64, budget_ms: u32) -> LeaseRequest {
    LeaseRequest {
        timeout_ms: budget_ms,
        ..bid(ticket, 1)
    }
}

#[test]
fn who_waits_already_is_refused_when_the_news_comes() {
    let mut keeper = LeaseOwner::default();
    keeper.request_lease(0, "f", "north", bid(1, 1));
    keeper.request_lease(5, "g", "north", bid(2, 0));
    assert_eq!(refusals(&mut keeper), []);
    keeper.update_runners(40, blocked(1, None, &[]));
    let expected = [(2, RETRY_AFTER_MS), (1, RETRY_AFTER_MS)];
    assert_eq!(refusals(&mut keeper), expected);
    let report = keeper.reports(1_000, true).remove(0);
    assert_eq!((report.waiting, report.abandoned), (0, 2));
}

#[test]
fn who_comes_later_is_refused_at_once_and_still_counts_as_arrived() {
    let mut keeper = keeper(&[]);
    keeper.update_runners(0, blocked(2, None, &[]));
    keeper.request_lease(400, "f", "north", bid(1, 1));
    assert_eq!(refusals(&mut keeper), [(1, RETRY_AFTER_MS - 400)]);
    let report = keeper.reports(1_000, true).remove(0);
    assert_eq!(
        report.arrivals,
        [ZoneArrivals {
            zone: "north".to_string(),
            count: 1
        }]
    );
}

#[test]
fn the_statement_expires_unless_it_is_repeated() {
    let mut keeper = LeaseOwner::default();
    keeper.update_runners(0, blocked(1, None, &[]));
    keeper.request_lease(1_999, "f", "north", bid(1, 1));
    assert_eq!(refusals(&mut keeper).len(), 1);
    keeper.request_lease(2_000, "f", "north", bid(2, 1));
    keeper.tick(2_100);
    assert_eq!(refusals(&mut keeper), [], "nobody repeated it");
    keeper.update_runners(2_200, blocked(2, None, &[]));
    assert_eq!(refusals(&mut keeper), [(2, RETRY_AFTER_MS)]);
}

#[test]
fn a_statement_without_a_bound_is_bounded_here() {
    let mut keeper = LeaseOwner::default();
    let mut told = blocked(1, None, &[]);
    let block = told.start_block.as_mut().unwrap();
    block.valid_ms = u32::MAX;
    block.retry_after_ms = u32::MAX;
    keeper.update_runners(0, told);
    keeper.request_lease(4_999, "f", "north", bid(1, 1));
    assert_eq!(refusals(&mut keeper), [(1, 60_000)]);
    keeper.request_lease(5_000, "f", "north", bid(2, 1));
    assert_eq!(refusals(&mut keeper), []);
}

#[test]
fn newer_news_without_the_statement_ends_it_and_older_news_does_not_bring_it_back() {
    let mut keeper = LeaseOwner::default();
    keeper.update_runners(0, blocked(3, None, &[]));
    keeper.update_runners(100, news(4, &[]));
    keeper.update_runners(110, blocked(3, None, &[]));
    keeper.request_lease(120, "f", "north", bid(1, 1));
    keeper.tick(200);
    assert_eq!(refusals(&mut keeper), []);
}

#[test]
fn a_later_term_that_knows_nothing_yet_does_not_repeat_it() {
    let mut keeper = LeaseOwner::default();
    keeper.update_runners(0, blocked(9, None, &[]));
    let later = FunctionUpdate {
        version: UpdateVersion { term: 2, number: 1 },
        ..news(1, &[])
    };
    keeper.update_runners(100, later);
    keeper.request_lease(120, "f", "north", bid(1, 1));
    assert_eq!(refusals(&mut keeper), []);
}

#[test]
fn only_requests_that_end_before_the_earliest_start_are_refused() {
    let mut keeper = LeaseOwner::default();
    keeper.request_lease(0, "f", "north", short(1, 1_000));
    keeper.request_lease(0, "f", "north", short(2, 1_001));
    keeper.update_runners(100, blocked(1, Some(900), &[]));
    keeper.request_lease(100, "f", "north", short(3, 900));
    keeper.request_lease(100, "f", "north", short(4, 901));
    let refused: Vec<u64> = refusals(&mut keeper).iter().map(|one| one.0).collect();
    assert_eq!(refused, [1, 3]);
}

#[test]
fn a_starting_runner_keeps_hope() {
    let starting = RunnerUpdate {
        stage: RunnerStage::Starting,
        starts_in_ms: 1_000,
        ..runner("a", "north", 2)
    };
    let mut keeper = LeaseOwner::default();
    keeper.request_lease(0, "f", "north", bid(1, 1));
    keeper.update_runners(0, blocked(1, None, &[starting]));
    keeper.request_lease(10, "f", "north", bid(2, 1));
    keeper.tick(20);
    assert_eq!(refusals(&mut keeper), []);
    keeper.record_probe(900, FUNCTION, "a", true);
    keeper.tick(1_100);
    assert_eq!(grants(&mut keeper).len(), 2);
}

#[test]
fn a_full_or_resting_runner_keeps_hope_and_its_loss_ends_it() {
    let mut keeper = LeaseOwner::default();
    keeper.update_runners(0, blocked(1, None, &[runner("a", "north", 1)]));
    keeper.request_lease(0, "f", "north", bid(1, 1));
    keeper.request_lease(0, "f", "north", bid(2, 1));
    assert_eq!(grants(&mut keeper), [(1, "a".to_string())]);
    keeper.release(100, "f", &release(1, LeaseOutcome::Rejected, 5));
    keeper.request_lease(101, "f", "north", bid(3, 1));
    keeper.tick(110);
    assert_eq!(refusals(&mut keeper), [], "the runner only rests");
    keeper.tick(200);
    assert_eq!(grants(&mut keeper), [(2, "a".to_string())]);
    keeper.release(300, "f", &release(2, LeaseOutcome::Gone, 5));
    keeper.tick(310);
    assert_eq!(refusals(&mut keeper), [(3, RETRY_AFTER_MS - 310)]);
}

#[test]
fn runners_that_only_drain_give_no_hope() {
    let draining = RunnerUpdate {
        stage: RunnerStage::Draining,
        ..runner("a", "north", 1)
    };
    let mut keeper = LeaseOwner::default();
    keeper.update_runners(0, blocked(1, None, &[draining]));
    keeper.request_lease(0, "f", "north", bid(1, 1));
    assert_eq!(refusals(&mut keeper).len(), 1);
}
