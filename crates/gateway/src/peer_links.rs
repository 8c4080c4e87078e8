//! Links to other gateways, and which of these are suspected to be dead.

use crate::connections::Connections;
use event_loop::ConnectionId;
use process_pause::ProcessPause;
use protocol::{frame, Message, SentMessages, TENANT_SUPPORT_FLAG};
use std::collections::HashMap;

/// Silence after which an owner whose response is awaited is pinged, in milliseconds.
pub(crate) const PING_AFTER_MS: u64 = 150;
/// Silence after which such an owner is reported to the scaler, in milliseconds.
const OVERDUE_AFTER_MS: u64 = 250;
/// Silence after which such an owner is considered dead, in milliseconds.
const DEAD_AFTER_MS: u64 = 450;
/// Time for which a gateway that was considered dead is treated as owning nothing, in milliseconds.
const SUSPECT_MS: u64 = 1_500;
/// Maximum number of functions whose last known owner is stored.
const KNOWN_OWNERS_MAX: usize = 65_536;

struct PeerLink {
    connection: ConnectionId,
    /// Incarnation of the peer, as far as it is known.
    incarnation: u64,
    heard_at: u64,
    pinged_at: u64,
    /// Whether the unanswered ping was already reported as overdue.
    is_overdue: bool,
    /// Whether the peer has announced support for lease requests with tenants.
    understands_tenants: bool,
    /// Messages queued in this turn, which are sent in one write.
    outbox: Vec<u8>,
}

/// Liveness of a peer whose response is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// There is no link to it.
    Disconnected,
    /// It was heard from recently, or still has time to answer a ping.
    Alive,
    /// A ping is overdue; returned once for each ping.
    Overdue,
    /// It did not answer a ping within the timeout.
    Silent,
}

/// How a hello from a gateway relates to the existing link to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HelloOutcome {
    /// There is no link yet.
    New,
    /// The existing link belongs to an ended incarnation, or was silent and is no longer used by the peer. All state
    /// agreed over it is discarded.
    Replacement,
    /// The existing link is in use; both gateways may have opened one at the same time.
    Duplicate,
}

/// Links to other gateways, by name.
#[derive(Default)]
pub(crate) struct PeerLinks {
    links: HashMap<String, PeerLink>,
    suspects: HashMap<String, u64>,
    known_owners: HashMap<String, String>,
    sent: SentMessages,
}

impl PeerLinks {
    /// Whether there is a link to a gateway.
    pub fn contains(&self, name: &str) -> bool {
        self.links.contains_key(name)
    }

    /// Number of links.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Adds a link to an incarnation of a gateway, replacing any former one.
    pub fn add(&mut self, name: &str, incarnation: u64, connection: ConnectionId, now: u64) {
        let link = PeerLink {
            connection,
            incarnation,
            heard_at: now,
            pinged_at: 0,
            is_overdue: false,
            understands_tenants: false,
            outbox: Vec::new(),
        };
        self.links.insert(name.into(), link);
    }

    /// Classifies a hello that a gateway has sent on a new connection.
    pub fn classify_hello(&self, name: &str, incarnation: u64, now: u64) -> HelloOutcome {
        match self.links.get(name) {
            None => HelloOutcome::New,
            Some(link) if link.incarnation != incarnation => HelloOutcome::Replacement,
            Some(link) if now > link.heard_at + PING_AFTER_MS => HelloOutcome::Replacement,
            Some(_) => HelloOutcome::Duplicate,
        }
    }

    /// Queues a message until the next flush. Without a link it is dropped.
    pub fn queue(&mut self, name: &str, message: &Message) {
        if let Some(link) = self.links.get_mut(name) {
            let bytes = frame(message);
            self.sent.record(&bytes);
            link.outbox.extend_from_slice(&bytes);
        }
    }

    /// Counts of the messages sent to other gateways.
    pub fn sent(&self) -> &SentMessages {
        &self.sent
    }

    /// Sends the messages queued since the last flush, in one write per gateway.
    pub fn flush(&mut self, connections: &mut Connections) {
        for link in self.links.values_mut() {
            if !link.outbox.is_empty() {
                connections.send(link.connection, &link.outbox);
                link.outbox.clear();
            }
        }
    }

    /// Records a message from a gateway, which is therefore alive.
    pub fn record_heard(&mut self, name: &str, now: u64) {
        self.suspects.remove(name);
        if let Some(link) = self.links.get_mut(name) {
            link.heard_at = now;
        }
    }

    /// Records a pong, whose number contains the capabilities of the peer.
    pub fn record_pong(&mut self, name: &str, number: u64) {
        if let Some(link) = self.links.get_mut(name) {
            link.understands_tenants |= number & TENANT_SUPPORT_FLAG != 0;
        }
    }

    /// Whether a gateway has announced support for lease requests with tenants.
    pub fn understands_tenants(&self, name: &str) -> bool {
        let link = self.links.get(name);
        link.is_some_and(|link| link.understands_tenants)
    }

    /// Checks whether a gateway is alive, and pings it if it was silent.
    pub fn check_liveness(&mut self, name: &str, now: u64) -> Liveness {
        let Some(link) = self.links.get_mut(name) else {
            return Liveness::Disconnected;
        };
        let is_ping_answered = link.pinged_at <= link.heard_at;
        let last_activity = link.heard_at.max(link.pinged_at);
        if is_ping_answered && now > last_activity + PING_AFTER_MS {
            link.pinged_at = now;
            link.is_overdue = false;
            link.outbox.extend_from_slice(&frame(&Message::Ping(now)));
            return Liveness::Alive;
        }
        if !is_ping_answered && now > link.pinged_at + (DEAD_AFTER_MS - PING_AFTER_MS) {
            return Liveness::Silent;
        }
        let is_overdue =
            !is_ping_answered && now > link.pinged_at + (OVERDUE_AFTER_MS - PING_AFTER_MS);
        if is_overdue && !std::mem::replace(&mut link.is_overdue, true) {
            return Liveness::Overdue;
        }
        Liveness::Alive
    }

    /// Restarts the timeouts of unanswered pings after a process pause: pongs received during the pause are not read
    /// yet.
    pub fn process_paused(&mut self, pause: ProcessPause) {
        for link in self.links.values_mut() {
            if link.pinged_at > link.heard_at {
                link.pinged_at = pause.restart_wait(link.pinged_at);
            }
        }
    }

    /// Removes the link to a gateway that is considered dead, which then owns nothing for a while. The gateway has
    /// discarded this gateway's leases with the link, so it counts as a new owner when it returns.
    pub fn suspect(&mut self, name: &str, now: u64) {
        self.links.remove(name);
        let known = self.known_owners.values_mut();
        known.filter(|owner| *owner == name).for_each(String::clear);
        self.suspects.insert(name.into(), now + SUSPECT_MS);
    }

    /// Whether a gateway is currently suspected to be dead.
    pub fn is_suspect(&self, name: &str, now: u64) -> bool {
        self.suspects.get(name).is_some_and(|until| now < *until)
    }

    /// Names of the gateways currently suspected to be dead.
    pub fn suspects(&self, now: u64) -> impl Iterator<Item = &String> {
        let suspects = self.suspects.iter();
        suspects
            .filter(move |(_, until)| now < **until)
            .map(|(name, _)| name)
    }

    /// Clears all suspicions, because a new membership lists the gateways that are alive.
    pub fn clear_suspects(&mut self) {
        self.suspects.clear();
    }

    /// Stores the owner of a function. Returns whether another owner was stored before.
    pub fn remember_owner(&mut self, function: &str, owner: &str) -> bool {
        let known = self.known_owners.get(function);
        if known.is_some_and(|known| known == owner) {
            return false;
        }
        if self.known_owners.len() >= KNOWN_OWNERS_MAX {
            self.known_owners.clear();
        }
        let former = self.known_owners.insert(function.into(), owner.into());
        former.is_some()
    }
}
