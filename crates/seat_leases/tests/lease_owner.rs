//! What the keeper of a function promises to the gateways that bid.

mod common;

use common::{
    avoiding, bid, grants, in_use, keeper, news, refusals, release, runner, tickets, FUNCTION,
};
use protocol::{
    LeaseOutcome, LeaseRequest, RequestId, RunnerLeases, RunnerStage, RunnerUpdate, UpdateVersion,
};
use seat_leases::{LeaseAction, LeaseOwner};
use std::collections::BTreeSet;

#[test]
fn a_runner_gets_no_more_than_its_quota() {
    let mut keeper = keeper(&[runner("a", "north", 2)]);
    for ticket in 1..=4 {
        keeper.request_lease(0, "f", "north", bid(ticket, 1));
    }
    assert_eq!(tickets(&mut keeper), [1, 2]);
    keeper.release(1, "f", &release(1, LeaseOutcome::Succeeded, 10));
    assert_eq!(tickets(&mut keeper), [3]);
}

#[test]
fn a_runner_with_no_quota_gets_nothing() {
    let mut keeper = keeper(&[runner("a", "north", 0)]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    assert_eq!(tickets(&mut keeper), [0; 0]);
}

#[test]
fn the_lower_rank_goes_first_then_who_waits_longer() {
    let mut keeper = keeper(&[runner("a", "north", 1)]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    for (ticket, rank) in [(2, 2), (3, 1), (4, 1), (5, 0)] {
        keeper.request_lease(0, "f", "north", bid(ticket, rank));
    }
    let mut order = Vec::new();
    for _ in 0..5 {
        let lent = tickets(&mut keeper);
        assert_eq!(lent.len(), 1);
        order.push(lent[0]);
        keeper.release(1, "f", &release(lent[0], LeaseOutcome::Succeeded, 10));
    }
    assert_eq!(order, [1, 5, 3, 4, 2]);
}

#[test]
fn a_near_runner_is_lent_before_a_far_one() {
    let mut keeper = keeper(&[runner("far", "south", 1), runner("near", "north", 1)]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    keeper.request_lease(0, "f", "north", bid(2, 1));
    let expected = [(1, "near".to_string()), (2, "far".to_string())];
    assert_eq!(grants(&mut keeper), expected);
}

#[test]
fn a_request_does_not_go_where_it_was_unless_there_is_no_other() {
    let mut two = keeper(&[runner("a", "north", 4), runner("b", "south", 1)]);
    two.request_lease(0, "f", "north", avoiding(1, &["a"]));
    two.request_lease(0, "f", "north", avoiding(2, &["a"]));
    assert_eq!(grants(&mut two), [(1, "b".to_string())]);
    let mut one = keeper(&[runner("a", "north", 4)]);
    one.request_lease(0, "f", "north", avoiding(3, &["a"]));
    assert_eq!(grants(&mut one), [(3, "a".to_string())]);
}

#[test]
fn a_withdrawn_bid_and_a_withdrawn_seat_are_free() {
    let mut keeper = keeper(&[runner("a", "north", 1)]);
    for ticket in 1..=3 {
        keeper.request_lease(0, "f", "north", bid(ticket, 1));
    }
    assert_eq!(tickets(&mut keeper), [1]);
    keeper.cancel(1, "f", RequestId(2));
    keeper.cancel(1, "f", RequestId(1));
    assert_eq!(tickets(&mut keeper), [3]);
    assert_eq!(in_use(&keeper, "a"), Some(1));
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
        let mut keeper = keeper(&[runner("a", "north", 1)]);
        keeper.request_lease(0, "f", "north", bid(1, 1));
        keeper.release(1, "f", &release(1, outcome, 10));
        assert_eq!(in_use(&keeper, "a"), Some(0), "{outcome:?}");
        // A second release, or one of a gateway that holds nothing, changes nothing.
        keeper.release(1, "f", &release(1, outcome, 10));
        keeper.release(1, "g", &release(1, outcome, 10));
        assert_eq!(in_use(&keeper, "a"), Some(0), "{outcome:?}");
    }
}

#[test]
fn what_a_gateway_held_or_wanted_is_free_once_it_is_gone() {
    let mut keeper = keeper(&[runner("a", "north", 1)]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    keeper.request_lease(0, "f", "north", bid(2, 1));
    keeper.request_lease(0, "g", "north", bid(1, 1));
    assert_eq!(grants(&mut keeper), [(1, "a".to_string())]);
    keeper.remove_gateway(1, "f");
    let actions = keeper.take_actions();
    let [LeaseAction::Lease {
        gateway,
        lease: grant,
    }] = &actions[..]
    else {
        panic!("not one seat was lent: {actions:?}");
    };
    assert_eq!((gateway.as_str(), grant.request_id), ("g", RequestId(1)));
    assert_eq!(in_use(&keeper, "a"), Some(1));
}

#[test]
fn a_runner_that_was_full_rests() {
    let mut keeper = keeper(&[runner("a", "north", 2)]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    assert_eq!(tickets(&mut keeper), [1]);
    keeper.release(10, "f", &release(1, LeaseOutcome::Rejected, 1));
    keeper.request_lease(10, "f", "north", bid(2, 1));
    assert_eq!(tickets(&mut keeper), [0; 0]);
    keeper.tick(15);
    assert_eq!(tickets(&mut keeper), [0; 0]);
    keeper.tick(60);
    assert_eq!(tickets(&mut keeper), [2]);
}

#[test]
fn a_runner_that_is_gone_gets_nothing_more() {
    let mut keeper = keeper(&[runner("a", "north", 2)]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    assert_eq!(tickets(&mut keeper), [1]);
    keeper.release(1, "f", &release(1, LeaseOutcome::Gone, 0));
    keeper.request_lease(1, "f", "north", bid(2, 1));
    keeper.tick(500);
    assert_eq!(tickets(&mut keeper), [0; 0]);
    let reports = keeper.reports(600, true);
    assert!(reports[0].runners[0].is_gone);
}

/// A runner of one seat, used with one outcome after the other, is gone after the last and not before.
fn assert_gone_after(outcomes: &[LeaseOutcome]) {
    let mut keeper = keeper(&[runner("a", "north", 1)]);
    for (ticket, outcome) in (1..).zip(outcomes) {
        keeper.request_lease(0, "f", "north", bid(ticket, 1));
        assert_eq!(tickets(&mut keeper), [ticket], "before {outcome:?}");
        keeper.release(0, "f", &release(ticket, *outcome, 10));
    }
    keeper.request_lease(0, "f", "north", bid(9, 1));
    assert_eq!(tickets(&mut keeper), [0; 0]);
    assert!(keeper.reports(1_000, true)[0].runners[0].is_gone);
}

#[test]
fn three_misses_in_a_row_mean_gone_and_an_answer_between_them_does_not() {
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
fn a_runner_that_loses_three_answers_in_a_row_gets_no_more() {
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
fn older_news_is_dropped() {
    let mut keeper = LeaseOwner::default();
    keeper.update_runners(0, news(5, &[runner("new", "north", 1)]));
    keeper.update_runners(0, news(4, &[runner("old", "north", 9)]));
    assert_eq!(in_use(&keeper, "old"), None);
    assert_eq!(in_use(&keeper, "new"), Some(0));
    let mut next_term = news(1, &[runner("next", "north", 1)]);
    next_term.version = UpdateVersion { term: 2, number: 1 };
    keeper.update_runners(0, next_term);
    assert_eq!(in_use(&keeper, "next"), Some(0));
}

#[test]
fn a_draining_runner_gets_nothing_and_is_told_of_until_it_is_empty() {
    let mut keeper = keeper(&[runner("a", "north", 2)]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    assert_eq!(tickets(&mut keeper), [1]);
    let draining = RunnerUpdate {
        stage: RunnerStage::Draining,
        ..runner("a", "north", 2)
    };
    keeper.update_runners(1, news(2, &[draining]));
    keeper.request_lease(1, "f", "north", bid(2, 1));
    keeper.tick(100);
    assert_eq!(tickets(&mut keeper), [0; 0]);
    assert_eq!(keeper.reports(400, true)[0].runners[0].in_use, 1);
    keeper.release(401, "f", &release(1, LeaseOutcome::Succeeded, 400));
    let reports = keeper.reports(700, false);
    assert_eq!(reports[0].runners[0].in_use, 0);
    assert_eq!(tickets(&mut keeper), [0; 0]);
}

#[test]
fn a_runner_that_is_no_longer_told_of_keeps_only_what_it_holds() {
    let mut keeper = keeper(&[runner("a", "north", 2)]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    keeper.update_runners(1, news(2, &[]));
    keeper.request_lease(1, "f", "north", bid(2, 1));
    assert_eq!(tickets(&mut keeper), [1]);
    assert_eq!(in_use(&keeper, "a"), Some(1));
    keeper.release(2, "f", &release(1, LeaseOutcome::Succeeded, 2));
    keeper.update_runners(3, news(3, &[]));
    assert_eq!(in_use(&keeper, "a"), None);
}

#[test]
fn a_closed_district_gets_nothing_until_it_is_open_again() {
    let mut keeper = keeper(&[runner("a", "north", 1)]);
    keeper.set_evacuated_zones(BTreeSet::from(["north".to_string()]));
    keeper.request_lease(0, "f", "north", bid(1, 1));
    keeper.tick(50);
    assert_eq!(tickets(&mut keeper), [0; 0]);
    keeper.set_evacuated_zones(BTreeSet::new());
    keeper.tick(100);
    assert_eq!(tickets(&mut keeper), [1]);
}

#[test]
fn a_line_that_is_full_refuses_with_a_time_to_come_back() {
    let mut keeper = LeaseOwner::default();
    for ticket in 0..2_000 {
        keeper.request_lease(0, "f", "north", bid(ticket, 1));
    }
    let refused = refusals(&mut keeper);
    assert!(refused.len() >= 1_000, "{} were refused", refused.len());
    assert!(refused.iter().all(|(_, after)| *after > 0));
    let waiting = keeper.reports(1_000, true)[0].waiting as usize;
    assert_eq!(waiting + refused.len(), 2_000);
}

#[test]
fn a_bid_whose_time_is_over_is_refused() {
    let mut keeper = LeaseOwner::default();
    keeper.request_lease(
        0,
        "f",
        "north",
        LeaseRequest {
            timeout_ms: 100,
            ..bid(1, 1)
        },
    );
    keeper.tick(99);
    assert_eq!(refusals(&mut keeper), []);
    keeper.tick(100);
    let refused = refusals(&mut keeper);
    assert!(
        matches!(refused[..], [(1, after)] if after > 0),
        "{refused:?}"
    );
    keeper.update_runners(101, news(1, &[runner("a", "north", 1)]));
    assert_eq!(tickets(&mut keeper), [0; 0]);
}

#[test]
fn a_hopeless_bid_is_refused_at_once() {
    let mut keeper = keeper(&[runner("a", "north", 1)]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    keeper.release(0, "f", &release(1, LeaseOutcome::Succeeded, 1_000));
    keeper.request_lease(0, "f", "north", bid(2, 1));
    keeper.request_lease(0, "f", "north", bid(3, 1));
    assert_eq!(tickets(&mut keeper), [1, 2]);
    keeper.request_lease(
        0,
        "f",
        "north",
        LeaseRequest {
            timeout_ms: 500,
            ..bid(4, 1)
        },
    );
    let refused = refusals(&mut keeper);
    assert!(
        matches!(refused[..], [(4, after)] if after >= 1_000),
        "{refused:?}"
    );
}

#[test]
fn a_free_seat_is_lent_however_slow_the_last_answer_was() {
    let mut keeper = keeper(&[runner("a", "north", 1)]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    // A runner is slow after its start, and if nothing is sent to it, nobody learns that it is fast by now.
    keeper.release(3_000, "f", &release(1, LeaseOutcome::Succeeded, 3_000));
    assert_eq!(tickets(&mut keeper), [1]);
    keeper.request_lease(
        3_001,
        "f",
        "north",
        LeaseRequest {
            timeout_ms: 2_000,
            ..bid(2, 1)
        },
    );
    assert_eq!(tickets(&mut keeper), [2]);
}

#[test]
fn a_starting_runner_is_looked_for_and_serves_once_it_takes_a_connection() {
    let starting = RunnerUpdate {
        stage: RunnerStage::Starting,
        starts_in_ms: 1_000,
        ..runner("a", "north", 2)
    };
    let mut keeper = keeper(&[starting]);
    keeper.request_lease(0, "f", "north", bid(1, 1));
    keeper.request_lease(0, "f", "north", bid(2, 1));
    assert_eq!(keeper.take_actions(), []);
    let mut looks = 0;
    for now in 0..1_200 {
        keeper.tick(now);
        let actions = keeper.take_actions();
        if actions.is_empty() {
            continue;
        }
        let look = LeaseAction::Probe {
            function: FUNCTION.into(),
            runner: "a".into(),
            address: "a:1".into(),
        };
        assert_eq!(actions, [look], "at {now}");
        looks += 1;
        keeper.record_probe(now, FUNCTION, "a", now >= 1_000);
        if now >= 1_000 {
            break;
        }
    }
    assert!((2..=40).contains(&looks), "{looks} looks");
    // The connection of the look may hold a seat for a moment.
    assert_eq!(tickets(&mut keeper), [1]);
    keeper.tick(1_500);
    assert_eq!(tickets(&mut keeper), [2]);
}

#[test]
fn a_new_keeper_counts_what_gateways_have_at_runners() {
    let mut keeper = LeaseOwner::default();
    let held = vec![RunnerLeases {
        runner: "a".into(),
        address: "a:1".into(),
        zone: "north".into(),
        requests: vec![RequestId(7), RequestId(8)],
    }];
    keeper.adopt_leases(0, "f", FUNCTION, &held);
    assert_eq!(in_use(&keeper, "a"), Some(2));
    keeper.update_runners(1, news(1, &[runner("a", "north", 3)]));
    keeper.request_lease(1, "g", "north", bid(1, 1));
    keeper.request_lease(1, "g", "north", bid(2, 1));
    assert_eq!(tickets(&mut keeper), [1]);
    keeper.release(2, "f", &release(7, LeaseOutcome::Succeeded, 5));
    assert_eq!(tickets(&mut keeper), [2]);
}

#[test]
fn a_release_frees_the_seat_of_its_own_gateway_alone() {
    let mut owner = keeper(&[runner("a", "north", 2)]);
    for gateway in ["f", "g"] {
        owner.request_lease(0, gateway, "north", bid(1, 1));
    }
    owner.release(1, "stranger", &release(1, LeaseOutcome::Succeeded, 10));
    assert_eq!(in_use(&owner, "a"), Some(2));
    owner.release(1, "g", &release(1, LeaseOutcome::Succeeded, 10));
    owner.release(1, "g", &release(1, LeaseOutcome::Succeeded, 10));
    assert_eq!(in_use(&owner, "a"), Some(1));
}
