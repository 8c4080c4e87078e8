use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use speedy::{Readable, Writable};
use std::io::{Read, Write};

/// Key of the register that holds the description.
pub(crate) const DESCRIPTION: &str = council::BLUEPRINT_KEY;
/// Key of the register that holds the closed districts.
pub(crate) const CLOSURES: &str = council::PLAN_KEY;
/// Taken orders that are remembered, so that a resent one is answered as before.
const TAKEN_MAX: usize = 64;
/// Largest document, in bytes.
const DOCUMENT_MAX: u64 = 64 << 20;

/// What the description's register holds.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub(crate) struct Kept {
    /// The operator's version.
    pub version: u64,
    /// The whole document, deflated.
    pub packed: Vec<u8>,
    /// Versions that were taken and digests of the orders that made them, the newest last.
    pub taken: Vec<(u64, u64)>,
}

/// What the closures' register holds.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub(crate) struct Closures {
    pub districts: Vec<String>,
}

impl Kept {
    pub fn document(&self) -> Vec<u8> {
        let mut document = Vec::new();
        let decoder = DeflateDecoder::new(self.packed.as_slice());
        let _ = decoder.take(DOCUMENT_MAX).read_to_end(&mut document);
        document
    }

    /// The next value.
    pub fn next(&self, version: u64, document: &[u8], order: u64) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let _ = encoder.write_all(document);
        let mut taken = self.taken.clone();
        taken.push((version, order));
        let surplus = taken.len().saturating_sub(TAKEN_MAX);
        taken.drain(..surplus);
        Self {
            version,
            packed: encoder.finish().unwrap_or_default(),
            taken,
        }
    }

    pub fn has_taken(&self, version: u64, order: u64) -> bool {
        self.taken.contains(&(version, order))
    }
}

/// Digest of an order's body, by which a resent one is known again (FNV-1a).
pub(crate) fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    })
}
