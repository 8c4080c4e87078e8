//! Tests that shuffles spread every daemon to every view and that dead daemons are removed.

use configuration::PeerRef;
use peer_sampling::{PartialView, PeerDescriptor, MAX_VIEW_SIZE};
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
    for index in 0..views.len() {
        if !alive[index] {
            continue;
        }
        let Some((target, sample)) = views[index].begin_shuffle(random.random()) else {
            continue;
        };
        let other: usize = target.address.parse().unwrap();
        if alive[other] {
            let response = views[other].sample(random.random());
            views[other].merge(sample);
            views[index].merge(response);
        }
    }
}

#[test]
fn every_daemon_learns_of_every_other_and_drops_dead_ones() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut views: Vec<PartialView> = (0..40).map(view).collect();
        let mut alive = vec![true; 40];
        for index in 1..40 {
            let seed_view = views[0].sample(0);
            views[index].merge(seed_view);
        }
        let mut heard: Vec<BTreeSet<String>> = vec![BTreeSet::new(); 40];
        for _ in 0..200 {
            shuffle(&mut views, &alive, &mut random);
            for (index, view) in views.iter().enumerate() {
                assert!(view.peers().len() <= MAX_VIEW_SIZE);
                heard[index].extend(view.peers().iter().map(|one| one.peer.name.clone()));
            }
        }
        assert!(heard.iter().all(|names| names.len() == 39), "seed {seed}");
        alive[..10].fill(false);
        for _ in 0..120 {
            shuffle(&mut views, &alive, &mut random);
        }
        for view in &views[10..] {
            let is_dead = |one: &PeerDescriptor| one.address.parse::<usize>().unwrap() < 10;
            assert!(!view.peers().iter().any(is_dead), "seed {seed}");
            assert!(!view.peers().is_empty());
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
    assert_eq!(view.peers()[0].peer.incarnation, 2);
    assert_eq!(view.peers().len(), 1);
}
