//! The points of a ticket's life and of a seat's, one by one.

mod fixtures;

use configuration::{PeerRef, Version};
use fixtures::*;
use request_queue::{Action, Desk, DeskMessage, RankCount, Refusal, Return, TryEnd};
use std::sync::Arc;

#[test]
fn a_warming_runner_gets_one_request_and_then_one_more_with_each_answer() {
    let mut desk = desk(10);
    for slot in 0..4 {
        desk.arrive(1_000, ticket(slot, 0, 1_000));
    }
    let first = launched(&mut desk);
    assert_eq!(first.len(), 1);
    desk.try_done(1_020, &first[0].1, TryEnd::Answered(20));
    assert_eq!(launched(&mut desk).len(), 2, "quota two after one answer");
}

#[test]
fn a_seat_goes_back_only_from_the_life_that_it_was_lent_to() {
    let mut desk = desk(10);
    let bid = |desk: &mut Desk, incarnation: u64, count: u32| {
        let from = PeerRef {
            name: "two".into(),
            incarnation,
        };
        let ranks = vec![RankCount {
            rank: 0,
            count,
            oldest_ms: 0,
        }];
        let bid = DeskMessage::Bid {
            stamp: 1_000,
            life: 1,
            seen_award: 0,
            function: "sign".into(),
            ranks,
        };
        desk.on_message(1_000, &from, bid);
        let awards = desk
            .take_actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::Send(_, DeskMessage::Award(award)) => Some(award),
                _ => None,
            });
        (from, awards.collect::<Vec<_>>())
    };
    let (first, awards) = bid(&mut desk, 1, 1);
    assert_eq!(awards.len(), 1);
    let back = DeskMessage::Return(Return {
        runner: "sign.1".into(),
        seat_no: awards[0].seat_no,
        took_ms: None,
        is_bad: false,
        is_absent: false,
    });
    let later = PeerRef {
        incarnation: 2,
        ..first.clone()
    };
    desk.on_message(1_001, &later, back.clone());
    assert_eq!(bid(&mut desk, 2, 1).1.len(), 0, "the seat is still out");
    desk.on_message(1_002, &first, back);
    let awards = desk.take_actions().into_iter();
    let is_award = |action: &Action| matches!(action, Action::Send(_, DeskMessage::Award(_)));
    assert_eq!(awards.filter(is_award).count(), 1);
}

#[test]
fn a_list_of_seats_from_before_a_restart_frees_none_of_this_life() {
    let mut desk = desk(10);
    let ranks = vec![RankCount {
        rank: 0,
        count: 1,
        oldest_ms: 0,
    }];
    let bid = DeskMessage::Bid {
        stamp: 1_000,
        life: 1,
        seen_award: 0,
        function: "sign".into(),
        ranks,
    };
    desk.on_message(1_000, &peer("two"), bid);
    let report = desk.report(1_000, "a");
    assert_eq!(report.runners[0].lent, 1);
    let holds = |life: u64| DeskMessage::Holds {
        stamp: 1_010 - life,
        life,
        seen_award: u64::MAX,
        seats: vec![],
    };
    // The award is still on its way; what was seen of another life says nothing of it.
    desk.on_message(1_001, &peer("two"), holds(7));
    assert_eq!(desk.report(1_001, "a").runners[0].lent, 1);
    desk.on_message(1_010, &peer("two"), holds(1));
    assert_eq!(desk.report(1_010, "a").runners[0].lent, 0);
}

#[test]
fn a_try_that_reached_no_runner_is_sent_again_only_on_credit() {
    let mut desk = desk(10);
    desk.arrive(1_000, ticket(1, 0, 1_000));
    let first = launched(&mut desk);
    desk.count_first(1_000);
    desk.try_done(1_001, &first[0].1, TryEnd::Absent);
    desk.send_again(1_001, first[0].0.clone());
    desk.probed(1_001, "sign.1", true);
    assert_eq!(launched(&mut desk).len(), 0, "a fifth is no whole retry");
    for _ in 0..4 {
        desk.count_first(1_010);
    }
    desk.probed(1_011, "sign.1", true);
    assert_eq!(launched(&mut desk).len(), 1, "five first tries earn one");
}

#[test]
fn seats_of_two_lives_are_numbered_apart() {
    let numbers = [1, 2].map(|incarnation| {
        let mut desk = Desk::new(PeerRef {
            name: "me".into(),
            incarnation,
        });
        desk.set_ready();
        desk.set_blueprint(1_000, blueprint(10), version(1));
        let mut own = (*plan("me", 1, 1)).clone();
        own.runners[0].keeper.incarnation = incarnation;
        desk.set_plan(1_000, Arc::new(own), version(1));
        hear(&mut desk, 1_000, version(1));
        desk.probed(1_000, "sign.1", true);
        desk.arrive(1_000, ticket(0, 0, 1_000));
        launched(&mut desk).remove(0).1.seat_no
    });
    assert_ne!(numbers[0], numbers[1]);
}

#[test]
fn a_lost_answer_keeps_its_seat_until_the_runner_has_surely_given_up() {
    let mut desk = desk(10);
    desk.arrive(1_000, ticket(0, 0, 1_000));
    let seat = launched(&mut desk).remove(0).1;
    desk.try_done(1_100, &seat, TryEnd::Lost);
    desk.arrive(1_200, ticket(1, 0, 1_200));
    hear(&mut desk, 2_000, version(1));
    desk.tick(2_100);
    assert!(launched(&mut desk).is_empty(), "the seat was given twice");
    hear(&mut desk, 3_300, version(1));
    desk.arrive(3_300, ticket(2, 0, 3_300));
    desk.tick(3_400);
    assert_eq!(launched(&mut desk).len(), 1);
}

#[test]
fn nothing_leaves_after_a_freeze() {
    let mut desk = desk(10);
    desk.arrive(1_000, ticket(0, 0, 1_000));
    let (ticket, seat) = launched(&mut desk).remove(0);
    assert!(desk.permit(1_010, &ticket, &seat));
    assert!(!desk.permit(1_000 + LEASE, &ticket, &seat));
    hear(&mut desk, 1_000 + LEASE, version(1));
    assert!(
        !desk.permit(1_000 + LEASE, &ticket, &seat),
        "the seat's window is over though there is standing again"
    );
}

#[test]
fn standing_ends_with_the_lease_and_all_that_waits_is_told_at_once() {
    let mut desk = desk(10);
    for slot in 0..3 {
        desk.arrive(1_000, ticket(slot, 1, 1_000));
    }
    launched(&mut desk);
    assert!(desk.has_standing(1_000 + LEASE - 1));
    desk.tick(1_000 + LEASE);
    let told = refused(&mut desk);
    assert_eq!(told.len(), 2);
    assert!(told.iter().all(|(_, why)| *why == Refusal::NoStanding));
    assert_eq!(desk.may_take(2_600, "sign"), Err(Refusal::NoStanding));
}

#[test]
fn a_front_that_has_not_read_at_a_majority_neither_works_nor_answers() {
    let mut desk = Desk::new(peer("me"));
    desk.set_blueprint(1_000, blueprint(10), version(1));
    desk.set_plan(1_000, plan("me", 1, 1), version(1));
    hear(&mut desk, 1_000, version(1));
    let beat = DeskMessage::Beat {
        stamp: 1,
        plan: version(1),
        blueprint: version(1),
        last_award: 0,
    };
    desk.on_message(1_000, &peer("two"), beat.clone());
    assert_eq!(desk.may_take(1_000, "sign"), Err(Refusal::NoStanding));
    assert!(desk.take_actions().is_empty());
    desk.set_ready();
    desk.on_message(1_000, &peer("two"), beat);
    assert_eq!(desk.may_take(1_000, "sign"), Ok(()));
    assert_eq!(desk.take_actions().len(), 1);
}

#[test]
fn an_answer_from_a_front_with_a_newer_plan_does_not_extend_the_lease() {
    let mut desk = desk(10);
    hear(&mut desk, 2_000, version(2));
    assert!(!desk.has_standing(1_000 + LEASE));
    desk.set_plan(2_100, plan("me", 1, 1), version(2));
    hear(&mut desk, 2_200, version(2));
    assert!(desk.has_standing(2_200 + LEASE - 1));
}

#[test]
fn an_answer_from_one_with_a_newer_blueprint_does_not_extend_the_lease() {
    let mut desk = desk(10);
    let answer = |stamp: u64, no: u64| DeskMessage::BeatAnswer {
        stamp,
        plan: version(1),
        blueprint: version(no),
    };
    desk.on_message(2_000, &peer("two"), answer(2_000, 2));
    assert!(!desk.has_standing(1_000 + LEASE));
    desk.set_blueprint(2_100, blueprint(10), version(2));
    desk.on_message(2_200, &peer("two"), answer(2_200, 2));
    assert!(desk.has_standing(2_200 + LEASE - 1));
}

#[test]
fn a_next_keeper_waits_out_the_former_one_unless_it_is_handed_over() {
    let mut waiting = desk(10);
    waiting.set_plan(1_100, plan("me", 2, 2), version(2));
    hear(&mut waiting, 1_100, version(2));
    waiting.probed(1_100, "sign.1", true);
    waiting.tick(1_200);
    waiting.arrive(1_200, ticket(0, 0, 1_200));
    assert!(launched(&mut waiting).is_empty());

    let mut handed = desk(10);
    handed.set_plan(1_100, plan("me", 2, 2), version(2));
    let handover = DeskMessage::Handover {
        runner: "sign.1".into(),
        epoch: 1,
        lent: 0,
        over_in_ms: 0,
    };
    handed.on_message(1_150, &peer("two"), handover);
    handed.probed(1_150, "sign.1", true);
    handed.arrive(1_200, ticket(0, 0, 1_200));
    assert_eq!(launched(&mut handed).len(), 1);
}

#[test]
fn an_older_blueprint_or_plan_is_never_taken() {
    let mut desk = desk(10);
    desk.set_blueprint(1_000, blueprint(3), version(3));
    desk.set_blueprint(1_000, blueprint(5), version(2));
    assert_eq!(desk.versions().0, version(3));
    assert_eq!(desk.blueprint().bounds.holding_max, 3);
    desk.set_plan(1_000, plan("two", 9, 9), Version { era: 0, no: 50 });
    assert_eq!(desk.versions().1, version(1));
}

#[test]
fn work_that_cannot_be_done_in_time_is_told_so_at_once() {
    let mut desk = desk(10);
    desk.arrive(1_000, ticket(0, 0, 1_000));
    let seat = launched(&mut desk).remove(0).1;
    desk.try_done(2_100, &seat, TryEnd::Answered(900));
    for slot in 1..4 {
        desk.arrive(2_100, ticket(slot, 0, 1_000));
    }
    assert_eq!(
        refused(&mut desk).len(),
        3,
        "900 ms are left of 1350 needed"
    );
}

#[test]
fn answers_that_take_most_of_the_budget_do_not_shut_a_function() {
    let mut desk = desk(10);
    desk.arrive(1_000, ticket(1, 0, 1_000));
    let first = launched(&mut desk);
    desk.try_done(2_800, &first[0].1, TryEnd::Answered(1_800));
    hear(&mut desk, 2_800, version(1));
    desk.arrive(2_800, ticket(2, 0, 2_800));
    assert_eq!(launched(&mut desk).len(), 1, "1.8 s of a budget of 2 s");
}

#[test]
fn a_full_holding_sheds_the_lowest_rank_and_never_the_urgent() {
    let mut desk = desk(2);
    desk.arrive(1_000, ticket(9, 0, 1_000));
    launched(&mut desk);
    desk.arrive(1_000, ticket(1, 1, 1_000));
    desk.arrive(1_001, ticket(2, 0, 1_001));
    desk.arrive(1_002, ticket(3, 0, 1_002));
    assert_eq!(refused(&mut desk), vec![(1, Refusal::Shed)]);
    desk.arrive(1_003, ticket(4, 1, 1_003));
    assert_eq!(refused(&mut desk), vec![(4, Refusal::HoldingFull)]);
}
