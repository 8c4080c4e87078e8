//! Start blocks: the owner of a function is notified that no worker has room for a runner, only while this is known.

mod cluster;

use autoscaler::{Autoscaler, AutoscalerOptions, RunnerCommand, StartError, WorkerListing};
use cluster::*;
use protocol::{FunctionUpdate, StartBlock};

/// A time at which the lists reflect everything that existed when the autoscaler was created.
const SETTLED_AT: u64 = 5_000;

fn draining(mut listing: WorkerListing) -> WorkerListing {
    listing.is_draining = true;
    listing
}

fn full(mut listing: WorkerListing) -> WorkerListing {
    listing.free_mb = 0;
    listing
}

/// An autoscaler with these workers and no runners, which has received lists at `SETTLED_AT`.
fn autoscaler_with_settled_lists(
    functions: &[(&str, u32)],
    workers: &[WorkerListing],
) -> Autoscaler {
    let mut autoscaler = autoscaler_with(options(), functions, workers, &[]);
    let _ = autoscaler.take_commands();
    autoscaler.update_runners(SETTLED_AT, vec![]);
    autoscaler.update_workers(SETTLED_AT, workers.to_vec());
    autoscaler.take_updates();
    autoscaler
}

fn report_call(
    autoscaler: &mut Autoscaler,
    now: u64,
    function: &str,
    arrived: u64,
) -> Vec<RunnerCommand> {
    autoscaler.handle_report(now, OWNER, &function_report(function, arrived, 1));
    autoscaler.tick(now);
    autoscaler.take_commands()
}

fn block(autoscaler: &Autoscaler, now: u64) -> Option<StartBlock> {
    autoscaler.update_for("f", now).start_block
}

#[test]
fn the_owner_is_notified_immediately_if_all_workers_are_draining() {
    let draining_workers = [draining(worker_listing("w-1", "a", 1_000))];
    let mut autoscaler = autoscaler_with_settled_lists(&[("f", 9_000)], &draining_workers);
    assert_eq!(
        block(&autoscaler, SETTLED_AT),
        None,
        "no runner was requested"
    );
    assert!(report_call(&mut autoscaler, SETTLED_AT + 10, "f", 1).is_empty());
    let updates: Vec<FunctionUpdate> = autoscaler.take_updates();
    assert_eq!(updates.len(), 1, "the update is sent");
    let block = updates[0].start_block.expect("a start block");
    assert_eq!(block.earliest_ready_ms, None);
    assert!(block.valid_ms <= 2_000, "{block:?}");
    // The start is retried within one second and takes one more.
    assert_eq!(block.retry_after_ms, 2_000);
}

#[test]
fn a_worker_listed_as_full_has_no_room_even_if_its_account_shows_free_memory() {
    let mut autoscaler =
        autoscaler_with_settled_lists(&[("f", 9_000)], &[full(worker_listing("w-1", "a", 1_000))]);
    report_call(&mut autoscaler, SETTLED_AT + 10, "f", 1);
    let start_block = block(&autoscaler, SETTLED_AT + 10).expect("a start block");
    assert_eq!(start_block.earliest_ready_ms, None);
}

#[test]
fn a_start_block_is_renewed_while_it_applies_and_expires_otherwise() {
    let mut autoscaler = autoscaler_with_settled_lists(&[("f", 9_000)], &[]);
    let mut sent_at = Vec::new();
    for now in (SETTLED_AT + 100..SETTLED_AT + 5_000).step_by(100) {
        report_call(&mut autoscaler, now, "f", 1 + now / 100);
        let updates = autoscaler.take_updates();
        if updates.iter().any(|update| update.start_block.is_some()) {
            sent_at.push(now);
        }
        assert!(block(&autoscaler, now).is_some(), "at {now}");
    }
    let widest = sent_at.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(widest.unwrap() <= 1_500, "{sent_at:?}");
    let last = *sent_at.last().unwrap();
    assert_eq!(
        block(&autoscaler, last + 2_000),
        None,
        "the start block has expired"
    );
}

#[test]
fn no_start_block_is_issued_while_lists_may_lack_the_starts_of_an_earlier_term() {
    let term = 7;
    let mut autoscaler = Autoscaler::new(AutoscalerOptions { term, ..options() }, 50_000);
    autoscaler.apply_configuration(50_000, &configuration(&[("f", 9_000)]));
    let block_after_report = |autoscaler: &mut Autoscaler, now: u64| {
        autoscaler.handle_report(now, OWNER, &function_report("f", now, 1));
        autoscaler.tick(now);
        autoscaler.update_for("f", now).start_block
    };
    assert_eq!(
        block_after_report(&mut autoscaler, 50_100),
        None,
        "no list is known"
    );
    autoscaler.update_workers(50_200, vec![]);
    assert_eq!(
        block_after_report(&mut autoscaler, 50_200),
        None,
        "one list is known"
    );
    autoscaler.update_runners(50_300, vec![]);
    assert_eq!(
        block_after_report(&mut autoscaler, 50_400),
        None,
        "the lists lag"
    );
    autoscaler.update_runners(53_900, vec![]);
    autoscaler.update_workers(54_000, vec![]);
    assert_eq!(
        block_after_report(&mut autoscaler, 54_000),
        None,
        "the lists lag"
    );
    autoscaler.update_runners(54_100, vec![]);
    autoscaler.update_workers(54_100, vec![]);
    assert!(block_after_report(&mut autoscaler, 55_500).is_some());
}

#[test]
fn a_start_block_ends_with_the_start_once_a_worker_has_room() {
    let mut autoscaler = autoscaler_with_settled_lists(
        &[("f", 9_000)],
        &[draining(worker_listing("w-1", "a", 1_000))],
    );
    report_call(&mut autoscaler, SETTLED_AT + 10, "f", 1);
    autoscaler.take_updates();
    assert!(block(&autoscaler, SETTLED_AT + 10).is_some());
    let with_new_worker = vec![
        draining(worker_listing("w-1", "a", 1_000)),
        worker_listing("w-2", "a", 1_000),
    ];
    autoscaler.update_workers(SETTLED_AT + 300, with_new_worker);
    assert_eq!(
        starts(&autoscaler.take_commands()).len(),
        1,
        "the runner is started immediately"
    );
    let updates = autoscaler.take_updates();
    assert_eq!(updates.len(), 1, "the end of the start block is sent");
    assert_eq!(updates[0].start_block, None);
}

#[test]
fn new_room_goes_to_the_most_urgent_function_first() {
    let mut configuration = configuration(&[("a-slow", 9_000), ("b-urgent", 9_000)]);
    configuration.bindings[0].priority = 2;
    configuration.bindings[1].priority = 1;
    let mut autoscaler = Autoscaler::new(options(), 0);
    autoscaler.apply_configuration(0, &configuration);
    autoscaler.update_workers(SETTLED_AT, vec![]);
    autoscaler.update_runners(SETTLED_AT, vec![]);
    report_call(&mut autoscaler, SETTLED_AT + 10, "a-slow", 1);
    report_call(&mut autoscaler, SETTLED_AT + 10, "b-urgent", 1);
    autoscaler.update_workers(SETTLED_AT + 300, vec![worker_listing("w-1", "a", 100)]);
    let commanded = starts(&autoscaler.take_commands());
    assert_eq!(commanded.len(), 1);
    assert_eq!(commanded[0].function, "b-urgent");
}

#[test]
fn no_start_block_is_issued_while_a_start_is_pending_or_unconfirmed() {
    let mut autoscaler =
        autoscaler_with_settled_lists(&[("f", 9_000)], &[worker_listing("w-1", "a", 1_000)]);
    let commands = report_call(&mut autoscaler, SETTLED_AT + 10, "f", 1);
    let nonce = starts(&commands)[0].nonce.clone();
    assert_eq!(
        block(&autoscaler, SETTLED_AT + 10),
        None,
        "the start is pending"
    );
    // The start is not answered and the worker is no longer listed, but the runner may exist.
    autoscaler.handle_start_result(SETTLED_AT + 100, &nonce, Err(StartError::Unanswered));
    autoscaler.update_workers(SETTLED_AT + 200, vec![]);
    report_call(&mut autoscaler, SETTLED_AT + 300, "f", 2);
    assert_eq!(
        block(&autoscaler, SETTLED_AT + 300),
        None,
        "the runner may exist"
    );
}

#[test]
fn no_start_block_is_issued_while_a_runner_is_starting() {
    let listings = [worker_listing("w-1", "a", 100)];
    let mut autoscaler = autoscaler_with_settled_lists(&[("f", 9_000)], &listings);
    autoscaler.handle_report(SETTLED_AT + 10, OWNER, &function_report("f", 1, 1));
    answer_starts(&mut autoscaler, SETTLED_AT + 10);
    for now in (SETTLED_AT + 100..SETTLED_AT + 2_000).step_by(100) {
        autoscaler.handle_report(now, OWNER, &function_report("f", 100, 100));
        autoscaler.tick(now);
        autoscaler.take_updates();
        assert_eq!(block(&autoscaler, now), None, "at {now}");
    }
}

#[test]
fn a_worker_without_room_is_retried_after_its_pause() {
    let mut autoscaler =
        autoscaler_with_settled_lists(&[("f", 9_000)], &[worker_listing("w-1", "a", 1_000)]);
    let commands = report_call(&mut autoscaler, SETTLED_AT + 10, "f", 1);
    let nonce = starts(&commands)[0].nonce.clone();
    autoscaler.handle_start_result(SETTLED_AT + 100, &nonce, Err(StartError::NoRoom));
    // Starts on the worker are paused for twice the list lag. A start is assumed to take at least half its usual time.
    let start_block = block(&autoscaler, SETTLED_AT + 100).expect("a start block");
    assert_eq!(start_block.earliest_ready_ms, Some(4_000 + 500));
    let commands = report_call(&mut autoscaler, SETTLED_AT + 4_200, "f", 2);
    assert_eq!(starts(&commands).len(), 1, "the start is retried");
    assert_eq!(block(&autoscaler, SETTLED_AT + 4_200), None);
}

#[test]
fn a_start_block_accounts_for_memory_that_a_stop_frees() {
    let listings = [worker_listing("w-1", "a", 100)];
    let idle = runner_listing("r-1", "g", "w-1", "a");
    let functions = [("f", 9_000), ("g", 9_000)];
    let mut autoscaler = autoscaler_with(
        options(),
        &functions,
        &listings,
        std::slice::from_ref(&idle),
    );
    autoscaler.update_runners(SETTLED_AT, vec![idle]);
    autoscaler.update_workers(SETTLED_AT, listings.to_vec());
    autoscaler.take_updates();
    report_call(&mut autoscaler, SETTLED_AT + 10, "f", 1);
    let start_block = block(&autoscaler, SETTLED_AT + 10).expect("a start block");
    assert_eq!(
        start_block.earliest_ready_ms,
        Some(500),
        "half of the start time"
    );
}

#[test]
fn a_start_block_accounts_for_a_runner_that_can_soon_be_evicted() {
    let listings = [full(worker_listing("w-1", "a", 100))];
    let busy = runner_listing("r-1", "g", "w-1", "a");
    let functions = [("f", 9_000), ("g", 9_000)];
    let mut autoscaler = autoscaler_with(
        options(),
        &functions,
        &listings,
        std::slice::from_ref(&busy),
    );
    autoscaler.update_runners(SETTLED_AT, vec![busy]);
    autoscaler.update_workers(SETTLED_AT, listings.to_vec());
    let report = |in_use: u32| protocol::FunctionReport {
        runners: vec![runner_report("r-1", in_use)],
        ..function_report("g", 0, 0)
    };
    autoscaler.handle_report(SETTLED_AT, OWNER, &report(1));
    report_call(&mut autoscaler, SETTLED_AT + 10, "f", 1);
    let start_block = block(&autoscaler, SETTLED_AT + 10).expect("a start block");
    assert_eq!(start_block.earliest_ready_ms, None, "the runner is in use");
    autoscaler.handle_report(SETTLED_AT + 1_100, OWNER, &report(1));
    autoscaler.handle_report(SETTLED_AT + 1_150, OWNER, &report(0));
    report_call(&mut autoscaler, SETTLED_AT + 1_200, "f", 2);
    let start_block = block(&autoscaler, SETTLED_AT + 1_200).expect("a start block");
    assert_eq!(start_block.earliest_ready_ms, Some(900 + 500));
}
