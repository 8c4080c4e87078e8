//! Messages go through frames unchanged, however the bytes are cut, and bytes that are no frames are refused.

mod drawn;

use drawn::{kind_of, message, Drawn, KINDS};
use fuzzing::{seeded, TestResult};
use protocol::{frame, FrameError, FrameReader, Message, RequestId, MAX_FRAME_BYTES};
use quickcheck::Gen;

/// Reads frames as a daemon does: what is no whole frame yet stays until more arrives.
fn read_in_pieces(bytes: &[u8], cuts: &[u8]) -> Result<Vec<Message>, FrameError> {
    let mut messages = Vec::new();
    let mut inbox: Vec<u8> = Vec::new();
    let mut rest = bytes;
    let mut cuts = cuts.iter().cycle();
    while !rest.is_empty() {
        let length = cuts.next().map_or(1, |cut| usize::from(*cut) + 1);
        let (piece, after) = rest.split_at(length.min(rest.len()));
        inbox.extend_from_slice(piece);
        rest = after;
        let mut frames = FrameReader::new(&inbox);
        while let Some(message) = frames.read::<Message>()? {
            messages.push(message);
        }
        let consumed = frames.consumed();
        inbox.drain(..consumed);
    }
    Ok(messages)
}

#[test]
fn every_kind_of_message_comes_back_as_it_was() {
    let mut gen = Gen::from_size_and_seed(20, 20_261_202);
    for kind in 0..KINDS {
        for _ in 0..50 {
            let sent = message(kind, &mut gen);
            assert_eq!(kind_of(&sent), kind);
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
fn a_lease_request_without_a_job_says_so_in_one_byte() {
    let request = protocol::LeaseRequest {
        request_id: RequestId(7),
        function: "sign".into(),
        ..protocol::LeaseRequest::default()
    };
    let bytes = frame(&Message::LeaseRequest(request));
    // Length, kind, request id, function, priority, time-out, no excluded runners, no job.
    assert_eq!(bytes.len(), 4 + 4 + 8 + (4 + 4) + 1 + 4 + 4 + 1);
    assert_eq!(bytes.last(), Some(&0));
}

#[test]
fn regions_travel_in_a_message_that_no_older_daemon_can_read() {
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
fn a_tenant_travels_to_daemons_that_understand_it_and_to_no_other() {
    let tenant = protocol::RequestTenant {
        name: "north".into(),
        priority: 3,
    };
    let request = protocol::LeaseRequest {
        allowed_regions: vec!["east".into()],
        tenant: Some(tenant.clone()),
        ..protocol::LeaseRequest::default()
    };
    let understood = Message::lease_request(request.clone(), true);
    let expected = Message::TenantLeaseRequest {
        request: protocol::LeaseRequest::default(),
        allowed_regions: vec!["east".into()],
        tenant: tenant.clone(),
    };
    assert_eq!(understood, expected);
    assert_eq!(understood.into_lease_request(), Some(request.clone()));
    let plain = Message::lease_request(request.clone(), false);
    assert!(matches!(plain, Message::RestrictedLeaseRequest { .. }));
    let relayed = protocol::RelayedLeaseRequest::new(RequestId(9), "north-a", request);
    let message = Message::relayed_lease_request(relayed.clone(), true);
    assert!(
        matches!(message, Message::RelayedTenantLeaseRequest { tenant: told, .. } if told == tenant)
    );
    let message = Message::relayed_lease_request(relayed, false);
    assert!(
        matches!(message, Message::RelayedLeaseRequest(relayed) if relayed.request.tenant.is_none())
    );
}

#[test]
fn too_long_a_frame_is_refused_from_its_head_on() {
    let head = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes();
    assert_eq!(
        FrameReader::new(&head).read::<Message>(),
        Err(FrameError::TooLong)
    );
    let head = u32::MAX.to_le_bytes();
    assert_eq!(
        FrameReader::new(&head).read::<Message>(),
        Err(FrameError::TooLong)
    );
    let longest = (MAX_FRAME_BYTES as u32).to_le_bytes();
    assert_eq!(FrameReader::new(&longest).read::<Message>(), Ok(None));
}

#[test]
fn a_frame_without_a_message_is_refused() {
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
fn a_count_beyond_the_frame_takes_no_memory() {
    // A list that says it holds four thousand million items, in a frame of a few bytes.
    let mut bytes = frame(&Message::FunctionReports(Vec::new()));
    let count = bytes.len() - 4;
    bytes[count..].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(
        FrameReader::new(&bytes).read::<Message>(),
        Err(FrameError::Unreadable)
    );
}

seeded! {
    fn messages_survive_any_cuts(sent: Vec<Drawn>, cuts: Vec<u8>) -> TestResult {
        let sent: Vec<Message> = sent.into_iter().map(|drawn| drawn.0).collect();
        let bytes: Vec<u8> = sent.iter().flat_map(frame).collect();
        TestResult::from_bool(read_in_pieces(&bytes, &cuts) == Ok(sent))
    }

    fn garbage_never_panics(bytes: Vec<u8>, cuts: Vec<u8>) -> bool {
        let _ = read_in_pieces(&bytes, &cuts);
        true
    }

    fn damaged_frames_never_panic(sent: Drawn, place: usize, byte: u8) -> bool {
        let mut bytes = frame(&sent.0);
        let place = place % bytes.len();
        bytes[place] ^= byte;
        let mut frames = FrameReader::new(&bytes);
        while let Ok(Some(message)) = frames.read::<Message>() {
            let _ = kind_of(&message);
        }
        frames.consumed() <= bytes.len()
    }

    fn frames_are_read_completely_or_not_at_all(sent: Drawn, length: usize) -> bool {
        let bytes = frame(&sent.0);
        let length = length % bytes.len();
        let mut frames = FrameReader::new(&bytes[..length]);
        frames.read::<Message>() == Ok(None) && frames.consumed() == 0
    }
}
