//! Registers and a change of the voter set under every order of single messages, at a scope small enough for the test suite.

mod common;

use common::explored;
use model::registers::Registers;

const MAX_STATES: usize = 1_000_000;

#[test]
fn a_writer_and_a_reader_agree_under_every_order_of_messages() {
    let model = Registers {
        writers: 1,
        readers: 1,
        has_new_member: false,
        max_retries: 0,
    };
    explored(&model, 12, MAX_STATES);
}

#[test]
fn two_writers_settle_one_value_under_every_order_of_messages() {
    let model = Registers {
        writers: 2,
        readers: 0,
        has_new_member: false,
        max_retries: 1,
    };
    explored(&model, 10, MAX_STATES);
}

#[test]
fn a_newcomer_that_replaces_a_member_holds_what_was_settled_under_every_order_of_messages() {
    let model = Registers {
        writers: 1,
        readers: 0,
        has_new_member: true,
        max_retries: 0,
    };
    explored(&model, 10, MAX_STATES);
}
