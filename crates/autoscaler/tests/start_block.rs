//! That no worker can take a runner of a function is sent to its owner, and only while it is known.

mod cluster;

use autoscaler::{Autoscaler, AutoscalerOptions, RunnerCommand, StartError, WorkerListing};
use cluster::*;
use protocol::{FunctionUpdate, StartBlock};

/// A moment by which the lists tell all that was there when the autoscaler began.
const LATER: u64 = 5_000;

fn leaving(mut listing: WorkerListing) -> WorkerListing {
    listing.is_draining = true;
    listing
}

fn full(mut listing: WorkerListing) -> WorkerListing {
    listing.free_mb = 0;
    listing
}

/// An autoscaler with these workers and no runner, whose lists have settled.
fn settled(functions: &[(&str, u32)], workers: &[WorkerListing]) -> Autoscaler {
    let mut autoscaler = autoscaler_with(options(), functions, workers, &[]);
    let _ = autoscaler.take_commands();
    autoscaler.update_runners(LATER, vec![]);
    autoscaler.update_workers(LATER, workers.to_vec());
    autoscaler.take_updates();
    autoscaler
}

fn call(autoscaler: &mut Autoscaler, now: u64, function: &str, arrived: u64) -> Vec<RunnerCommand> {
    autoscaler.handle_report(now, OWNER, &function_report(function, arrived, 1));
    autoscaler.tick(now);
    autoscaler.take_commands()
}

fn block(autoscaler: &Autoscaler, now: u64) -> Option<StartBlock> {
    autoscaler.update_for("f", now).start_block
}

#[test]
fn where_all_workers_drain_the_owner_is_notified_at_once() {
    let gone = [leaving(worker_listing("w-1", "a", 1_000))];
    let mut autoscaler = settled(&[("f", 9_000)], &gone);
    assert_eq!(block(&autoscaler, LATER), None, "nobody asked for a runner");
    assert!(call(&mut autoscaler, LATER + 10, "f", 1).is_empty());
    let updates: Vec<FunctionUpdate> = autoscaler.take_updates();
    assert_eq!(updates.len(), 1, "it is sent");
    let block = updates[0].start_block.expect("a statement");
    assert_eq!(block.earliest_ready_ms, None);
    assert!(block.valid_ms <= 2_000, "{block:?}");
    // The next look comes within a second, and a start takes one more.
    assert_eq!(block.retry_after_ms, 2_000);
}

#[test]
fn a_full_worker_takes_no_runner_whatever_the_own_account_says() {
    let mut autoscaler = settled(&[("f", 9_000)], &[full(worker_listing("w-1", "a", 1_000))]);
    call(&mut autoscaler, LATER + 10, "f", 1);
    let statement = block(&autoscaler, LATER + 10).expect("a statement");
    assert_eq!(statement.earliest_ready_ms, None);
}

#[test]
fn it_is_repeated_while_it_holds_and_ends_with_its_time() {
    let mut autoscaler = settled(&[("f", 9_000)], &[]);
    let mut sent_at = Vec::new();
    for now in (LATER + 100..LATER + 5_000).step_by(100) {
        call(&mut autoscaler, now, "f", 1 + now / 100);
        let updates = autoscaler.take_updates();
        if updates.iter().any(|update| update.start_block.is_some()) {
            sent_at.push(now);
        }
        assert!(block(&autoscaler, now).is_some(), "at {now}");
    }
    let widest = sent_at.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(widest.unwrap() <= 1_500, "{sent_at:?}");
    let last = *sent_at.last().unwrap();
    assert_eq!(block(&autoscaler, last + 2_000), None, "nobody repeated it");
}

#[test]
fn an_autoscaler_whose_lists_may_lack_the_starts_of_an_earlier_term_says_nothing() {
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
fn once_there_is_room_it_ends_with_the_start() {
    let mut autoscaler = settled(
        &[("f", 9_000)],
        &[leaving(worker_listing("w-1", "a", 1_000))],
    );
    call(&mut autoscaler, LATER + 10, "f", 1);
    autoscaler.take_updates();
    assert!(block(&autoscaler, LATER + 10).is_some());
    let back = vec![
        leaving(worker_listing("w-1", "a", 1_000)),
        worker_listing("w-2", "a", 1_000),
    ];
    autoscaler.update_workers(LATER + 300, back);
    assert_eq!(
        starts(&autoscaler.take_commands()).len(),
        1,
        "it starts at once"
    );
    let updates = autoscaler.take_updates();
    assert_eq!(updates.len(), 1, "the end is sent");
    assert_eq!(updates[0].start_block, None);
}

#[test]
fn the_most_urgent_function_is_the_first_to_get_the_room_that_comes() {
    let mut configuration = configuration(&[("a-slow", 9_000), ("b-urgent", 9_000)]);
    configuration.bindings[0].priority = 2;
    configuration.bindings[1].priority = 1;
    let mut autoscaler = Autoscaler::new(options(), 0);
    autoscaler.apply_configuration(0, &configuration);
    autoscaler.update_workers(LATER, vec![]);
    autoscaler.update_runners(LATER, vec![]);
    call(&mut autoscaler, LATER + 10, "a-slow", 1);
    call(&mut autoscaler, LATER + 10, "b-urgent", 1);
    autoscaler.update_workers(LATER + 300, vec![worker_listing("w-1", "a", 100)]);
    let commanded = starts(&autoscaler.take_commands());
    assert_eq!(commanded.len(), 1);
    assert_eq!(commanded[0].function, "b-urgent");
}

#[test]
fn while_a_start_is_ordered_or_unsure_nothing_is_ruled_out() {
    let mut autoscaler = settled(&[("f", 9_000)], &[worker_listing("w-1", "a", 1_000)]);
    let commands = call(&mut autoscaler, LATER + 10, "f", 1);
    let nonce = starts(&commands)[0].nonce.clone();
    assert_eq!(block(&autoscaler, LATER + 10), None, "it is ordered");
    // No answer came, the worker went: the runner may be there.
    autoscaler.handle_start_result(LATER + 100, &nonce, Err(StartError::Unanswered));
    autoscaler.update_workers(LATER + 200, vec![]);
    call(&mut autoscaler, LATER + 300, "f", 2);
    assert_eq!(block(&autoscaler, LATER + 300), None, "it may be there");
}

#[test]
fn a_starting_runner_rules_nothing_out() {
    let listings = [worker_listing("w-1", "a", 100)];
    let mut autoscaler = settled(&[("f", 9_000)], &listings);
    autoscaler.handle_report(LATER + 10, OWNER, &function_report("f", 1, 1));
    answer_starts(&mut autoscaler, LATER + 10);
    for now in (LATER + 100..LATER + 2_000).step_by(100) {
        autoscaler.handle_report(now, OWNER, &function_report("f", 100, 100));
        autoscaler.tick(now);
        autoscaler.take_updates();
        assert_eq!(block(&autoscaler, now), None, "at {now}");
    }
}

#[test]
fn a_worker_that_found_no_room_may_have_some_later() {
    let mut autoscaler = settled(&[("f", 9_000)], &[worker_listing("w-1", "a", 1_000)]);
    let commands = call(&mut autoscaler, LATER + 10, "f", 1);
    let nonce = starts(&commands)[0].nonce.clone();
    autoscaler.handle_start_result(LATER + 100, &nonce, Err(StartError::NoRoom));
    // The worker is tried again after twice the lag of the lists; a start takes at least half of its usual time.
    let statement = block(&autoscaler, LATER + 100).expect("a statement");
    assert_eq!(statement.earliest_ready_ms, Some(4_000 + 500));
    let commands = call(&mut autoscaler, LATER + 4_200, "f", 2);
    assert_eq!(starts(&commands).len(), 1, "it is tried again");
    assert_eq!(block(&autoscaler, LATER + 4_200), None);
}

#[test]
fn memory_that_a_stop_frees_is_waited_for() {
    let listings = [worker_listing("w-1", "a", 100)];
    let idle = runner_listing("r-1", "g", "w-1", "a");
    let functions = [("f", 9_000), ("g", 9_000)];
    let mut autoscaler = autoscaler_with(
        options(),
        &functions,
        &listings,
        std::slice::from_ref(&idle),
    );
    autoscaler.update_runners(LATER, vec![idle]);
    autoscaler.update_workers(LATER, listings.to_vec());
    autoscaler.take_updates();
    call(&mut autoscaler, LATER + 10, "f", 1);
    let statement = block(&autoscaler, LATER + 10).expect("a statement");
    assert_eq!(statement.earliest_ready_ms, Some(500), "half of a start");
}

#[test]
fn a_runner_that_others_can_soon_do_without_is_waited_for() {
    let listings = [full(worker_listing("w-1", "a", 100))];
    let busy = runner_listing("r-1", "g", "w-1", "a");
    let functions = [("f", 9_000), ("g", 9_000)];
    let mut autoscaler = autoscaler_with(
        options(),
        &functions,
        &listings,
        std::slice::from_ref(&busy),
    );
    autoscaler.update_runners(LATER, vec![busy]);
    autoscaler.update_workers(LATER, listings.to_vec());
    let report = |in_use: u32| protocol::FunctionReport {
        runners: vec![runner_report("r-1", in_use)],
        ..function_report("g", 0, 0)
    };
    autoscaler.handle_report(LATER, OWNER, &report(1));
    call(&mut autoscaler, LATER + 10, "f", 1);
    let statement = block(&autoscaler, LATER + 10).expect("a statement");
    assert_eq!(statement.earliest_ready_ms, None, "it is in use");
    autoscaler.handle_report(LATER + 1_100, OWNER, &report(1));
    autoscaler.handle_report(LATER + 1_150, OWNER, &report(0));
    call(&mut autoscaler, LATER + 1_200, "f", 2);
    let statement = block(&autoscaler, LATER + 1_200).expect("a statement");
    assert_eq!(statement.earliest_ready_ms, Some(900 + 500));
}
