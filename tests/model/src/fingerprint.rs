use std::collections::hash_map::DefaultHasher;
use std::fmt;
use std::hash::Hasher;

/// Computes a 128-bit hash that is the same in every run.
///
/// The explorer treats states with equal fingerprints as equal. With n states the probability of any collision is below
/// n² / 2^129, which is 1 in 10^24 for ten million states.
#[derive(Clone)]
pub struct Fingerprinter {
    low: DefaultHasher,
    high: DefaultHasher,
}

impl Default for Fingerprinter {
    fn default() -> Self {
        let mut high = DefaultHasher::new();
        high.write_u8(1);
        Self {
            low: DefaultHasher::new(),
            high,
        }
    }
}

impl Fingerprinter {
    /// Adds raw bytes to the hash.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.low.write(bytes);
        self.high.write(bytes);
    }

    /// Adds a number, as little-endian bytes.
    pub fn number(&mut self, number: u128) {
        self.bytes(&number.to_le_bytes());
    }

    /// Adds the debug output of a value, followed by a separator.
    pub fn debug(&mut self, value: &impl fmt::Debug) {
        // Writing to a hasher cannot fail.
        let _ = fmt::Write::write_fmt(self, format_args!("{value:?};"));
    }

    /// Returns the fingerprint of everything added so far.
    pub fn finish(&self) -> u128 {
        u128::from(self.high.finish()) << 64 | u128::from(self.low.finish())
    }
}

impl fmt::Write for Fingerprinter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.bytes(text.as_bytes());
        Ok(())
    }
}
