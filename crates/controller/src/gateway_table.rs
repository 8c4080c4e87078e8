//! The gateways that have a link to this controller.

use crate::controller_connections::ControllerConnections;
use crate::outbox::Outbox;
use crate::status::ControllerStatus;
use event_loop::ConnectionId;
use process_pause::ProcessPause;
use protocol::{frame, Member, Message, SentMessages, UpdateVersion};
use std::collections::{BTreeMap, HashMap};

/// Milliseconds within which a gateway that was heard is not pinged, whoever suspects it.
const HEARD_LATELY_MS: u64 = 100;
/// Milliseconds within which a suspected gateway must answer a ping.
const PING_TIMEOUT_MS: u64 = 200;

struct GatewayPeer {
    member: Member,
    outbox: Outbox,
    heard_at: u64,
    linked_at: u64,
    accepts_membership_changes: bool,
    accepts_ownership_tables: bool,
    /// Whether it is about to stop.
    is_leaving: bool,
    /// Version of the owners that it had at its last heartbeat.
    ownership_version: UpdateVersion,
    /// When it was pinged since others take it for silent; none since it was heard.
    suspected_at: Option<u64>,
}

/// What the publisher of the owners needs to know of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LinkedGateway {
    pub member: Member,
    pub accepts_ownership_tables: bool,
    pub is_leaving: bool,
    /// Version of the owners that it had at its last heartbeat.
    pub ownership_version: UpdateVersion,
}

/// The other parts of the controller that gateways work with.
pub(crate) struct GatewayContext<'a> {
    /// What heartbeats are made of.
    pub status: ControllerStatus<'a>,
    /// Connections, of which some are closed.
    pub connections: &'a mut ControllerConnections,
}

impl GatewayContext<'_> {
    /// Answers on a connection at once, whether or not it is known who is at its other end.
    pub fn reply(&mut self, connection: ConnectionId, message: &Message) {
        self.connections.send(connection, &frame(message));
    }
}

/// Gateways by name, with what waits to be sent to each, and the schedule of heartbeats to them.
#[derive(Default)]
pub(crate) struct GatewayTable {
    gateways: BTreeMap<String, GatewayPeer>,
    /// Rises with each change of what [`declared`](Self::declared) tells.
    revision: u64,
    /// Which gateway is at the other end of each connection, once it has said so.
    names: HashMap<ConnectionId, String>,
    heartbeat_at: u64,
    /// Whether the last heartbeat said that this controller is in contact with a majority.
    was_current: bool,
    /// Addresses of controllers that all gateways were told.
    announced_addresses: Vec<String>,
    sent: SentMessages,
}

impl GatewayTable {
    /// A gateway has said who it is. The connection that it had before is closed, and a heartbeat queued.
    pub fn register(
        &mut self,
        connection: ConnectionId,
        member: Member,
        context: &mut GatewayContext<'_>,
    ) {
        let name = member.name.clone();
        log::info!(
            "controller: gateway linked gateway={name} incarnation={:x}",
            member.incarnation
        );
        self.names.insert(connection, name.clone());
        let gateway = GatewayPeer {
            member,
            outbox: Outbox::new(connection),
            heard_at: context.status.now,
            linked_at: context.status.now,
            accepts_membership_changes: false,
            accepts_ownership_tables: false,
            is_leaving: false,
            ownership_version: UpdateVersion::default(),
            suspected_at: None,
        };
        self.revision += 1;
        let former = self.gateways.insert(name.clone(), gateway);
        let former = former.map(|former| former.outbox.connection());
        // A gateway may introduce itself again on the link that it has.
        if let Some(former) = former.filter(|former| *former != connection) {
            self.names.remove(&former);
            context.connections.close(former);
        }
        let addresses = context.status.controller_addresses();
        self.queue(&name, &context.status.heartbeat(addresses));
    }

    /// Something arrived on a connection. Returns the name of the gateway at its other end, once that is known.
    pub fn record_activity(&mut self, now: u64, connection: ConnectionId) -> Option<String> {
        let name = self.names.get(&connection)?;
        if let Some(gateway) = self.gateways.get_mut(name) {
            gateway.heard_at = now;
            gateway.suspected_at = None;
        }
        Some(name.clone())
    }

    /// The process stood still: what gateways sent meanwhile, answers to pings among it, is not read yet.
    pub fn process_paused(&mut self, pause: ProcessPause) {
        for gateway in self.gateways.values_mut() {
            gateway.heard_at = pause.restart(gateway.heard_at);
            gateway.suspected_at = gateway.suspected_at.map(|at| pause.restart(at));
        }
    }

    /// A gateway has said that it understands changes of the membership.
    pub fn accept_membership_changes(&mut self, name: &str) {
        if let Some(gateway) = self.gateways.get_mut(name) {
            gateway.accepts_membership_changes = true;
        }
    }

    /// Whether a gateway understands changes of the membership.
    pub fn accepts_membership_changes(&self, name: &str) -> bool {
        let gateway = self.gateways.get(name);
        gateway.is_some_and(|gateway| gateway.accepts_membership_changes)
    }

    /// A gateway has said that it understands agreed tables of owners.
    pub fn accept_ownership_tables(&mut self, name: &str) {
        if let Some(gateway) = self.gateways.get_mut(name) {
            self.revision += 1;
            gateway.accepts_ownership_tables = true;
        }
    }

    /// A gateway is about to stop.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(gateway) = self.gateways.get_mut(name) {
            log::info!("controller: gateway leaving gateway={name}");
            self.revision += 1;
            gateway.is_leaving = true;
        }
    }

    /// A gateway has told which owners it has in force.
    pub fn record_ownership_version(&mut self, name: &str, version: UpdateVersion) {
        if let Some(gateway) = self.gateways.get_mut(name) {
            gateway.ownership_version = version;
        }
    }

    /// Others take a gateway's incarnation for silent: it is pinged, unless it was heard just now.
    pub fn suspect(&mut self, now: u64, name: &str, incarnation: u64) {
        let Some(gateway) = self.gateways.get_mut(name) else {
            return;
        };
        let is_heard = now < gateway.heard_at + HEARD_LATELY_MS;
        let is_it = gateway.member.incarnation == incarnation && gateway.accepts_ownership_tables;
        if is_heard || !is_it || gateway.suspected_at.is_some() {
            return;
        }
        gateway.suspected_at = Some(now);
        self.queue(name, &Message::Ping(now));
    }

    /// Closes the links of suspected gateways that have not answered their ping. Returns their names.
    pub fn close_suspects(
        &mut self,
        now: u64,
        connections: &mut ControllerConnections,
    ) -> Vec<String> {
        let is_silent = |gateway: &GatewayPeer| {
            gateway
                .suspected_at
                .is_some_and(|at| now >= at + PING_TIMEOUT_MS)
        };
        self.close(is_silent, connections)
    }

    /// A connection has ended. Returns the name of the gateway that is gone with it.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<String> {
        let name = self.names.remove(&connection)?;
        let gateway = self.gateways.get(&name)?;
        if gateway.outbox.connection() != connection {
            return None;
        }
        self.revision += 1;
        self.gateways.remove(&name);
        Some(name)
    }

    /// Queues a message for a gateway; nothing where it has no link.
    pub fn queue(&mut self, name: &str, message: &Message) {
        self.queue_frame(name, &frame(message));
    }

    /// Queues a message that was framed once for several gateways.
    pub fn queue_frame(&mut self, name: &str, frame: &[u8]) {
        if let Some(gateway) = self.gateways.get_mut(name) {
            self.sent.record(frame);
            gateway.outbox.queue_frame(frame);
        }
    }

    /// What was sent to gateways.
    pub fn sent(&self) -> &SentMessages {
        &self.sent
    }

    /// Sends what was queued since the last flush, in one piece for each gateway.
    pub fn flush(&mut self, connections: &mut ControllerConnections) {
        for gateway in self.gateways.values_mut() {
            gateway.outbox.flush(connections);
        }
    }

    /// Whether the regular heartbeat is due.
    pub fn is_heartbeat_due(&self, now: u64, interval_ms: u64) -> bool {
        now >= self.heartbeat_at + interval_ms
    }

    /// Whether gateways do not know yet that contact with a majority has begun or ended.
    pub fn has_contact_changed(&self, is_current: bool) -> bool {
        is_current != self.was_current
    }

    /// Queues a heartbeat for all gateways but those that are silent: their links are closed, and their names returned.
    pub fn heartbeat(&mut self, context: &mut GatewayContext<'_>) -> Vec<String> {
        self.heartbeat_at = context.status.now;
        self.was_current = context.status.is_current();
        let addresses = self.take_changed_addresses(context);
        let heartbeat = frame(&context.status.heartbeat(addresses));
        let silent = self.close_silent(context);
        for gateway in self.gateways.values_mut() {
            self.sent.record(&heartbeat);
            gateway.outbox.queue_frame(&heartbeat);
        }
        silent
    }

    /// The addresses of controllers where they are others than all gateways were told, which are told them with this heartbeat.
    fn take_changed_addresses(&mut self, context: &GatewayContext<'_>) -> Vec<String> {
        let addresses = context.status.controller_addresses();
        if addresses == self.announced_addresses {
            return Vec::new();
        }
        self.announced_addresses.clone_from(&addresses);
        addresses
    }

    fn close_silent(&mut self, context: &mut GatewayContext<'_>) -> Vec<String> {
        let now = context.status.now;
        let timeout_ms = context.status.options.gateway_timeout_ms();
        let is_silent = |gateway: &GatewayPeer| now > gateway.heard_at + timeout_ms;
        self.close(is_silent, context.connections)
    }

    fn close(
        &mut self,
        is_silent: impl Fn(&GatewayPeer) -> bool,
        connections: &mut ControllerConnections,
    ) -> Vec<String> {
        let gateways = self.gateways.iter();
        let silent = gateways.filter(|(_, gateway)| is_silent(gateway));
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        for name in &silent {
            if let Some(gateway) = self.gateways.remove(name) {
                self.revision += 1;
                let connection = gateway.outbox.connection();
                log::info!("controller: gateway timed out gateway={name}");
                self.names.remove(&connection);
                connections.close(connection);
            }
        }
        silent
    }

    /// The gateways, in the order of their names, but for those that have not had so many milliseconds yet to say that they understand
    /// agreed tables of owners.
    pub fn declared(&self, now: u64, within_ms: u64) -> Vec<LinkedGateway> {
        let gateways = self.gateways.values();
        let declared = gateways.filter(|gateway| {
            gateway.accepts_ownership_tables || now >= gateway.linked_at + within_ms
        });
        declared
            .map(|gateway| LinkedGateway {
                member: gateway.member.clone(),
                accepts_ownership_tables: gateway.accepts_ownership_tables,
                is_leaving: gateway.is_leaving,
                ownership_version: gateway.ownership_version,
            })
            .collect()
    }

    /// Number of a gateway's incarnation; none where it has no link.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        let gateway = self.gateways.get(name)?;
        Some(gateway.member.incarnation)
    }

    /// Rises with each change of the gateways, of what they understand, and of who is about to stop.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Gateways that have a link.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }
}
