//! On-disk format of a record: a magic number, the length, a checksum and the payload.

/// First bytes of each frame; the last of them is the version of the format.
const MAGIC: [u8; 4] = *b"hkJ1";
const HEADER_LENGTH: usize = 12;

/// Encodes a payload as a frame that starts at a position of its file.
pub(crate) fn framed(position: usize, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_LENGTH + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(position, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Length in bytes of the frame for a payload of this length.
pub(crate) fn framed_length(payload: usize) -> u64 {
    (HEADER_LENGTH + payload) as u64
}

// The checksum covers the length, so that a run of zeros is not a valid empty frame, and the position, so that a
// frame inside another frame's payload is not valid.
fn checksum(position: usize, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(position as u64).to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn read_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

pub(crate) fn frame_at(bytes: &[u8], position: usize) -> Option<&[u8]> {
    let header = bytes.get(position..position + HEADER_LENGTH)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = read_u32(&header[4..8]) as usize;
    let payload =
        bytes.get(position + HEADER_LENGTH..(position + HEADER_LENGTH).checked_add(length)?)?;
    (checksum(position, payload) == read_u32(&header[8..12])).then_some(payload)
}

/// Result of scanning the frames of a file.
#[derive(Debug, PartialEq)]
pub(crate) enum Scan {
    /// The file consists of complete frames.
    Whole,
    /// Complete frames up to this position, followed by a partially written frame.
    Torn(usize),
    /// Complete frames up to this position, followed by bytes that a power loss can't explain.
    Damaged(usize),
}

pub(crate) fn scan<'a>(bytes: &'a [u8], mut take: impl FnMut(&'a [u8])) -> Scan {
    let mut position = 0;
    while position < bytes.len() {
        let Some(payload) = frame_at(bytes, position) else {
            let has_later_frame =
                (position + 1..bytes.len()).any(|next| frame_at(bytes, next).is_some());
            return if has_later_frame || !may_be_torn(&bytes[position..]) {
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

/// Whether these bytes may be a partially written frame of this format: bytes that did not reach the disk are
/// missing or zero. Anything else was written by another program, or by another version of this one.
fn may_be_torn(bytes: &[u8]) -> bool {
    let mut pairs = bytes.iter().zip(MAGIC);
    pairs.all(|(byte, magic)| *byte == magic || *byte == 0)
}
