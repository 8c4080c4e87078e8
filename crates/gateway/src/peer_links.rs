//! Connections with other gateways, and which of these are suspected to be dead.

use crate::connections::Connections;
use event_loop::ConnectionId;
use process_pause::ProcessPause;
use protocol::{frame, Message, SentMessages, UNDERSTANDS_TENANTS};
use std::collections::HashMap;

/// Milliseconds of silence after which an owner from which a response is awaited is pinged.
pub(crate) const PING_AFTER_MS: u64 = 150;
/// Milliseconds of silence after which the scaler is told of it.
const OVERDUE_AFTER_MS: u64 = 250;
/// Milliseconds of silence after which such an owner is passed over.
const DEAD_AFTER_MS: u64 = 450;
/// Milliseconds for which a gateway that was taken for dead owns nothing.
const SUSPECT_MS: u64 = 1_500;
/// Most functions whose owner is remembered.
const KNOWN_OWNERS_MAX: usize = 65_536;

struct PeerLink {
    connection: ConnectionId,
    /// Incarnation of the gateway at the other end, as far as is known.
    incarnation: u64,
    heard_at: u64,
    pinged_at: u64,
    /// Whether it was told that the last ping is overdue.
    is_overdue: bool,
    /// Whether it has said that it understands requests of tenants.
    understands_tenants: bool,
    /// Messages of this turn of the loop, which leave in one write.
    outbox: Vec<u8>,
}

/// Whether a peer from which a response is awaited is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// There is no link to it.
    Disconnected,
    /// It was heard from, or has still time to answer a ping.
    Alive,
    /// It has not answered a ping for a while; told once for each ping.
    Overdue,
    /// It did not answer a ping in time.
    Silent,
}

/// What a gateway that has introduced itself is to the link with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HelloOutcome {
    /// There is no link.
    NewLink,
    /// The link is with an incarnation that has ended, or was silent and is not used by its peer any more. All that was agreed
    /// over it has ended.
    ReplacesLink,
    /// The link is in use; both may have opened one at the same time.
    SecondLink,
}

/// Links with other gateways, by name.
#[derive(Default)]
pub(crate) struct PeerLinks {
    links: HashMap<String, PeerLink>,
    suspects: HashMap<String, u64>,
    known_owners: HashMap<String, String>,
    sent: SentMessages,
}

impl PeerLinks {
    /// Whether there is a link with a gateway.
    pub fn contains(&self, name: &str) -> bool {
        self.links.contains_key(name)
    }

    /// Number of links.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Adds a link with a gateway's incarnation over a connection, in place of any former one.
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

    /// What a gateway that has introduced itself on a connection is to the link with it.
    pub fn classify_hello(&self, name: &str, incarnation: u64, now: u64) -> HelloOutcome {
        match self.links.get(name) {
            None => HelloOutcome::NewLink,
            Some(link) if link.incarnation != incarnation => HelloOutcome::ReplacesLink,
            Some(link) if now > link.heard_at + PING_AFTER_MS => HelloOutcome::ReplacesLink,
            Some(_) => HelloOutcome::SecondLink,
        }
    }

    /// Queues a message until the next flush; without a link it is dropped.
    pub fn queue(&mut self, name: &str, message: &Message) {
        if let Some(link) = self.links.get_mut(name) {
            let bytes = frame(message);
            self.sent.record(&bytes);
            link.outbox.extend_from_slice(&bytes);
        }
    }

    /// What was sent to other gateways.
    pub fn sent(&self) -> &SentMessages {
        &self.sent
    }

    /// Sends what was queued since the last flush, in one write for each gateway.
    pub fn flush(&mut self, connections: &mut Connections) {
        for link in self.links.values_mut() {
            if !link.outbox.is_empty() {
                connections.send(link.connection, &link.outbox);
                link.outbox.clear();
            }
        }
    }

    /// A message came from a gateway, which is alive.
    pub fn record_heard(&mut self, name: &str, now: u64) {
        self.suspects.remove(name);
        if let Some(link) = self.links.get_mut(name) {
            link.heard_at = now;
        }
    }

    /// A gateway has answered a ping with this number, which tells what it understands.
    pub fn record_pong(&mut self, name: &str, number: u64) {
        if let Some(link) = self.links.get_mut(name) {
            link.understands_tenants |= number & UNDERSTANDS_TENANTS != 0;
        }
    }

    /// Whether a gateway has said that it understands requests of tenants.
    pub fn understands_tenants(&self, name: &str) -> bool {
        let link = self.links.get(name);
        link.is_some_and(|link| link.understands_tenants)
    }

    /// Pings a gateway that was silent; whether it is alive.
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

    /// The process stood still: answers to pings that came meanwhile are not read yet.
    pub fn process_paused(&mut self, pause: ProcessPause) {
        for link in self.links.values_mut() {
            if link.pinged_at > link.heard_at {
                link.pinged_at = pause.restart(link.pinged_at);
            }
        }
    }

    /// Removes the link with a gateway that was taken for dead, which owns nothing for a while. As an owner it has forgotten this
    /// gateway with the link, so that it is a new one when it is back.
    pub fn suspect(&mut self, name: &str, now: u64) {
        self.links.remove(name);
        let known = self.known_owners.values_mut();
        known.filter(|owner| *owner == name).for_each(String::clear);
        self.suspects.insert(name.into(), now + SUSPECT_MS);
    }

    /// Whether a gateway was taken for dead lately.
    pub fn is_suspect(&self, name: &str, now: u64) -> bool {
        self.suspects.get(name).is_some_and(|until| now < *until)
    }

    /// Names of the gateways that were taken for dead lately.
    pub fn suspects(&self, now: u64) -> impl Iterator<Item = &String> {
        let suspects = self.suspects.iter();
        suspects
            .filter(move |(_, until)| now < **until)
            .map(|(name, _)| name)
    }

    /// Suspects no gateway any more, since a new membership names those that are alive.
    pub fn clear_suspects(&mut self) {
        self.suspects.clear();
    }

    /// Remembers the owner of a function. Returns whether it is another one than last time.
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
