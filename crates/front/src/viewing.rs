use crate::shared::Shared;
use peer_sampling::Neighbour;
use rand::Rng;
use std::thread;
use std::time::Duration;
use transport::Message;

/// Takes a part of another front's view in, and gives a part of this one's.
pub fn take_in(shared: &Shared, part: Vec<Neighbour>) -> Vec<Neighbour> {
    for neighbour in &part {
        shared.meet(&neighbour.peer, &neighbour.address);
    }
    let mut view = shared.view.lock();
    let own_part = view.part(rand::rng().random());
    view.take_in(part);
    own_part
}

/// Shuffles the view with its oldest neighbour, again and again.
pub fn keep(shared: &Shared) {
    loop {
        let bounds = shared.blueprint.load().bounds.clone();
        thread::sleep(Duration::from_millis(bounds.lease_ms() / 3));
        let begun = shared.view.lock().begin(rand::rng().random());
        let Some((neighbour, part)) = begun else {
            continue;
        };
        let patience = Duration::from_millis(bounds.lease_ms());
        let question = Message::Shuffle(part);
        let answer = shared
            .links
            .ask_wait(&neighbour.address, question, patience);
        if let Some(Message::Shuffle(part)) = answer {
            take_in(shared, part);
        }
    }
}
