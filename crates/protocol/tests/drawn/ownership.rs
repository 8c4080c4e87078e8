//! Messages about the owners of functions' seats, drawn at random.

use super::{any, lease_request, member, runner_leases, runner_update, some, version};
use protocol::{
    FunctionHandover, GatewayLeases, Message, OwnershipChange, OwnershipTable, RelayedLeaseRequest,
    RequestId, RequestTenant, RunnerHandover, SeatHandover, TenantUsage,
};
use quickcheck::{Arbitrary, Gen};

pub fn message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        30 => Message::AcceptsOwnershipTables,
        31 => Message::OwnershipTable(OwnershipTable {
            version: version(gen),
            members: some(gen, member),
            joined: any(gen),
            leaving: any(gen),
            is_first: any(gen),
        }),
        32 => Message::OwnershipChange(OwnershipChange {
            base: version(gen),
            version: version(gen),
            joined: some(gen, member),
            leaving: any(gen),
            left: any(gen),
        }),
        33 => Message::RequestHandover(version(gen)),
        34 => Message::SeatHandover(SeatHandover {
            version: version(gen),
            functions: some(gen, function_handover),
            is_last: any(gen),
        }),
        35 => Message::ConfirmLeases(request_ids(gen)),
        36 => Message::LeasesEnded(request_ids(gen)),
        37 => Message::RelayedLeaseRequest(relayed_request(gen)),
        38 => Message::SuspectedGateway {
            name: any(gen),
            incarnation: any(gen),
        },
        39 => Message::GatewayLeaving,
        40 => Message::LeaseRequestCancelled(RequestId(any(gen))),
        41..=44 => tenant_message(kind, gen),
        _ => unreachable!("no kind of this group"),
    }
}

fn tenant_message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        41 => Message::TenantLeaseRequest {
            request: lease_request(gen),
            allowed_regions: any(gen),
            tenant: tenant(gen),
        },
        42 => Message::RelayedTenantLeaseRequest {
            relayed: relayed_request(gen),
            tenant: tenant(gen),
        },
        43 => Message::RequestTenantUsage,
        _ => Message::TenantUsage(some(gen, tenant_usage)),
    }
}

fn relayed_request(gen: &mut Gen) -> RelayedLeaseRequest {
    RelayedLeaseRequest {
        request: lease_request(gen),
        zone: any(gen),
        allowed_regions: any(gen),
    }
}

fn tenant(gen: &mut Gen) -> RequestTenant {
    RequestTenant {
        name: any(gen),
        priority: any(gen),
    }
}

fn tenant_usage(gen: &mut Gen) -> TenantUsage {
    TenantUsage {
        tenant: any(gen),
        keys: any(gen),
        requests: any(gen),
        rejected: any(gen),
    }
}

fn request_ids(gen: &mut Gen) -> Vec<RequestId> {
    let ids = Vec::<u64>::arbitrary(gen).into_iter();
    ids.map(RequestId).collect()
}

fn function_handover(gen: &mut Gen) -> FunctionHandover {
    FunctionHandover {
        function: any(gen),
        version: version(gen),
        runners: some(gen, |gen| RunnerHandover {
            update: runner_update(gen),
            is_up: any(gen),
            is_unreachable: any(gen),
            mean_response_ms: any(gen),
        }),
        leases: some(gen, |gen| GatewayLeases {
            gateway: any(gen),
            runners: some(gen, runner_leases),
        }),
    }
}

/// The place of the kind of a message about owners; a new kind of message fails the tests here.
pub fn kind_of(message: &Message) -> u8 {
    match message {
        Message::AcceptsOwnershipTables => 30,
        Message::OwnershipTable(_) => 31,
        Message::OwnershipChange(_) => 32,
        Message::RequestHandover(_) => 33,
        Message::SeatHandover(_) => 34,
        Message::ConfirmLeases(_) => 35,
        Message::LeasesEnded(_) => 36,
        Message::RelayedLeaseRequest(_) => 37,
        Message::SuspectedGateway { .. } => 38,
        Message::GatewayLeaving => 39,
        Message::LeaseRequestCancelled(_) => 40,
        Message::TenantLeaseRequest { .. } => 41,
        Message::RelayedTenantLeaseRequest { .. } => 42,
        Message::RequestTenantUsage => 43,
        Message::TenantUsage(_) => 44,
        other => unreachable!("no kind was given to {other:?}"),
    }
}
