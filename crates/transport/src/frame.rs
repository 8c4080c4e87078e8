use crate::message::Envelope;
use speedy::{Readable, Writable};
use std::fmt;
use std::io::{self, Read};

/// Version of the messages; another one is refused.
pub const WIRE_VERSION: u8 = 1;
/// Longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Why a frame was refused.
#[derive(Debug)]
pub enum FrameError {
    /// The connection broke or ended.
    Io(io::Error),
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    TooLong(usize),
    /// The frame is of another version.
    OtherVersion(u8),
    /// The frame is not a message.
    Garbage,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "connection: {error}"),
            Self::TooLong(length) => write!(formatter, "frame of {length} bytes is too long"),
            Self::OtherVersion(version) => write!(formatter, "frame of version {version}"),
            Self::Garbage => formatter.write_str("frame is no message"),
        }
    }
}

impl std::error::Error for FrameError {}

/// A whole frame for a message; none where it is over the bound.
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

/// Reads one frame.
pub fn decode(reader: &mut impl Read) -> Result<Envelope, FrameError> {
    let mut head = [0; 5];
    reader.read_exact(&mut head).map_err(FrameError::Io)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    if head[4] != WIRE_VERSION {
        return Err(FrameError::OtherVersion(head[4]));
    }
    let payload_length = length.checked_sub(1).ok_or(FrameError::Garbage)?;
    let mut payload = Vec::new();
    reader
        .take(payload_length as u64)
        .read_to_end(&mut payload)
        .map_err(FrameError::Io)?;
    if payload.len() < payload_length {
        return Err(FrameError::Io(io::ErrorKind::UnexpectedEof.into()));
    }
    let (envelope, used) = Envelope::read_with_length_from_buffer(&payload);
    match envelope {
        Ok(envelope) if used == payload.len() => Ok(envelope),
        _ => Err(FrameError::Garbage),
    }
}
