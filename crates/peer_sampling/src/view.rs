//! The partial view of one daemon and its shuffles.

use configuration::PeerRef;
use speedy::{Readable, Writable};

/// Maximum number of peers in a view.
pub const MAX_VIEW_SIZE: usize = 12;
/// Maximum number of peers in the sample of one shuffle.
const MAX_SHUFFLE_SIZE: usize = 6;
/// A peer whose descriptor was not refreshed for this many shuffles is removed from the view.
const MAX_AGE: u32 = 60;

/// An entry of a view: a daemon as another daemon knows it.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct PeerDescriptor {
    /// The daemon's name and incarnation.
    pub peer: PeerRef,
    /// Address at which the daemon accepts peer connections.
    pub address: String,
    /// Number of shuffles since the daemon issued this descriptor itself.
    pub age: u32,
}

/// A bounded view of other daemons. It performs no I/O and draws no random numbers; callers pass these in.
#[derive(Debug)]
pub struct PartialView {
    local: PeerDescriptor,
    peers: Vec<PeerDescriptor>,
}

impl PartialView {
    /// Creates the empty view of a daemon.
    pub fn new(peer: PeerRef, address: &str) -> Self {
        let local = PeerDescriptor {
            peer,
            address: address.to_string(),
            age: 0,
        };
        Self {
            local,
            peers: Vec::new(),
        }
    }

    /// All peers in the view.
    pub fn peers(&self) -> &[PeerDescriptor] {
        &self.peers
    }

    /// Begins a shuffle: removes the oldest peer from the view and returns it with the sample to send to it. A peer that
    /// still runs returns to the view with its response.
    pub fn begin_shuffle(&mut self, random: u64) -> Option<(PeerDescriptor, Vec<PeerDescriptor>)> {
        for descriptor in &mut self.peers {
            descriptor.age += 1;
        }
        self.peers.retain(|descriptor| descriptor.age <= MAX_AGE);
        let ages = self.peers.iter().enumerate();
        let (oldest, _) = ages.max_by_key(|(_, descriptor)| descriptor.age)?;
        let target = self.peers.remove(oldest);
        Some((target, self.sample(random)))
    }

    /// A sample of the view, plus a descriptor of this daemon with age 0.
    pub fn sample(&self, random: u64) -> Vec<PeerDescriptor> {
        let count = self.peers.len();
        let chosen = (0..count.min(MAX_SHUFFLE_SIZE - 1))
            .map(|step| self.peers[(random as usize % count + step) % count].clone());
        chosen.chain([self.local.clone()]).collect()
    }

    /// Merges the sample of another daemon. For each daemon the descriptor with the lower age is kept (on equal age the
    /// received one), so that a newer incarnation, which starts at age 0, replaces the old one. If the view is full, the
    /// oldest peers are dropped.
    pub fn merge(&mut self, received: Vec<PeerDescriptor>) {
        for descriptor in received.into_iter().take(MAX_SHUFFLE_SIZE) {
            if descriptor.peer.name == self.local.peer.name {
                continue;
            }
            let known = self
                .peers
                .iter_mut()
                .find(|known| known.peer.name == descriptor.peer.name);
            match known {
                Some(known) if descriptor.age <= known.age => *known = descriptor,
                Some(_) => {}
                None => self.peers.push(descriptor),
            }
        }
        self.peers.sort_by_key(|descriptor| descriptor.age);
        self.peers.truncate(MAX_VIEW_SIZE);
    }
}
