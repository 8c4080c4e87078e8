//! Records as they lie in a file: a magic number, the length, a checksum, the payload.

/// Begins each frame; its last byte is the version of the format.
const MAGIC: [u8; 4] = *b"hkJ1";
const HEADER_LENGTH: usize = 12;

/// A payload as a frame that begins at a position of its file.
pub(crate) fn framed(position: usize, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_LENGTH + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(position, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Bytes that a payload takes as a frame.
pub(crate) fn framed_length(payload: usize) -> u64 {
    (HEADER_LENGTH + payload) as u64
}

// The length is part of what is summed, so that an empty frame of zeros is no frame; so is the position, so
// that a frame inside another one's payload is none.
fn checksum(position: usize, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(position as u64).to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn word(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

pub(crate) fn frame_at(bytes: &[u8], position: usize) -> Option<&[u8]> {
    let header = bytes.get(position..position + HEADER_LENGTH)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = word(&header[4..8]) as usize;
    let payload =
        bytes.get(position + HEADER_LENGTH..(position + HEADER_LENGTH).checked_add(length)?)?;
    (checksum(position, payload) == word(&header[8..12])).then_some(payload)
}

/// What the bytes of a file are.
#[derive(Debug, PartialEq)]
pub(crate) enum Scan {
    /// Frames alone.
    Whole,
    /// Frames up to a position, and then a frame that was never written whole.
    Torn(usize),
    /// Frames up to a position, and then something that no loss of power leaves behind.
    Damaged(usize),
}

pub(crate) fn scan<'a>(bytes: &'a [u8], mut take: impl FnMut(&'a [u8])) -> Scan {
    let mut position = 0;
    while position < bytes.len() {
        let Some(payload) = frame_at(bytes, position) else {
            let later = (position + 1..bytes.len()).any(|next| frame_at(bytes, next).is_some());
            return if later || !may_be_torn(&bytes[position..]) {
                Scan::Damaged(position)
            } else {
                Scan::Torn(position)
            };
        };
        take(payload);
        position += HEADER_LENGTH + payload.len();
    }
    Scan::Whole
}

/// Whether a frame of this format may have been begun here: bytes that did not reach the disk are missing or
/// zero. Anything else was written by another program, or by another version of this one.
fn may_be_torn(bytes: &[u8]) -> bool {
    let mut pairs = bytes.iter().zip(MAGIC);
    pairs.all(|(byte, magic)| *byte == magic || *byte == 0)
}
