const MARK: [u8; 4] = *b"hkJ1";
const HEAD: usize = 12;

pub(crate) fn framed(payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + payload.len());
    bytes.extend_from_slice(&MARK);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&digest(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

// The length is part of what is summed, so that an empty frame of zeros is no frame.
fn digest(payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn word(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

pub(crate) fn frame_at(bytes: &[u8], place: usize) -> Option<&[u8]> {
    let head = bytes.get(place..place + HEAD)?;
    if head[..4] != MARK {
        return None;
    }
    let length = word(&head[4..8]) as usize;
    let payload = bytes.get(place + HEAD..(place + HEAD).checked_add(length)?)?;
    (digest(payload) == word(&head[8..12])).then_some(payload)
}

pub(crate) enum Scan {
    Whole,
    Torn(usize),
    Damaged(usize),
}

pub(crate) fn scan<'a>(bytes: &'a [u8], mut take: impl FnMut(&'a [u8])) -> Scan {
    let mut place = 0;
    while place < bytes.len() {
        let Some(payload) = frame_at(bytes, place) else {
            let later = (place + 1..bytes.len()).any(|next| frame_at(bytes, next).is_some());
            return if later {
                Scan::Damaged(place)
            } else {
                Scan::Torn(place)
            };
        };
        take(payload);
        place += HEAD + payload.len();
    }
    Scan::Whole
}
