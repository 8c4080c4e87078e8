//! Framing: each message is preceded by its length.

use speedy::{LittleEndian, Readable, Writable};
use std::fmt;

/// Most bytes of a message. It bounds the memory that a damaged or hostile length can take.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Bytes of the length that precedes each message.
const LENGTH_BYTES: usize = 4;

/// Why received bytes are no frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length is above [`MAX_FRAME_BYTES`].
    TooLong,
    /// The bytes of the frame decode to no message.
    Unreadable,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLong => "the frame is longer than any may be",
            Self::Unreadable => "the frame holds no message",
        })
    }
}

impl std::error::Error for FrameError {}

/// A message as one frame: its length in four bytes, little-endian, then the message.
pub fn frame<M>(message: &M) -> Vec<u8>
where
    M: Writable<LittleEndian>,
{
    // Writing to memory does not fail.
    let body = message.write_to_vec().unwrap_or_default();
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads the complete frames at the beginning of received bytes.
pub struct FrameReader<'a> {
    bytes: &'a [u8],
    consumed: usize,
}

impl<'a> FrameReader<'a> {
    /// Frames in these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, consumed: 0 }
    }

    /// Bytes of the frames that were read.
    pub fn consumed(&self) -> usize {
        self.consumed
    }

    /// The next message; none where no complete frame is left.
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

/// Takes the complete messages out of a connection's inbox. An error tells why the rest can hold no more; messages
/// before it are valid.
pub fn take_frames<M>(inbox: &mut Vec<u8>) -> (Vec<M>, Option<FrameError>)
where
    M: for<'a> Readable<'a, LittleEndian>,
{
    let mut frames = FrameReader::new(inbox);
    let mut messages = Vec::new();
    let error = loop {
        match frames.read::<M>() {
            Ok(Some(message)) => messages.push(message),
            Ok(None) => break None,
            Err(error) => break Some(error),
        }
    };
    let consumed = frames.consumed();
    inbox.drain(..consumed);
    (messages, error)
}
