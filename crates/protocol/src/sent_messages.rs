//! Counts the bytes that a daemon has sent to other daemons, by message kind.

/// Size of the length prefix that precedes the message in a frame.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Size of the variant index at the start of an encoded message.
const KIND_BYTES: usize = 4;
/// Names of the message kinds, in the order of the variants of [`Message`](crate::Message); the last name is for unknown kinds.
const KIND_NAMES: [&str; 47] = [
    "gateway_hello",
    "gateway_heartbeat",
    "controller_heartbeat",
    "request_heartbeat",
    "request_configuration",
    "configuration",
    "configuration_changes",
    "evacuated_zones",
    "gateway_membership",
    "function_reports",
    "function_updates",
    "lease_request",
    "cancel_request",
    "seat_lease",
    "reject",
    "lease_release",
    "leases_in_use",
    "ping",
    "pong",
    "request_status",
    "status",
    "job_claimed",
    "job_joined",
    "job_verdict",
    "job_completion",
    "job_persisted",
    "job_register_request",
    "job_register_response",
    "restricted_lease_request",
    "gateway_membership_change",
    "accepts_membership_changes",
    "accepts_ownership_tables",
    "ownership_table",
    "ownership_change",
    "request_handover",
    "seat_handover",
    "confirm_leases",
    "leases_ended",
    "lease_request_cancelled",
    "relayed_lease_request",
    "suspected_gateway",
    "gateway_leaving",
    "tenant_lease_request",
    "relayed_tenant_lease_request",
    "request_tenant_usage",
    "tenant_usage",
    "unknown",
];

/// Number of bytes sent, by message kind.
#[derive(Clone, Debug)]
pub struct SentMessages {
    bytes: [u64; KIND_NAMES.len()],
}

impl Default for SentMessages {
    fn default() -> Self {
        Self {
            bytes: [0; KIND_NAMES.len()],
        }
    }
}

impl SentMessages {
    /// Counts one sent frame.
    pub fn record(&mut self, frame: &[u8]) {
        let kind = frame.get(LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + KIND_BYTES);
        let kind = kind.and_then(|bytes| bytes.try_into().ok());
        let index = kind.map_or(usize::MAX, |bytes| u32::from_le_bytes(bytes) as usize);
        let last = KIND_NAMES.len() - 1;
        self.bytes[index.min(last)] += frame.len() as u64;
    }

    /// Name and byte count of each message kind that has been sent.
    pub fn by_kind(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let counts = self.bytes.iter().copied();
        let named = KIND_NAMES.into_iter().zip(counts);
        named.filter(|(_, bytes)| *bytes > 0)
    }
}
