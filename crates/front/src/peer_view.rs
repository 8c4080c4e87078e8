use crate::shared::Shared;
use peer_sampling::PeerDescriptor;
use rand::Rng;
use std::thread;
use std::time::Duration;
use transport::PeerMessage;

/// Merges a sample of another front's view into this one. Returns a sample of this view.
pub fn exchange(shared: &Shared, part: Vec<PeerDescriptor>) -> Vec<PeerDescriptor> {
    for descriptor in &part {
        shared.record_address(&descriptor.peer, &descriptor.address);
    }
    let mut view = shared.view.lock();
    let reply_part = view.sample(rand::rng().random());
    view.merge(part);
    reply_part
}

/// Periodically shuffles the view with its oldest neighbour.
pub fn run_shuffle(shared: &Shared) {
    loop {
        let bounds = shared.configuration.load().bounds.clone();
        thread::sleep(Duration::from_millis(bounds.lease_ms() / 3));
        let shuffle = shared.view.lock().begin_shuffle(rand::rng().random());
        let Some((descriptor, part)) = shuffle else {
            continue;
        };
        let timeout = Duration::from_millis(bounds.lease_ms());
        let request = PeerMessage::Shuffle(part);
        let answer = shared.links.ask_wait(&descriptor.address, request, timeout);
        if let Some(PeerMessage::Shuffle(part)) = answer {
            exchange(shared, part);
        }
    }
}
