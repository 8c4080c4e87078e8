use std::collections::hash_map::DefaultHasher;
use std::fmt;
use std::hash::Hasher;

/// Hashes what is written to it to 128 bits, the same in each run.
///
/// The explorer takes two states with one fingerprint for the same. With n states the chance that any two differ and share
/// one is below n² / 2^129, which is 1 in 10^24 for ten million.
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
    /// Adds bytes.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.low.write(bytes);
        self.high.write(bytes);
    }

    /// Adds a number.
    pub fn number(&mut self, number: u128) {
        self.bytes(&number.to_le_bytes());
    }

    /// Adds what a value's debug output tells of it.
    pub fn debug(&mut self, value: &impl fmt::Debug) {
        // Writing to a hasher cannot fail.
        let _ = fmt::Write::write_fmt(self, format_args!("{value:?};"));
    }

    /// The fingerprint of all that was added.
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
