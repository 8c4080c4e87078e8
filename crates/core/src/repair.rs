use crate::set;
use crate::shared::Shared;
use crate::voting::VoterTask;
use anti_entropy::RangeDigests;
use crossbeam::channel::bounded;
use register::RegisterState;
use std::thread;
use std::time::Duration;
use transport::{PeerMessage, ReplicaDigest, Responder};

/// Takes the messages that have to do with sets and copies.
pub fn on_message(shared: &Shared, message: PeerMessage, responder: Option<Responder>) {
    match (message, responder) {
        (PeerMessage::Form(set, floor), None) => {
            let names_us = set.voters.iter().any(|voter| voter.disk == shared.disk);
            if names_us {
                if let Some(set) = set::form_here(shared, set, floor) {
                    shared.store.learn_set(&set);
                }
            }
        }
        (PeerMessage::Adopt(set), Some(responder)) => {
            shared.store.learn_set(&set);
            let _ = shared.voter.try_send(VoterTask::Adopt(set, responder));
        }
        (PeerMessage::Digests, Some(responder)) => {
            let _ = shared.voter.try_send(VoterTask::ReplicaDigest(responder));
        }
        (PeerMessage::Range(range), Some(responder)) => {
            let _ = shared.voter.try_send(VoterTask::Range(range, responder));
        }
        (PeerMessage::RememberedClaims(keys), None) => {
            let _ = shared.voter.try_send(VoterTask::Repair(keys));
        }
        _ => {}
    }
}

/// This core's own copy in short.
pub fn own_copy(shared: &Shared) -> Option<ReplicaDigest> {
    let (reported, answer) = bounded(1);
    shared.voter.try_send(VoterTask::Digests(reported)).ok()?;
    answer.recv_timeout(shared.timeout()).ok()
}

/// A voter's copy in short; none where it does not answer.
pub fn copy_of(shared: &Shared, address: &str) -> Option<ReplicaDigest> {
    match shared
        .links
        .ask_wait(address, PeerMessage::Digests, shared.timeout())
    {
        Some(PeerMessage::DigestsResponse(copy)) => Some(copy),
        _ => None,
    }
}

/// Reads another voter's copy: the ranges that differ from `known`, or all that hold anything.
pub fn pull(
    shared: &Shared,
    address: &str,
    known: Option<&[u64]>,
) -> Option<(ReplicaDigest, Vec<(String, RegisterState)>)> {
    let copy = copy_of(shared, address)?;
    let own = known.map_or_else(RangeDigests::default, RangeDigests::from_ranges);
    let differing = own.differing_ranges(&copy.ranges);
    let mut keys = Vec::new();
    for range in differing {
        let answer = shared
            .links
            .ask_wait(address, PeerMessage::Range(range), shared.timeout());
        let Some(PeerMessage::RangeResponse(held)) = answer else {
            return None;
        };
        keys.extend(held);
    }
    Some((copy, keys))
}

/// Compares this core's copy with the other voters' now and then and mends it from the newer.
pub fn keep(shared: &Shared) {
    loop {
        let bounds = shared.store.committed().configuration.bounds.clone();
        thread::sleep(Duration::from_millis(2 * bounds.change_ms));
        let set = shared.store.set();
        let is_member = set.voters.iter().any(|voter| voter.disk == shared.disk);
        if !is_member {
            continue;
        }
        for voter in set.voters.iter().filter(|voter| voter.disk != shared.disk) {
            let Some(own) = own_copy(shared).filter(|own| own.set.version() == set.version())
            else {
                continue;
            };
            let Some((copy, keys)) = pull(shared, &voter.address, Some(&own.ranges)) else {
                continue;
            };
            if copy.set.version() == set.version() && !keys.is_empty() {
                let _ = shared.voter.try_send(VoterTask::Repair(keys));
            }
        }
    }
}
