//! The messages between gateways, controllers and operator tools.

use crate::functions::{FunctionReport, FunctionUpdate};
use crate::identifiers::{RequestId, UpdateVersion};
use crate::jobs::{JobCompletion, JobVerdict, RegisterResponse};
use crate::leases::{LeaseRelease, LeaseRequest, RequestTenant, RunnerLeases, SeatLease};
use crate::member::Member;
use crate::ownership::{OwnershipChange, OwnershipTable, RelayedLeaseRequest, SeatHandover};
use crate::tenants::TenantUsage;
use speedy::{Readable, Writable};

/// A message between daemons, except for the consensus messages among controllers.
///
/// Variants and fields are encoded by position: append new ones at the end, and never move or remove any.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Message {
    /// A gateway identifies itself. This is the first message on each connection that a gateway opens.
    GatewayHello(Member),
    /// A gateway's heartbeat to a controller, with the versions that the gateway has applied.
    GatewayHeartbeat {
        /// Version of the active routing configuration.
        configuration_version: u64,
        /// Version of the active set of evacuated zones.
        evacuations_version: u64,
        /// Version of the active gateway membership.
        membership_version: UpdateVersion,
    },
    /// A controller's heartbeat to a gateway.
    ControllerHeartbeat {
        /// Latest committed version of the routing configuration.
        configuration_version: u64,
        /// Latest committed version of the set of evacuated zones.
        evacuations_version: u64,
        /// Term in which this controller is the scaler; 0 if it is not the scaler.
        term: u64,
        /// Addresses of all known controllers.
        controllers: Vec<String>,
        /// Zone of the controller.
        zone: String,
        /// Whether the controller is in contact with a majority of voters, so that its versions can be considered current.
        is_current: bool,
    },
    /// A daemon other than a gateway requests a controller's heartbeat.
    RequestHeartbeat,
    /// A gateway requests configuration newer than its own.
    RequestConfiguration {
        /// Version of the active routing configuration.
        configuration_version: u64,
        /// Version of the active set of evacuated zones.
        evacuations_version: u64,
    },
    /// A committed routing configuration.
    Configuration {
        /// Version of the configuration; the highest version wins.
        version: u64,
        /// The operator's document, compressed.
        document: Vec<u8>,
    },
    /// Committed changes of the routing configuration, for a gateway that has the first change's base version.
    ConfigurationChanges {
        /// Base version of the first change; each change increments the version by one.
        base_version: u64,
        /// The operator's changes, each compressed, oldest first.
        changes: Vec<Vec<u8>>,
    },
    /// The committed set of evacuated zones.
    EvacuatedZones {
        /// Version of the set; the highest version wins.
        version: u64,
        /// Names of the zones whose runners get no requests.
        zones: Vec<String>,
    },
    /// The gateways that may own functions, published by the scaler.
    GatewayMembership {
        /// Version of the membership; the highest version wins.
        version: UpdateVersion,
        /// The gateways.
        members: Vec<Member>,
    },
    /// A gateway reports the state of the functions that it owns to the scaler.
    FunctionReports(Vec<FunctionReport>),
    /// The scaler publishes the desired runners of functions to their owner.
    FunctionUpdates(Vec<FunctionUpdate>),
    /// A gateway requests a seat lease from the function's owner.
    LeaseRequest(LeaseRequest),
    /// A gateway cancels a lease request. A seat already leased for it becomes free.
    CancelRequest(RequestId),
    /// The owner leases a seat to a gateway.
    SeatLease(SeatLease),
    /// The owner has no seat for a request and will not have one before the request times out.
    Reject {
        /// Id of the rejected request.
        request_id: RequestId,
        /// Time in milliseconds after which the request may be retried.
        retry_after_ms: u32,
    },
    /// A gateway releases a lease.
    LeaseRelease(LeaseRelease),
    /// A gateway tells a function's new owner which requests it has in flight at which runners.
    LeasesInUse {
        /// Name of the function.
        function: String,
        /// The requests in flight, by runner.
        runners: Vec<RunnerLeases>,
    },
    /// Probes the peer, which answers with a pong of the same number.
    Ping(u64),
    /// The answer to a ping.
    Pong(u64),
    /// An operator tool requests a daemon's state.
    RequestStatus,
    /// A daemon's state as JSON text.
    Status(String),
    /// The owner tells a gateway that its request holds the claim on its job and may be sent to a runner.
    JobClaimed {
        /// Id of the request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Version of the register that holds the claim.
        register_version: u64,
    },
    /// The owner tells a gateway that another request may be running the job, and that this request waits for the result.
    JobJoined {
        /// Id of the request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The owner tells a gateway the outcome of its request's job.
    JobVerdict {
        /// Id of the request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Outcome of the job for this request.
        verdict: JobVerdict,
    },
    /// A gateway tells the owner how an attempt of a job ended.
    JobCompletion(JobCompletion),
    /// The owner tells a gateway that the result of its request's job is stored on the disks of a majority of controllers.
    JobPersisted(RequestId),
    /// An owner asks a controller to read or write a job's register.
    JobRegisterRequest {
        /// Number of the request, repeated in the response.
        number: u64,
        /// Key of the register.
        key: String,
        /// Version that the register must have for the write to succeed; `None` for a read.
        expected_version: Option<u64>,
        /// The new value; empty for a read.
        value: Vec<u8>,
    },
    /// A controller's response to a register request.
    JobRegisterResponse {
        /// Number of the request.
        number: u64,
        /// The result.
        response: RegisterResponse,
    },
    /// A gateway requests a lease for a request that is restricted to some regions.
    RestrictedLeaseRequest {
        /// The request; its `allowed_regions` field is not encoded.
        request: LeaseRequest,
        /// Regions to which the request is restricted.
        allowed_regions: Vec<String>,
    },
    /// The difference between two versions of the gateway membership, for a gateway that has the base version.
    GatewayMembershipChange {
        /// Version to which the change applies.
        base: UpdateVersion,
        /// Version after the change.
        version: UpdateVersion,
        /// Gateways that joined or restarted with a new incarnation.
        joined: Vec<Member>,
        /// Names of the gateways that left.
        left: Vec<String>,
    },
    /// A gateway tells a controller that it supports [`GatewayMembershipChange`](Self::GatewayMembershipChange). Older daemons
    /// cannot decode either message, so a gateway sends this one only to a controller whose heartbeats omit already known
    /// controllers, which older controllers never do. Until then, the gateway receives complete memberships.
    AcceptsMembershipChanges,
    /// A gateway tells a controller that it supports this message and all variants declared after it. It is sent only to a
    /// controller that has answered a ping, which older controllers never do.
    AcceptsOwnershipTables,
    /// The ownership table published by the scaler. It is active only while all members support it.
    OwnershipTable(OwnershipTable),
    /// The difference between two consecutive versions of the ownership table.
    OwnershipChange(OwnershipChange),
    /// A gateway that owns functions under the table of this version requests the seats from a former owner.
    RequestHandover(UpdateVersion),
    /// The former owner's response, which may be split into several parts.
    SeatHandover(SeatHandover),
    /// An owner that received leases in a handover asks the gateway that holds them whether they are still in use. From then on,
    /// the gateway releases these leases to this owner as well.
    ConfirmLeases(Vec<RequestId>),
    /// A gateway's response: the requests that no longer hold a lease.
    LeasesEnded(Vec<RequestId>),
    /// An owner acknowledges the cancellation of a lease request. Its earlier messages about the request are invalid.
    LeaseRequestCancelled(RequestId),
    /// A gateway relays a lease request of another gateway to the function's owner.
    RelayedLeaseRequest(RelayedLeaseRequest),
    /// A gateway reports to the scaler that another gateway does not respond.
    SuspectedGateway {
        /// Name of the suspected gateway.
        name: String,
        /// Incarnation of the suspected gateway, as known to the sender.
        incarnation: u64,
    },
    /// A gateway tells a controller that it is shutting down.
    GatewayLeaving,
    /// A gateway requests a lease for a tenant's request.
    TenantLeaseRequest {
        /// The request; its `allowed_regions` and `tenant` fields are not encoded.
        request: LeaseRequest,
        /// Regions to which the request is restricted; empty if all regions are allowed.
        allowed_regions: Vec<String>,
        /// The tenant that sent the request.
        tenant: RequestTenant,
    },
    /// A gateway relays a tenant's lease request to the function's owner.
    RelayedTenantLeaseRequest {
        /// The relayed request.
        relayed: RelayedLeaseRequest,
        /// The tenant that sent the request.
        tenant: RequestTenant,
    },
    /// An operator tool requests a gateway's usage counters for each tenant.
    RequestTenantUsage,
    /// A gateway's usage counters for each tenant.
    TenantUsage(Vec<TenantUsage>),
}

impl Message {
    /// Creates the message for a lease request. The tenant is omitted if the receiving gateway does not support tenants.
    #[must_use]
    pub fn lease_request(mut request: LeaseRequest, supports_tenants: bool) -> Self {
        let tenant = request.tenant.take().filter(|_| supports_tenants);
        let allowed_regions = std::mem::take(&mut request.allowed_regions);
        match tenant {
            Some(tenant) => Self::TenantLeaseRequest {
                request,
                allowed_regions,
                tenant,
            },
            None if allowed_regions.is_empty() => Self::LeaseRequest(request),
            None => Self::RestrictedLeaseRequest {
                request,
                allowed_regions,
            },
        }
    }

    /// Extracts the lease request from a message, including the separately encoded regions and tenant. Returns `None` for any
    /// other message.
    #[must_use]
    pub fn into_lease_request(self) -> Option<LeaseRequest> {
        match self {
            Self::LeaseRequest(request) => Some(request),
            Self::RestrictedLeaseRequest {
                request,
                allowed_regions,
            } => Some(LeaseRequest {
                allowed_regions,
                ..request
            }),
            Self::TenantLeaseRequest {
                request,
                allowed_regions,
                tenant,
            } => Some(LeaseRequest {
                allowed_regions,
                tenant: Some(tenant),
                ..request
            }),
            _ => None,
        }
    }

    /// Creates the message that relays a lease request. The tenant is omitted if the receiving gateway does not support tenants.
    #[must_use]
    pub fn relayed_lease_request(mut relayed: RelayedLeaseRequest, supports_tenants: bool) -> Self {
        let tenant = relayed.request.tenant.take();
        match tenant.filter(|_| supports_tenants) {
            Some(tenant) => Self::RelayedTenantLeaseRequest { relayed, tenant },
            None => Self::RelayedLeaseRequest(relayed),
        }
    }
}
