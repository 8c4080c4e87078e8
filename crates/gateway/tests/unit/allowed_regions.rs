//! A gateway never sends a request outside the regions that its route allows, whatever lease an owner grants.

use crate::connection_reuse_tests::{options, pending_request};
use crate::connections::ConnectionRole;
use crate::downstream_connection::DownstreamConnection;
use crate::gateway::Gateway;
use crate::pending_request::RequestPhase;
use locality::Topology;
use protocol::{RequestId, SeatLease};
use std::net::{Ipv4Addr, TcpListener};

/// A gateway with a request that is restricted to region `home` and waits for an owner's lease.
struct RestrictedRequest {
    gateway: Gateway,
    runner: TcpListener,
    owner: String,
    id: RequestId,
}

impl RestrictedRequest {
    fn new() -> Self {
        let zones = [("home-1", "home"), ("away-1", "away")];
        let regions = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        let mut options = options();
        options.topology = Topology::new(regions.into());
        let mut gateway = Gateway::open(options).unwrap();
        let runner = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let client = ConnectionRole::Downstream(DownstreamConnection::accepted(0));
        let address = runner.local_addr().unwrap().to_string();
        let downstream = gateway.connections.connect(&address, 1 << 10, client);
        let owner = gateway.identity.name.clone();
        let mut pending = pending_request(downstream, false);
        pending.allowed_regions = vec!["home".into()];
        pending.phase = RequestPhase::AwaitingLease {
            owner: owner.clone(),
            since: 0,
        };
        let id = gateway.requests.add(pending);
        let connection = downstream.and_then(|one| gateway.connections.downstream(one));
        connection.expect("a client").request = Some(id);
        Self {
            gateway,
            runner,
            owner,
            id,
        }
    }

    fn lease_in(&mut self, zone: &str) {
        let lease = SeatLease {
            request_id: self.id,
            runner: "runner-1".into(),
            address: self.runner.local_addr().unwrap().to_string(),
            zone: zone.into(),
        };
        let owner = self.owner.clone();
        self.gateway.lease_granted(&owner, lease);
    }

    fn is_upstream(&mut self) -> bool {
        let request = self.gateway.requests.get(self.id);
        request.is_some_and(|request| request.attempt().is_some())
    }
}

#[test]
fn a_lease_within_the_allowed_regions_is_used() {
    let mut restricted = RestrictedRequest::new();
    restricted.lease_in("home-1");
    assert!(restricted.is_upstream());
}

#[test]
fn a_lease_in_another_region_or_an_unknown_zone_ends_the_request() {
    for zone in ["away-1", "unknown", ""] {
        let mut restricted = RestrictedRequest::new();
        restricted.lease_in(zone);
        assert!(
            !restricted.is_upstream(),
            "the request was sent to zone {zone:?}"
        );
        assert!(restricted.gateway.requests.get(restricted.id).is_none());
    }
}
