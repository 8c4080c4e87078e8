//! A promise is broken on purpose, and its check ends the test.

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
fn a_higher_promise_is_kept() {
    check_promise("key", Some(&state(3, 2)), &state(4, 4));
}

#[test]
#[should_panic(expected = "promises_are_kept")]
fn a_promise_falls() {
    check_promise("key", Some(&state(3, 2)), &state(2, 2));
}

#[test]
#[should_panic(expected = "promises_are_kept")]
fn a_value_is_accepted_without_a_promise() {
    check_promise("key", None, &state(1, 2));
}
