//! Tenants, as gateways tell of them to owners of seats and to operators' tools.

use speedy::{Readable, Writable};

/// Bit of a [`Message::Pong`](crate::Message::Pong)'s number by which a gateway says that it understands [`Message::TenantLeaseRequest`](crate::Message::TenantLeaseRequest) and all messages after
/// it. Gateways before it answer with the number of the ping, which bears no such bit.
pub const TENANT_SUPPORT_FLAG: u64 = 1 << 63;

/// What one tenant has sent to one gateway since that began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct TenantUsage {
    /// The tenant's name.
    pub tenant: String,
    /// Number of its keys.
    pub keys: u32,
    /// Requests with one of its keys.
    pub requests: u64,
    /// Those of them that were rejected, or failed.
    pub rejected: u64,
}
