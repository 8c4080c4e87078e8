use crate::shared::Shared;
use peer_sampling::PeerDescriptor;
use rand::Rng;
use std::thread;
use std::time::Duration;
use transport::PeerMessage;

/// Takes a part of another front's view in, and gives a part of this one's.
pub fn take_in(shared: &Shared, part: Vec<PeerDescriptor>) -> Vec<PeerDescriptor> {
    for descriptor in &part {
        shared.meet(&descriptor.peer, &descriptor.address);
    }
    let mut view = shared.view.lock();
    let own_part = view.sample(rand::rng().random());
    view.merge(part);
    own_part
}

/// Shuffles the view with its oldest neighbour, again and again.
pub fn keep(shared: &Shared) {
    loop {
        let bounds = shared.configuration.load().bounds.clone();
        thread::sleep(Duration::from_millis(bounds.lease_ms() / 3));
        let begun = shared.view.lock().begin_shuffle(rand::rng().random());
        let Some((descriptor, part)) = begun else {
            continue;
        };
        let timeout = Duration::from_millis(bounds.lease_ms());
        let question = PeerMessage::Shuffle(part);
        let answer = shared
            .links
            .ask_wait(&descriptor.address, question, timeout);
        if let Some(PeerMessage::Shuffle(part)) = answer {
            take_in(shared, part);
        }
    }
}
