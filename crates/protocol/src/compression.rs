//! Compression of documents and responses, both on the wire and in the replicated registers.

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use std::io::{Read, Write};

/// Compresses bytes with raw DEFLATE at the fastest level.
pub fn deflate(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a `Vec` does not fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

/// Decompresses raw DEFLATE data, up to `limit` bytes of output. Returns `None` if the data is corrupt.
///
/// The limit bounds the memory that malicious or corrupt input can use.
pub fn inflate(deflated: &[u8], limit: u64) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let decoder = DeflateDecoder::new(deflated);
    decoder.take(limit).read_to_end(&mut bytes).ok()?;
    Some(bytes)
}
