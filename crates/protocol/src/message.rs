//! Everything that gateways, controllers and operators' tools say to one another.

use crate::functions::{FunctionReport, FunctionUpdate};
use crate::identifiers::{RequestId, UpdateVersion};
use crate::jobs::{JobCompletion, JobVerdict, RegisterResponse};
use crate::leases::{LeaseRelease, LeaseRequest, RequestTenant, RunnerLeases, SeatLease};
use crate::member::Member;
use crate::ownership::{OwnershipChange, OwnershipTable, RelayedLeaseRequest, SeatHandover};
use crate::tenants::TenantUsage;
use speedy::{Readable, Writable};

/// A message between daemons, outside the consensus of controllers.
///
/// Variants and fields are encoded by position: new ones go to the end, and none is moved or removed.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Message {
    /// A gateway identifies itself; the first message on each of its connections.
    GatewayHello(Member),
    /// A gateway's heartbeat to a controller, with the versions that it has.
    GatewayHeartbeat {
        /// Version of the routing configuration in force.
        configuration_version: u64,
        /// Version of the evacuated zones in force.
        evacuations_version: u64,
        /// Version of the gateway membership in force.
        membership_version: UpdateVersion,
    },
    /// A controller's heartbeat to a gateway.
    ControllerHeartbeat {
        /// Newest committed version of the routing configuration.
        configuration_version: u64,
        /// Newest committed version of the evacuated zones.
        evacuations_version: u64,
        /// Term under which it scales; 0 where it does not.
        term: u64,
        /// Addresses of all controllers that it knows.
        controllers: Vec<String>,
        /// Zone that it runs in.
        zone: String,
        /// Whether it is in contact with a majority of voters, so that its versions may be taken for the newest.
        is_current: bool,
    },
    /// A daemon that is no gateway requests a controller's heartbeat.
    RequestHeartbeat,
    /// A gateway requests configuration that is newer than its own.
    RequestConfiguration {
        /// Version of the routing configuration in force.
        configuration_version: u64,
        /// Version of the evacuated zones in force.
        evacuations_version: u64,
    },
    /// A committed routing configuration.
    Configuration {
        /// Its version; the highest one wins.
        version: u64,
        /// The operator's document, deflated.
        document: Vec<u8>,
    },
    /// Committed changes of the routing configuration, for a gateway that has the version on which the first builds.
    ConfigurationChanges {
        /// Version on which the first change builds; each change raises it by one.
        base_version: u64,
        /// The operator's changes, each deflated, the oldest first.
        changes: Vec<Vec<u8>>,
    },
    /// Committed set of evacuated zones.
    EvacuatedZones {
        /// Its version; the highest one wins.
        version: u64,
        /// Names of the zones that take no requests.
        zones: Vec<String>,
    },
    /// The gateways that may own functions, from the controller that scales.
    GatewayMembership {
        /// Its version; the highest one wins.
        version: UpdateVersion,
        /// The gateways.
        members: Vec<Member>,
    },
    /// A gateway reports the functions that it owns to the controller that scales.
    FunctionReports(Vec<FunctionReport>),
    /// The controller that scales publishes the runners of functions to their owner.
    FunctionUpdates(Vec<FunctionUpdate>),
    /// A gateway requests a lease from the function's owner.
    LeaseRequest(LeaseRequest),
    /// A gateway cancels a lease request; a seat that was leased for it is free.
    CancelRequest(RequestId),
    /// The owner leases a seat.
    SeatLease(SeatLease),
    /// The owner has no seat for a request and will have none in time.
    Reject {
        /// The rejected request.
        request_id: RequestId,
        /// Milliseconds after which a retry is worthwhile.
        retry_after_ms: u32,
    },
    /// A gateway gives a lease back.
    LeaseRelease(LeaseRelease),
    /// A gateway tells a function's new owner at which runners it has requests in flight.
    LeasesInUse {
        /// The function.
        function: String,
        /// The requests in flight, by runner.
        runners: Vec<RunnerLeases>,
    },
    /// A probe of the peer; it answers with a pong of the same number.
    Ping(u64),
    /// The answer to a ping.
    Pong(u64),
    /// An operator's tool requests a daemon's state.
    RequestStatus,
    /// A daemon's state as JSON text.
    Status(String),
    /// The owner tells a gateway that its request holds the claim on its job, so that it may be sent to a runner.
    JobClaimed {
        /// The request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Version of the register that holds the claim.
        register_version: u64,
    },
    /// The owner tells a gateway that another request may be running the job, and that this one waits for its result.
    JobJoined {
        /// The request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The owner tells a gateway how the job of its request ended.
    JobVerdict {
        /// The request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How the job ended for this request.
        verdict: JobVerdict,
    },
    /// A gateway tells the owner how an attempt of a job ended.
    JobCompletion(JobCompletion),
    /// The owner tells a gateway that the result of its request's job is on the disks of a majority of controllers.
    JobPersisted(RequestId),
    /// An owner asks a controller to read or write a job's register.
    JobRegisterRequest {
        /// Number that the response repeats.
        number: u64,
        /// Key of the register.
        key: String,
        /// Version that the register must have for the write; none for a read.
        expected_version: Option<u64>,
        /// The new value; empty for a read.
        value: Vec<u8>,
    },
    /// A controller's response to a register request.
    JobRegisterResponse {
        /// Number of the request.
        number: u64,
        /// What became of it.
        response: RegisterResponse,
    },
    /// A gateway requests a lease for a request that must not leave some regions.
    RestrictedLeaseRequest {
        /// The request; its own list of regions does not travel.
        request: LeaseRequest,
        /// The regions.
        allowed_regions: Vec<String>,
    },
    /// How the membership differs from the version before, for a gateway that has that version.
    GatewayMembershipChange {
        /// Version on which the change builds.
        base: UpdateVersion,
        /// Its own version.
        version: UpdateVersion,
        /// Gateways that came, or began another incarnation.
        joined: Vec<Member>,
        /// Names of the gateways that went.
        left: Vec<String>,
    },
    /// A gateway tells a controller that it understands [`GatewayMembershipChange`](Self::GatewayMembershipChange). Daemons before it
    /// cannot read either message: a gateway sends this one only to a controller whose heartbeats leave known controllers out, which
    /// those never do, and gets whole memberships until it has.
    AcceptsMembershipChanges,
    /// A gateway tells a controller that it understands this message and all that follow. It is sent only to a controller that has
    /// answered a ping, which those before it never do.
    AcceptsOwnershipTables,
    /// The agreed owners, from the controller that scales; in force only while all members understand it.
    OwnershipTable(OwnershipTable),
    /// How the agreed owners differ from the version before.
    OwnershipChange(OwnershipChange),
    /// A function's owner under a table of this version asks a former owner for its seats.
    RequestHandover(UpdateVersion),
    /// The former owner's answer, in parts.
    SeatHandover(SeatHandover),
    /// An owner that was handed leases asks the gateway that holds them whether it does. From then on the gateway gives these leases
    /// back to this owner too.
    ConfirmLeases(Vec<RequestId>),
    /// A gateway's answer: which of these requests hold no lease any more.
    LeasesEnded(Vec<RequestId>),
    /// An owner has cancelled a lease request; whatever it said of the request before is void.
    LeaseRequestCancelled(RequestId),
    /// A gateway passes a lease request on to the function's owner.
    RelayedLeaseRequest(RelayedLeaseRequest),
    /// A gateway tells the controller that scales that another one is silent.
    SuspectedGateway {
        /// Name of the silent gateway.
        name: String,
        /// Its incarnation, as the sender knows it.
        incarnation: u64,
    },
    /// A gateway tells a controller that it is about to stop.
    GatewayLeaving,
    /// A gateway requests a lease for a request of a tenant.
    TenantLeaseRequest {
        /// The request; its own list of regions and its own tenant do not travel.
        request: LeaseRequest,
        /// Regions that the request must not leave; empty where all are allowed.
        allowed_regions: Vec<String>,
        /// The tenant.
        tenant: RequestTenant,
    },
    /// A gateway passes a lease request of a tenant on to the function's owner.
    RelayedTenantLeaseRequest {
        /// The request.
        relayed: RelayedLeaseRequest,
        /// The tenant.
        tenant: RequestTenant,
    },
    /// An operator's tool asks a gateway how much each tenant has sent.
    RequestTenantUsage,
    /// What each tenant has sent to a gateway.
    TenantUsage(Vec<TenantUsage>),
}

impl Message {
    /// The message that requests a lease of a gateway, which may understand tenants or not.
    #[must_use]
    pub fn lease_request(mut request: LeaseRequest, understands_tenants: bool) -> Self {
        let tenant = request.tenant.take().filter(|_| understands_tenants);
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

    /// The lease request that a message brings, with the regions and the tenant that travelled beside it; none where it is another
    /// message.
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

    /// The message that passes a lease request on to a gateway, which may understand tenants or not.
    #[must_use]
    pub fn relayed_lease_request(
        mut relayed: RelayedLeaseRequest,
        understands_tenants: bool,
    ) -> Self {
        let tenant = relayed.request.tenant.take();
        match tenant.filter(|_| understands_tenants) {
            Some(tenant) => Self::RelayedTenantLeaseRequest { relayed, tenant },
            None => Self::RelayedLeaseRequest(relayed),
        }
    }
}
