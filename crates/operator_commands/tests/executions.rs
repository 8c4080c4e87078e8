//! The execution of commands for all outcomes of their reads and writes.

#[path = "cluster/documents.rs"]
#[allow(dead_code)]
mod documents;

use documents::{body, TestFormat};
use operator_commands::{
    BaseVersion, Command, CommandExecution, CommandKind, CommandReply, Evacuations, ExecutionStep,
    DECISION_ATTEMPTS_MAX,
};
use register::{Ballot, ChangeOutcome, VersionedValue};
use speedy::Writable;

const ZONE: &str = "zone-a";

fn stored(version: u64, bytes: Vec<u8>) -> VersionedValue {
    VersionedValue {
        version,
        tag: version,
        bytes,
    }
}

fn evacuations(value: &Evacuations, version: u64) -> VersionedValue {
    stored(version, value.write_to_vec().unwrap())
}

fn evacuation(kind: CommandKind) -> CommandExecution {
    let base = BaseVersion::Missing;
    CommandExecution::new(Command {
        kind,
        base,
        version: None,
        body: Vec::new(),
    })
}

fn replace(base: u64, version: u64, number: u64) -> CommandExecution {
    CommandExecution::new(Command {
        kind: CommandKind::Replace,
        base: BaseVersion::Given(base),
        version: Some(version),
        body: body(version, number, "one", 1),
    })
}

fn feed(execution: &mut CommandExecution, outcome: ChangeOutcome) -> ExecutionStep {
    execution.on_outcome(outcome, &TestFormat)
}

fn is_undecided(step: &ExecutionStep) -> bool {
    matches!(step, ExecutionStep::Reply(CommandReply::Undecided(_)))
}

fn undecided_outcomes() -> Vec<ChangeOutcome> {
    vec![
        ChangeOutcome::Indeterminate,
        ChangeOutcome::NoQuorum("no majority".into()),
        ChangeOutcome::Preempted(Ballot::default()),
        ChangeOutcome::Expired,
    ]
}

#[test]
fn a_command_is_undecided_after_a_read_or_write_with_an_unknown_outcome() {
    for outcome in undecided_outcomes() {
        let mut reading = replace(0, 1, 1);
        assert!(is_undecided(&feed(&mut reading, outcome.clone())));
        let mut writing = replace(0, 1, 1);
        let step = feed(
            &mut writing,
            ChangeOutcome::Committed(VersionedValue::default()),
        );
        assert!(matches!(step, ExecutionStep::Write { expected: 0, .. }));
        assert!(is_undecided(&feed(&mut writing, outcome)));
    }
}

#[test]
fn a_command_that_another_copy_has_already_written_is_acknowledged() {
    let (mut one, mut other) = (replace(0, 1, 1), replace(0, 1, 1));
    let ExecutionStep::Write { bytes, .. } = feed(
        &mut one,
        ChangeOutcome::Committed(VersionedValue::default()),
    ) else {
        panic!("the command is not written");
    };
    feed(
        &mut other,
        ChangeOutcome::Committed(VersionedValue::default()),
    );
    let step = feed(&mut other, ChangeOutcome::Conflict(stored(1, bytes)));
    assert_eq!(step, ExecutionStep::Reply(CommandReply::Acknowledged));
}

#[test]
fn a_delayed_copy_of_an_evacuation_command_does_not_undo_a_newer_one() {
    let begun = Evacuations::default().next(ZONE, true);
    let mut finish = evacuation(CommandKind::FinishEvacuation(ZONE.into()));
    let step = feed(
        &mut finish,
        ChangeOutcome::Committed(evacuations(&begun, 1)),
    );
    assert!(matches!(step, ExecutionStep::Write { expected: 1, .. }));
    // Meanwhile, another copy finished the evacuation and was acknowledged, and a new evacuation began.
    let begun_again = begun.next(ZONE, false).next(ZONE, true);
    let step = feed(
        &mut finish,
        ChangeOutcome::Conflict(evacuations(&begun_again, 3)),
    );
    assert!(is_undecided(&step), "{step:?}");
}

#[test]
fn an_evacuation_is_accepted_despite_a_concurrent_change_of_another_zone() {
    let mut begin = evacuation(CommandKind::BeginEvacuation(ZONE.into()));
    let before = Evacuations::default();
    feed(
        &mut begin,
        ChangeOutcome::Committed(evacuations(&before, 1)),
    );
    let other_zone = before.next("zone-b", true);
    let step = feed(
        &mut begin,
        ChangeOutcome::Conflict(evacuations(&other_zone, 2)),
    );
    let ExecutionStep::Write { expected: 2, bytes } = step else {
        panic!("the command is not written again: {step:?}");
    };
    let both = Evacuations::read(&bytes).unwrap();
    assert!(both.is_evacuated(ZONE) && both.is_evacuated("zone-b"));
}

#[test]
fn a_command_with_too_many_conflicts_is_left_undecided() {
    let mut begin = evacuation(CommandKind::BeginEvacuation(ZONE.into()));
    let mut value = Evacuations::default();
    for round in 0..DECISION_ATTEMPTS_MAX {
        let stored = evacuations(&value, u64::from(round));
        let step = feed(&mut begin, ChangeOutcome::Conflict(stored));
        assert!(
            matches!(step, ExecutionStep::Write { .. }),
            "round {round}: {step:?}"
        );
        value = value.next("zone-b", round % 2 == 0);
    }
    assert!(is_undecided(&feed(
        &mut begin,
        ChangeOutcome::Conflict(evacuations(&value, 99))
    )));
}
