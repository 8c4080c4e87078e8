use configuration::PeerRef;
use speedy::{Readable, Writable};

/// Most neighbours in a view.
pub const MAX_VIEW_SIZE: usize = 12;
/// Neighbours that one shuffle carries.
const MAX_SHUFFLE_SIZE: usize = 6;
/// Shuffles after which a neighbour that nobody renewed is forgotten.
const MAX_AGE: u32 = 60;

/// A daemon as a neighbour knows it.
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

    /// All neighbours.
    pub fn known(&self) -> &[PeerDescriptor] {
        &self.known
    }

    /// Begins a shuffle: the oldest neighbour is taken out of the view and sent a sample of it. If it
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

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    use std::collections::BTreeSet;

    fn view(number: usize) -> PartialView {
        let peer = PeerRef {
            name: number.to_string(),
            incarnation: 1,
        };
        PartialView::new(peer, &number.to_string())
    }

    fn shuffle(views: &mut [PartialView], alive: &[bool], random: &mut StdRng) {
        for place in 0..views.len() {
            if !alive[place] {
                continue;
            }
            let Some((target, sample)) = views[place].begin(random.random()) else {
                continue;
            };
            let other: usize = target.address.parse().unwrap();
            if alive[other] {
                let answer = views[other].sample(random.random());
                views[other].merge(sample);
                views[place].merge(answer);
            }
        }
    }

    #[test]
    fn every_daemon_learns_of_every_other_and_forgets_the_dead() {
        for seed in 0..20 {
            let mut random = StdRng::seed_from_u64(seed);
            let mut views: Vec<PartialView> = (0..40).map(view).collect();
            let mut alive = vec![true; 40];
            for place in 1..40 {
                let seed_view = views[0].sample(0);
                views[place].merge(seed_view);
            }
            let mut heard: Vec<BTreeSet<String>> = vec![BTreeSet::new(); 40];
            for _ in 0..200 {
                shuffle(&mut views, &alive, &mut random);
                for (place, view) in views.iter().enumerate() {
                    assert!(view.known().len() <= MAX_VIEW_SIZE);
                    heard[place].extend(view.known().iter().map(|one| one.peer.name.clone()));
                }
            }
            assert!(heard.iter().all(|names| names.len() == 39), "seed {seed}");
            alive[..10].fill(false);
            for _ in 0..120 {
                shuffle(&mut views, &alive, &mut random);
            }
            for view in &views[10..] {
                let is_dead = |one: &PeerDescriptor| one.address.parse::<usize>().unwrap() < 10;
                assert!(!view.known().iter().any(is_dead), "seed {seed}");
                assert!(!view.known().is_empty());
            }
        }
    }

    #[test]
    fn a_newer_incarnation_replaces_the_old_one() {
        let mut view = view(0);
        let descriptor = |incarnation, age| PeerDescriptor {
            peer: PeerRef {
                name: "1".into(),
                incarnation,
            },
            address: "1".into(),
            age,
        };
        view.merge(vec![descriptor(1, 5)]);
        view.merge(vec![descriptor(2, 0)]);
        view.merge(vec![descriptor(1, 6)]);
        assert_eq!(view.known()[0].peer.incarnation, 2);
        assert_eq!(view.known().len(), 1);
    }
}
