//! Sent bytes are counted under the name of the message kind.

mod random_messages;

use fuzzing::seeded;
use protocol::{frame, LeaseRequest, Message, RequestId, SentMessages};
use quickcheck::Gen;
use random_messages::{kind_index, message, RandomMessage, KIND_COUNT};

fn bytes_by_kind(messages: &[Message]) -> Vec<(&'static str, u64)> {
    let mut sent = SentMessages::default();
    for message in messages {
        sent.record(&frame(message));
    }
    sent.by_kind().collect()
}

#[test]
fn each_message_kind_is_counted_under_its_name() {
    let request = LeaseRequest::default();
    let size = |message: &Message| frame(message).len() as u64;
    let messages = [
        Message::Ping(1),
        Message::Ping(2),
        Message::LeaseRequest(request.clone()),
        Message::CancelRequest(RequestId(1)),
        Message::RestrictedLeaseRequest {
            request,
            allowed_regions: Vec::new(),
        },
    ];
    let expected = [
        ("lease_request", size(&messages[2])),
        ("cancel_request", size(&messages[3])),
        ("ping", 2 * size(&messages[0])),
        ("restricted_lease_request", size(&messages[4])),
    ];
    assert_eq!(bytes_by_kind(&messages), expected);
}

seeded! {
    fn every_message_kind_has_a_name(random_message: RandomMessage) -> bool {
        let kind = kind_index(&random_message.0);
        let other = message(kind, &mut Gen::new(4));
        let counted = bytes_by_kind(&[random_message.0, other]);
        kind < KIND_COUNT && counted.iter().all(|(name, _)| *name != "unknown")
    }
}

#[test]
fn bytes_without_a_valid_message_are_counted_as_unknown() {
    let mut sent = SentMessages::default();
    sent.record(&[1, 0]);
    sent.record(&[4, 0, 0, 0, 255, 255, 255, 255]);
    assert_eq!(sent.by_kind().collect::<Vec<_>>(), [("unknown", 10)]);
}
