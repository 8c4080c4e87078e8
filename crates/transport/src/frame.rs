use crate::message::Envelope;
use speedy::{Readable, Writable};
use std::fmt;
use std::io::{self, Read};

/// Version of the wire protocol; frames of another version are rejected.
pub const WIRE_VERSION: u8 = 1;
/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Why a frame was rejected.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed or was closed.
    Io(io::Error),
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    TooLong(usize),
    /// The frame has another version than [`WIRE_VERSION`].
    OtherVersion(u8),
    /// The frame does not decode to exactly one message.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "connection: {error}"),
            Self::TooLong(length) => write!(formatter, "frame of {length} bytes is too long"),
            Self::OtherVersion(version) => write!(formatter, "unsupported frame version {version}"),
            Self::Malformed => formatter.write_str("frame is not a valid message"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes a message as a frame (length, version, payload); none if it would be longer than [`MAX_FRAME_BYTES`].
pub fn encode(envelope: &Envelope) -> Option<Vec<u8>> {
    let payload = envelope.write_to_vec().ok()?;
    if payload.len() >= MAX_FRAME_BYTES {
        return None;
    }
    let mut frame = Vec::with_capacity(payload.len() + 5);
    frame.extend_from_slice(&(payload.len() as u32 + 1).to_le_bytes());
    frame.push(WIRE_VERSION);
    frame.extend_from_slice(&payload);
    Some(frame)
}

/// Reads and decodes one frame.
pub fn decode(reader: &mut impl Read) -> Result<Envelope, FrameError> {
    let mut header = [0; 5];
    reader.read_exact(&mut header).map_err(FrameError::Io)?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    if header[4] != WIRE_VERSION {
        return Err(FrameError::OtherVersion(header[4]));
    }
    let payload_length = length.checked_sub(1).ok_or(FrameError::Malformed)?;
    let mut payload = Vec::new();
    reader
        .take(payload_length as u64)
        .read_to_end(&mut payload)
        .map_err(FrameError::Io)?;
    if payload.len() < payload_length {
        return Err(FrameError::Io(io::ErrorKind::UnexpectedEof.into()));
    }
    let (envelope, read_bytes) = Envelope::read_with_length_from_buffer(&payload);
    match envelope {
        Ok(envelope) if read_bytes == payload.len() => Ok(envelope),
        _ => Err(FrameError::Malformed),
    }
}
