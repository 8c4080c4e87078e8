//! Identifies the holder of a lease or of a waiting request.

use protocol::RequestId;

/// A gateway's request that holds a lease or waits for one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeaseHolder {
    /// Name of the gateway.
    pub gateway: String,
    /// Id of the request, unique only within one incarnation of the gateway.
    pub request_id: RequestId,
}

impl LeaseHolder {
    pub fn new(gateway: &str, request_id: RequestId) -> Self {
        Self {
            gateway: gateway.into(),
            request_id,
        }
    }
}
