//! Actions that a lease owner asks its gateway to carry out, and snapshots of its state.

use protocol::{Message, RequestId, SeatHandover, SeatLease, UpdateVersion};

/// An action for the gateway to carry out on behalf of its lease owner.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Send a lease to the gateway that requested it.
    Lease {
        /// Name of the gateway.
        gateway: String,
        /// The leased seat.
        lease: SeatLease,
    },
    /// Reject a gateway's lease request because no seat will be free in time.
    Reject {
        /// Name of the gateway.
        gateway: String,
        /// Id of the request at that gateway.
        request_id: RequestId,
        /// Milliseconds after which a retry may succeed.
        retry_after_ms: u32,
    },
    /// Request a handover from the former owner of functions that moved to this gateway.
    RequestHandover {
        /// Name of the former owner.
        gateway: String,
        /// Version of the ownership table that moved the functions.
        version: UpdateVersion,
    },
    /// Send a function's seat state to its next owner.
    HandOver {
        /// Name of the next owner.
        gateway: String,
        /// The seat state.
        handover: SeatHandover,
    },
    /// Ask a gateway, which may be this one, whether it still holds these unconfirmed leases.
    ConfirmLeases {
        /// Name of the gateway.
        gateway: String,
        /// Requests that the leases were issued to.
        requests: Vec<RequestId>,
    },
    /// Check whether a starting runner accepts connections.
    Probe {
        /// The runner's function.
        function: String,
        /// Id of the runner.
        runner: String,
        /// Address of the runner (IP and port).
        address: String,
    },
}

impl LeaseAction {
    /// Converts the action into a message and the name of its recipient; `None` for an action that sends no message.
    #[must_use]
    pub fn into_message(self) -> Option<(String, Message)> {
        Some(match self {
            Self::Lease { gateway, lease } => (gateway, Message::SeatLease(lease)),
            Self::Reject {
                gateway,
                request_id,
                retry_after_ms,
            } => {
                let rejection = Message::Reject {
                    request_id,
                    retry_after_ms,
                };
                (gateway, rejection)
            }
            Self::RequestHandover { gateway, version } => {
                (gateway, Message::RequestHandover(version))
            }
            Self::HandOver { gateway, handover } => (gateway, Message::SeatHandover(handover)),
            Self::ConfirmLeases { gateway, requests } => {
                (gateway, Message::ConfirmLeases(requests))
            }
            Self::Probe { .. } => return None,
        })
    }
}

/// Number of leases and waiting requests of an owner, summed over all functions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerUsage {
    /// Leased seats.
    pub leased: u64,
    /// Requests waiting for a seat.
    pub waiting: u64,
}

/// Lease usage of one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerUsage {
    /// Id of the runner.
    pub id: String,
    /// Maximum number of concurrent requests.
    pub quota: u32,
    /// Seats that are currently leased.
    pub in_use: u32,
    /// Whether the runner accepts new requests.
    pub is_serving: bool,
}

/// The part of an owner's state that determines its next leases.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerSnapshot {
    /// All current leases.
    pub leases: Vec<LeaseSnapshot>,
    /// Number of requests waiting for a seat.
    pub waiting: usize,
    /// Names of former owners whose handover is pending.
    pub awaited: Vec<String>,
    /// Names of the gateways whose handover requests are answered once a newer table is applied.
    pub unanswered: Vec<String>,
}

/// One current lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseSnapshot {
    /// Id of the runner.
    pub runner: String,
    /// Name of the gateway that holds the lease.
    pub gateway: String,
    /// Id of the request at that gateway.
    pub request_id: RequestId,
    /// Whether the gateway may have ended the lease without this owner having received the release.
    pub is_unconfirmed: bool,
}
