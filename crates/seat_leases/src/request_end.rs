//! How a request ends at the owner that leased it a seat or queued it.

use crate::LeaseOwner;
use protocol::{LeaseRelease, Message, RequestId};

/// The end of a lease request.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseRequestEnd {
    /// Its lease was used and is released.
    Release(LeaseRelease),
    /// It no longer wants a seat.
    Cancel(RequestId),
}

impl LeaseRequestEnd {
    /// Id of the request.
    #[must_use]
    pub const fn request_id(&self) -> RequestId {
        match self {
            Self::Release(release) => release.request_id,
            Self::Cancel(id) => *id,
        }
    }

    /// The same end with the id that the request has at the owner it was relayed to.
    #[must_use]
    pub fn with_request_id(&self, request_id: RequestId) -> Self {
        match self {
            Self::Release(release) => Self::Release(LeaseRelease {
                request_id,
                ..release.clone()
            }),
            Self::Cancel(_) => Self::Cancel(request_id),
        }
    }

    /// The message that reports the end to another gateway.
    #[must_use]
    pub fn into_message(self) -> Message {
        match self {
            Self::Release(release) => Message::LeaseRelease(release),
            Self::Cancel(id) => Message::CancelRequest(id),
        }
    }
}

impl LeaseOwner {
    /// Ends a gateway's request.
    pub fn end_request(&mut self, now: u64, gateway: &str, end: &LeaseRequestEnd) {
        match end {
            LeaseRequestEnd::Release(release) => self.release(now, gateway, release),
            LeaseRequestEnd::Cancel(id) => self.cancel(now, gateway, *id),
        }
    }
}
