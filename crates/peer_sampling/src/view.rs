//! The partial view of one daemon and its shuffles.

use configuration::PeerRef;
use speedy::{Readable, Writable};

/// Most peers in a view.
pub const MAX_VIEW_SIZE: usize = 12;
/// Most peers that one shuffle carries.
const MAX_SHUFFLE_SIZE: usize = 6;
/// Shuffles after which a peer that nobody renewed is forgotten.
const MAX_AGE: u32 = 60;

/// A daemon as another one knows it.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct PeerDescriptor {
    /// The daemon, in one of its incarnations.
    pub peer: PeerRef,
    /// Its wire address.
    pub address: String,
    /// Shuffles since it spoke for itself.
    pub age: u32,
}

/// A bounded view of other daemons. A pure machine: what is random comes in as numbers.
#[derive(Debug)]
pub struct PartialView {
    me: PeerDescriptor,
    known: Vec<PeerDescriptor>,
}

impl PartialView {
    /// The view of a daemon that knows nobody yet.
    pub fn new(peer: PeerRef, address: &str) -> Self {
        let me = PeerDescriptor {
            peer,
            address: address.to_string(),
            age: 0,
        };
        Self {
            me,
            known: Vec::new(),
        }
    }

    /// All peers in the view.
    pub fn known(&self) -> &[PeerDescriptor] {
        &self.known
    }

    /// Begins a shuffle: the oldest peer is taken out of the view and sent a sample of it. If it
    /// still runs it comes back with its answer.
    pub fn begin(&mut self, random: u64) -> Option<(PeerDescriptor, Vec<PeerDescriptor>)> {
        for descriptor in &mut self.known {
            descriptor.age += 1;
        }
        self.known.retain(|descriptor| descriptor.age <= MAX_AGE);
        let ages = self.known.iter().enumerate();
        let (oldest, _) = ages.max_by_key(|(_, descriptor)| descriptor.age)?;
        let target = self.known.remove(oldest);
        Some((target, self.sample(random)))
    }

    /// A part of the view with this daemon itself, fresh.
    pub fn sample(&self, random: u64) -> Vec<PeerDescriptor> {
        let count = self.known.len();
        let chosen = (0..count.min(MAX_SHUFFLE_SIZE - 1))
            .map(|step| self.known[(random as usize % count + step) % count].clone());
        chosen.chain([self.me.clone()]).collect()
    }

    /// Merges the sample of another daemon. Newer incarnations and younger descriptors win; where the view is full
    /// the oldest go.
    pub fn merge(&mut self, received: Vec<PeerDescriptor>) {
        for descriptor in received.into_iter().take(MAX_SHUFFLE_SIZE) {
            if descriptor.peer.name == self.me.peer.name {
                continue;
            }
            let known = self
                .known
                .iter_mut()
                .find(|known| known.peer.name == descriptor.peer.name);
            match known {
                Some(known) if descriptor.age <= known.age => *known = descriptor,
                Some(_) => {}
                None => self.known.push(descriptor),
            }
        }
        self.known.sort_by_key(|descriptor| descriptor.age);
        self.known.truncate(MAX_VIEW_SIZE);
    }
}
