//! The steps in the lifecycle of a request and of a seat, one by one.

mod fixtures;

use configuration::{PeerRef, Version};
use fixtures::*;
use request_queue::{
    Action, AttemptOutcome, FrontMessage, PriorityCount, Rejection, Return, SeatScheduler,
};
use std::sync::Arc;

#[test]
fn a_warming_runner_gets_one_request_and_then_one_more_with_each_answer() {
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
        "quota two after one answer"
    );
}

#[test]
fn a_seat_goes_back_only_from_the_life_that_it_was_lent_to() {
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
        "the seat is still out"
    );
    scheduler.on_message(1_002, &first, back);
    let assignments = scheduler.take_actions().into_iter();
    let is_assignment =
        |action: &Action| matches!(action, Action::Send(_, FrontMessage::SeatAssignment(_)));
    assert_eq!(assignments.filter(is_assignment).count(), 1);
}

#[test]
fn a_list_of_seats_from_before_a_restart_frees_none_of_this_life() {
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
    // The assignment is still on its way; what was seen of another incarnation says nothing of it.
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
        "a fifth is no whole retry"
    );
    for _ in 0..4 {
        scheduler.count_first_attempt(1_010);
    }
    scheduler.probe_finished(1_011, "sign.1", true);
    assert_eq!(
        launched(&mut scheduler).len(),
        1,
        "five first tries earn one"
    );
}

#[test]
fn seats_of_two_lives_are_numbered_apart() {
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
        hear(&mut scheduler, 1_000, version(1));
        scheduler.probe_finished(1_000, "sign.1", true);
        scheduler.arrive(1_000, queued_request(0, 0, 1_000));
        launched(&mut scheduler).remove(0).1.seat_no
    });
    assert_ne!(numbers[0], numbers[1]);
}

#[test]
fn a_lost_answer_keeps_its_seat_until_the_runner_has_surely_given_up() {
    let mut scheduler = scheduler(10);
    scheduler.arrive(1_000, queued_request(0, 0, 1_000));
    let seat = launched(&mut scheduler).remove(0).1;
    scheduler.attempt_done(1_100, &seat, AttemptOutcome::Lost);
    scheduler.arrive(1_200, queued_request(1, 0, 1_200));
    hear(&mut scheduler, 2_000, version(1));
    scheduler.tick(2_100);
    assert!(
        launched(&mut scheduler).is_empty(),
        "the seat was given twice"
    );
    hear(&mut scheduler, 3_300, version(1));
    scheduler.arrive(3_300, queued_request(2, 0, 3_300));
    scheduler.tick(3_400);
    assert_eq!(launched(&mut scheduler).len(), 1);
}

#[test]
fn nothing_leaves_after_a_freeze() {
    let mut scheduler = scheduler(10);
    scheduler.arrive(1_000, queued_request(0, 0, 1_000));
    let (queued_request, seat) = launched(&mut scheduler).remove(0);
    assert!(scheduler.permit(1_010, &queued_request, &seat));
    assert!(!scheduler.permit(1_000 + LEASE, &queued_request, &seat));
    hear(&mut scheduler, 1_000 + LEASE, version(1));
    assert!(
        !scheduler.permit(1_000 + LEASE, &queued_request, &seat),
        "the seat's window is over though there is standing again"
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
fn a_front_that_has_not_read_at_a_majority_neither_works_nor_answers() {
    let mut scheduler = SeatScheduler::new(peer("me"));
    scheduler.set_configuration(1_000, configuration(10), version(1));
    scheduler.set_plan(1_000, plan("me", 1, 1), version(1));
    hear(&mut scheduler, 1_000, version(1));
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
fn an_answer_from_a_front_with_a_newer_plan_does_not_extend_the_lease() {
    let mut scheduler = scheduler(10);
    hear(&mut scheduler, 2_000, version(2));
    assert!(!scheduler.has_quorum(1_000 + LEASE));
    scheduler.set_plan(2_100, plan("me", 1, 1), version(2));
    hear(&mut scheduler, 2_200, version(2));
    assert!(scheduler.has_quorum(2_200 + LEASE - 1));
}

#[test]
fn a_response_from_a_newer_configuration_does_not_extend_the_lease() {
    let mut scheduler = scheduler(10);
    let answer = |stamp: u64, no: u64| FrontMessage::HeartbeatResponse {
        stamp,
        plan: version(1),
        configuration: version(no),
    };
    scheduler.on_message(2_000, &peer("two"), answer(2_000, 2));
    assert!(!scheduler.has_quorum(1_000 + LEASE));
    scheduler.set_configuration(2_100, configuration(10), version(2));
    scheduler.on_message(2_200, &peer("two"), answer(2_200, 2));
    assert!(scheduler.has_quorum(2_200 + LEASE - 1));
}

#[test]
fn a_next_owner_waits_out_the_former_one_unless_it_is_handed_over() {
    let mut waiting = scheduler(10);
    waiting.set_plan(1_100, plan("me", 2, 2), version(2));
    hear(&mut waiting, 1_100, version(2));
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
fn an_older_configuration_or_plan_is_never_taken() {
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
        "900 ms are left of 1350 needed"
    );
}

#[test]
fn answers_that_take_most_of_the_budget_do_not_shut_a_function() {
    let mut scheduler = scheduler(10);
    scheduler.arrive(1_000, queued_request(1, 0, 1_000));
    let first = launched(&mut scheduler);
    scheduler.attempt_done(2_800, &first[0].1, AttemptOutcome::Answered(1_800));
    hear(&mut scheduler, 2_800, version(1));
    scheduler.arrive(2_800, queued_request(2, 0, 2_800));
    assert_eq!(
        launched(&mut scheduler).len(),
        1,
        "1.8 s of a budget of 2 s"
    );
}

#[test]
fn a_full_queue_sheds_the_lowest_priority_and_never_the_urgent() {
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
