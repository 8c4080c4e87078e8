//! The agreed ownership of functions' seats at this gateway: hand-overs between owners, lease requests that are relayed to an owner which
//! their gateway cannot hear, and what is done about owners that are silent.

use crate::gateway::Gateway;
use protocol::{
    LeaseRelease, LeaseRequest, Member, Message, RelayedLeaseRequest, RequestId, SeatHandover,
    SeatLease,
};
use seat_leases::{GatewayLeaseRequest, LeaseRequestEnd, RelayedId, SeatStatus};
use std::collections::BTreeSet;

/// Heartbeats of the scaler that may be missed before a silent owner's place is taken without it.
const SCALER_HEARTBEATS_MISSED: u64 = 3;

impl Gateway {
    /// A message of another gateway about the ownership of seats.
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

    /// Places a lease request of a gateway, which may be this one: in the queue of the function here, or with its owner. Where the owner
    /// cannot be heard it waits here until the table names another one.
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

    /// A gateway's request wants no seat any more.
    pub fn cancel_placed_request(&mut self, gateway: &str, id: RequestId) {
        self.end_placed_request(gateway, &LeaseRequestEnd::Cancel(id));
    }

    /// Another gateway's request wants no seat any more, which is acknowledged where that is understood.
    pub fn peer_cancelled(&mut self, name: &str, id: RequestId) {
        self.cancel_placed_request(name, id);
        if self.agreed_member(name).is_some() {
            self.send_to_peer(name, &Message::LeaseRequestCancelled(id));
        }
    }

    /// A gateway gives a seat back.
    pub fn release_placed_lease(&mut self, gateway: &str, release: &LeaseRelease) {
        self.end_placed_request(gateway, &LeaseRequestEnd::Release(release.clone()));
    }

    fn end_placed_request(&mut self, gateway: &str, end: &LeaseRequestEnd) {
        self.lease_owner.end_request(self.now, gateway, end);
        self.end_relay(gateway, end);
    }

    /// Ends a relayed request at its owner, and at the function's owner where that is another one by now.
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

    /// Ends a relayed request at an owner, which may be this gateway: its function may have fallen to it meanwhile.
    fn end_relay_at(&mut self, owner: &str, end: &LeaseRequestEnd) {
        if owner == self.options.name {
            self.lease_owner.end_request(self.now, owner, end);
        } else {
            self.send_to_peer(owner, &end.clone().into_message());
        }
    }

    /// An owner has leased a seat, for a request of this gateway or for one that is relayed.
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

    /// An owner has rejected a request of this gateway or one that is relayed.
    pub fn rejection_received(&mut self, owner: &str, id: RequestId, retry_after_ms: u32) {
        if self.cancelled_requests.is_cancelled(owner, id) {
            return;
        }
        match self.relayed_requests.record_rejection(owner, id) {
            Some((gateway, id)) => self.reject_lease_request(&gateway, id, retry_after_ms),
            None => self.lease_rejected(id, retry_after_ms),
        }
    }

    /// The link with a gateway has ended: nothing is relayed for it or to it any more.
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

    /// Places relayed requests anew whose function has another owner.
    pub fn move_relayed_requests(&mut self) {
        let lease_owner = &mut self.lease_owner;
        let is_owner = |function: &str, owner: &str| matches!(lease_owner.seat_status(function), SeatStatus::OwnedBy(name) if name == owner);
        for (relayed, waiting) in self.relayed_requests.take_moved(self.now, is_owner) {
            self.cancel_relayed(vec![relayed]);
            self.place_lease_request(&waiting.gateway, &waiting.zone, waiting.request);
        }
    }

    /// A former owner hands seats over.
    pub fn handover_received(&mut self, from: &str, handover: SeatHandover) {
        if let Err(refusal) = self.lease_owner.receive_handover(self.now, from, handover) {
            log::info!("gateway: hand-over refused gateway={from} reason={refusal}");
        }
    }

    /// Asks a gateway whether it holds leases that were handed over.
    pub fn confirm_leases(&mut self, gateway: &str, requests: Vec<RequestId>) {
        if gateway == self.options.name {
            let ended = self.confirm_held_leases(gateway, &requests);
            self.lease_owner.leases_ended(self.now, gateway, &ended);
        } else {
            self.send_to_peer(gateway, &Message::ConfirmLeases(requests));
        }
    }

    /// An owner was handed leases of these requests. Returns those that hold none and await none of another owner, whose lease may be on
    /// its way; those that hold one give it back to this owner too.
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

    /// Tells the scaler that a gateway is silent, so that it looks for itself.
    pub fn report_suspected_gateway(&mut self, name: &str) {
        let Some(member) = self.agreed_member(name) else {
            return;
        };
        let message = Message::SuspectedGateway {
            name: name.into(),
            incarnation: member.incarnation,
        };
        if let Some(scaler) = self.heard_scaler() {
            self.send_to_controller(&scaler, &message);
        }
    }

    /// The member of this name, where the table is agreed.
    fn agreed_member(&self, name: &str) -> Option<&Member> {
        self.configuration.agreed_owners()?.member(name)
    }

    fn heard_scaler(&self) -> Option<String> {
        self.controllers
            .heard_scaler(self.now, self.scaler_silence_ms())
    }

    fn scaler_silence_ms(&self) -> u64 {
        self.options.heartbeat_ms() * SCALER_HEARTBEATS_MISSED
    }

    /// Whether a silent owner is replaced by the scaler alone.
    pub fn waits_for_scaler(&self) -> bool {
        self.configuration.agreed_owners().is_some() && self.heard_scaler().is_some()
    }

    /// Periodic work: takes the place of silent owners while no controller scales, and passes waiting requests on to owners that are
    /// heard again.
    pub fn maintain_ownership(&mut self) {
        if self.is_draining() {
            self.announce_leaving();
        }
        let acts_for: BTreeSet<String> = match self.waits_for_scaler() {
            true => BTreeSet::new(),
            false => self.peers.suspects(self.now).cloned().collect(),
        };
        self.lease_owner.set_failover_for(self.now, acts_for);
        let is_scaler_heard = self
            .controllers
            .is_scaler_heard(self.now, self.scaler_silence_ms());
        self.lease_owner
            .set_scaler_reachable(self.now, is_scaler_heard);
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
