//! State of one connection to a runner. It bears one request at a time.

use crate::upstream_session::UpstreamSession;
use protocol::RequestId;

/// A connection to a runner.
pub(crate) struct UpstreamConnection {
    /// Id of the runner.
    pub runner: String,
    /// The request that holds the connection; none while it is pooled.
    pub request: Option<RequestId>,
    pub session: UpstreamSession,
    /// When a pooled connection is closed.
    pub expires_at: u64,
}

impl UpstreamConnection {
    /// A connection that no request holds yet.
    pub fn new(runner: &str) -> Self {
        Self {
            runner: runner.into(),
            request: None,
            session: UpstreamSession::default(),
            expires_at: 0,
        }
    }
}
