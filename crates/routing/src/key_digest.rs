//! Digests of clients' keys. A daemon keeps no key, so that none can get into its logs, its state or a dump of its memory.

use sha2::{Digest, Sha256};
use std::fmt;
use std::hash::{Hash, Hasher};
use subtle::ConstantTimeEq;

/// The SHA-256 of a key. Digests are compared in constant time.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write(&self.0);
    }
}

// Not even a digest is printed: keys that are short could be guessed from it.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}
