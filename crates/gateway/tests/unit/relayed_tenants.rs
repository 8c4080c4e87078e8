//! A relayed lease request keeps its tenant, waits with the tenant's priority and takes turns with other tenants.
//! Without the tenant, a relayed request would be served before all tenants of lower priority.

use crate::agreed_owners_tests::{Fleet, ASKER, OWNER};
use protocol::{
    FunctionUpdate, LeaseOutcome, LeaseRelease, LeaseRequest, Message, RelayedLeaseRequest,
    RequestId, RequestTenant, RunnerStage, RunnerUpdate, UpdateVersion,
};

const FIRST: u64 = 1;
const LESS_URGENT: u64 = 2;
const URGENT: u64 = 3;

fn tenant(name: &str, priority: u8) -> RequestTenant {
    RequestTenant {
        name: name.into(),
        priority,
    }
}

fn request(fleet: &Fleet, number: u64, tenant: RequestTenant) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(number),
        function: fleet.function.clone(),
        timeout_ms: 3_000,
        tenant: Some(tenant),
        ..LeaseRequest::default()
    }
}

/// Makes the gateway under test the owner of the function, whose only runner has one seat.
fn own_the_function(fleet: &mut Fleet) {
    let own = fleet.gateway.identity.clone();
    let table = protocol::OwnershipTable {
        version: UpdateVersion { term: 1, number: 2 },
        members: vec![own, fleet.asker.member()],
        leaving: vec![ASKER.into()],
        is_first: true,
        ..protocol::OwnershipTable::default()
    };
    let table = seat_leases::OwnershipTable::agreed(table);
    fleet.gateway.ownership_received(table);
    let update = FunctionUpdate {
        function: fleet.function.clone(),
        version: UpdateVersion { term: 1, number: 1 },
        runners: vec![RunnerUpdate {
            id: "runner-1".into(),
            address: "127.0.0.1:1".into(),
            zone: "zone-1".into(),
            quota: 1,
            stage: RunnerStage::Serving,
            starts_in_ms: 0,
        }],
        start_block: None,
    };
    let now = fleet.gateway.now;
    fleet.gateway.lease_owner.update_runners(now, update);
}

/// Delivers a request relayed by the gateway `asker`, as if received over its link.
fn relay(fleet: &mut Fleet, number: u64, tenant: RequestTenant) {
    let relayed =
        RelayedLeaseRequest::new(RequestId(number), "zone-1", request(fleet, number, tenant));
    let message = Message::relayed_lease_request(relayed, true);
    assert!(matches!(message, Message::RelayedTenantLeaseRequest { .. }));
    fleet.gateway.ownership_message(ASKER, message);
}

fn has_seat(fleet: &mut Fleet, number: u64) -> bool {
    let snapshot = fleet.gateway.lease_owner.snapshot();
    let mut leases = snapshot.leases.iter();
    leases.any(|lease| lease.request_id == RequestId(number))
}

#[test]
fn a_relayed_request_waits_with_its_tenants_priority() {
    let mut fleet = Fleet::new();
    own_the_function(&mut fleet);
    relay(&mut fleet, FIRST, tenant("first", 0));
    assert!(has_seat(&mut fleet, FIRST));
    relay(&mut fleet, LESS_URGENT, tenant("less-urgent", 5));
    relay(&mut fleet, URGENT, tenant("urgent", 1));
    let release = LeaseRelease {
        request_id: RequestId(FIRST),
        outcome: LeaseOutcome::Succeeded,
        duration_ms: 5,
    };
    fleet.gateway.release_placed_lease(ASKER, &release);
    assert!(has_seat(&mut fleet, URGENT));
    assert!(!has_seat(&mut fleet, LESS_URGENT));
}

#[test]
fn a_request_is_relayed_with_its_tenant_where_the_owner_understands_tenants() {
    let mut fleet = Fleet::new();
    fleet.gateway.send_to_peer(OWNER, &Message::Ping(0));
    let understands = protocol::TENANT_SUPPORT_FLAG;
    fleet.gateway.peers.record_pong(OWNER, understands);
    let lease_request = request(&fleet, FIRST, tenant("maker", 3));
    fleet
        .gateway
        .place_lease_request(ASKER, "zone-1", lease_request);
    let relayed = |message: &Message| match message {
        Message::RelayedTenantLeaseRequest { tenant, .. } => Some(tenant.clone()),
        _ => None,
    };
    fleet.wait_for("a relayed request", |fleet| {
        let mut received = fleet.owner.received.iter();
        received.any(|message| relayed(message).is_some())
    });
    let relayed_tenant = fleet.owner.received.iter().find_map(relayed);
    assert_eq!(relayed_tenant, Some(tenant("maker", 3)));
}
