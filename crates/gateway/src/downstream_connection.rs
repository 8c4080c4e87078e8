//! State of one client's connection. It bears one request at a time.

use http1::RequestReader;
use protocol::RequestId;

/// A client's connection.
#[derive(Default)]
pub(crate) struct DownstreamConnection {
    pub reader: RequestReader,
    /// The request that has no response yet.
    pub request: Option<RequestId>,
    /// Whether `100 Continue` was sent for the request that is arriving.
    pub has_sent_continue: bool,
    /// When the request that is arriving began to, or the connection fell idle.
    pub since: u64,
    /// Whether the first bytes of a request are here.
    pub is_arriving: bool,
    /// Whether a timer is set for the connection.
    pub has_timer: bool,
}

impl DownstreamConnection {
    /// A connection that was accepted now and has its timer.
    pub fn accepted(now: u64) -> Self {
        Self {
            since: now,
            has_timer: true,
            ..Self::default()
        }
    }

    /// Whether nothing is under way on it.
    pub fn is_idle(&self) -> bool {
        self.request.is_none() && !self.is_arriving
    }
}
