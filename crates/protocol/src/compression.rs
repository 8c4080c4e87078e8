//! Compression of documents and responses, on the wire and in the registers.

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use std::io::{Read, Write};

/// Deflates bytes.
pub fn deflate(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

/// Inflates the first `limit` bytes of what was deflated; none where it cannot be read.
///
/// The limit bounds the memory that a hostile or damaged input can take.
pub fn inflate(packed: &[u8], limit: u64) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let decoder = DeflateDecoder::new(packed);
    decoder.take(limit).read_to_end(&mut bytes).ok()?;
    Some(bytes)
}
