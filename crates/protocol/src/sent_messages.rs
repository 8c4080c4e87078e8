//! How many bytes a daemon has sent to others, by kind of message.

/// Bytes of a frame before its message.
const FRAME_HEAD: usize = 4;
/// Bytes of a message that tell its kind.
const KIND_BYTES: usize = 4;
/// Names of the kinds of [`Message`](crate::Message), by their place in it.
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

/// Bytes sent, by kind of message.
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
    /// Counts a frame of one message.
    pub fn record(&mut self, frame: &[u8]) {
        let kind = frame.get(FRAME_HEAD..FRAME_HEAD + KIND_BYTES);
        let kind = kind.and_then(|bytes| bytes.try_into().ok());
        let place = kind.map_or(usize::MAX, |bytes| u32::from_le_bytes(bytes) as usize);
        let last = KIND_NAMES.len() - 1;
        self.bytes[place.min(last)] += frame.len() as u64;
    }

    /// Bytes of each kind that was sent, with its name.
    pub fn by_kind(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let counts = self.bytes.iter().copied();
        let named = KIND_NAMES.into_iter().zip(counts);
        named.filter(|(_, bytes)| *bytes > 0)
    }
}
