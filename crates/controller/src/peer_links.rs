//! Links to the other controllers, over which the consensus sends its messages.

use crate::controller_connections::{ControllerConnection, ControllerConnections};
use crate::outbox::Outbox;
use consensus::{Consensus, ConsensusMessage};
use event_loop::ConnectionId;
use protocol::take_frames;
use speedy::{Readable, Writable};
use std::collections::HashMap;

/// Least milliseconds between tries to reach a controller.
const CONNECT_RETRY_MS: u64 = 100;

/// What goes between two controllers.
#[derive(Debug, PartialEq, Readable, Writable)]
pub enum PeerFrame {
    /// Who opened the link: its consensus address.
    Hello(String),
    /// A message of the consensus.
    Consensus(ConsensusMessage),
}

/// A message of the consensus that has arrived.
struct ReceivedMessage {
    /// Consensus address of the sender.
    from: String,
    /// The message.
    message: ConsensusMessage,
}

/// Links to the other controllers, one for each consensus address. A link is opened once there is something to send.
pub(crate) struct PeerLinks {
    own_address: String,
    links: HashMap<String, Outbox>,
    /// When a connection to an address was last tried.
    attempted_at: HashMap<String, u64>,
    /// Who is at the other end of each connection, once it is known.
    addresses: HashMap<ConnectionId, String>,
}

impl PeerLinks {
    /// No link is open yet.
    pub fn new(own_address: String) -> Self {
        Self {
            own_address,
            links: HashMap::new(),
            attempted_at: HashMap::new(),
            addresses: HashMap::new(),
        }
    }

    /// Queues a message, after it has begun to open a link where there is none. The message is lost where that fails; the
    /// consensus sends anew what matters.
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
        let attempted_at = self.attempted_at.get(to);
        if attempted_at.is_some_and(|at| now < at + CONNECT_RETRY_MS) {
            return;
        }
        self.attempted_at.insert(to.into(), now);
        let Ok(address) = to.parse() else {
            return;
        };
        let Some(connection) = connections.connect(address, ControllerConnection::Peer) else {
            return;
        };
        self.addresses.insert(connection, to.into());
        let mut outbox = Outbox::new(connection);
        outbox.queue(&PeerFrame::Hello(self.own_address.clone()));
        self.links.insert(to.into(), outbox);
    }

    /// Something arrived on a connection: hands the messages to the consensus. The link is closed where what follows them is
    /// no frame.
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
                let links = self.links.entry(address);
                links.or_insert_with(|| Outbox::new(connection));
                None
            }
            PeerFrame::Consensus(message) => {
                let from = self.addresses.get(&connection)?.clone();
                Some(ReceivedMessage { from, message })
            }
        }
    }

    /// A connection has ended.
    pub fn remove(&mut self, connection: ConnectionId) {
        let Some(address) = self.addresses.remove(&connection) else {
            return;
        };
        let link = self.links.get(&address);
        if link.is_some_and(|link| link.connection() == connection) {
            self.links.remove(&address);
        }
    }

    /// Sends what was queued since the last flush, in one piece for each controller.
    pub fn flush(&mut self, connections: &mut ControllerConnections) {
        for outbox in self.links.values_mut() {
            outbox.flush(connections);
        }
    }
}
