use crate::shared::Shared;
use crate::voter::Work;
use crossbeam::channel::bounded;
use register::{VoterRef, VoterSet};
use std::thread;
use std::time::Duration;
use wire::Message;

const PATIENCE: Duration = Duration::from_millis(500);

struct Heard {
    address: String,
    disk: u64,
    set: VoterSet,
}

/// Finds out which voters count. Where all three seeds say that they are empty, the first of them
/// forms the first set; a core that is empty beside others takes the set that names its disk.
pub fn settle_set(shared: &Shared) {
    loop {
        let heard = hear(shared);
        let newest = heard.iter().max_by_key(|one| one.set.mark());
        let Some(newest) = newest else {
            thread::sleep(PATIENCE);
            continue;
        };
        if newest.set.era > 0 {
            let names_us = newest.set.voters.iter().any(|one| one.disk == shared.disk);
            if names_us && shared.store.set().era == 0 {
                form_here(shared, newest.set.clone());
            }
            shared.store.learn_set(&newest.set);
        } else if heard.len() == shared.settings.seeds.len() {
            let is_first = shared.settings.seeds[0] == shared.settings.wire;
            if is_first {
                form_all(shared, &heard);
            }
        }
        let is_settled = shared.store.set().era > 0;
        let pause = if is_settled {
            4 * PATIENCE
        } else {
            PATIENCE / 5
        };
        thread::sleep(pause);
    }
}

fn hear(shared: &Shared) -> Vec<Heard> {
    let (sender, receiver) = bounded(shared.settings.seeds.len());
    for seed in &shared.settings.seeds {
        let (sender, address) = (sender.clone(), seed.to_string());
        let at = address.clone();
        let on_answer = Box::new(move |answer| {
            if let Message::HelloAnswer { disk, set } = answer {
                let _ = sender.try_send(Heard { address, disk, set });
            }
        });
        shared.links.ask(&at, Message::Hello, on_answer);
    }
    drop(sender);
    let mut heard = Vec::new();
    while heard.len() < shared.settings.seeds.len() {
        let Ok(one) = receiver.recv_timeout(PATIENCE) else {
            break;
        };
        heard.push(one);
    }
    heard
}

fn form_all(shared: &Shared, heard: &[Heard]) {
    let voters = heard.iter().map(|one| VoterRef {
        disk: one.disk,
        address: one.address.clone(),
    });
    let set = VoterSet {
        era: 1,
        no: 1,
        voters: voters.collect(),
    };
    // This core's own copy first: where it stops half-way, it forms the same set again.
    let formed = form_here(shared, set);
    let Some(set) = formed else {
        return;
    };
    log::info!(
        "set: formed era {} with {} voters",
        set.era,
        set.voters.len()
    );
    for voter in &set.voters {
        shared
            .links
            .cast(&voter.address, Message::Form(set.clone()));
    }
    shared.store.learn_set(&set);
}

/// Takes a first set on this core's own disk.
pub fn form_here(shared: &Shared, set: VoterSet) -> Option<VoterSet> {
    let (told, answer) = bounded(1);
    shared.voter.send(Work::Form(set, told)).ok()?;
    answer.recv().ok()
}
