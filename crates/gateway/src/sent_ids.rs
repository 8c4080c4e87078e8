//! Ids of the requests that were sent on one connection to a runner.

use std::hash::{BuildHasher, RandomState};
use std::sync::LazyLock;

/// Largest number of requests that one connection carries. It bounds the memory of their ids.
const REQUESTS_MAX: usize = 256;

/// Keys of the hash function, so that clients cannot choose ids with equal hashes.
static HASH_KEYS: LazyLock<RandomState> = LazyLock::new(RandomState::new);

/// Hashes of the request ids that were sent on a connection.
///
/// A response names its request by the id alone. If two sends on a connection had the same id, a surplus response to the
/// first one could not be told from the response to the second one.
#[derive(Debug, Default)]
pub(crate) struct SentIds {
    hashes: Vec<u64>,
}

impl SentIds {
    /// Records that a request is sent.
    pub fn record(&mut self, id: &[u8]) {
        self.hashes.push(HASH_KEYS.hash_one(id));
    }

    /// Number of requests that were sent.
    pub fn count(&self) -> usize {
        self.hashes.len()
    }

    /// Whether a request may be sent: none with its id was sent before, and the connection has not carried too many.
    pub fn may_send(&self, id: &[u8]) -> bool {
        !self.is_full() && !self.hashes.contains(&HASH_KEYS.hash_one(id))
    }

    /// Whether the connection may carry no further request.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= REQUESTS_MAX
    }
}
