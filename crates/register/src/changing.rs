use crate::acceptor::RegisterState;
use crate::message::{VoterRef, VoterSet};
use std::collections::BTreeMap;

/// Key of the register that settles which set follows.
pub const VOTERS_KEY: &str = "voters";

/// The set that follows when a newcomer takes the place of one member.
pub fn replaced(set: &VoterSet, old_disk: u64, newcomer: VoterRef) -> Option<VoterSet> {
    if set.voters.iter().any(|voter| voter.disk == newcomer.disk) {
        return None;
    }
    let mut next = set.clone();
    next.number += 1;
    let place = next
        .voters
        .iter()
        .position(|voter| voter.disk == old_disk)?;
    next.voters[place] = newcomer;
    Some(next)
}

/// The set that follows when a member is reached at another address.
pub fn relocated(set: &VoterSet, disk: u64, address: &str) -> Option<VoterSet> {
    let mut next = set.clone();
    next.number += 1;
    let mut members = next.voters.iter_mut();
    let member = members.find(|voter| voter.disk == disk)?;
    if member.address == address {
        return None;
    }
    member.address = address.to_string();
    Some(next)
}

/// What a newcomer must hold, from the copies of a majority of the others: for each key the newest
/// accepted value and the highest promise.
pub fn merge_replicas(copies: Vec<Vec<(String, RegisterState)>>) -> Vec<(String, RegisterState)> {
    let mut keys: BTreeMap<String, RegisterState> = BTreeMap::new();
    for (key, held) in copies.into_iter().flatten() {
        let known = keys.entry(key).or_default();
        known.promised = known.promised.max(held.promised);
        if held.accepted > known.accepted {
            known.accepted = held.accepted;
            known.value = held.value;
        }
    }
    keys.into_iter().collect()
}

/// The set that follows when a newcomer is added to it.
pub fn grown(set: &VoterSet, newcomer: VoterRef) -> Option<VoterSet> {
    let is_known =
        |voter: &VoterRef| voter.disk == newcomer.disk || voter.address == newcomer.address;
    if set.voters.iter().any(is_known) {
        return None;
    }
    let mut next = set.clone();
    next.number += 1;
    next.voters.push(newcomer);
    Some(next)
}
