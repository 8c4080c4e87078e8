//! Framing: each message is prefixed with its length.

use speedy::{LittleEndian, Readable, Writable};
use std::fmt;

/// Maximum size of a message in bytes. It bounds the memory that a corrupt or malicious length can use.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Size of the length prefix in bytes.
const LENGTH_BYTES: usize = 4;

/// Why received bytes are not valid frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length prefix exceeds [`MAX_FRAME_BYTES`].
    TooLong,
    /// The frame's body cannot be decoded as a message.
    Unreadable,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLong => "the frame exceeds the maximum size",
            Self::Unreadable => "the frame cannot be decoded",
        })
    }
}

impl std::error::Error for FrameError {}

/// Encodes a message as one frame: a four-byte little-endian length, then the message.
pub fn frame<M>(message: &M) -> Vec<u8>
where
    M: Writable<LittleEndian>,
{
    // Writing to a `Vec` does not fail.
    let body = message.write_to_vec().unwrap_or_default();
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes the complete frames at the start of a buffer of received bytes.
pub struct FrameReader<'a> {
    bytes: &'a [u8],
    consumed: usize,
}

impl<'a> FrameReader<'a> {
    /// Starts reading at the beginning of the buffer.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, consumed: 0 }
    }

    /// Number of bytes in the frames read so far.
    pub fn consumed(&self) -> usize {
        self.consumed
    }

    /// Reads the next message. Returns `Ok(None)` if the rest of the buffer does not hold a complete frame.
    pub fn read<M>(&mut self) -> Result<Option<M>, FrameError>
    where
        M: Readable<'a, LittleEndian>,
    {
        let rest = &self.bytes[self.consumed..];
        let Some(length) = rest.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let length = u32::from_le_bytes([length[0], length[1], length[2], length[3]]) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        let Some(body) = rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let message = M::read_from_buffer(body).map_err(|_| FrameError::Unreadable)?;
        self.consumed += LENGTH_BYTES + length;
        Ok(Some(message))
    }
}

/// Removes all complete messages from a connection's receive buffer. On an error, the returned messages are valid, but the
/// rest of the buffer cannot be decoded.
pub fn take_frames<M>(buffer: &mut Vec<u8>) -> (Vec<M>, Option<FrameError>)
where
    M: for<'a> Readable<'a, LittleEndian>,
{
    let mut frames = FrameReader::new(buffer);
    let mut messages = Vec::new();
    let error = loop {
        match frames.read::<M>() {
            Ok(Some(message)) => messages.push(message),
            Ok(None) => break None,
            Err(error) => break Some(error),
        }
    };
    let consumed = frames.consumed();
    buffer.drain(..consumed);
    (messages, error)
}
