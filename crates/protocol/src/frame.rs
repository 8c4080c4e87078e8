use speedy::{LittleEndian, Readable, Writable};
use std::fmt;

/// Largest frame, in bytes.
pub const FRAME_MAX: usize = 8 << 20;
const HEAD: usize = 4;

/// Why bytes on a link are no frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame says that it is longer than any may be.
    TooLong,
    /// The frame holds no message.
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

/// A message as one frame: its length in four bytes, the lowest first, then the message.
pub fn frame<M>(message: &M) -> Vec<u8>
where
    M: Writable<LittleEndian>,
{
    let body = message.write_to_vec().unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads the whole frames at the beginning of what has come in on a link.
pub struct Frames<'a> {
    bytes: &'a [u8],
    taken: usize,
}

impl<'a> Frames<'a> {
    /// Frames in these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, taken: 0 }
    }

    /// Bytes that were read as whole frames.
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// The next message, none where no whole frame is left.
    pub fn read<M>(&mut self) -> Result<Option<M>, FrameError>
    where
        M: Readable<'a, LittleEndian>,
    {
        let rest = &self.bytes[self.taken..];
        let Some(head) = rest.get(..HEAD) else {
            return Ok(None);
        };
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length > FRAME_MAX {
            return Err(FrameError::TooLong);
        }
        let Some(body) = rest.get(HEAD..HEAD + length) else {
            return Ok(None);
        };
        let message = M::read_from_buffer(body).map_err(|_| FrameError::Unreadable)?;
        self.taken += HEAD + length;
        Ok(Some(message))
    }
}

/// Takes the whole messages that lie in a link's inbox, and tells why the rest is none, if it is not.
pub fn take_frames<M>(inbox: &mut Vec<u8>) -> (Vec<M>, Option<FrameError>)
where
    M: for<'a> Readable<'a, LittleEndian>,
{
    let mut frames = Frames::new(inbox);
    let mut messages = Vec::new();
    let fault = loop {
        match frames.read::<M>() {
            Ok(Some(message)) => messages.push(message),
            Ok(None) => break None,
            Err(fault) => break Some(fault),
        }
    };
    let taken = frames.taken();
    inbox.drain(..taken);
    (messages, fault)
}
