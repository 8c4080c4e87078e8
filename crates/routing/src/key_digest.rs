//! Digests of clients' API keys. Daemons do not store the keys themselves, so that no key can appear in logs, in stored state
//! or in memory dumps.

use sha2::{Digest, Sha256};
use std::fmt;
use std::hash::{Hash, Hasher};
use subtle::ConstantTimeEq;

/// The SHA-256 digest of an API key. Digests are compared in constant time.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
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

// The digest is not printed either, because short keys could be found from it by brute force.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}
