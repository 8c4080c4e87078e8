//! Ownership of functions' seats: the table that the scaler publishes, and the handover of seats from a function's former
//! owner to its new owner.

use crate::functions::RunnerUpdate;
use crate::identifiers::{RequestId, UpdateVersion};
use crate::leases::{LeaseRequest, RunnerLeases};
use crate::member::Member;
use speedy::{Readable, Writable};

/// The complete list of gateways that own functions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct OwnershipTable {
    /// Version of the table; the highest version wins.
    pub version: UpdateVersion,
    /// The member gateways.
    pub members: Vec<Member>,
    /// Names of the members that owned nothing under the previous version.
    pub joined: Vec<String>,
    /// Names of the members that are shutting down. They own nothing any more, but still hand over what they owned.
    pub leaving: Vec<String>,
    /// Whether the table is sent to all members: the first table of a term, or the first one that all members support.
    /// Otherwise it is sent to a gateway that has just joined and has not owned anything since.
    pub is_first: bool,
}

/// The difference between two versions of the table, for a gateway that has the base version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct OwnershipChange {
    /// Version to which the change applies.
    pub base: UpdateVersion,
    /// Version after the change.
    pub version: UpdateVersion,
    /// Gateways that joined or restarted with a new incarnation.
    pub joined: Vec<Member>,
    /// Names of the members that have started to shut down since the base version.
    pub leaving: Vec<String>,
    /// Names of the gateways that left.
    pub left: Vec<String>,
}

/// A former owner hands over its state of functions that the receiver now owns.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct SeatHandover {
    /// Version of the table that the sender has applied. The sender no longer leases seats of functions that this table
    /// assigns to other owners.
    pub version: UpdateVersion,
    /// The functions in this part. Functions not listed in any part have neither runners nor leases at the sender.
    pub functions: Vec<FunctionHandover>,
    /// Whether this is the last part.
    pub is_last: bool,
}

/// The state of one function in a handover.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FunctionHandover {
    /// Name of the function.
    pub function: String,
    /// Version of the scaler's latest update of the function; zero if the sender's runner list may be outdated.
    pub version: UpdateVersion,
    /// Runners of the function, as known to the former owner.
    pub runners: Vec<RunnerHandover>,
    /// Leases of the function's seats.
    pub leases: Vec<GatewayLeases>,
}

impl FunctionHandover {
    /// Whether the scaler has confirmed the runner list to the former owner.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.version != UpdateVersion::default()
    }

    /// Whether any seat of this runner is leased.
    #[must_use]
    pub fn has_leases_at(&self, runner: &str) -> bool {
        let mut leases = self.leases.iter().flat_map(|leases| &leases.runners);
        leases.any(|leases| leases.runner == runner)
    }
}

/// The state of one runner in a handover.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerHandover {
    /// Desired state of the runner, from the scaler.
    pub update: RunnerUpdate,
    /// Whether the runner has been reached at least once.
    pub is_up: bool,
    /// Whether the runner can no longer be reached.
    pub is_unreachable: bool,
    /// Mean response time in milliseconds; 0 before the first response.
    pub mean_response_ms: u32,
}

/// The leases held by one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct GatewayLeases {
    /// Name of the gateway.
    pub gateway: String,
    /// Leases of the gateway, grouped by runner.
    pub runners: Vec<RunnerLeases>,
}

/// A lease request that a gateway relays for another gateway that cannot reach the function's owner.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RelayedLeaseRequest {
    /// The request, with an id assigned by the relaying gateway; its `allowed_regions` field is not encoded.
    pub request: LeaseRequest,
    /// Zone of the gateway that received the client's request.
    pub zone: String,
    /// Regions to which the request is restricted; empty if all regions are allowed.
    pub allowed_regions: Vec<String>,
}

impl RelayedLeaseRequest {
    /// Creates a relayed request with a new id.
    #[must_use]
    pub fn new(request_id: RequestId, zone: &str, mut request: LeaseRequest) -> Self {
        let allowed_regions = std::mem::take(&mut request.allowed_regions);
        Self {
            request: LeaseRequest {
                request_id,
                job: None,
                ..request
            },
            zone: zone.into(),
            allowed_regions,
        }
    }

    /// The lease request for the function's owner, including the allowed regions.
    #[must_use]
    pub fn into_request(self) -> LeaseRequest {
        LeaseRequest {
            allowed_regions: self.allowed_regions,
            ..self.request
        }
    }
}
