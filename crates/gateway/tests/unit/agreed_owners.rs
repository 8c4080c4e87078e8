//! Under an agreed ownership table, a gateway relays lease requests of a gateway that cannot reach the owner, reports
//! unresponsive owners to the scaler, and does not replace an owner while a scaler is reachable.

use crate::connection_reuse_tests::{options, pending_request};
use crate::controller_links::ControllerState;
use crate::gateway::Gateway;
use crate::owner_links_tests::SimulatedPeer;
use crate::pending_request::RequestPhase;
use event_loop::Event;
use protocol::{
    LeaseOutcome, LeaseRelease, LeaseRequest, Message, OwnershipTable, RequestId, SeatLease,
    UpdateVersion,
};
use std::time::{Duration, Instant};

const POLL_TIMEOUT: Duration = Duration::from_millis(5);
const MESSAGE_WITHIN: Duration = Duration::from_secs(5);
pub(crate) const ASKER: &str = "asker";
pub(crate) const OWNER: &str = "owner";
const ORIGINAL_ID: RequestId = RequestId(7);

/// A gateway under test, a scaler, and two other gateways, one of which owns a function.
pub(crate) struct Fleet {
    pub(crate) gateway: Gateway,
    pub(crate) asker: SimulatedPeer,
    pub(crate) owner: SimulatedPeer,
    pub(crate) scaler: SimulatedPeer,
    /// A function owned by `owner`.
    pub(crate) function: String,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        let mut gateway = Gateway::open(options()).unwrap();
        let (asker, owner) = (SimulatedPeer::new(ASKER), SimulatedPeer::new(OWNER));
        let table = OwnershipTable {
            version: UpdateVersion { term: 1, number: 1 },
            members: vec![gateway.identity.clone(), asker.member(), owner.member()],
            joined: vec![gateway.identity.name.clone(), ASKER.into(), OWNER.into()],
            is_first: true,
            ..OwnershipTable::default()
        };
        gateway.ownership_received(seat_leases::OwnershipTable::agreed(table));
        let table = gateway.configuration.ownership().unwrap();
        let names = (0..).map(|number| format!("function-{number}"));
        let owned = |name: &String| {
            let owner = table.owner_of(name);
            owner.is_some_and(|owner| owner.name == OWNER)
        };
        let function = names.into_iter().find(owned).unwrap();
        Self {
            gateway,
            asker,
            owner,
            scaler: SimulatedPeer::new("scaler"),
            function,
        }
    }

    /// Connects the gateway to a scaler that sends heartbeats.
    pub(crate) fn connect_scaler(&mut self) {
        let address = self.scaler.member().address;
        self.gateway.now = 10_000;
        let controllers = &mut self.gateway.controllers;
        controllers.add(std::iter::once(address.clone()));
        self.gateway.maintain_controller_links();
        let controllers = &mut self.gateway.controllers;
        controllers.record_heard(&address, 10_000);
        controllers.record_understands_ownership(&address);
        let state = ControllerState {
            versions: Default::default(),
            term: 1,
            zone: String::new(),
            is_current: true,
        };
        controllers.record_heartbeat(&address, state);
    }

    fn place_request(&mut self) {
        let request = LeaseRequest {
            request_id: ORIGINAL_ID,
            function: self.function.clone(),
            timeout_ms: 3_000,
            ..LeaseRequest::default()
        };
        self.gateway.place_lease_request(ASKER, "zone-1", request);
    }

    pub(crate) fn wait_for(&mut self, what: &str, is_met: impl Fn(&Self) -> bool) {
        let until = Instant::now() + MESSAGE_WITHIN;
        let mut events: Vec<Event> = Vec::new();
        while !is_met(self) {
            assert!(
                Instant::now() < until,
                "{what}: not within {MESSAGE_WITHIN:?}"
            );
            self.gateway.flush_peers();
            self.gateway.connections.poll(POLL_TIMEOUT, &mut events);
            for peer in [&mut self.asker, &mut self.owner, &mut self.scaler] {
                peer.read();
            }
        }
    }

    /// The id under which the owner knows the relayed request.
    fn relayed_id(&mut self) -> RequestId {
        let relayed = |message: &Message| match message {
            Message::RelayedLeaseRequest(relayed) => Some(relayed.request.request_id),
            _ => None,
        };
        self.wait_for("a relayed request", |fleet| {
            fleet
                .owner
                .received
                .iter()
                .any(|one| relayed(one).is_some())
        });
        self.owner.received.iter().find_map(relayed).unwrap()
    }
}

#[test]
fn a_relayed_request_gets_its_lease_through_the_relaying_gateway() {
    let mut fleet = Fleet::new();
    fleet.place_request();
    let relayed_id = fleet.relayed_id();
    assert_ne!(relayed_id, ORIGINAL_ID);
    let lease = SeatLease {
        request_id: relayed_id,
        runner: "runner-1".into(),
        ..SeatLease::default()
    };
    fleet.gateway.lease_received(OWNER, lease);
    fleet.wait_for("a lease", |fleet| {
        let leased = |message: &Message| matches!(message, Message::SeatLease(lease) if lease.request_id == ORIGINAL_ID);
        fleet.asker.received.iter().any(leased)
    });
    let release = LeaseRelease {
        request_id: ORIGINAL_ID,
        outcome: LeaseOutcome::Succeeded,
        duration_ms: 5,
    };
    fleet.gateway.release_placed_lease(ASKER, &release);
    fleet.wait_for("a release", |fleet| {
        let released = |message: &Message| matches!(message, Message::LeaseRelease(release) if release.request_id == relayed_id);
        fleet.owner.received.iter().any(released)
    });
    assert!(fleet.gateway.relayed_requests.is_empty());
}

#[test]
fn a_lease_from_a_gateway_other_than_the_requested_owner_is_not_relayed() {
    let mut fleet = Fleet::new();
    fleet.place_request();
    let lease = SeatLease {
        request_id: fleet.relayed_id(),
        ..SeatLease::default()
    };
    fleet.gateway.lease_received("stranger", lease);
    assert_eq!(fleet.gateway.relayed_requests.len(), 1);
    fleet.gateway.flush_peers();
    assert!(fleet.asker.received.is_empty());
}

#[test]
fn an_unresponsive_owner_is_reported_to_the_scaler_and_reached_through_a_relay() {
    let mut fleet = Fleet::new();
    fleet.connect_scaler();
    let now = fleet.gateway.now;
    fleet.gateway.peers.suspect(OWNER, now);
    fleet.gateway.report_suspected_gateway(OWNER);
    let function = fleet.function.clone();
    assert_eq!(fleet.gateway.owner_of(&function).as_deref(), Some(ASKER));
    fleet.wait_for("a suspicion", |fleet| {
        let suspected = |message: &Message| matches!(message, Message::SuspectedGateway { name, .. } if name == OWNER);
        fleet.scaler.received.iter().any(suspected)
    });
}

#[test]
fn an_unresponsive_owner_is_not_replaced_while_a_scaler_is_reachable() {
    let mut fleet = Fleet::new();
    fleet.connect_scaler();
    let now = fleet.gateway.now;
    fleet.gateway.peers.suspect(OWNER, now);
    fleet.gateway.peers.suspect(ASKER, now);
    fleet.gateway.maintain_ownership();
    let function = fleet.function.clone();
    let status = fleet.gateway.lease_owner.seat_status(&function);
    assert_eq!(*status, seat_leases::SeatStatus::OwnedBy(OWNER.into()));
    // Without a reachable scaler, it is replaced.
    fleet.gateway.now += 3 * fleet.gateway.options.heartbeat_ms();
    let now = fleet.gateway.now;
    fleet.gateway.peers.suspect(OWNER, now);
    fleet.gateway.peers.suspect(ASKER, now);
    fleet.gateway.maintain_ownership();
    let status = fleet.gateway.lease_owner.seat_status(&function);
    assert_eq!(*status, seat_leases::SeatStatus::Owned);
}

#[test]
fn controllers_that_support_it_are_notified_once_of_a_stopping_gateway() {
    let mut fleet = Fleet::new();
    fleet.connect_scaler();
    fleet.gateway.announce_leaving();
    fleet.wait_for("the announcement", |fleet| {
        fleet.scaler.received.contains(&Message::GatewayLeaving)
    });
    assert!(fleet
        .gateway
        .controllers
        .take_unnotified_of_leaving()
        .is_empty());
}

#[test]
fn a_request_awaiting_another_owners_lease_is_not_reported_as_ended() {
    let mut fleet = Fleet::new();
    let mut pending = pending_request(None, true);
    pending.phase = RequestPhase::AwaitingLease {
        owner: OWNER.into(),
        since: 0,
    };
    let awaiting = fleet.gateway.requests.add(pending);
    let unknown = RequestId(1 << 40);
    let ended = fleet
        .gateway
        .confirm_held_leases(ASKER, &[awaiting, unknown]);
    assert_eq!(ended, [unknown]);
    let ended = fleet.gateway.confirm_held_leases(OWNER, &[awaiting]);
    assert_eq!(ended, [awaiting]);
}
