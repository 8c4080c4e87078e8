//! Links to the other controllers, which carry consensus messages.

use crate::controller_connections::{ControllerConnection, ControllerConnections};
use crate::outbox::Outbox;
use consensus::{Consensus, ConsensusMessage};
use event_loop::{ConnectBackoff, ConnectionId};
use protocol::take_frames;
use speedy::{Readable, Writable};
use std::collections::{HashMap, HashSet};

/// Minimum milliseconds between attempts to connect to a controller.
const CONNECT_RETRY_MS: u64 = 100;
/// Milliseconds within which a first attempt to connect must succeed.
const CONNECT_TIMEOUT_MS: u64 = 150;

/// A frame on a link between two controllers.
#[derive(Debug, PartialEq, Readable, Writable)]
pub enum PeerFrame {
    /// Introduces the controller that opened the link, by its consensus address.
    Hello(String),
    /// A consensus message.
    Consensus(ConsensusMessage),
}

/// Successive attempts to connect to one address.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectAttempts {
    last_at: u64,
    hung: ConnectBackoff,
}

impl ConnectAttempts {
    /// When the last attempt times out.
    fn times_out_at(self) -> u64 {
        self.last_at + self.hung.timeout_ms(CONNECT_TIMEOUT_MS)
    }
}

/// Links to the other controllers, one per consensus address. A link is opened when there is a message to send.
pub(crate) struct PeerLinks {
    own_address: String,
    links: HashMap<String, Outbox>,
    /// The connection that was used for each address before the current one. The other controller may still send on it.
    replaced: HashMap<String, ConnectionId>,
    /// The last attempt to connect to each address, and how many in a row have hung.
    attempts: HashMap<String, ConnectAttempts>,
    /// Connections that this controller is opening and that are not established yet.
    unestablished: HashSet<ConnectionId>,
    /// The consensus address of the peer of each connection, once it is known.
    addresses: HashMap<ConnectionId, String>,
}

impl PeerLinks {
    /// Creates an empty set of links.
    pub fn new(own_address: String) -> Self {
        Self {
            own_address,
            links: HashMap::new(),
            replaced: HashMap::new(),
            attempts: HashMap::new(),
            unestablished: HashSet::new(),
            addresses: HashMap::new(),
        }
    }

    /// Queues a message, and starts to open a link if there is none. If that fails, the message is lost; the consensus resends
    /// messages where necessary.
    pub fn queue(
        &mut self,
        now: u64,
        to: &str,
        message: ConsensusMessage,
        connections: &mut ControllerConnections,
    ) {
        if !self.links.contains_key(to) {
            self.connect(now, to, connections);
        }
        if let Some(outbox) = self.links.get_mut(to) {
            outbox.queue(&PeerFrame::Consensus(message));
        }
    }

    fn connect(&mut self, now: u64, to: &str, connections: &mut ControllerConnections) {
        let attempts = self.attempts.get(to).copied();
        if attempts.is_some_and(|attempts| now < attempts.last_at + CONNECT_RETRY_MS) {
            return;
        }
        let hung = attempts.map_or_else(ConnectBackoff::default, |attempts| attempts.hung);
        let attempts = ConnectAttempts { last_at: now, hung };
        self.attempts.insert(to.into(), attempts);
        let Ok(address) = to.parse() else {
            return;
        };
        let Some(connection) = connections.connect(address, ControllerConnection::Peer) else {
            return;
        };
        self.addresses.insert(connection, to.into());
        self.unestablished.insert(connection);
        let mut outbox = Outbox::new(connection);
        outbox.queue(&PeerFrame::Hello(self.own_address.clone()));
        self.links.insert(to.into(), outbox);
    }

    /// Handles that a connection opened by this controller is established.
    pub fn mark_established(&mut self, connection: ConnectionId) {
        self.unestablished.remove(&connection);
        let address = self.addresses.get(&connection);
        if let Some(attempts) = address.and_then(|address| self.attempts.get_mut(address)) {
            attempts.hung.reset();
        }
    }

    /// Closes connections that were not established in time, so that they are attempted again.
    pub fn close_hung(&mut self, now: u64, connections: &mut ControllerConnections) {
        let hung = self.unestablished.iter().filter(|connection| {
            let address = self.addresses.get(connection);
            let attempts = address.and_then(|address| self.attempts.get(address));
            attempts.is_some_and(|attempts| now >= attempts.times_out_at())
        });
        for connection in hung.copied().collect::<Vec<_>>() {
            let address = self.addresses.get(&connection);
            if let Some(attempts) = address.and_then(|address| self.attempts.get_mut(address)) {
                attempts.hung.record_timeout();
            }
            self.remove(connection);
            connections.close(connection);
        }
    }

    /// Handles received data on a connection: passes its messages to the consensus, and closes the link if a malformed frame
    /// follows.
    pub fn handle_readable(
        &mut self,
        now: u64,
        connection: ConnectionId,
        consensus: &mut Consensus,
        connections: &mut ControllerConnections,
    ) {
        let Some(buffer) = connections.read_buffer(connection) else {
            return;
        };
        let (frames, error) = take_frames::<PeerFrame>(buffer);
        for frame in frames {
            match frame {
                PeerFrame::Hello(address) => self.adopt_incoming(connection, address, connections),
                PeerFrame::Consensus(message) => {
                    if let Some(from) = self.addresses.get(&connection) {
                        consensus.on_message(now, from, message);
                    }
                }
            }
        }
        if let Some(error) = error {
            log::warn!("controller: peer link closed error={error}");
            self.remove(connection);
            connections.close(connection);
        }
    }

    /// Uses a link that another controller has opened. It opens one only if it has none, so an older link has ended at that
    /// controller, even if this one has not noticed: behind a cut, no end arrives. If both have connected at once, the
    /// older link works as well, and is kept until the next one replaces this one.
    fn adopt_incoming(
        &mut self,
        connection: ConnectionId,
        address: String,
        connections: &mut ControllerConnections,
    ) {
        self.addresses.insert(connection, address.clone());
        let link = Outbox::new(connection);
        let former = self.links.insert(address.clone(), link);
        let Some(mut former) = former.filter(|former| former.connection() != connection) else {
            return;
        };
        former.flush(connections);
        if let Some(older) = self.replaced.insert(address, former.connection()) {
            self.remove(older);
            connections.close(older);
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.unestablished.remove(&connection);
        let Some(address) = self.addresses.remove(&connection) else {
            return;
        };
        let link = self.links.get(&address);
        if link.is_some_and(|link| link.connection() == connection) {
            self.links.remove(&address);
        }
        if self.replaced.get(&address) == Some(&connection) {
            self.replaced.remove(&address);
        }
    }

    /// Sends all queued messages, with one write per controller.
    pub fn flush(&mut self, connections: &mut ControllerConnections) {
        for outbox in self.links.values_mut() {
            outbox.flush(connections);
        }
    }
}
