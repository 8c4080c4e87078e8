//! The promise check accepts a kept promise and panics on a broken one.

use crate::promise_check::check_promise;
use crate::value::{Ballot, RegisterState};

fn state(promised: u64, accepted: u64) -> RegisterState {
    let ballot = |counter| Ballot {
        counter,
        proposer: 1,
    };
    RegisterState {
        promised: ballot(promised),
        accepted: ballot(accepted),
        ..RegisterState::default()
    }
}

#[test]
fn a_higher_promise_passes() {
    check_promise("key", Some(&state(3, 2)), &state(4, 4));
}

#[test]
#[should_panic(expected = "promises_are_kept")]
fn a_lowered_promise_panics() {
    check_promise("key", Some(&state(3, 2)), &state(2, 2));
}

#[test]
#[should_panic(expected = "promises_are_kept")]
fn a_value_accepted_without_a_promise_panics() {
    check_promise("key", None, &state(1, 2));
}
