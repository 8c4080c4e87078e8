//! Who holds a lease or waits for one.

use protocol::RequestId;

/// A request of a gateway, by which a lease or a lease request is known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeaseHolder {
    /// Name of the gateway.
    pub gateway: String,
    /// The request's number, unique within that gateway's incarnation alone.
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
