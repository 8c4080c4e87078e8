//! Tenant data in the messages from gateways to seat owners and operator tools.

use speedy::{Readable, Writable};

/// Bit in the number of a [`Message::Pong`](crate::Message::Pong). A gateway sets it to announce that it supports
/// [`Message::TenantLeaseRequest`](crate::Message::TenantLeaseRequest) and all variants declared after it. Older gateways
/// return the ping's number unchanged, in which the bit is never set.
pub const TENANT_SUPPORT_FLAG: u64 = 1 << 63;

/// Usage counters of one tenant at one gateway, since the gateway started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct TenantUsage {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of the tenant's API keys.
    pub keys: u32,
    /// Number of requests that used one of the tenant's keys.
    pub requests: u64,
    /// Number of these requests that were rejected or failed.
    pub rejected: u64,
}
