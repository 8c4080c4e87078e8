//! Messages to and from other gateways, and liveness checks of owners whose responses are awaited.

use crate::connections::ConnectionRole;
use crate::gateway::{Gateway, LINK_BUFFER_MAX};
use crate::peer_links::{HelloOutcome, Liveness, PING_AFTER_MS};
use event_loop::ConnectionId;
use protocol::{frame, take_frames, Member, Message, TENANT_SUPPORT_FLAG};

impl Gateway {
    /// Queues a message to another gateway, and opens the link if there is none.
    pub fn send_to_peer(&mut self, name: &str, message: &Message) {
        if !self.peers.contains(name) && !self.connect_to_peer(name) {
            return;
        }
        self.peers.queue(name, message);
    }

    fn connect_to_peer(&mut self, name: &str) -> bool {
        let Some(member) = self.configuration.member(name) else {
            return false;
        };
        let incarnation = member.incarnation;
        let role = ConnectionRole::Peer(Some(name.into()));
        let connection = self
            .connections
            .connect(&member.address, LINK_BUFFER_MAX, role);
        let Some(connection) = connection else {
            return false;
        };
        let hello = frame(&Message::GatewayHello(self.identity.clone()));
        self.connections.send(connection, &hello);
        self.peers.add(name, incarnation, connection, self.now);
        self.request_peer_capabilities(name);
        self.report_leases_over_new_link(name);
        true
    }

    /// Sends the messages queued for other gateways.
    pub fn flush_peers(&mut self) {
        self.peers.flush(&mut self.connections);
    }

    /// Handles bytes received from another daemon.
    pub fn link_readable(&mut self, id: ConnectionId) {
        let Some(buffer) = self.connections.read_buffer(id) else {
            return;
        };
        let (messages, error) = take_frames::<Message>(buffer);
        for message in messages {
            self.link_message(id, message);
        }
        if let Some(error) = error {
            log::warn!("gateway: peer link closed error={error}");
            self.link_closed(id);
            self.connections.close(id);
        }
    }

    fn link_message(&mut self, id: ConnectionId, message: Message) {
        match self.connections.role(id) {
            Some(ConnectionRole::Controller(address)) => {
                let address = address.clone();
                self.controller_message(&address, message);
            }
            Some(ConnectionRole::Peer(Some(name))) => {
                let name = name.clone();
                self.peer_message(&name, message);
            }
            Some(ConnectionRole::Peer(None)) => self.first_message(id, message),
            _ => {}
        }
    }

    /// Handles a message on a connection whose peer has not sent its name: another gateway or an operator's tool.
    fn first_message(&mut self, id: ConnectionId, message: Message) {
        match message {
            Message::GatewayHello(member) => self.hello_received(id, &member),
            Message::RequestStatus => {
                let status = Message::Status(self.status());
                self.connections.send(id, &frame(&status));
            }
            Message::RequestTenantUsage => {
                let tenants = self.configuration.tenants();
                let usage = self.tenant_counts.usage(tenants.as_ref());
                let answer = frame(&Message::TenantUsage(usage));
                self.connections.send(id, &answer);
            }
            _ => {}
        }
    }

    fn hello_received(&mut self, id: ConnectionId, member: &Member) {
        let (name, incarnation) = (&member.name, member.incarnation);
        let outcome = self.peers.classify_hello(name, incarnation, self.now);
        if outcome == HelloOutcome::Replacement {
            log::info!("gateway: peer link replaced gateway={name} incarnation={incarnation:x}");
            self.peer_died(name);
        }
        let role = ConnectionRole::Peer(Some(name.clone()));
        self.connections.set_role(id, role);
        if outcome != HelloOutcome::Duplicate {
            self.peers.add(name, incarnation, id, self.now);
            self.peers.record_heard(name, self.now);
            self.request_peer_capabilities(name);
            self.report_leases_over_new_link(name);
        }
    }

    /// Pings a peer, whose pong announces its capabilities. Until then it is assumed not to support tenants.
    fn request_peer_capabilities(&mut self, name: &str) {
        self.peers.queue(name, &Message::Ping(self.now));
    }

    fn peer_message(&mut self, name: &str, message: Message) {
        self.peers.record_heard(name, self.now);
        match message {
            request @ (Message::LeaseRequest(_)
            | Message::RestrictedLeaseRequest { .. }
            | Message::TenantLeaseRequest { .. }) => self.peer_requested_lease(name, request),
            Message::CancelRequest(id) => self.peer_cancelled(name, id),
            Message::LeaseRelease(release) => self.release_placed_lease(name, &release),
            Message::LeasesInUse { function, runners } => {
                self.lease_owner
                    .adopt_leases(self.now, name, &function, &runners);
            }
            Message::SeatLease(lease) => self.lease_received(name, lease),
            Message::Reject {
                request_id,
                retry_after_ms,
            } => self.rejection_received(name, request_id, retry_after_ms),
            Message::Ping(number) => {
                let answer = Message::Pong(number | TENANT_SUPPORT_FLAG);
                self.send_to_peer(name, &answer);
            }
            Message::Pong(number) => self.peers.record_pong(name, number),
            other => self.ownership_message(name, other),
        }
    }

    fn peer_requested_lease(&mut self, name: &str, message: Message) {
        let Some(request) = message.into_lease_request() else {
            return;
        };
        let member = self.configuration.member(name);
        let zone = member.map_or_else(String::new, |member| member.zone.clone());
        self.lease_requested(name, &zone, request);
    }

    /// Checks whether the owners whose responses are awaited are alive.
    pub fn check_awaited_owners(&mut self) {
        for name in self.awaited_owners() {
            match self.peers.check_liveness(&name, self.now) {
                Liveness::Alive => {}
                Liveness::Overdue => self.report_suspected_gateway(&name),
                Liveness::Disconnected => self.peer_died(&name),
                Liveness::Silent => {
                    log::warn!("gateway: peer timed out gateway={name}");
                    self.peer_died(&name);
                }
            }
        }
    }

    /// Other gateways whose response has been awaited long enough for a ping.
    fn awaited_owners(&self) -> Vec<String> {
        let overdue_since = self.now.saturating_sub(PING_AFTER_MS);
        let relayed = self.relayed_requests.awaited_owners(overdue_since);
        let mut owners: Vec<String> = relayed.map(String::from).collect();
        for request in self.requests.iter() {
            let Some((owner, since)) = request.awaited_owner() else {
                continue;
            };
            let is_overdue = since + PING_AFTER_MS <= self.now;
            if is_overdue && *owner != self.options.name && !owners.contains(owner) {
                owners.push(owner.clone());
            }
        }
        owners
    }

    /// Considers another gateway dead: releases its seats and moves requests that wait for it elsewhere.
    fn peer_died(&mut self, name: &str) {
        self.peers.suspect(name, self.now);
        for connection in self.connections.with_peer(name) {
            self.connections.close(connection);
        }
        self.lease_owner.gateway_disconnected(self.now, name);
        self.jobs.gateway_lost(self.now, name);
        self.end_relays_with(name);
        self.cancelled_requests.remove_owner(name);
        self.report_suspected_gateway(name);
        self.move_to_new_owners();
    }

    /// Handles the end of a link to another daemon.
    pub fn link_closed(&mut self, id: ConnectionId) {
        match self.connections.role(id) {
            Some(ConnectionRole::Controller(address)) => self.controllers.ended(address),
            // This also applies if another link to the peer is in use: links may be accepted in another order than
            // they were opened, and messages over both may concern the same requests. Once all links have ended, the
            // state is agreed anew.
            Some(ConnectionRole::Peer(Some(name))) => {
                let name = name.clone();
                self.peer_died(&name);
            }
            _ => {}
        }
    }
}
