//! Lease requests that a gateway passes on for another one: which owners know of them, so that they end everywhere.

mod common;

use common::{lease_request, FUNCTION};
use protocol::{RequestId, SeatLease};
use seat_leases::{GatewayLeaseRequest, RelayedRequests};

const GATEWAY: &str = "gateway";

/// A request of a gateway that is passed on to the owner `first`, which has leased a seat for it.
fn granted(relayed: &mut RelayedRequests) -> RequestId {
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
        .expect("it is awaited");
    assert_eq!((to.as_str(), lease.request_id), (GATEWAY, RequestId(1)));
    request_id
}

#[test]
fn a_relayed_lease_ends_at_the_owner_that_granted_it_and_at_all_that_were_told_of_it() {
    let mut relayed = RelayedRequests::default();
    let id = granted(&mut relayed);
    // The next owner asks about the lease, and another one is told all that are in use.
    assert!(relayed.report_lease("second", id));
    assert_eq!(relayed.report_leases("third", FUNCTION).len(), 1);
    let ended = relayed.end(GATEWAY, RequestId(1)).expect("it is known");
    assert_eq!(ended.request_id, id);
    assert_eq!(ended.owners, ["first", "second", "third"]);
    assert!(relayed.is_empty());
}
