//! State of one client connection, which carries one request at a time.

use http1::RequestReader;
use protocol::RequestId;

/// A client connection.
#[derive(Default)]
pub(crate) struct DownstreamConnection {
    pub reader: RequestReader,
    /// The request in flight.
    pub request: Option<RequestId>,
    /// Whether `100 Continue` was sent for the arriving request.
    pub has_sent_continue: bool,
    /// When the arriving request began, or when the connection became idle.
    pub since: u64,
    /// Whether part of a request has been received.
    pub is_arriving: bool,
    /// Whether a timer is set for the connection.
    pub has_timer: bool,
}

impl DownstreamConnection {
    /// A connection accepted at `now`, for which a timer is set.
    pub fn accepted(now: u64) -> Self {
        Self {
            since: now,
            has_timer: true,
            ..Self::default()
        }
    }

    /// Whether no request is in flight or arriving.
    pub fn is_idle(&self) -> bool {
        self.request.is_none() && !self.is_arriving
    }
}
