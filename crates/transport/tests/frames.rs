//! Property tests of frames: an encoded message decodes to itself, and nothing else is accepted as a message.

use configuration::{PeerRef, Version};
use fuzzing::{seeded, TestResult};
use register::{Ballot, SetVersion, VersionedValue, VoterOperation, VoterRequest, VoterResponse};
use request_queue::{FrontMessage, PriorityCount};
use transport::{decode, encode, Envelope, FrameError, PeerMessage, PeerRole, MAX_FRAME_BYTES};

fn envelope(body: PeerMessage, number: u64) -> Envelope {
    Envelope {
        from: PeerRef {
            name: "front-1".into(),
            incarnation: number,
        },
        address: "127.0.0.1:1".into(),
        role: PeerRole::Front,
        number,
        is_answer: number.is_multiple_of(2),
        body,
    }
}

fn bodies(text: &str, number: u64, bytes: &[u8]) -> Vec<PeerMessage> {
    let version = Version {
        epoch: 1,
        no: number,
    };
    let ballot = Ballot {
        counter: number,
        proposer: 3,
    };
    let stored = VersionedValue {
        version: number,
        tag: 1,
        bytes: bytes.to_vec(),
    };
    vec![
        PeerMessage::Hello,
        PeerMessage::AwaitUpdate {
            configuration: version,
            plan: version,
            wants_certain: true,
        },
        PeerMessage::Voter(VoterRequest {
            set_version: SetVersion::new(1, number),
            operation: VoterOperation::Accept {
                key: text.into(),
                ballot,
                value: stored.clone(),
            },
        }),
        PeerMessage::VoterResponse(VoterResponse::LastAccepted {
            ballot,
            value: stored,
        }),
        PeerMessage::Front(FrontMessage::SeatRequest {
            incarnation: 3,
            stamp: number,
            seen_assignment: 2,
            function: text.into(),
            priorities: vec![PriorityCount {
                priority: 1,
                count: 2,
                oldest_ms: number,
            }],
        }),
        PeerMessage::Front(FrontMessage::Holds {
            incarnation: 3,
            stamp: 1,
            seen_assignment: 2,
            seats: bytes.iter().map(|byte| u64::from(*byte)).collect(),
        }),
    ]
}

seeded! {
    fn every_message_decodes_to_itself(text: String, number: u64, bytes: Vec<u8>) -> bool {
        bodies(&text, number, &bytes).into_iter().all(|body| {
            let sent = envelope(body, number);
            let frame = encode(&sent).unwrap();
            decode(&mut frame.as_slice()).unwrap() == sent
        })
    }

    fn a_truncated_frame_is_rejected(number: u64, end: usize) -> TestResult {
        let frame = encode(&envelope(bodies("f", number, &[1, 2])[2].clone(), number)).unwrap();
        let end = end % frame.len();
        TestResult::from_bool(matches!(decode(&mut &frame[..end]), Err(FrameError::Io(_))))
    }

    fn random_bytes_do_not_panic(bytes: Vec<u8>) -> bool {
        let mut frame = (bytes.len() as u32 + 1).to_le_bytes().to_vec();
        frame.push(transport::WIRE_VERSION);
        frame.extend(&bytes);
        // A random payload this short cannot hold a complete envelope with its names and numbers.
        bytes.len() > 24 || decode(&mut frame.as_slice()).is_err()
    }

    fn a_flipped_bit_never_causes_a_panic_or_a_longer_read(position: usize, bit: u8) -> bool {
        let sent = envelope(bodies("function", 9, &[7; 40])[3].clone(), 9);
        let mut frame = encode(&sent).unwrap();
        let position = position % frame.len();
        frame[position] ^= 1 << (bit % 8);
        let length = frame.len();
        let mut reader = frame.as_slice();
        let _ = decode(&mut reader);
        reader.len() <= length
    }
}

#[test]
fn frames_over_the_limit_or_of_another_version_are_rejected() {
    let mut long = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes().to_vec();
    long.push(transport::WIRE_VERSION);
    assert!(matches!(
        decode(&mut long.as_slice()),
        Err(FrameError::TooLong(_))
    ));
    let mut frame = encode(&envelope(PeerMessage::Hello, 1)).unwrap();
    frame[4] = transport::WIRE_VERSION + 1;
    assert!(matches!(
        decode(&mut frame.as_slice()),
        Err(FrameError::OtherVersion(_))
    ));
}
