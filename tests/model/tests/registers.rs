//! Registers and a change of the voters' set under every order of single messages, at a scope for each run of the tests.

use model::registers::Registers;
use model::{explore, Limits};

fn explored(model: &Registers, depth: usize) {
    let limits = Limits {
        depth,
        states: 1_000_000,
        threads: 2,
    };
    let report = explore(model, limits);
    println!("{report}");
    assert!(report.counterexample.is_none(), "{report}");
    assert!(report.is_exhausted, "{report}");
}

#[test]
fn a_writer_and_a_reader_agree_under_every_order_of_messages() {
    let model = Registers {
        writers: 1,
        readers: 1,
        has_new_member: false,
        max_retries: 0,
    };
    explored(&model, 12);
}

#[test]
fn two_writers_settle_one_value_under_every_order_of_messages() {
    let model = Registers {
        writers: 2,
        readers: 0,
        has_new_member: false,
        max_retries: 1,
    };
    explored(&model, 10);
}

#[test]
fn a_newcomer_that_replaces_a_member_holds_what_was_settled_under_every_order_of_messages() {
    let model = Registers {
        writers: 1,
        readers: 0,
        has_new_member: true,
        max_retries: 0,
    };
    explored(&model, 10);
}
