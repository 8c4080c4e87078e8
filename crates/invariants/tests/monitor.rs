//! A violation is counted and panics in tests; an invariant that holds has no effect.

use invariants::{check, is_fatal, total_violations, violations, Invariant};
use std::collections::BTreeSet;

#[test]
fn a_violation_is_counted_and_fatal_in_tests() {
    let invariant = Invariant::QueueIsBounded;
    assert!(is_fatal());
    let before = violations(invariant);
    let broken = std::panic::catch_unwind(|| check(invariant, false, || "three of two".into()));
    let message = broken.expect_err("the check did not panic");
    let message = message
        .downcast_ref::<String>()
        .expect("a formatted message");
    assert!(
        message.contains("queue_is_bounded: three of two"),
        "{message}"
    );
    assert_eq!(violations(invariant), before + 1);
    assert!(total_violations() > before);
}

#[test]
fn an_invariant_that_holds_is_not_counted_and_its_context_is_not_evaluated() {
    let invariant = Invariant::TermsRise;
    assert!(check(invariant, true, || unreachable!(
        "the invariant holds"
    )));
    assert_eq!(violations(invariant), 0);
}

#[test]
fn names_are_unique() {
    let names: BTreeSet<&str> = Invariant::ALL
        .iter()
        .map(|invariant| invariant.name())
        .collect();
    assert_eq!(names.len(), Invariant::ALL.len());
}
