//! Bytes sent are counted under the name of their message.

mod drawn;

use drawn::{kind_of, message, Drawn, KINDS};
use fuzzing::seeded;
use protocol::{frame, LeaseRequest, Message, RequestId, SentMessages};
use quickcheck::Gen;

fn kinds(messages: &[Message]) -> Vec<(&'static str, u64)> {
    let mut sent = SentMessages::default();
    for message in messages {
        sent.record(&frame(message));
    }
    sent.by_kind().collect()
}

#[test]
fn each_kind_is_counted_under_its_name() {
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
    assert_eq!(kinds(&messages), expected);
}

seeded! {
    fn no_kind_of_message_is_unknown(drawn: Drawn) -> bool {
        let kind = kind_of(&drawn.0);
        let again = message(kind, &mut Gen::new(4));
        let counted = kinds(&[drawn.0, again]);
        kind < KINDS && counted.iter().all(|(name, _)| *name != "unknown")
    }
}

#[test]
fn bytes_that_are_no_message_are_counted_as_unknown() {
    let mut sent = SentMessages::default();
    sent.record(&[1, 0]);
    sent.record(&[4, 0, 0, 0, 255, 255, 255, 255]);
    assert_eq!(sent.by_kind().collect::<Vec<_>>(), [("unknown", 10)]);
}
