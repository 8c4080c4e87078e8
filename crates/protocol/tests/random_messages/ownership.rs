//! Random messages about seat ownership and tenants.

use super::{lease_request, member, random, random_list, runner_leases, runner_update, version};
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
            members: random_list(gen, member),
            joined: random(gen),
            leaving: random(gen),
            is_first: random(gen),
        }),
        32 => Message::OwnershipChange(OwnershipChange {
            base: version(gen),
            version: version(gen),
            joined: random_list(gen, member),
            leaving: random(gen),
            left: random(gen),
        }),
        33 => Message::RequestHandover(version(gen)),
        34 => Message::SeatHandover(SeatHandover {
            version: version(gen),
            functions: random_list(gen, function_handover),
            is_last: random(gen),
        }),
        35 => Message::ConfirmLeases(request_ids(gen)),
        36 => Message::LeasesEnded(request_ids(gen)),
        37 => Message::RelayedLeaseRequest(relayed_request(gen)),
        38 => Message::SuspectedGateway {
            name: random(gen),
            incarnation: random(gen),
        },
        39 => Message::GatewayLeaving,
        40 => Message::LeaseRequestCancelled(RequestId(random(gen))),
        41..=44 => tenant_message(kind, gen),
        _ => unreachable!("not a kind of this group"),
    }
}

fn tenant_message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        41 => Message::TenantLeaseRequest {
            request: lease_request(gen),
            allowed_regions: random(gen),
            tenant: tenant(gen),
        },
        42 => Message::RelayedTenantLeaseRequest {
            relayed: relayed_request(gen),
            tenant: tenant(gen),
        },
        43 => Message::RequestTenantUsage,
        _ => Message::TenantUsage(random_list(gen, tenant_usage)),
    }
}

fn relayed_request(gen: &mut Gen) -> RelayedLeaseRequest {
    RelayedLeaseRequest {
        request: lease_request(gen),
        zone: random(gen),
        allowed_regions: random(gen),
    }
}

fn tenant(gen: &mut Gen) -> RequestTenant {
    RequestTenant {
        name: random(gen),
        priority: random(gen),
    }
}

fn tenant_usage(gen: &mut Gen) -> TenantUsage {
    TenantUsage {
        tenant: random(gen),
        keys: random(gen),
        requests: random(gen),
        rejected: random(gen),
    }
}

fn request_ids(gen: &mut Gen) -> Vec<RequestId> {
    let ids = Vec::<u64>::arbitrary(gen).into_iter();
    ids.map(RequestId).collect()
}

fn function_handover(gen: &mut Gen) -> FunctionHandover {
    FunctionHandover {
        function: random(gen),
        version: version(gen),
        runners: random_list(gen, |gen| RunnerHandover {
            update: runner_update(gen),
            is_up: random(gen),
            is_unreachable: random(gen),
            mean_response_ms: random(gen),
        }),
        leases: random_list(gen, |gen| GatewayLeases {
            gateway: random(gen),
            runners: random_list(gen, runner_leases),
        }),
    }
}

/// Returns the index of the kind of a message about ownership or tenants. Panics for a new kind that is missing here.
pub fn kind_index(message: &Message) -> u8 {
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
        other => unreachable!("no kind index for {other:?}"),
    }
}
