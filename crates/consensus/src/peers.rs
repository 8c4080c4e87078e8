//! The other controllers that this one knows of, and what their newest heartbeats said.

use crate::message::{Heartbeat, HeartbeatAck};
use register::VoterRef;
use std::collections::BTreeMap;

/// Most peers that are known at once, beside members of the voter set and seeds.
const MAX_PEERS: usize = 64;
/// Silence after which a peer that is neither member nor seed is forgotten, in milliseconds.
const FORGET_AFTER_MS: u64 = 30_000;
/// Heartbeat intervals for which a heartbeat counts as a sign of life.
const LIVENESS_INTERVALS: u64 = 3;
/// Least time for which a heartbeat counts as a sign of life, in milliseconds.
const MIN_LIVENESS_MS: u64 = 600;
/// Time between heartbeats to an address where nobody answers, in milliseconds.
const SILENT_HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// An incarnation of a peer that was heard before another one. Which of two came later cannot be told, since ids are random: it is the
/// one that goes on being heard.
#[derive(Clone, Copy, Debug)]
struct FormerIncarnation {
    incarnation: u64,
    /// Number of its newest heartbeat that was heard.
    number: u64,
}

impl FormerIncarnation {
    /// Whether a heartbeat is one of it that was not heard yet.
    fn has_sent(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.incarnation == self.incarnation && heartbeat.number > self.number
    }
}

/// Another controller, as its newest heartbeat described it.
#[derive(Clone, Debug, Default)]
struct Peer {
    heard_at: Option<u64>,
    heartbeat: Heartbeat,
    /// The incarnation before the present one; its messages may still be on the way.
    former: Option<FormerIncarnation>,
    /// When this controller last sent it a heartbeat.
    notified_at: Option<u64>,
}

impl Peer {
    fn is_heard_within(&self, now: u64, span_ms: u64) -> bool {
        self.heard_at.is_some_and(|at| now <= at + span_ms)
    }
}

/// What a heartbeat says about its sender's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatOrigin {
    /// The incarnation that was heard last.
    SameIncarnation,
    /// Another incarnation than the one that was heard last, or the first that is heard.
    NewIncarnation,
}

/// Every other controller that is known by its address. Which addresses are permanent, since they are members or
/// seeds, is the caller's to say.
#[derive(Clone, Debug)]
pub(crate) struct PeerTable {
    own_address: String,
    /// Time for which a heartbeat counts as a sign of life, in milliseconds.
    liveness_ms: u64,
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// No peers are known yet.
    pub fn new(own_address: String, heartbeat_interval_ms: u64) -> Self {
        Self {
            own_address,
            liveness_ms: (LIVENESS_INTERVALS * heartbeat_interval_ms).max(MIN_LIVENESS_MS),
            peers: BTreeMap::new(),
        }
    }

    /// Adds an address, where it is not this controller's own and there is room. Returns whether it is known now.
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

    /// Forgets peers that have been silent for long, unless their addresses are permanent.
    pub fn forget_silent(&mut self, now: u64, is_permanent: impl Fn(&str) -> bool) {
        self.peers.retain(|address, peer| {
            peer.is_heard_within(now, FORGET_AFTER_MS) || is_permanent(address)
        });
    }

    /// Takes a heartbeat. None where its sender is unknown, or where the heartbeat was overtaken by a newer one or
    /// by one of another incarnation that is heard at present. Where the present incarnation is silent and the former one is
    /// heard, the former is the one that lives: a late heartbeat had taken its place.
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

    /// This controller sends a heartbeat to a peer now.
    pub fn record_notified(&mut self, now: u64, address: &str) {
        if let Some(peer) = self.peers.get_mut(address) {
            peer.notified_at = Some(now);
        }
    }

    /// The newest heartbeat that was heard from an address, at any time.
    pub fn last_heartbeat(&self, address: &str) -> Option<&Heartbeat> {
        let peer = self.peers.get(address)?;
        peer.heard_at.map(|_| &peer.heartbeat)
    }

    /// The acknowledgement that a peer gets for its newest heartbeat; blank where it was never heard.
    pub fn acknowledgement(&self, address: &str) -> HeartbeatAck {
        let heartbeat = self.last_heartbeat(address);
        heartbeat.map_or_else(HeartbeatAck::default, |heartbeat| HeartbeatAck {
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
        })
    }

    /// Whether a peer was heard lately.
    pub fn is_live(&self, now: u64, address: &str) -> bool {
        self.is_heard_within(now, address, self.liveness_ms)
    }

    /// Whether a peer was heard within a span.
    pub fn is_heard_within(&self, now: u64, address: &str, span_ms: u64) -> bool {
        let peer = self.peers.get(address);
        peer.is_some_and(|peer| peer.is_heard_within(now, span_ms))
    }

    /// Peers that were heard lately, with their newest heartbeats.
    pub fn live(&self, now: u64) -> impl Iterator<Item = (&String, &Heartbeat)> {
        let live = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.is_heard_within(now, self.liveness_ms));
        live.map(|(address, peer)| (address, &peer.heartbeat))
    }

    /// Addresses of all peers that were heard at any time.
    pub fn heard_addresses(&self) -> impl Iterator<Item = &String> {
        let heard = self.peers.iter();
        let heard = heard.filter(|(_, peer)| peer.heard_at.is_some());
        heard.map(|(address, _)| address)
    }

    /// Address of a voter: where its disk was heard last, else what the voter set says.
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

    /// Addresses that get a heartbeat although they are not members: seeds, less often where they are silent while a
    /// voter set is known, and where this controller is a member, all peers that were heard.
    pub fn addresses_to_notify<'a>(
        &'a self,
        now: u64,
        seeds: &'a [String],
        has_set: bool,
        is_member: bool,
    ) -> impl Iterator<Item = &'a String> {
        let notified = self.peers.iter().filter(move |(address, peer)| {
            let is_heard = peer.is_heard_within(now, FORGET_AFTER_MS);
            let is_due = peer
                .notified_at
                .is_none_or(|at| now >= at + SILENT_HEARTBEAT_INTERVAL_MS);
            let is_probed = seeds.contains(address) && (is_heard || is_due || !has_set);
            is_probed || (is_heard && is_member)
        });
        notified.map(|(address, _)| address)
    }
}
