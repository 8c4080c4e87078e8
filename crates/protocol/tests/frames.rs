//! Framing round trips, regardless of how the byte stream is split into chunks, and the rejection of invalid frames.

mod random_messages;

use fuzzing::{seeded, TestResult};
use protocol::{frame, FrameError, FrameReader, Message, RequestId, MAX_FRAME_BYTES};
use quickcheck::Gen;
use random_messages::{kind_index, message, RandomMessage, KIND_COUNT};

/// Reads frames like a daemon: an incomplete frame stays in the buffer until more bytes arrive.
fn read_in_chunks(bytes: &[u8], lengths: &[u8]) -> Result<Vec<Message>, FrameError> {
    let mut messages = Vec::new();
    let mut buffer: Vec<u8> = Vec::new();
    let mut rest = bytes;
    let mut lengths = lengths.iter().cycle();
    while !rest.is_empty() {
        let length = lengths.next().map_or(1, |length| usize::from(*length) + 1);
        let (chunk, after) = rest.split_at(length.min(rest.len()));
        buffer.extend_from_slice(chunk);
        rest = after;
        let mut frames = FrameReader::new(&buffer);
        while let Some(message) = frames.read::<Message>()? {
            messages.push(message);
        }
        let consumed = frames.consumed();
        buffer.drain(..consumed);
    }
    Ok(messages)
}

#[test]
fn every_kind_of_message_survives_a_round_trip() {
    let mut gen = Gen::from_size_and_seed(20, 20_261_202);
    for kind in 0..KIND_COUNT {
        for _ in 0..50 {
            let sent = message(kind, &mut gen);
            assert_eq!(kind_index(&sent), kind);
            let bytes = frame(&sent);
            let mut frames = FrameReader::new(&bytes);
            assert_eq!(frames.read(), Ok(Some(sent)));
            assert_eq!(frames.consumed(), bytes.len());
            assert_eq!(frames.read::<Message>(), Ok(None));
        }
    }
    let pong = frame(&Message::Pong(7));
    assert_eq!(FrameReader::new(&pong).read(), Ok(Some(Message::Pong(7))));
}

#[test]
fn a_missing_job_takes_one_byte_of_a_lease_request() {
    let request = protocol::LeaseRequest {
        request_id: RequestId(7),
        function: "sign".into(),
        ..protocol::LeaseRequest::default()
    };
    let bytes = frame(&Message::LeaseRequest(request));
    // Frame length, message kind, request id, function, priority, timeout, empty list of excluded runners, no job.
    assert_eq!(bytes.len(), 4 + 4 + 8 + (4 + 4) + 1 + 4 + 4 + 1);
    assert_eq!(bytes.last(), Some(&0));
}

#[test]
fn allowed_regions_are_sent_in_a_message_that_older_daemons_cannot_decode() {
    let request = protocol::LeaseRequest {
        allowed_regions: vec!["north".into()],
        ..protocol::LeaseRequest::default()
    };
    let expected = Message::RestrictedLeaseRequest {
        request: protocol::LeaseRequest::default(),
        allowed_regions: vec!["north".into()],
    };
    assert_eq!(Message::lease_request(request, false), expected);
    let unrestricted = protocol::LeaseRequest::default();
    assert_eq!(
        Message::lease_request(unrestricted.clone(), false),
        Message::LeaseRequest(unrestricted)
    );
}

#[test]
fn a_tenant_is_sent_only_to_daemons_that_support_it() {
    let tenant = protocol::RequestTenant {
        name: "north".into(),
        priority: 3,
    };
    let request = protocol::LeaseRequest {
        allowed_regions: vec!["east".into()],
        tenant: Some(tenant.clone()),
        ..protocol::LeaseRequest::default()
    };
    let with_tenant = Message::lease_request(request.clone(), true);
    let expected = Message::TenantLeaseRequest {
        request: protocol::LeaseRequest::default(),
        allowed_regions: vec!["east".into()],
        tenant: tenant.clone(),
    };
    assert_eq!(with_tenant, expected);
    assert_eq!(with_tenant.into_lease_request(), Some(request.clone()));
    let without_tenant = Message::lease_request(request.clone(), false);
    assert!(matches!(
        without_tenant,
        Message::RestrictedLeaseRequest { .. }
    ));
    let relayed = protocol::RelayedLeaseRequest::new(RequestId(9), "north-a", request);
    let message = Message::relayed_lease_request(relayed.clone(), true);
    assert!(
        matches!(message, Message::RelayedTenantLeaseRequest { tenant: sent, .. } if sent == tenant)
    );
    let message = Message::relayed_lease_request(relayed, false);
    assert!(
        matches!(message, Message::RelayedLeaseRequest(relayed) if relayed.request.tenant.is_none())
    );
}

#[test]
fn an_oversized_frame_is_rejected_by_its_length_prefix() {
    let prefix = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes();
    assert_eq!(
        FrameReader::new(&prefix).read::<Message>(),
        Err(FrameError::TooLong)
    );
    let prefix = u32::MAX.to_le_bytes();
    assert_eq!(
        FrameReader::new(&prefix).read::<Message>(),
        Err(FrameError::TooLong)
    );
    let longest = (MAX_FRAME_BYTES as u32).to_le_bytes();
    assert_eq!(FrameReader::new(&longest).read::<Message>(), Ok(None));
}

#[test]
fn a_frame_without_a_valid_message_is_rejected() {
    let empty = 0u32.to_le_bytes();
    assert_eq!(
        FrameReader::new(&empty).read::<Message>(),
        Err(FrameError::Unreadable)
    );
    let mut unknown = 4u32.to_le_bytes().to_vec();
    unknown.extend_from_slice(&[0xff; 4]);
    assert_eq!(
        FrameReader::new(&unknown).read::<Message>(),
        Err(FrameError::Unreadable)
    );
}

#[test]
fn an_element_count_beyond_the_frame_allocates_no_memory() {
    // The list's element count is u32::MAX, while the frame has only a few bytes.
    let mut bytes = frame(&Message::FunctionReports(Vec::new()));
    let count = bytes.len() - 4;
    bytes[count..].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(
        FrameReader::new(&bytes).read::<Message>(),
        Err(FrameError::Unreadable)
    );
}

seeded! {
    fn messages_survive_any_split_into_chunks(sent: Vec<RandomMessage>, lengths: Vec<u8>) -> TestResult {
        let sent: Vec<Message> = sent.into_iter().map(|random_message| random_message.0).collect();
        let bytes: Vec<u8> = sent.iter().flat_map(frame).collect();
        TestResult::from_bool(read_in_chunks(&bytes, &lengths) == Ok(sent))
    }

    fn arbitrary_bytes_never_panic(bytes: Vec<u8>, lengths: Vec<u8>) -> bool {
        let _ = read_in_chunks(&bytes, &lengths);
        true
    }

    fn corrupt_frames_never_panic(sent: RandomMessage, position: usize, byte: u8) -> bool {
        let mut bytes = frame(&sent.0);
        let position = position % bytes.len();
        bytes[position] ^= byte;
        let mut frames = FrameReader::new(&bytes);
        while let Ok(Some(message)) = frames.read::<Message>() {
            let _ = kind_index(&message);
        }
        frames.consumed() <= bytes.len()
    }

    fn incomplete_frames_are_not_read(sent: RandomMessage, length: usize) -> bool {
        let bytes = frame(&sent.0);
        let length = length % bytes.len();
        let mut frames = FrameReader::new(&bytes[..length]);
        frames.read::<Message>() == Ok(None) && frames.consumed() == 0
    }
}
