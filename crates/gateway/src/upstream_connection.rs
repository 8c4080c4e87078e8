//! State of one connection to a runner, which carries one request at a time.

use crate::upstream_session::UpstreamSession;
use protocol::RequestId;

/// A connection to a runner.
pub(crate) struct UpstreamConnection {
    /// Id of the runner.
    pub runner: String,
    /// The request assigned to the connection; `None` while it is pooled.
    pub request: Option<RequestId>,
    pub session: UpstreamSession,
    /// When the connection expires while it is pooled.
    pub expires_at: u64,
}

impl UpstreamConnection {
    /// A connection without a request.
    pub fn new(runner: &str) -> Self {
        Self {
            runner: runner.into(),
            request: None,
            session: UpstreamSession::default(),
            expires_at: 0,
        }
    }
}
