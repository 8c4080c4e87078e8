//! Table of known peers and their latest heartbeats.

use crate::message::{Heartbeat, HeartbeatAck};
use register::VoterRef;
use std::collections::BTreeMap;

/// Maximum number of known peers. Members of the voter set and seeds are added even beyond it.
const MAX_PEERS: usize = 64;
/// Silence after which a peer that is neither member nor seed is removed, in milliseconds.
const FORGET_AFTER_MS: u64 = 30_000;
/// Number of heartbeat intervals after which a silent peer no longer counts as live.
const LIVENESS_INTERVALS: u64 = 3;
/// Minimum time after which a silent peer no longer counts as live, in milliseconds.
const MIN_LIVENESS_MS: u64 = 600;
/// Heartbeat interval to addresses that do not respond, in milliseconds.
const SILENT_HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// The incarnation of a peer that was replaced by the current one. Ids are random, so the order of two incarnations
/// is unknown; the live one is the one whose heartbeats keep arriving.
#[derive(Clone, Copy, Debug)]
struct FormerIncarnation {
    incarnation: u64,
    /// Number of its newest heartbeat that was received.
    number: u64,
}

impl FormerIncarnation {
    /// Whether a heartbeat is a new one of this incarnation.
    fn has_sent(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.incarnation == self.incarnation && heartbeat.number > self.number
    }
}

/// Another controller, as described by its latest heartbeat.
#[derive(Clone, Debug, Default)]
struct Peer {
    heard_at: Option<u64>,
    heartbeat: Heartbeat,
    /// The incarnation before the current one. Its messages may still be in transit.
    former: Option<FormerIncarnation>,
    /// When this controller last sent a heartbeat to the peer.
    heartbeat_sent_at: Option<u64>,
    /// The incarnation that has announced its shutdown.
    ending_incarnation: Option<u64>,
}

impl Peer {
    fn is_heard_within(&self, now: u64, span_ms: u64) -> bool {
        self.heard_at.is_some_and(|at| now <= at + span_ms)
    }
}

/// Relation of a heartbeat to the known incarnation of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatOrigin {
    /// The current incarnation.
    SameIncarnation,
    /// A different incarnation than before, or the first one.
    NewIncarnation,
}

/// All known peers by address. The caller decides which addresses are permanent, that is, members or seeds.
#[derive(Clone, Debug)]
pub(crate) struct PeerTable {
    own_address: String,
    /// Time for which a peer counts as live after a heartbeat, in milliseconds.
    liveness_ms: u64,
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new(own_address: String, heartbeat_interval_ms: u64) -> Self {
        Self {
            own_address,
            liveness_ms: (LIVENESS_INTERVALS * heartbeat_interval_ms).max(MIN_LIVENESS_MS),
            peers: BTreeMap::new(),
        }
    }

    /// Adds an address if it is not this controller's own and there is room. Returns whether the table contains it.
    pub fn admit(&mut self, address: &str, is_permanent: impl Fn(&str) -> bool) -> bool {
        if address == self.own_address {
            return false;
        }
        if self.peers.contains_key(address) {
            return true;
        }
        let has_room = self.peers.len() < MAX_PEERS || is_permanent(address);
        if has_room {
            self.peers.insert(address.to_string(), Peer::default());
        }
        has_room
    }

    /// Removes peers that have been silent for a long time, except those with permanent addresses.
    pub fn forget_silent(&mut self, now: u64, is_permanent: impl Fn(&str) -> bool) {
        self.peers.retain(|address, peer| {
            peer.is_heard_within(now, FORGET_AFTER_MS) || is_permanent(address)
        });
    }

    /// Records a heartbeat. Returns `None` if the sender is unknown, a newer heartbeat has already been received, or
    /// the heartbeat belongs to the former incarnation while the current one is live. If the current incarnation is
    /// silent and a new heartbeat of the former one arrives, the former one is restored: it had been displaced by a
    /// delayed heartbeat.
    pub fn record_heartbeat(
        &mut self,
        now: u64,
        from: &str,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatOrigin> {
        let liveness_ms = self.liveness_ms;
        let peer = self.peers.get_mut(from)?;
        let is_new = peer.heartbeat.incarnation != heartbeat.incarnation;
        let is_of_former_incarnation = peer
            .former
            .is_some_and(|former| former.incarnation == heartbeat.incarnation);
        if is_of_former_incarnation {
            let is_unheard = peer.former.is_some_and(|former| former.has_sent(heartbeat));
            if peer.is_heard_within(now, liveness_ms) || !is_unheard {
                return None;
            }
        }
        if !is_new && heartbeat.number <= peer.heartbeat.number {
            return None;
        }
        if is_new && peer.heard_at.is_some() {
            peer.former = Some(FormerIncarnation {
                incarnation: peer.heartbeat.incarnation,
                number: peer.heartbeat.number,
            });
        }
        peer.heard_at = Some(now);
        peer.heartbeat = heartbeat.clone();
        Some(if is_new {
            HeartbeatOrigin::NewIncarnation
        } else {
            HeartbeatOrigin::SameIncarnation
        })
    }

    /// Records that a heartbeat is being sent to a peer.
    pub fn record_heartbeat_sent(&mut self, now: u64, address: &str) {
        if let Some(peer) = self.peers.get_mut(address) {
            peer.heartbeat_sent_at = Some(now);
        }
    }

    /// The newest heartbeat ever received from an address.
    pub fn last_heartbeat(&self, address: &str) -> Option<&Heartbeat> {
        let peer = self.peers.get(address)?;
        peer.heard_at.map(|_| &peer.heartbeat)
    }

    /// The acknowledgement of a peer's newest heartbeat; the default value if none was received.
    pub fn acknowledgement(&self, address: &str) -> HeartbeatAck {
        let heartbeat = self.last_heartbeat(address);
        heartbeat.map_or_else(HeartbeatAck::default, |heartbeat| HeartbeatAck {
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
        })
    }

    /// Whether a heartbeat was received from a peer recently.
    pub fn is_live(&self, now: u64, address: &str) -> bool {
        self.is_heard_within(now, address, self.liveness_ms)
    }

    /// Whether a heartbeat was received from a peer within a time span.
    pub fn is_heard_within(&self, now: u64, address: &str, span_ms: u64) -> bool {
        let peer = self.peers.get(address);
        peer.is_some_and(|peer| peer.is_heard_within(now, span_ms))
    }

    /// Live peers with their newest heartbeats.
    pub fn live(&self, now: u64) -> impl Iterator<Item = (&String, &Heartbeat)> {
        let live = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.is_heard_within(now, self.liveness_ms));
        live.map(|(address, peer)| (address, &peer.heartbeat))
    }

    /// Records that an incarnation of a peer shuts down. Ignored unless it is the current one.
    pub fn record_shutdown(&mut self, from: &str, disk: u64, incarnation: u64) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        let heartbeat = &peer.heartbeat;
        if heartbeat.disk == disk && heartbeat.incarnation == incarnation {
            peer.ending_incarnation = Some(incarnation);
        }
    }

    /// Newest heartbeats of live peers that shut down.
    pub fn shutting_down(&self, now: u64) -> impl Iterator<Item = &Heartbeat> {
        let live = self.peers.values();
        let live = live.filter(move |peer| peer.is_heard_within(now, self.liveness_ms));
        let ending =
            live.filter(|peer| peer.ending_incarnation == Some(peer.heartbeat.incarnation));
        ending.map(|peer| &peer.heartbeat)
    }

    /// Addresses of all peers that have ever sent a heartbeat.
    pub fn heard_addresses(&self) -> impl Iterator<Item = &String> {
        let heard = self.peers.iter();
        let heard = heard.filter(|(_, peer)| peer.heard_at.is_some());
        heard.map(|(address, _)| address)
    }

    /// Address of a voter: where its disk was last heard from, otherwise its address in the voter set.
    pub fn locate(&self, voter: &VoterRef) -> String {
        let mut heard: Vec<(u64, &String)> = Vec::new();
        for (address, peer) in &self.peers {
            let is_same_disk = peer.heartbeat.disk == voter.disk;
            if let Some(at) = peer.heard_at.filter(|_| is_same_disk) {
                heard.push((at, address));
            }
        }
        let newest = heard.into_iter().max();
        newest
            .map_or(&voter.address, |(_, address)| address)
            .clone()
    }

    /// Non-member addresses that get a heartbeat. Seeds always do, but silent seeds get fewer once a voter set is
    /// known. If this controller is a member, all peers that were heard from also do.
    pub fn additional_receivers<'a>(
        &'a self,
        now: u64,
        seeds: &'a [String],
        has_set: bool,
        is_member: bool,
    ) -> impl Iterator<Item = &'a String> {
        let receivers = self.peers.iter().filter(move |(address, peer)| {
            let is_heard = peer.is_heard_within(now, FORGET_AFTER_MS);
            let is_due = peer
                .heartbeat_sent_at
                .is_none_or(|at| now >= at + SILENT_HEARTBEAT_INTERVAL_MS);
            let is_probed = seeds.contains(address) && (is_heard || is_due || !has_set);
            is_probed || (is_heard && is_member)
        });
        receivers.map(|(address, _)| address)
    }
}
