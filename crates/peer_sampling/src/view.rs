use configuration::PeerRef;
use speedy::{Readable, Writable};

/// Most neighbours in a view.
pub const VIEW_MAX: usize = 12;
/// Neighbours that one shuffle carries.
const SHUFFLE_MAX: usize = 6;
/// Shuffles after which a neighbour that nobody renewed is forgotten.
const AGE_MAX: u32 = 60;

/// A daemon as a neighbour knows it.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Neighbour {
    /// The daemon, in one of its lives.
    pub peer: PeerRef,
    /// Its wire address.
    pub address: String,
    /// Shuffles since it spoke for itself.
    pub age: u32,
}

/// A bounded view of other daemons. A pure machine: what is random comes in as numbers.
#[derive(Debug)]
pub struct View {
    me: Neighbour,
    known: Vec<Neighbour>,
}

impl View {
    /// The view of a daemon that knows nobody yet.
    pub fn new(peer: PeerRef, address: &str) -> Self {
        let me = Neighbour {
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
    pub fn known(&self) -> &[Neighbour] {
        &self.known
    }

    /// Begins a shuffle: the oldest neighbour is taken out of the view and told a part of it. If it
    /// still lives it comes back with its answer.
    pub fn begin(&mut self, random: u64) -> Option<(Neighbour, Vec<Neighbour>)> {
        for neighbour in &mut self.known {
            neighbour.age += 1;
        }
        self.known.retain(|neighbour| neighbour.age <= AGE_MAX);
        let ages = self.known.iter().enumerate();
        let (oldest, _) = ages.max_by_key(|(_, neighbour)| neighbour.age)?;
        let target = self.known.remove(oldest);
        Some((target, self.part(random)))
    }

    /// A part of the view with this daemon itself, fresh.
    pub fn part(&self, random: u64) -> Vec<Neighbour> {
        let count = self.known.len();
        let chosen = (0..count.min(SHUFFLE_MAX - 1))
            .map(|step| self.known[(random as usize % count + step) % count].clone());
        chosen.chain([self.me.clone()]).collect()
    }

    /// Takes in what another daemon told. Newer lives and younger words win; where the view is full
    /// the oldest go.
    pub fn take_in(&mut self, told: Vec<Neighbour>) {
        for neighbour in told.into_iter().take(SHUFFLE_MAX) {
            if neighbour.peer.name == self.me.peer.name {
                continue;
            }
            let known = self
                .known
                .iter_mut()
                .find(|known| known.peer.name == neighbour.peer.name);
            match known {
                Some(known) if neighbour.age <= known.age => *known = neighbour,
                Some(_) => {}
                None => self.known.push(neighbour),
            }
        }
        self.known.sort_by_key(|neighbour| neighbour.age);
        self.known.truncate(VIEW_MAX);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    use std::collections::BTreeSet;

    fn view(number: usize) -> View {
        let peer = PeerRef {
            name: number.to_string(),
            incarnation: 1,
        };
        View::new(peer, &number.to_string())
    }

    fn shuffle(views: &mut [View], alive: &[bool], random: &mut StdRng) {
        for place in 0..views.len() {
            if !alive[place] {
                continue;
            }
            let Some((target, part)) = views[place].begin(random.random()) else {
                continue;
            };
            let other: usize = target.address.parse().unwrap();
            if alive[other] {
                let answer = views[other].part(random.random());
                views[other].take_in(part);
                views[place].take_in(answer);
            }
        }
    }

    #[test]
    fn all_hear_of_all_and_the_dead_are_forgotten() {
        for seed in 0..20 {
            let mut random = StdRng::seed_from_u64(seed);
            let mut views: Vec<View> = (0..40).map(view).collect();
            let mut alive = vec![true; 40];
            for place in 1..40 {
                let seed_view = views[0].part(0);
                views[place].take_in(seed_view);
            }
            let mut heard: Vec<BTreeSet<String>> = vec![BTreeSet::new(); 40];
            for _ in 0..200 {
                shuffle(&mut views, &alive, &mut random);
                for (place, view) in views.iter().enumerate() {
                    assert!(view.known().len() <= VIEW_MAX);
                    heard[place].extend(view.known().iter().map(|one| one.peer.name.clone()));
                }
            }
            assert!(heard.iter().all(|names| names.len() == 39), "seed {seed}");
            alive[..10].fill(false);
            for _ in 0..120 {
                shuffle(&mut views, &alive, &mut random);
            }
            for view in &views[10..] {
                let is_dead = |one: &Neighbour| one.address.parse::<usize>().unwrap() < 10;
                assert!(!view.known().iter().any(is_dead), "seed {seed}");
                assert!(!view.known().is_empty());
            }
        }
    }

    #[test]
    fn a_newer_life_takes_the_place_of_the_old_one() {
        let mut view = view(0);
        let neighbour = |incarnation, age| Neighbour {
            peer: PeerRef {
                name: "1".into(),
                incarnation,
            },
            address: "1".into(),
            age,
        };
        view.take_in(vec![neighbour(1, 5)]);
        view.take_in(vec![neighbour(2, 0)]);
        view.take_in(vec![neighbour(1, 6)]);
        assert_eq!(view.known()[0].peer.incarnation, 2);
        assert_eq!(view.known().len(), 1);
    }
}
