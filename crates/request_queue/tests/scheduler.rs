//! Each step in the lifecycle of a request and of a seat.

mod fixtures;

use configuration::{PeerRef, Version};
use fixtures::*;
use request_queue::{
    Action, AttemptOutcome, FrontMessage, PriorityCount, Rejection, Return, SeatScheduler,
};
use std::sync::Arc;

#[test]
fn a_warming_runner_gets_one_request_and_one_more_with_each_response() {
    let mut scheduler = scheduler(10);
    for slot in 0..4 {
        scheduler.arrive(1_000, queued_request(slot, 0, 1_000));
    }
    let first = launched(&mut scheduler);
    assert_eq!(first.len(), 1);
    scheduler.attempt_done(1_020, &first[0].1, AttemptOutcome::Answered(20));
    assert_eq!(
        launched(&mut scheduler).len(),
        2,
        "two seats after one response"
    );
}

#[test]
fn a_seat_is_returned_only_by_the_incarnation_that_it_was_leased_to() {
    let mut scheduler = scheduler(10);
    let seat_request = |scheduler: &mut SeatScheduler, incarnation: u64, count: u32| {
        let from = PeerRef {
            name: "two".into(),
            incarnation,
        };
        let priorities = vec![PriorityCount {
            priority: 0,
            count,
            oldest_ms: 0,
        }];
        let seat_request = FrontMessage::SeatRequest {
            stamp: 1_000,
            incarnation: 1,
            seen_assignment: 0,
            function: "sign".into(),
            priorities,
        };
        scheduler.on_message(1_000, &from, seat_request);
        let assignments = scheduler
            .take_actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::Send(_, FrontMessage::SeatAssignment(assignment)) => Some(assignment),
                _ => None,
            });
        (from, assignments.collect::<Vec<_>>())
    };
    let (first, assignments) = seat_request(&mut scheduler, 1, 1);
    assert_eq!(assignments.len(), 1);
    let back = FrontMessage::Return(Return {
        runner: "sign.1".into(),
        seat_no: assignments[0].seat_no,
        took_ms: None,
        is_bad: false,
        is_absent: false,
    });
    let later = PeerRef {
        incarnation: 2,
        ..first.clone()
    };
    scheduler.on_message(1_001, &later, back.clone());
    assert_eq!(
        seat_request(&mut scheduler, 2, 1).1.len(),
        0,
        "the seat is still leased"
    );
    scheduler.on_message(1_002, &first, back);
    let assignments = scheduler.take_actions().into_iter();
    let is_assignment =
        |action: &Action| matches!(action, Action::Send(_, FrontMessage::SeatAssignment(_)));
    assert_eq!(assignments.filter(is_assignment).count(), 1);
}

#[test]
fn a_seat_list_for_another_incarnation_frees_no_seat() {
    let mut scheduler = scheduler(10);
    let priorities = vec![PriorityCount {
        priority: 0,
        count: 1,
        oldest_ms: 0,
    }];
    let seat_request = FrontMessage::SeatRequest {
        stamp: 1_000,
        incarnation: 1,
        seen_assignment: 0,
        function: "sign".into(),
        priorities,
    };
    scheduler.on_message(1_000, &peer("two"), seat_request);
    let report = scheduler.report(1_000, "a");
    assert_eq!(report.runners[0].leased, 1);
    let holds = |incarnation: u64| FrontMessage::Holds {
        stamp: 1_010 - incarnation,
        incarnation,
        seen_assignment: u64::MAX,
        seats: vec![],
    };
    // The assignment is still in transit; seat numbers of another incarnation must not free its seat.
    scheduler.on_message(1_001, &peer("two"), holds(7));
    assert_eq!(scheduler.report(1_001, "a").runners[0].leased, 1);
    scheduler.on_message(1_010, &peer("two"), holds(1));
    assert_eq!(scheduler.report(1_010, "a").runners[0].leased, 0);
}

#[test]
fn an_attempt_that_reached_no_runner_is_resent_only_within_the_retry_budget() {
    let mut scheduler = scheduler(10);
    scheduler.arrive(1_000, queued_request(1, 0, 1_000));
    let first = launched(&mut scheduler);
    scheduler.count_first_attempt(1_000);
    scheduler.attempt_done(1_001, &first[0].1, AttemptOutcome::Absent);
    scheduler.requeue_unreached(1_001, first[0].0.clone());
    scheduler.probe_finished(1_001, "sign.1", true);
    assert_eq!(
        launched(&mut scheduler).len(),
        0,
        "a credit of 0.2 is not enough for a retry"
    );
    for _ in 0..4 {
        scheduler.count_first_attempt(1_010);
    }
    scheduler.probe_finished(1_011, "sign.1", true);
    assert_eq!(
        launched(&mut scheduler).len(),
        1,
        "five first attempts earn one retry"
    );
}

#[test]
fn seat_numbers_of_two_incarnations_differ() {
    let numbers = [1, 2].map(|incarnation| {
        let mut scheduler = SeatScheduler::new(PeerRef {
            name: "me".into(),
            incarnation,
        });
        scheduler.set_ready();
        scheduler.set_configuration(1_000, configuration(10), version(1));
        let mut own = (*plan("me", 1, 1)).clone();
        own.runners[0].owner.incarnation = incarnation;
        scheduler.set_plan(1_000, Arc::new(own), version(1));
        deliver_response(&mut scheduler, 1_000, version(1));
        scheduler.probe_finished(1_000, "sign.1", true);
        scheduler.arrive(1_000, queued_request(0, 0, 1_000));
        launched(&mut scheduler).remove(0).1.seat_no
    });
    assert_ne!(numbers[0], numbers[1]);
}

#[test]
fn a_lost_response_keeps_its_seat_until_the_runner_must_have_given_up() {
    let mut scheduler = scheduler(10);
    scheduler.arrive(1_000, queued_request(0, 0, 1_000));
    let seat = launched(&mut scheduler).remove(0).1;
    scheduler.attempt_done(1_100, &seat, AttemptOutcome::Lost);
    scheduler.arrive(1_200, queued_request(1, 0, 1_200));
    deliver_response(&mut scheduler, 2_000, version(1));
    scheduler.tick(2_100);
    assert!(
        launched(&mut scheduler).is_empty(),
        "the seat was leased twice"
    );
    deliver_response(&mut scheduler, 3_300, version(1));
    scheduler.arrive(3_300, queued_request(2, 0, 3_300));
    scheduler.tick(3_400);
    assert_eq!(launched(&mut scheduler).len(), 1);
}

#[test]
fn nothing_is_sent_after_a_pause_longer_than_the_lease() {
    let mut scheduler = scheduler(10);
    scheduler.arrive(1_000, queued_request(0, 0, 1_000));
    let (queued_request, seat) = launched(&mut scheduler).remove(0);
    assert!(scheduler.permit(1_010, &queued_request, &seat));
    assert!(!scheduler.permit(1_000 + LEASE, &queued_request, &seat));
    deliver_response(&mut scheduler, 1_000 + LEASE, version(1));
    assert!(
        !scheduler.permit(1_000 + LEASE, &queued_request, &seat),
        "the seat's start window has passed although the quorum lease is back"
    );
}

#[test]
fn a_quorum_lease_ends_and_all_queued_requests_are_rejected() {
    let mut scheduler = scheduler(10);
    for slot in 0..3 {
        scheduler.arrive(1_000, queued_request(slot, 1, 1_000));
    }
    launched(&mut scheduler);
    assert!(scheduler.has_quorum(1_000 + LEASE - 1));
    scheduler.tick(1_000 + LEASE);
    let notified = refused(&mut scheduler);
    assert_eq!(notified.len(), 2);
    assert!(notified.iter().all(|(_, why)| *why == Rejection::NoQuorum));
    assert_eq!(
        scheduler.check_admission(2_600, "sign"),
        Err(Rejection::NoQuorum)
    );
}

#[test]
fn a_front_that_is_not_ready_neither_takes_requests_nor_answers_heartbeats() {
    let mut scheduler = SeatScheduler::new(peer("me"));
    scheduler.set_configuration(1_000, configuration(10), version(1));
    scheduler.set_plan(1_000, plan("me", 1, 1), version(1));
    deliver_response(&mut scheduler, 1_000, version(1));
    let heartbeat = FrontMessage::Heartbeat {
        stamp: 1,
        plan: version(1),
        configuration: version(1),
        last_assignment: 0,
    };
    scheduler.on_message(1_000, &peer("two"), heartbeat.clone());
    assert_eq!(
        scheduler.check_admission(1_000, "sign"),
        Err(Rejection::NoQuorum)
    );
    assert!(scheduler.take_actions().is_empty());
    scheduler.set_ready();
    scheduler.on_message(1_000, &peer("two"), heartbeat);
    assert_eq!(scheduler.check_admission(1_000, "sign"), Ok(()));
    assert_eq!(scheduler.take_actions().len(), 1);
}

#[test]
fn a_response_from_a_newer_plan_does_not_extend_the_lease() {
    let mut scheduler = scheduler(10);
    deliver_response(&mut scheduler, 2_000, version(2));
    assert!(!scheduler.has_quorum(1_000 + LEASE));
    scheduler.set_plan(2_100, plan("me", 1, 1), version(2));
    deliver_response(&mut scheduler, 2_200, version(2));
    assert!(scheduler.has_quorum(2_200 + LEASE - 1));
}

#[test]
fn a_response_from_a_newer_configuration_does_not_extend_the_lease() {
    let mut scheduler = scheduler(10);
    let response = |stamp: u64, no: u64| FrontMessage::HeartbeatResponse {
        stamp,
        plan: version(1),
        configuration: version(no),
    };
    scheduler.on_message(2_000, &peer("two"), response(2_000, 2));
    assert!(!scheduler.has_quorum(1_000 + LEASE));
    scheduler.set_configuration(2_100, configuration(10), version(2));
    scheduler.on_message(2_200, &peer("two"), response(2_200, 2));
    assert!(scheduler.has_quorum(2_200 + LEASE - 1));
}

#[test]
fn a_new_owner_waits_for_old_leases_to_expire_unless_they_are_handed_over() {
    let mut waiting = scheduler(10);
    waiting.set_plan(1_100, plan("me", 2, 2), version(2));
    deliver_response(&mut waiting, 1_100, version(2));
    waiting.probe_finished(1_100, "sign.1", true);
    waiting.tick(1_200);
    waiting.arrive(1_200, queued_request(0, 0, 1_200));
    assert!(launched(&mut waiting).is_empty());

    let mut handed = scheduler(10);
    handed.set_plan(1_100, plan("me", 2, 2), version(2));
    let handover = FrontMessage::Handover {
        runner: "sign.1".into(),
        epoch: 1,
        leased: 0,
        over_in_ms: 0,
    };
    handed.on_message(1_150, &peer("two"), handover);
    handed.probe_finished(1_150, "sign.1", true);
    handed.arrive(1_200, queued_request(0, 0, 1_200));
    assert_eq!(launched(&mut handed).len(), 1);
}

#[test]
fn an_older_configuration_or_plan_is_never_applied() {
    let mut scheduler = scheduler(10);
    scheduler.set_configuration(1_000, configuration(3), version(3));
    scheduler.set_configuration(1_000, configuration(5), version(2));
    assert_eq!(scheduler.versions().0, version(3));
    assert_eq!(scheduler.configuration().bounds.queue_max, 3);
    scheduler.set_plan(1_000, plan("two", 9, 9), Version { epoch: 0, no: 50 });
    assert_eq!(scheduler.versions().1, version(1));
}

#[test]
fn requests_that_cannot_finish_in_time_are_rejected_at_once() {
    let mut scheduler = scheduler(10);
    scheduler.arrive(1_000, queued_request(0, 0, 1_000));
    let seat = launched(&mut scheduler).remove(0).1;
    scheduler.attempt_done(2_100, &seat, AttemptOutcome::Answered(900));
    for slot in 1..4 {
        scheduler.arrive(2_100, queued_request(slot, 0, 1_000));
    }
    assert_eq!(
        refused(&mut scheduler).len(),
        3,
        "900 ms left, 1350 ms needed"
    );
}

#[test]
fn responses_that_take_most_of_the_budget_do_not_block_a_function() {
    let mut scheduler = scheduler(10);
    scheduler.arrive(1_000, queued_request(1, 0, 1_000));
    let first = launched(&mut scheduler);
    scheduler.attempt_done(2_800, &first[0].1, AttemptOutcome::Answered(1_800));
    deliver_response(&mut scheduler, 2_800, version(1));
    scheduler.arrive(2_800, queued_request(2, 0, 2_800));
    assert_eq!(
        launched(&mut scheduler).len(),
        1,
        "responses take 1.8 s of a 2 s budget"
    );
}

#[test]
fn a_full_queue_sheds_the_lowest_priority_and_never_the_highest() {
    let mut scheduler = scheduler(2);
    scheduler.arrive(1_000, queued_request(9, 0, 1_000));
    launched(&mut scheduler);
    scheduler.arrive(1_000, queued_request(1, 1, 1_000));
    scheduler.arrive(1_001, queued_request(2, 0, 1_001));
    scheduler.arrive(1_002, queued_request(3, 0, 1_002));
    assert_eq!(refused(&mut scheduler), vec![(1, Rejection::Shed)]);
    scheduler.arrive(1_003, queued_request(4, 1, 1_003));
    assert_eq!(refused(&mut scheduler), vec![(4, Rejection::QueueFull)]);
}
