//! Consensus under every schedule of a bounded number of faults, at a scope small enough for the test suite.
//! `docs/model-check.md` describes runs at larger scopes.

mod common;

use model::consensus::{Consensus, FaultScope};
use model::Report;

const MAX_STATES: usize = 1_000_000;

fn explored(faults: usize, depth: usize, scope: FaultScope) -> Report {
    let model = Consensus {
        members: 3,
        newcomers: 1,
        faults,
        scope,
    };
    common::explored(&model, depth, MAX_STATES)
}

#[test]
fn one_fault_of_any_kind_at_any_time_breaks_no_invariant() {
    let scope = FaultScope {
        spans: vec![3, 9],
        crash_points: vec![0, 3, 6],
        has_links: true,
    };
    let report = explored(1, 14, scope);
    let milestones = report.milestones.iter();
    let mut milestones = milestones.filter(|(milestone, _)| *milestone == "a member was replaced");
    assert!(milestones.any(|(_, states)| *states > 0), "{report}");
}

#[test]
fn two_machines_that_are_lost_cut_off_or_frozen_at_any_time_break_no_invariant() {
    let scope = FaultScope {
        spans: vec![7],
        crash_points: Vec::new(),
        has_links: false,
    };
    explored(2, 9, scope);
}
