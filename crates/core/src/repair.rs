use crate::set;
use crate::shared::Shared;
use crate::voting::VoterTask;
use anti_entropy::RangeDigests;
use crossbeam::channel::bounded;
use register::RegisterState;
use std::thread;
use std::time::Duration;
use transport::{PeerMessage, ReplicaDigest, Responder};

/// Handles messages about voter sets and replicas.
pub fn on_message(shared: &Shared, message: PeerMessage, responder: Option<Responder>) {
    match (message, responder) {
        (PeerMessage::Form(set, floor), None) => {
            let includes_this_core = set.voters.iter().any(|voter| voter.disk == shared.disk);
            if includes_this_core {
                if let Some(set) = set::bootstrap_local_voter(shared, set, floor) {
                    shared.store.update_set(&set);
                }
            }
        }
        (PeerMessage::Adopt(set), Some(responder)) => {
            shared.store.update_set(&set);
            let _ = shared.voter.try_send(VoterTask::Adopt(set, responder));
        }
        (PeerMessage::Digests, Some(responder)) => {
            let _ = shared.voter.try_send(VoterTask::ReplicaDigest(responder));
        }
        (PeerMessage::Range(range), Some(responder)) => {
            let _ = shared
                .voter
                .try_send(VoterTask::ReadRange(range, responder));
        }
        (PeerMessage::RememberedClaims(keys), None) => {
            let _ = shared.voter.try_send(VoterTask::Repair(keys));
        }
        _ => {}
    }
}

/// Digest of this core's replica; none if its voter does not answer in time.
pub fn own_digest(shared: &Shared) -> Option<ReplicaDigest> {
    let (reply_to, answer) = bounded(1);
    shared.voter.try_send(VoterTask::OwnDigest(reply_to)).ok()?;
    answer.recv_timeout(shared.timeout()).ok()
}

/// Digest of a voter's replica; none if it does not answer in time.
pub fn fetch_digest(shared: &Shared, address: &str) -> Option<ReplicaDigest> {
    match shared
        .links
        .ask_wait(address, PeerMessage::Digests, shared.timeout())
    {
        Some(PeerMessage::DigestsResponse(digest)) => Some(digest),
        _ => None,
    }
}

/// Reads another voter's replica: only the ranges whose digests differ from `known`, if given, else all that are
/// not empty. None if any of them cannot be read.
pub fn fetch_replica(
    shared: &Shared,
    address: &str,
    known: Option<&[u64]>,
) -> Option<(ReplicaDigest, Vec<(String, RegisterState)>)> {
    let digest = fetch_digest(shared, address)?;
    let own = known.map_or_else(RangeDigests::default, RangeDigests::from_ranges);
    let differing = own.differing_ranges(&digest.ranges);
    let mut keys = Vec::new();
    for range in differing {
        let answer = shared
            .links
            .ask_wait(address, PeerMessage::Range(range), shared.timeout());
        let Some(PeerMessage::RangeResponse(registers)) = answer else {
            return None;
        };
        keys.extend(registers);
    }
    Some((digest, keys))
}

/// Periodically compares this core's replica with those of the other voters and repairs it from newer values.
pub fn run(shared: &Shared) {
    loop {
        let bounds = shared.store.committed().configuration.bounds.clone();
        thread::sleep(Duration::from_millis(2 * bounds.change_ms));
        let set = shared.store.set();
        let is_member = set.voters.iter().any(|voter| voter.disk == shared.disk);
        if !is_member {
            continue;
        }
        for voter in set.voters.iter().filter(|voter| voter.disk != shared.disk) {
            let Some(own) = own_digest(shared).filter(|own| own.set.version() == set.version())
            else {
                continue;
            };
            let Some((digest, keys)) = fetch_replica(shared, &voter.address, Some(&own.ranges))
            else {
                continue;
            };
            if digest.set.version() == set.version() && !keys.is_empty() {
                let _ = shared.voter.try_send(VoterTask::Repair(keys));
            }
        }
    }
}
