//! The gateways that are connected to this controller.

use crate::controller_connections::ControllerConnections;
use crate::outbox::Outbox;
use crate::status::ControllerStatus;
use event_loop::ConnectionId;
use process_pause::ProcessPause;
use protocol::{frame, Member, Message, SentMessages, UpdateVersion};
use std::collections::{BTreeMap, HashMap};

/// A gateway that was seen within so many milliseconds is not pinged when another gateway suspects it.
const RECENTLY_SEEN_MS: u64 = 100;
/// Milliseconds within which a suspected gateway must respond to a ping.
const PING_TIMEOUT_MS: u64 = 200;

struct GatewayPeer {
    member: Member,
    outbox: Outbox,
    last_seen_at: u64,
    linked_at: u64,
    accepts_membership_changes: bool,
    accepts_ownership_tables: bool,
    /// Whether it is about to stop.
    is_leaving: bool,
    /// Version of the ownership table that it reported in its last heartbeat.
    ownership_version: UpdateVersion,
    /// When it was pinged because another gateway suspects it. Cleared by any message from it.
    suspected_at: Option<u64>,
}

/// What the ownership publisher needs to know about a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LinkedGateway {
    pub member: Member,
    pub accepts_ownership_tables: bool,
    pub is_leaving: bool,
    /// Version of the ownership table that it reported in its last heartbeat.
    pub ownership_version: UpdateVersion,
}

/// The other parts of the controller that the gateway table uses.
pub(crate) struct GatewayContext<'a> {
    /// Source of the contents of heartbeats.
    pub status: ControllerStatus<'a>,
    /// The connections to the gateways.
    pub connections: &'a mut ControllerConnections,
}

impl GatewayContext<'_> {
    /// Sends a reply without queueing, on any connection: its gateway need not have registered.
    pub fn reply(&mut self, connection: ConnectionId, message: &Message) {
        self.connections.send(connection, &frame(message));
    }
}

/// Gateways by name, with the messages queued for each, and the schedule of heartbeats to them.
#[derive(Default)]
pub(crate) struct GatewayTable {
    gateways: BTreeMap<String, GatewayPeer>,
    /// Increases with each change that may affect [`declared`](Self::declared).
    revision: u64,
    /// The name of the gateway at the other end of each connection, once it has registered.
    names: HashMap<ConnectionId, String>,
    heartbeat_at: u64,
    /// Whether the last heartbeat announced that this controller is in contact with a majority.
    was_current: bool,
    /// Controller addresses that were last announced to all gateways.
    announced_addresses: Vec<String>,
    sent: SentMessages,
}

impl GatewayTable {
    /// Registers a gateway that has introduced itself. Closes its previous connection, and queues a heartbeat to it.
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
            last_seen_at: context.status.now,
            linked_at: context.status.now,
            accepts_membership_changes: false,
            accepts_ownership_tables: false,
            is_leaving: false,
            ownership_version: UpdateVersion::default(),
            suspected_at: None,
        };
        self.revision += 1;
        let previous = self.gateways.insert(name.clone(), gateway);
        let previous = previous.map(|previous| previous.outbox.connection());
        // A gateway may introduce itself again on the same connection.
        if let Some(previous) = previous.filter(|previous| *previous != connection) {
            self.names.remove(&previous);
            context.connections.close(previous);
        }
        let addresses = context.status.controller_addresses();
        self.queue(&name, &context.status.heartbeat(addresses));
    }

    /// Records that a message arrived on a connection. Returns the name of the gateway, or none if it has not registered.
    pub fn record_activity(&mut self, now: u64, connection: ConnectionId) -> Option<String> {
        let name = self.names.get(&connection)?;
        if let Some(gateway) = self.gateways.get_mut(name) {
            gateway.last_seen_at = now;
            gateway.suspected_at = None;
        }
        Some(name.clone())
    }

    /// Restarts the timeouts after a pause of the process: messages that arrived meanwhile, such as pongs, have not been read
    /// yet.
    pub fn process_paused(&mut self, pause: ProcessPause) {
        for gateway in self.gateways.values_mut() {
            gateway.last_seen_at = pause.restart_wait(gateway.last_seen_at);
            gateway.suspected_at = gateway.suspected_at.map(|at| pause.restart_wait(at));
        }
    }

    /// Records that a gateway supports incremental membership changes.
    pub fn accept_membership_changes(&mut self, name: &str) {
        if let Some(gateway) = self.gateways.get_mut(name) {
            gateway.accepts_membership_changes = true;
        }
    }

    /// Whether a gateway supports incremental membership changes.
    pub fn accepts_membership_changes(&self, name: &str) -> bool {
        let gateway = self.gateways.get(name);
        gateway.is_some_and(|gateway| gateway.accepts_membership_changes)
    }

    /// Records that a gateway supports agreed ownership tables.
    pub fn accept_ownership_tables(&mut self, name: &str) {
        if let Some(gateway) = self.gateways.get_mut(name) {
            self.revision += 1;
            gateway.accepts_ownership_tables = true;
        }
    }

    /// Records that a gateway is about to stop.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(gateway) = self.gateways.get_mut(name) {
            log::info!("controller: gateway leaving gateway={name}");
            self.revision += 1;
            gateway.is_leaving = true;
        }
    }

    /// Records the version of the ownership table that a gateway has in force.
    pub fn record_ownership_version(&mut self, name: &str, version: UpdateVersion) {
        if let Some(gateway) = self.gateways.get_mut(name) {
            gateway.ownership_version = version;
        }
    }

    /// Another gateway suspects this incarnation of a gateway to be down: pings it, unless it was seen very recently.
    pub fn suspect(&mut self, now: u64, name: &str, incarnation: u64) {
        let Some(gateway) = self.gateways.get_mut(name) else {
            return;
        };
        let is_recently_seen = now < gateway.last_seen_at + RECENTLY_SEEN_MS;
        let is_pingable =
            gateway.member.incarnation == incarnation && gateway.accepts_ownership_tables;
        if is_recently_seen || !is_pingable || gateway.suspected_at.is_some() {
            return;
        }
        gateway.suspected_at = Some(now);
        self.queue(name, &Message::Ping(now));
    }

    /// Closes the connections of suspected gateways that have not responded to their ping in time. Returns their names.
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

    /// Handles the end of a connection. Returns the name of the gateway that was removed with it.
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

    /// Queues a message for a gateway; does nothing if it is not connected.
    pub fn queue(&mut self, name: &str, message: &Message) {
        self.queue_frame(name, &frame(message));
    }

    /// Queues an encoded frame, so that a message to several gateways is encoded only once.
    pub fn queue_frame(&mut self, name: &str, frame: &[u8]) {
        if let Some(gateway) = self.gateways.get_mut(name) {
            self.sent.record(frame);
            gateway.outbox.queue_frame(frame);
        }
    }

    /// Statistics of the messages sent to gateways.
    pub fn sent(&self) -> &SentMessages {
        &self.sent
    }

    /// Sends all queued messages, with one write per gateway.
    pub fn flush(&mut self, connections: &mut ControllerConnections) {
        for gateway in self.gateways.values_mut() {
            gateway.outbox.flush(connections);
        }
    }

    /// Whether the periodic heartbeat is due.
    pub fn is_heartbeat_due(&self, now: u64, interval_ms: u64) -> bool {
        now >= self.heartbeat_at + interval_ms
    }

    /// Whether contact with a majority was gained or lost since the last heartbeat.
    pub fn has_contact_changed(&self, is_current: bool) -> bool {
        is_current != self.was_current
    }

    /// Closes the connections of gateways that have timed out, and queues a heartbeat to all others. Returns the names of the
    /// closed ones.
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

    /// The controller addresses if they have changed since they were last announced, otherwise none. They count as announced
    /// from then on.
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
        let is_silent = |gateway: &GatewayPeer| now > gateway.last_seen_at + timeout_ms;
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

    /// The gateways ordered by name, except those that linked less than `within_ms` ago and have not yet declared support for
    /// agreed ownership tables.
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

    /// The incarnation number of a gateway; none if it is not connected.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        let gateway = self.gateways.get(name)?;
        Some(gateway.member.incarnation)
    }

    /// Increases with each change in the set of gateways, their supported messages or their leaving state.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of connected gateways.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }
}
