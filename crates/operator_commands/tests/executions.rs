//! An order's way over reads and writes, whatever their outcomes.

#[path = "town/documents.rs"]
#[allow(dead_code)]
mod documents;

use documents::{body, TownDocuments};
use operator_commands::{
    BaseVersion, Evacuations, Execution, Order, OrderKind, Reply, Step, ROUNDS_MAX,
};
use register::{Ballot, Outcome, Stored};
use speedy::Writable;

const ZONE: &str = "zone-a";

fn stored(version: u64, bytes: Vec<u8>) -> Stored {
    Stored {
        version,
        tag: version,
        bytes,
    }
}

fn evacuations(value: &Evacuations, version: u64) -> Stored {
    stored(version, value.write_to_vec().unwrap())
}

fn evacuation(kind: OrderKind) -> Execution {
    let base = BaseVersion::Missing;
    Execution::new(Order {
        kind,
        base,
        version: None,
        body: Vec::new(),
    })
}

fn replace(base: u64, version: u64, number: u64) -> Execution {
    Execution::new(Order {
        kind: OrderKind::Replace,
        base: BaseVersion::Told(base),
        version: Some(version),
        body: body(version, number, "one", 1),
    })
}

fn feed(execution: &mut Execution, outcome: Outcome) -> Step {
    execution.on_outcome(outcome, &TownDocuments)
}

fn is_unclear(step: &Step) -> bool {
    matches!(step, Step::Reply(Reply::Unclear(_)))
}

fn unclear_outcomes() -> Vec<Outcome> {
    vec![
        Outcome::Undecided,
        Outcome::Unreached("no majority".into()),
        Outcome::Beaten(Ballot::default()),
        Outcome::AgedOut,
    ]
}

#[test]
fn a_read_or_write_without_a_clear_end_is_neither_acknowledged_nor_refused() {
    for outcome in unclear_outcomes() {
        let mut reading = replace(0, 1, 1);
        assert!(is_unclear(&feed(&mut reading, outcome.clone())));
        let mut writing = replace(0, 1, 1);
        let step = feed(&mut writing, Outcome::Settled(Stored::default()));
        assert!(matches!(step, Step::Write { expected: 0, .. }));
        assert!(is_unclear(&feed(&mut writing, outcome)));
    }
}

#[test]
fn a_write_that_another_copy_of_the_order_made_is_acknowledged() {
    let (mut one, mut other) = (replace(0, 1, 1), replace(0, 1, 1));
    let Step::Write { bytes, .. } = feed(&mut one, Outcome::Settled(Stored::default())) else {
        panic!("it is not written");
    };
    feed(&mut other, Outcome::Settled(Stored::default()));
    let step = feed(&mut other, Outcome::Stale(stored(1, bytes)));
    assert_eq!(step, Step::Reply(Reply::Acknowledged));
}

#[test]
fn a_late_copy_of_an_evacuation_order_does_not_undo_a_newer_one() {
    let begun = Evacuations::default().next(ZONE, true);
    let mut finish = evacuation(OrderKind::FinishEvacuation(ZONE.into()));
    let step = feed(&mut finish, Outcome::Settled(evacuations(&begun, 1)));
    assert!(matches!(step, Step::Write { expected: 1, .. }));
    // Meanwhile another copy finished it, was acknowledged, and the evacuation was begun anew.
    let begun_anew = begun.next(ZONE, false).next(ZONE, true);
    let step = feed(&mut finish, Outcome::Stale(evacuations(&begun_anew, 3)));
    assert!(is_unclear(&step), "{step:?}");
}

#[test]
fn a_change_of_another_zone_does_not_keep_an_evacuation_from_being_taken() {
    let mut begin = evacuation(OrderKind::BeginEvacuation(ZONE.into()));
    let before = Evacuations::default();
    feed(&mut begin, Outcome::Settled(evacuations(&before, 1)));
    let other_zone = before.next("zone-b", true);
    let step = feed(&mut begin, Outcome::Stale(evacuations(&other_zone, 2)));
    let Step::Write { expected: 2, bytes } = step else {
        panic!("it is not written again: {step:?}");
    };
    let both = Evacuations::read(&bytes).unwrap();
    assert!(both.is_evacuated(ZONE) && both.is_evacuated("zone-b"));
}

#[test]
fn an_order_that_always_comes_too_late_ends_without_a_clear_answer() {
    let mut begin = evacuation(OrderKind::BeginEvacuation(ZONE.into()));
    let mut value = Evacuations::default();
    for round in 0..ROUNDS_MAX {
        let stored = evacuations(&value, u64::from(round));
        let step = feed(&mut begin, Outcome::Stale(stored));
        assert!(
            matches!(step, Step::Write { .. }),
            "round {round}: {step:?}"
        );
        value = value.next("zone-b", round % 2 == 0);
    }
    assert!(is_unclear(&feed(
        &mut begin,
        Outcome::Stale(evacuations(&value, 99))
    )));
}
