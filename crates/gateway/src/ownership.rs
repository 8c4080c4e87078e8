//! Agreed ownership of functions' seats: hand-overs between owners, lease requests relayed to an owner that the
//! requesting gateway cannot reach, and the treatment of unresponsive owners.

use crate::gateway::Gateway;
use protocol::{
    LeaseRelease, LeaseRequest, Member, Message, RelayedLeaseRequest, RequestId, SeatHandover,
    SeatLease,
};
use seat_leases::{GatewayLeaseRequest, LeaseRequestEnd, RelayedId, SeatStatus};
use std::collections::BTreeSet;

/// Number of missed scaler heartbeats after which a gateway replaces an unresponsive owner without the scaler.
const SCALER_HEARTBEATS_MISSED: u64 = 3;

impl Gateway {
    /// Handles a message of another gateway about the ownership of seats.
    pub fn ownership_message(&mut self, name: &str, message: Message) {
        match message {
            Message::RelayedLeaseRequest(relayed) => self.relayed_request(name, relayed),
            Message::RelayedTenantLeaseRequest {
                mut relayed,
                tenant,
            } => {
                relayed.request.tenant = Some(tenant);
                self.relayed_request(name, relayed);
            }
            Message::LeaseRequestCancelled(id) => self.cancelled_requests.record_ack(name, id),
            Message::RequestHandover(version) => {
                self.lease_owner.handover_requested(name, version);
            }
            Message::SeatHandover(handover) => self.handover_received(name, handover),
            Message::ConfirmLeases(requests) => {
                let ended = self.confirm_held_leases(name, &requests);
                if !ended.is_empty() {
                    self.send_to_peer(name, &Message::LeasesEnded(ended));
                }
            }
            Message::LeasesEnded(requests) => {
                self.lease_owner.leases_ended(self.now, name, &requests);
            }
            other => self.job_message(name, other),
        }
    }

    fn relayed_request(&mut self, name: &str, relayed: RelayedLeaseRequest) {
        let zone = relayed.zone.clone();
        let request = relayed.into_request();
        self.lease_owner
            .request_lease(self.now, name, &zone, request);
    }

    /// Places a lease request of a gateway, which may be this one: in the local queue of the function, or with its
    /// owner. If the owner is unreachable, the request waits here until the ownership table names another owner.
    pub fn place_lease_request(&mut self, gateway: &str, zone: &str, request: LeaseRequest) {
        let owner = match self.lease_owner.seat_status(&request.function) {
            SeatStatus::OwnedBy(owner) if owner != gateway => Some(owner.clone()),
            _ => None,
        };
        let owner = owner.filter(|owner| self.may_relay_to(owner));
        let Some(owner) = owner else {
            self.lease_owner
                .request_lease(self.now, gateway, zone, request);
            return;
        };
        let original = GatewayLeaseRequest {
            gateway: gateway.into(),
            zone: zone.into(),
            request,
        };
        self.relay(&owner, original);
    }

    fn may_relay_to(&self, owner: &str) -> bool {
        self.relayed_requests.has_room() && !self.peers.is_suspect(owner, self.now)
    }

    fn relay(&mut self, owner: &str, original: GatewayLeaseRequest) {
        let id = original.request.request_id;
        self.end_relay(&original.gateway, &LeaseRequestEnd::Cancel(id));
        let message = self.relayed_requests.relay(self.now, owner, original);
        let understands_tenants = self.peers.understands_tenants(owner);
        let message = Message::relayed_lease_request(message, understands_tenants);
        self.send_to_peer(owner, &message);
    }

    /// Cancels a gateway's lease request.
    pub fn cancel_placed_request(&mut self, gateway: &str, id: RequestId) {
        self.end_placed_request(gateway, &LeaseRequestEnd::Cancel(id));
    }

    /// Cancels another gateway's lease request and acknowledges it if that gateway is a member of an agreed table.
    pub fn peer_cancelled(&mut self, name: &str, id: RequestId) {
        self.cancel_placed_request(name, id);
        if self.agreed_member(name).is_some() {
            self.send_to_peer(name, &Message::LeaseRequestCancelled(id));
        }
    }

    /// Releases a gateway's lease.
    pub fn release_placed_lease(&mut self, gateway: &str, release: &LeaseRelease) {
        self.end_placed_request(gateway, &LeaseRequestEnd::Release(release.clone()));
    }

    fn end_placed_request(&mut self, gateway: &str, end: &LeaseRequestEnd) {
        self.lease_owner.end_request(self.now, gateway, end);
        self.end_relay(gateway, end);
    }

    /// Ends a relayed request at all owners that know it and, if that is another gateway, at the function's current
    /// owner.
    fn end_relay(&mut self, gateway: &str, end: &LeaseRequestEnd) {
        let Some(relayed) = self.relayed_requests.end(gateway, end.request_id()) else {
            return;
        };
        let end = end.with_request_id(relayed.request_id);
        let current = self.owner_of(&relayed.function);
        let current = current.filter(|owner| !relayed.owners.contains(owner));
        for owner in relayed.owners.into_iter().chain(current) {
            self.end_relay_at(&owner, &end);
        }
    }

    /// Ends a relayed request at an owner, which may be this gateway if it has become the function's owner meanwhile.
    fn end_relay_at(&mut self, owner: &str, end: &LeaseRequestEnd) {
        if owner == self.options.name {
            self.lease_owner.end_request(self.now, owner, end);
        } else {
            self.send_to_peer(owner, &end.clone().into_message());
        }
    }

    /// Handles a lease granted by an owner, for a request of this gateway or for a relayed one.
    pub fn lease_received(&mut self, owner: &str, lease: SeatLease) {
        if self
            .cancelled_requests
            .is_cancelled(owner, lease.request_id)
        {
            return;
        }
        match self.relayed_requests.record_lease(owner, &lease) {
            Some((gateway, lease)) => self.deliver_lease(&gateway, lease),
            None => self.lease_granted(owner, lease),
        }
    }

    /// Handles a rejection by an owner, of a request of this gateway or of a relayed one.
    pub fn rejection_received(&mut self, owner: &str, id: RequestId, retry_after_ms: u32) {
        if self.cancelled_requests.is_cancelled(owner, id) {
            return;
        }
        match self.relayed_requests.record_rejection(owner, id) {
            Some((gateway, id)) => self.reject_lease_request(&gateway, id, retry_after_ms),
            None => self.lease_rejected(id, retry_after_ms),
        }
    }

    /// Ends all relaying for and to a gateway whose link has ended.
    pub fn end_relays_with(&mut self, name: &str) {
        let cancelled = self.relayed_requests.remove_gateway(self.now, name);
        self.cancel_relayed(cancelled);
        for waiting in self.relayed_requests.remove_owner(self.now, name) {
            self.place_lease_request(&waiting.gateway, &waiting.zone, waiting.request);
        }
    }

    /// Cancels relayed requests at all owners that know them.
    fn cancel_relayed(&mut self, relayed: Vec<RelayedId>) {
        for RelayedId {
            owners, request_id, ..
        } in relayed
        {
            for owner in owners {
                self.end_relay_at(&owner, &LeaseRequestEnd::Cancel(request_id));
            }
        }
    }

    /// Places relayed requests again whose function has a different owner now.
    pub fn move_relayed_requests(&mut self) {
        let lease_owner = &mut self.lease_owner;
        let is_owner = |function: &str, owner: &str| matches!(lease_owner.seat_status(function), SeatStatus::OwnedBy(name) if name == owner);
        for (relayed, waiting) in self.relayed_requests.take_moved(self.now, is_owner) {
            self.cancel_relayed(vec![relayed]);
            self.place_lease_request(&waiting.gateway, &waiting.zone, waiting.request);
        }
    }

    /// Accepts or refuses the seats that a former owner hands over.
    pub fn handover_received(&mut self, from: &str, handover: SeatHandover) {
        if let Err(refusal) = self.lease_owner.receive_handover(self.now, from, handover) {
            log::info!("gateway: hand-over refused gateway={from} reason={refusal}");
        }
    }

    /// Asks a gateway whether it still holds leases that were handed over.
    pub fn confirm_leases(&mut self, gateway: &str, requests: Vec<RequestId>) {
        if gateway == self.options.name {
            let ended = self.confirm_held_leases(gateway, &requests);
            self.lease_owner.leases_ended(self.now, gateway, &ended);
        } else {
            self.send_to_peer(gateway, &Message::ConfirmLeases(requests));
        }
    }

    /// Checks the leases that were handed over to an owner. Returns the requests that neither hold a lease nor wait
    /// for one from another owner, whose lease may still be in transit. The owner is recorded with those that hold
    /// one, so that they release it there too.
    pub fn confirm_held_leases(&mut self, owner: &str, requests: &[RequestId]) -> Vec<RequestId> {
        let mut ended = Vec::new();
        for id in requests {
            let may_be_held = match self.requests.get(*id) {
                Some(request) => {
                    request.lease_reported(owner);
                    let awaited = request.awaited_owner();
                    request.attempt().is_some() || awaited.is_some_and(|(other, _)| other != owner)
                }
                None => self.relayed_requests.report_lease(owner, *id),
            };
            if !may_be_held {
                ended.push(*id);
            }
        }
        ended
    }

    /// Reports an unresponsive gateway to the scaler, which then checks it.
    pub fn report_suspected_gateway(&mut self, name: &str) {
        let Some(member) = self.agreed_member(name) else {
            return;
        };
        let message = Message::SuspectedGateway {
            name: name.into(),
            incarnation: member.incarnation,
        };
        if let Some(scaler) = self.reachable_scaler() {
            self.send_to_controller(&scaler, &message);
        }
    }

    /// The member with this name, if the ownership table is agreed.
    fn agreed_member(&self, name: &str) -> Option<&Member> {
        self.configuration.agreed_owners()?.member(name)
    }

    fn reachable_scaler(&self) -> Option<String> {
        self.controllers
            .reachable_scaler(self.now, self.scaler_silence_ms())
    }

    fn scaler_silence_ms(&self) -> u64 {
        self.options.heartbeat_ms() * SCALER_HEARTBEATS_MISSED
    }

    /// Whether only the scaler may replace an unresponsive owner.
    pub fn waits_for_scaler(&self) -> bool {
        self.configuration.agreed_owners().is_some() && self.reachable_scaler().is_some()
    }

    /// Periodic work: acts for unresponsive owners while no scaler is reachable, and relays waiting requests to
    /// owners that are reachable again.
    pub fn maintain_ownership(&mut self) {
        if self.is_draining() {
            self.announce_leaving();
        }
        let failover_for: BTreeSet<String> = match self.waits_for_scaler() {
            true => BTreeSet::new(),
            false => self.peers.suspects(self.now).cloned().collect(),
        };
        self.lease_owner.set_failover_for(self.now, failover_for);
        let is_scaler_reachable = self
            .controllers
            .is_scaler_reachable(self.now, self.scaler_silence_ms());
        self.lease_owner
            .set_scaler_reachable(self.now, is_scaler_reachable);
        let expired = self.relayed_requests.take_expired(self.now);
        self.cancel_relayed(expired);
        let (peers, now) = (&self.peers, self.now);
        let has_room = self.relayed_requests.has_room();
        let is_reachable = |owner: &str| has_room && !peers.is_suspect(owner, now);
        for (owner, waiting) in self
            .lease_owner
            .take_waiting_for_other_owners(now, is_reachable)
        {
            self.relay(&owner, waiting);
        }
    }
}
