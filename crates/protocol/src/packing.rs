use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use std::io::{Read, Write};

/// Bytes deflated, as documents and answers travel and are kept.
pub fn pack(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

/// Deflated bytes as they were, up to so many; none where they cannot be read.
pub fn unpack(packed: &[u8], most: u64) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let decoder = DeflateDecoder::new(packed);
    decoder.take(most).read_to_end(&mut bytes).ok()?;
    Some(bytes)
}
