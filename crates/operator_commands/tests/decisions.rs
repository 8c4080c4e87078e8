//! The decision on one order: what is taken, acknowledged again, refused, and left unclear, at all boundaries.

#[path = "town/documents.rs"]
#[allow(dead_code)]
mod documents;

use documents::{body, dropping_body, version_of, TownDocuments};
use operator_commands::{
    decide, BaseVersion, Configuration, Decision, Evacuations, Order, OrderKind, RefusalKind,
    Reply, TAKEN_MAX,
};

fn order(kind: OrderKind, base: u64, body: Vec<u8>) -> Order {
    Order {
        kind,
        base: BaseVersion::Told(base),
        version: version_of(&body),
        body,
    }
}

fn replace(base: u64, version: u64, number: u64) -> Order {
    order(OrderKind::Replace, base, body(version, number, "one", 1))
}

fn taken(order: &Order, bytes: &[u8]) -> Vec<u8> {
    match decide(order, bytes, &TownDocuments) {
        Decision::Write(bytes) => bytes,
        Decision::Reply(reply) => panic!("{order:?} is not taken: {reply:?}"),
    }
}

fn reply(order: &Order, bytes: &[u8]) -> Reply {
    match decide(order, bytes, &TownDocuments) {
        Decision::Reply(reply) => reply,
        Decision::Write(_) => panic!("{order:?} is taken"),
    }
}

fn refusal(order: &Order, bytes: &[u8]) -> RefusalKind {
    match reply(order, bytes) {
        Reply::Refused(kind, _) => kind,
        other => panic!("{order:?} is not refused: {other:?}"),
    }
}

fn is_unclear(order: &Order, bytes: &[u8]) -> bool {
    matches!(reply(order, bytes), Reply::Unclear(_))
}

/// A register after whole configurations of the versions 1, 2, and so on.
fn after_changes(count: u64) -> Vec<u8> {
    (1..=count).fold(Vec::new(), |bytes, version| {
        taken(&replace(version - 1, version, version), &bytes)
    })
}

#[test]
fn a_taken_order_is_acknowledged_again_at_once_and_later() {
    let first = replace(0, 3, 1);
    let bytes = taken(&first, &[]);
    assert_eq!(reply(&first, &bytes), Reply::Acknowledged);
    let bytes = taken(&replace(3, 8, 2), &bytes);
    assert_eq!(reply(&first, &bytes), Reply::Acknowledged);
}

#[test]
fn white_space_around_a_body_does_not_make_another_order() {
    let first = replace(0, 3, 1);
    let bytes = taken(&first, &[]);
    let mut again = first.clone();
    again.body.extend_from_slice(b" \r\n");
    again.body.insert(0, b'\n');
    assert_eq!(reply(&again, &bytes), Reply::Acknowledged);
}

#[test]
fn another_body_kind_or_base_under_a_taken_number_is_stale() {
    let bytes = taken(&replace(0, 2, 1), &[]);
    let first = replace(2, 5, 1);
    let bytes = taken(&first, &bytes);
    assert_eq!(refusal(&replace(2, 5, 9), &bytes), RefusalKind::Stale);
    let mut update = first.clone();
    update.kind = OrderKind::Update;
    assert_eq!(refusal(&update, &bytes), RefusalKind::Stale);
    let mut on_another = first;
    on_another.base = BaseVersion::Told(1);
    assert_eq!(refusal(&on_another, &bytes), RefusalKind::Stale);
}

#[test]
fn of_two_changes_on_one_base_the_second_is_stale_for_good() {
    let mut bytes = taken(&replace(0, 2, 1), &[]);
    let (winner, loser) = (replace(2, 4, 2), replace(2, 4, 3));
    bytes = taken(&winner, &bytes);
    for version in 5..40 {
        assert_eq!(refusal(&loser, &bytes), RefusalKind::Stale);
        assert_eq!(reply(&winner, &bytes), Reply::Acknowledged);
        bytes = taken(&replace(version - 1, version, version), &bytes);
    }
}

#[test]
fn the_last_remembered_order_is_acknowledged_and_an_older_one_is_left_unclear() {
    let bound = TAKEN_MAX as u64;
    let bytes = after_changes(bound + 10);
    assert_eq!(reply(&replace(10, 11, 11), &bytes), Reply::Acknowledged);
    assert!(is_unclear(&replace(9, 10, 10), &bytes));
    assert!(is_unclear(&replace(0, 1, 1), &bytes));
    // A stranger that could have been taken so long ago is left unclear as well.
    assert!(is_unclear(&replace(4, 7, 700), &bytes));
    // These cannot have been taken: the version 10 was in force between base and version, or the base is remembered.
    assert_eq!(refusal(&replace(9, 11, 700), &bytes), RefusalKind::Stale);
    assert_eq!(refusal(&replace(10, 11, 700), &bytes), RefusalKind::Stale);
    assert_eq!(
        refusal(&replace(3, bound + 11, 700), &bytes),
        RefusalKind::Stale
    );
}

#[test]
fn the_memory_stays_within_its_bytes() {
    let few = after_changes(10).len();
    let many = after_changes(2 * TAKEN_MAX as u64).len();
    assert!(many < few + TAKEN_MAX * 24 + 64, "{many} bytes after {few}");
    let bytes = after_changes(2 * TAKEN_MAX as u64);
    assert_eq!(Configuration::read(&bytes).unwrap().taken.len(), TAKEN_MAX);
}

#[test]
fn an_order_ahead_of_what_is_in_place_is_left_unclear_until_its_base_came() {
    let bytes = taken(&replace(0, 2, 1), &[]);
    let (next, ahead) = (replace(2, 4, 2), replace(4, 6, 3));
    assert!(is_unclear(&ahead, &bytes));
    let bytes = taken(&next, &bytes);
    let bytes = taken(&ahead, &bytes);
    assert_eq!(reply(&ahead, &bytes), Reply::Acknowledged);
}

#[test]
fn a_version_not_above_its_base_is_invalid_whatever_is_in_place() {
    let bytes = after_changes(5);
    for (base, version) in [(5, 5), (5, 4), (5, 0), (0, 0), (9, 9), (u64::MAX, u64::MAX)] {
        let kind = refusal(&replace(base, version, 9), &bytes);
        assert_eq!(kind, RefusalKind::Invalid, "{version} on {base}");
    }
}

#[test]
fn the_largest_version_is_taken_and_nothing_follows_it() {
    let largest = replace(2, u64::MAX, 2);
    let bytes = taken(&largest, &taken(&replace(0, 2, 1), &[]));
    assert_eq!(reply(&largest, &bytes), Reply::Acknowledged);
    assert_eq!(refusal(&replace(2, 3, 3), &bytes), RefusalKind::Stale);
    assert_eq!(
        refusal(&replace(u64::MAX, 3, 3), &bytes),
        RefusalKind::Invalid
    );
}

#[test]
fn what_cannot_be_valid_is_refused_and_changes_nothing() {
    let bytes = after_changes(3);
    let zero = order(OrderKind::Replace, 3, body(4, 4, "one", 0));
    let cut = Order {
        body: b"{\"version\": 4".to_vec(),
        version: None,
        ..replace(3, 4, 4)
    };
    let empty = Order {
        body: Vec::new(),
        version: None,
        ..replace(3, 4, 4)
    };
    let missing_item = order(OrderKind::Update, 3, dropping_body(4, 4, "nowhere"));
    for order in [zero, cut, empty, missing_item] {
        assert_eq!(refusal(&order, &bytes), RefusalKind::Invalid, "{order:?}");
    }
    let first = order(OrderKind::Update, 0, body(1, 1, "one", 1));
    assert_eq!(refusal(&first, &[]), RefusalKind::Invalid);
}

#[test]
fn a_base_must_be_told_once_in_decimal_digits() {
    let read = |values: &[&[u8]]| BaseVersion::read(values.iter().copied());
    assert_eq!(read(&[b"7"]), BaseVersion::Told(7));
    assert_eq!(read(&[b" 7\t"]), BaseVersion::Told(7));
    assert_eq!(
        read(&[b"18446744073709551615"]),
        BaseVersion::Told(u64::MAX)
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
        let order = Order {
            base,
            ..replace(0, 3, 1)
        };
        assert_eq!(refusal(&order, &[]), RefusalKind::Invalid);
    }
}

#[test]
fn a_value_that_cannot_be_read_is_never_overwritten() {
    let evacuation = OrderKind::BeginEvacuation("zone-a".into());
    let kinds = [
        OrderKind::Read,
        OrderKind::Replace,
        OrderKind::Update,
        evacuation,
    ];
    for kind in kinds {
        let order = Order {
            kind,
            ..replace(0, 3, 1)
        };
        assert!(is_unclear(&order, &[1, 2, 3]), "{order:?}");
    }
}

#[test]
fn an_evacuation_in_force_is_acknowledged_without_a_write() {
    let evacuation = |kind| Order {
        kind,
        ..replace(0, 1, 1)
    };
    let begin = evacuation(OrderKind::BeginEvacuation("zone-a".into()));
    let finish = evacuation(OrderKind::FinishEvacuation("zone-a".into()));
    assert_eq!(reply(&finish, &[]), Reply::Acknowledged);
    let begun = taken(&begin, &[]);
    assert_eq!(reply(&begin, &begun), Reply::Acknowledged);
    let finished = taken(&finish, &begun);
    assert_eq!(reply(&finish, &finished), Reply::Acknowledged);
    let evacuations = Evacuations::read(&finished).unwrap();
    assert!(evacuations.zones.is_empty());
    assert_eq!(evacuations.changes_of("zone-a"), 2);
}
