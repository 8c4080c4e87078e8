//! The claim on an idempotency key, which is stored in a register.

use configuration::PeerRef;
use speedy::{Readable, Writable};

/// State of a claim: the value of the key's register.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Claim {
    /// Nothing was sent under the key, so it may be claimed.
    Free,
    /// A front claimed the key and may have sent the request.
    Taken {
        /// Name and incarnation of the front.
        by: PeerRef,
        /// Slot of the request at that front.
        slot: u64,
        /// Digest of the request's body.
        digest: String,
    },
    /// The request ran; its response is kept.
    Done {
        /// Digest of the request's body.
        digest: String,
        /// HTTP status of the response.
        status: u16,
        /// Content type of the response.
        content_type: String,
        /// Body of the response; none if it was too large to keep.
        body: Option<Vec<u8>>,
    },
    /// The request was sent and its response was lost, so it may have run.
    Unknown {
        /// Digest of the request's body.
        digest: String,
    },
}

impl Claim {
    /// Digest of the request's body with which the key was claimed; none if it is free.
    pub fn digest(&self) -> Option<&str> {
        match self {
            Self::Free => None,
            Self::Taken { digest, .. } | Self::Done { digest, .. } | Self::Unknown { digest } => {
                Some(digest)
            }
        }
    }
}
