//! Seat ownership under every order of single messages, at a scope small enough for the test suite.

mod common;

use model::ownership::{Ownership, Script};
use model::Report;

const MAX_STATES: usize = 3_000_000;

fn explored(script: Script, requests: usize, lost_links: usize, depth: usize) -> Report {
    let model = Ownership {
        gateways: 3,
        script,
        requests,
        lost_links,
    };
    common::explored(&model, depth, MAX_STATES)
}

#[test]
fn a_gateway_that_joins_leases_no_seat_that_is_leased() {
    let script = Script::beginning_with(&[0, 1]).then_joins(2);
    let report = explored(script, 3, 0, 40);
    assert!(report.is_closed, "{report}");
    assert!(report.milestones.iter().any(|(_, states)| *states > 0));
}

#[test]
fn a_gateway_that_leaves_hands_over_what_it_has_leased() {
    for leaving in 0..3 {
        let script = Script::beginning_with(&[0, 1, 2]).then_leaves(leaving);
        explored(script, 2, 0, 40);
    }
}

#[test]
fn a_lost_link_frees_no_seat_that_is_in_use() {
    for leaving in 0..3 {
        let script = Script::beginning_with(&[0, 1, 2]).then_leaves(leaving);
        explored(script, 1, 1, 16);
    }
}

#[test]
fn two_moves_one_after_the_other_keep_one_owner() {
    for leaving in 0..2 {
        let script = Script::beginning_with(&[0, 1])
            .then_joins(2)
            .then_leaves(leaving);
        explored(script, 1, 0, 40);
    }
}
