//! Which owners know a relayed lease request, so that its end is reported to all of them.

mod common;

use common::{lease_request, FUNCTION};
use protocol::{RequestId, SeatLease};
use seat_leases::{GatewayLeaseRequest, RelayedRequests};

const GATEWAY: &str = "gateway";

/// Relays a gateway's request to the owner `first`, which leases a seat to it.
fn leased_request(relayed: &mut RelayedRequests) -> RequestId {
    let original = GatewayLeaseRequest {
        gateway: GATEWAY.into(),
        zone: "north".into(),
        request: lease_request(1, 1),
    };
    let request_id = relayed
        .relay(0, "first", original)
        .into_request()
        .request_id;
    let lease = SeatLease {
        request_id,
        runner: "r".into(),
        address: "r:1".into(),
        zone: "north".into(),
    };
    let (to, lease) = relayed
        .record_lease("first", &lease)
        .expect("the lease is awaited");
    assert_eq!((to.as_str(), lease.request_id), (GATEWAY, RequestId(1)));
    request_id
}

#[test]
fn a_relayed_lease_ends_at_its_owner_and_at_all_owners_told_of_it() {
    let mut relayed = RelayedRequests::default();
    let id = leased_request(&mut relayed);
    // The next owner asks about the lease, and another one receives a report of all leases in use.
    assert!(relayed.report_lease("second", id));
    assert_eq!(relayed.report_leases("third", FUNCTION).len(), 1);
    let ended = relayed
        .end(GATEWAY, RequestId(1))
        .expect("the request is known");
    assert_eq!(ended.request_id, id);
    assert_eq!(ended.owners, ["first", "second", "third"]);
    assert!(relayed.is_empty());
}
