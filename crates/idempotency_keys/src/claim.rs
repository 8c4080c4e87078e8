//! The claim on a key, as its register holds it.

use configuration::PeerRef;
use speedy::{Readable, Writable};

/// What a key's register holds.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Claim {
    /// Nothing was sent under the key; it may be claimed.
    Free,
    /// A front claimed it, and may have sent the work.
    Taken {
        /// The front, in that incarnation.
        by: PeerRef,
        /// Slot of the request there.
        slot: u64,
        /// Digest of the body.
        digest: String,
    },
    /// The work ran and this is its answer.
    Done {
        /// Digest of the request's body.
        digest: String,
        /// Status of the answer.
        status: u16,
        /// Its content type.
        content_type: String,
        /// Its body; none where it was too large to keep.
        body: Option<Vec<u8>>,
    },
    /// The work was sent and its answer was lost.
    Unknown {
        /// Digest of the body.
        digest: String,
    },
}

impl Claim {
    /// Digest of the body that the key was claimed with.
    pub fn digest(&self) -> Option<&str> {
        match self {
            Self::Free => None,
            Self::Taken { digest, .. } | Self::Done { digest, .. } | Self::Unknown { digest } => {
                Some(digest)
            }
        }
    }
}
