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

/// A received consensus message.
struct ReceivedMessage {
    /// Consensus address of the sender.
    from: String,
    /// The message.
    message: ConsensusMessage,
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
            if let Some(received) = self.receive_frame(connection, frame) {
                consensus.on_message(now, &received.from, received.message);
            }
        }
        if let Some(error) = error {
            log::warn!("controller: peer link closed error={error}");
            self.remove(connection);
            connections.close(connection);
        }
    }

    fn receive_frame(
        &mut self,
        connection: ConnectionId,
        frame: PeerFrame,
    ) -> Option<ReceivedMessage> {
        match frame {
            PeerFrame::Hello(address) => {
                self.addresses.insert(connection, address.clone());
                self.adopt_incoming(connection, address);
                None
            }
            PeerFrame::Consensus(message) => {
                let from = self.addresses.get(&connection)?.clone();
                Some(ReceivedMessage { from, message })
            }
        }
    }

    /// Uses a link that another controller has opened, if there is none yet or this controller's own is not established. Both
    /// may have connected at once, this one while the other machine was still down.
    fn adopt_incoming(&mut self, connection: ConnectionId, address: String) {
        let own = self.links.get(&address).map(Outbox::connection);
        let is_usable = own.is_some_and(|own| !self.unestablished.contains(&own));
        if !is_usable {
            self.links.insert(address, Outbox::new(connection));
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
    }

    /// Sends all queued messages, with one write per controller.
    pub fn flush(&mut self, connections: &mut ControllerConnections) {
        for outbox in self.links.values_mut() {
            outbox.flush(connections);
        }
    }
}
