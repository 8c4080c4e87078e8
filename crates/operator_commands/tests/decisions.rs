//! Decisions on single commands: which are accepted, acknowledged again, rejected or left undecided, including boundary cases.

#[path = "cluster/documents.rs"]
#[allow(dead_code)]
mod documents;

use documents::{body, body_removing, version_of, TestFormat};
use operator_commands::{
    decide, BaseVersion, Command, CommandKind, CommandReply, ConfigurationRecord, Decision,
    Evacuations, RejectionKind, ACCEPTED_COMMANDS_MAX,
};

fn command(kind: CommandKind, base: u64, body: Vec<u8>) -> Command {
    Command {
        kind,
        base: BaseVersion::Given(base),
        version: version_of(&body),
        body,
    }
}

fn replace(base: u64, version: u64, number: u64) -> Command {
    command(CommandKind::Replace, base, body(version, number, "one", 1))
}

fn accepted(command: &Command, bytes: &[u8]) -> Vec<u8> {
    match decide(command, bytes, &TestFormat) {
        Decision::Write(bytes) => bytes,
        Decision::Reply(reply) => panic!("{command:?} is not accepted: {reply:?}"),
    }
}

fn reply(command: &Command, bytes: &[u8]) -> CommandReply {
    match decide(command, bytes, &TestFormat) {
        Decision::Reply(reply) => reply,
        Decision::Write(_) => panic!("{command:?} is accepted"),
    }
}

fn rejection_kind(command: &Command, bytes: &[u8]) -> RejectionKind {
    match reply(command, bytes) {
        CommandReply::Rejected(kind, _) => kind,
        other => panic!("{command:?} is not rejected: {other:?}"),
    }
}

fn is_undecided(command: &Command, bytes: &[u8]) -> bool {
    matches!(reply(command, bytes), CommandReply::Undecided(_))
}

/// The configuration register after `count` whole configurations with the versions 1, 2, and so on.
fn after_changes(count: u64) -> Vec<u8> {
    (1..=count).fold(Vec::new(), |bytes, version| {
        accepted(&replace(version - 1, version, version), &bytes)
    })
}

#[test]
fn an_accepted_command_is_acknowledged_again_immediately_and_later() {
    let first = replace(0, 3, 1);
    let bytes = accepted(&first, &[]);
    assert_eq!(reply(&first, &bytes), CommandReply::Acknowledged);
    let bytes = accepted(&replace(3, 8, 2), &bytes);
    assert_eq!(reply(&first, &bytes), CommandReply::Acknowledged);
}

#[test]
fn white_space_around_the_body_does_not_change_a_command() {
    let first = replace(0, 3, 1);
    let bytes = accepted(&first, &[]);
    let mut again = first.clone();
    again.body.extend_from_slice(b" \r\n");
    again.body.insert(0, b'\n');
    assert_eq!(reply(&again, &bytes), CommandReply::Acknowledged);
}

#[test]
fn a_command_with_an_accepted_version_but_another_body_kind_or_base_is_stale() {
    let bytes = accepted(&replace(0, 2, 1), &[]);
    let first = replace(2, 5, 1);
    let bytes = accepted(&first, &bytes);
    assert_eq!(
        rejection_kind(&replace(2, 5, 9), &bytes),
        RejectionKind::Stale
    );
    let mut update = first.clone();
    update.kind = CommandKind::Update;
    assert_eq!(rejection_kind(&update, &bytes), RejectionKind::Stale);
    let mut other_base = first;
    other_base.base = BaseVersion::Given(1);
    assert_eq!(rejection_kind(&other_base, &bytes), RejectionKind::Stale);
}

#[test]
fn the_second_of_two_changes_with_the_same_base_stays_stale() {
    let mut bytes = accepted(&replace(0, 2, 1), &[]);
    let (winner, loser) = (replace(2, 4, 2), replace(2, 4, 3));
    bytes = accepted(&winner, &bytes);
    for version in 5..40 {
        assert_eq!(rejection_kind(&loser, &bytes), RejectionKind::Stale);
        assert_eq!(reply(&winner, &bytes), CommandReply::Acknowledged);
        bytes = accepted(&replace(version - 1, version, version), &bytes);
    }
}

#[test]
fn the_oldest_command_in_the_history_is_acknowledged_and_older_ones_are_left_undecided() {
    let bound = ACCEPTED_COMMANDS_MAX as u64;
    let bytes = after_changes(bound + 10);
    assert_eq!(
        reply(&replace(10, 11, 11), &bytes),
        CommandReply::Acknowledged
    );
    assert!(is_undecided(&replace(9, 10, 10), &bytes));
    assert!(is_undecided(&replace(0, 1, 1), &bytes));
    // A command that was never accepted, but could have been accepted and dropped, is left undecided as well.
    assert!(is_undecided(&replace(4, 7, 700), &bytes));
    // These cannot have been accepted: version 10 lies between their base and version, or the history covers their base.
    assert_eq!(
        rejection_kind(&replace(9, 11, 700), &bytes),
        RejectionKind::Stale
    );
    assert_eq!(
        rejection_kind(&replace(10, 11, 700), &bytes),
        RejectionKind::Stale
    );
    assert_eq!(
        rejection_kind(&replace(3, bound + 11, 700), &bytes),
        RejectionKind::Stale
    );
}

#[test]
fn the_history_stays_within_its_size_limit() {
    let few = after_changes(10).len();
    let many = after_changes(2 * ACCEPTED_COMMANDS_MAX as u64).len();
    assert!(
        many < few + ACCEPTED_COMMANDS_MAX * 24 + 64,
        "{many} bytes after {few}"
    );
    let bytes = after_changes(2 * ACCEPTED_COMMANDS_MAX as u64);
    assert_eq!(
        ConfigurationRecord::read(&bytes).unwrap().accepted.len(),
        ACCEPTED_COMMANDS_MAX
    );
}

#[test]
fn a_command_with_a_future_base_is_left_undecided_until_the_base_is_committed() {
    let bytes = accepted(&replace(0, 2, 1), &[]);
    let (next, ahead) = (replace(2, 4, 2), replace(4, 6, 3));
    assert!(is_undecided(&ahead, &bytes));
    let bytes = accepted(&next, &bytes);
    let bytes = accepted(&ahead, &bytes);
    assert_eq!(reply(&ahead, &bytes), CommandReply::Acknowledged);
}

#[test]
fn a_version_not_greater_than_its_base_is_always_invalid() {
    let bytes = after_changes(5);
    for (base, version) in [(5, 5), (5, 4), (5, 0), (0, 0), (9, 9), (u64::MAX, u64::MAX)] {
        let kind = rejection_kind(&replace(base, version, 9), &bytes);
        assert_eq!(kind, RejectionKind::Invalid, "{version} on {base}");
    }
}

#[test]
fn no_command_is_accepted_after_the_largest_version() {
    let largest = replace(2, u64::MAX, 2);
    let bytes = accepted(&largest, &accepted(&replace(0, 2, 1), &[]));
    assert_eq!(reply(&largest, &bytes), CommandReply::Acknowledged);
    assert_eq!(
        rejection_kind(&replace(2, 3, 3), &bytes),
        RejectionKind::Stale
    );
    assert_eq!(
        rejection_kind(&replace(u64::MAX, 3, 3), &bytes),
        RejectionKind::Invalid
    );
}

#[test]
fn invalid_commands_are_rejected() {
    let bytes = after_changes(3);
    let zero_item = command(CommandKind::Replace, 3, body(4, 4, "one", 0));
    let truncated = Command {
        body: b"{\"version\": 4".to_vec(),
        version: None,
        ..replace(3, 4, 4)
    };
    let empty = Command {
        body: Vec::new(),
        version: None,
        ..replace(3, 4, 4)
    };
    let missing_item = command(CommandKind::Update, 3, body_removing(4, 4, "nowhere"));
    for command in [zero_item, truncated, empty, missing_item] {
        assert_eq!(
            rejection_kind(&command, &bytes),
            RejectionKind::Invalid,
            "{command:?}"
        );
    }
    let first = command(CommandKind::Update, 0, body(1, 1, "one", 1));
    assert_eq!(rejection_kind(&first, &[]), RejectionKind::Invalid);
}

#[test]
fn the_base_version_must_be_given_once_in_decimal_digits() {
    let read = |values: &[&[u8]]| BaseVersion::read(values.iter().copied());
    assert_eq!(read(&[b"7"]), BaseVersion::Given(7));
    assert_eq!(read(&[b" 7\t"]), BaseVersion::Given(7));
    assert_eq!(
        read(&[b"18446744073709551615"]),
        BaseVersion::Given(u64::MAX)
    );
    assert_eq!(read(&[]), BaseVersion::Missing);
    assert_eq!(read(&[b"7", b"7"]), BaseVersion::Repeated);
    let malformed: [&[u8]; 8] = [
        b"",
        b" ",
        b"+7",
        b"-1",
        b"7.0",
        b"7 8",
        b"18446744073709551616",
        b"\xff",
    ];
    for value in malformed {
        assert_eq!(read(&[value]), BaseVersion::Malformed, "{value:?}");
    }
    for base in [
        BaseVersion::Missing,
        BaseVersion::Repeated,
        BaseVersion::Malformed,
    ] {
        let command = Command {
            base,
            ..replace(0, 3, 1)
        };
        assert_eq!(rejection_kind(&command, &[]), RejectionKind::Invalid);
    }
}

#[test]
fn a_register_value_that_cannot_be_decoded_is_never_overwritten() {
    let evacuation = CommandKind::BeginEvacuation("zone-a".into());
    let kinds = [
        CommandKind::Read,
        CommandKind::Replace,
        CommandKind::Update,
        evacuation,
    ];
    for kind in kinds {
        let command = Command {
            kind,
            ..replace(0, 3, 1)
        };
        assert!(is_undecided(&command, &[1, 2, 3]), "{command:?}");
    }
}

#[test]
fn an_evacuation_command_for_the_current_state_is_acknowledged_without_a_write() {
    let evacuation = |kind| Command {
        kind,
        ..replace(0, 1, 1)
    };
    let begin = evacuation(CommandKind::BeginEvacuation("zone-a".into()));
    let finish = evacuation(CommandKind::FinishEvacuation("zone-a".into()));
    assert_eq!(reply(&finish, &[]), CommandReply::Acknowledged);
    let begun = accepted(&begin, &[]);
    assert_eq!(reply(&begin, &begun), CommandReply::Acknowledged);
    let finished = accepted(&finish, &begun);
    assert_eq!(reply(&finish, &finished), CommandReply::Acknowledged);
    let evacuations = Evacuations::read(&finished).unwrap();
    assert!(evacuations.zones.is_empty());
    assert_eq!(evacuations.change_count("zone-a"), 2);
}
