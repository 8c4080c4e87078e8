//! Gateways that know the membership are told what changed, and newcomers the whole.

use crate::membership_publisher::MembershipPublisher;
use protocol::{take_frames, Member, Message, UpdateVersion};
use std::collections::BTreeMap;

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        name: name.into(),
        incarnation,
        address: format!("{name}:1"),
        zone: "north".into(),
    }
}

/// Each receiver with the messages that it is sent.
fn sent(publisher: &mut MembershipPublisher) -> BTreeMap<String, Vec<Message>> {
    sent_to(publisher, |_| true)
}

/// The same where only some gateways understand changes.
fn sent_to(
    publisher: &mut MembershipPublisher,
    understands_changes: impl Fn(&str) -> bool,
) -> BTreeMap<String, Vec<Message>> {
    let mut sent: BTreeMap<String, Vec<Message>> = BTreeMap::new();
    for update in publisher.take_updates(understands_changes) {
        let (messages, error) = take_frames::<Message>(&mut update.frame.clone());
        assert_eq!(error, None);
        for receiver in update.receivers {
            sent.entry(receiver).or_default().extend(messages.clone());
        }
    }
    sent
}

fn version(number: u64) -> UpdateVersion {
    UpdateVersion { term: 7, number }
}

/// A publisher whose first membership, of gateways a and b, is known to both.
fn publisher_of_two() -> MembershipPublisher {
    let mut publisher = MembershipPublisher::default();
    publisher.begin_term(7);
    for name in ["a", "b"] {
        publisher.add_receiver(1, name);
    }
    publisher.update([member("a", 1), member("b", 1)].iter(), false);
    let first = sent(&mut publisher);
    assert_eq!(first.len(), 2);
    assert!(matches!(
        first["a"][..],
        [Message::GatewayMembership { .. }]
    ));
    publisher
}

#[test]
fn a_gateway_that_comes_is_told_the_whole_and_the_others_its_coming() {
    let mut publisher = publisher_of_two();
    let members = [member("a", 1), member("b", 1), member("c", 1)];
    publisher.add_receiver(2, "c");
    publisher.update(members.iter(), false);
    let sent = sent(&mut publisher);
    let change = Message::GatewayMembershipChange {
        base: version(1),
        version: version(2),
        joined: vec![member("c", 1)],
        left: Vec::new(),
    };
    let whole = Message::GatewayMembership {
        version: version(2),
        members: members.to_vec(),
    };
    for name in ["a", "b"] {
        assert_eq!(sent[name], std::slice::from_ref(&change));
    }
    assert_eq!(sent["c"], [whole]);
}

#[test]
fn a_gateway_that_was_started_again_is_told_the_whole() {
    let mut publisher = publisher_of_two();
    publisher.add_receiver(2, "b");
    publisher.update([member("a", 1), member("b", 2)].iter(), false);
    let sent = sent(&mut publisher);
    assert!(
        matches!(&sent["a"][..], [Message::GatewayMembershipChange { joined, left, .. }]
            if *joined == [member("b", 2)] && left.is_empty())
    );
    assert!(matches!(sent["b"][..], [Message::GatewayMembership { .. }]));
}

#[test]
fn a_gateway_that_goes_is_named_and_told_nothing() {
    let mut publisher = publisher_of_two();
    publisher.update([member("a", 1)].iter(), false);
    let sent = sent(&mut publisher);
    assert_eq!(sent.len(), 1);
    assert!(
        matches!(&sent["a"][..], [Message::GatewayMembershipChange { joined, left, .. }]
            if joined.is_empty() && *left == ["b"])
    );
}

#[test]
fn nothing_is_sent_while_nothing_changes() {
    let mut publisher = publisher_of_two();
    publisher.update([member("a", 1), member("b", 1)].iter(), false);
    assert!(sent(&mut publisher).is_empty());
}

#[test]
fn a_later_term_tells_everyone_the_whole() {
    let mut publisher = publisher_of_two();
    publisher.begin_term(8);
    publisher.update([member("a", 1), member("b", 1)].iter(), false);
    let sent = sent(&mut publisher);
    assert_eq!(sent.len(), 2);
    for messages in sent.values() {
        assert!(
            matches!(messages[..], [Message::GatewayMembership { version, .. }]
            if version == UpdateVersion { term: 8, number: 1 })
        );
    }
}

#[test]
fn the_first_membership_waits_while_gateways_come() {
    let mut publisher = MembershipPublisher::default();
    publisher.begin_term(7);
    publisher.add_receiver(100, "a");
    assert!(!publisher.is_settled(149, 50));
    assert!(publisher.is_settled(150, 50));
    publisher.update([member("a", 1)].iter(), true);
    assert!(sent(&mut publisher).is_empty());
}

#[test]
fn a_gateway_that_does_not_understand_changes_is_told_the_whole() {
    let mut publisher = publisher_of_two();
    publisher.add_receiver(2, "c");
    let members = [member("a", 1), member("b", 1), member("c", 1)];
    publisher.update(members.iter(), false);
    let sent = sent_to(&mut publisher, |name| name == "b");
    assert!(matches!(sent["a"][..], [Message::GatewayMembership { .. }]));
    assert!(matches!(
        sent["b"][..],
        [Message::GatewayMembershipChange { .. }]
    ));
    assert!(matches!(sent["c"][..], [Message::GatewayMembership { .. }]));
}
