use crate::repair::{fetch_digest, fetch_replica};
use crate::shared::Shared;
use crate::voting::VoterTask;
use crossbeam::channel::bounded;
use register::{
    merge_replicas, Change, ChangeOutcome, ClaimFloors, VersionedValue, VoterRef, VoterSet,
    VOTERS_KEY,
};
use speedy::{Readable, Writable};
use transport::{now_ms, PeerMessage};
use voter::{Installation, MembershipChange, MembershipStep, MembershipView, PeerStatus};

/// Executes the next step by which a core without a voter set becomes a voter.
pub fn step(
    shared: &Shared,
    membership_change: &mut MembershipChange,
    set: &VoterSet,
    statuses: &[PeerStatus],
) {
    let Some((version, committed_set)) = read_committed_set(shared, set) else {
        return;
    };
    let local_voter = VoterRef {
        disk: shared.disk,
        address: shared.settings.address().to_string(),
    };
    let timeout = shared.store.committed().configuration.bounds.return_ms;
    let answering: Vec<u64> = statuses.iter().map(|status| status.disk).collect();
    let view = MembershipView {
        now: now_ms(),
        replacement_timeout_ms: timeout,
        local_voter: &local_voter,
        set,
        answering: &answering,
        committed_version: version,
        committed_set: &committed_set,
    };
    match membership_change.decide(&view) {
        MembershipStep::Wait => {}
        MembershipStep::Adopt(next) => {
            adopt(shared, set, &next);
        }
        MembershipStep::Install => install(shared, set),
        MembershipStep::Propose { expected, next } => {
            log::warn!("set: this empty core takes the place of a voter");
            let bytes = next.write_to_vec().unwrap_or_default();
            let change = Change::Write { expected, bytes };
            let (_, outcome) = shared.store.change(VOTERS_KEY, change, shared.timeout());
            if let ChangeOutcome::Committed(_) = outcome {
                adopt(shared, set, &next);
            }
        }
    }
}

/// Replaces a voter by an empty core on an operator's request. Rejected unless enough of the remaining voters
/// answer for the new set to have a majority immediately.
pub fn replace(shared: &Shared, old: &str, new: &str) -> Result<VoterSet, String> {
    let set = shared.store.set();
    let replaced = set.voters.iter().find(|voter| voter.address == old);
    let Some(replaced) = replaced else {
        return Err(format!("{old} is no voter"));
    };
    let remaining = set.voters.iter().filter(|voter| voter.address != old);
    let answering = remaining
        .filter(|voter| fetch_digest(shared, &voter.address).is_some_and(|copy| copy.set == *set))
        .count();
    if answering < set.majority() {
        return Err(format!(
            "only {answering} of the other voters answer; without {old} there would be no majority"
        ));
    }
    let hello = shared
        .links
        .ask_wait(new, PeerMessage::Hello, shared.timeout());
    let Some(PeerMessage::HelloResponse {
        disk,
        set: new_core_set,
        ..
    }) = hello
    else {
        return Err(format!("no core answers at {new}"));
    };
    if new_core_set.epoch != 0 {
        return Err(format!("the core at {new} is not empty"));
    }
    let new_voter = VoterRef {
        disk,
        address: new.to_string(),
    };
    let next = set.with_replacement(replaced.disk, new_voter);
    let next = next.ok_or_else(|| format!("the core at {new} is a voter already"))?;
    let (version, committed) = read_committed_set(shared, &set)
        .ok_or_else(|| "no majority of voters answers".to_string())?;
    if committed.version() > set.version() {
        adopt(shared, &set, &committed);
        return Err("another change of the voters was under way; ask again".into());
    }
    let change = Change::Write {
        expected: version,
        bytes: next.write_to_vec().unwrap_or_default(),
    };
    match shared.store.change(VOTERS_KEY, change, shared.timeout()) {
        (_, ChangeOutcome::Committed(_)) if adopt(shared, &set, &next) => Ok(next),
        (_, outcome) => Err(format!("the change did not go through: {outcome:?}")),
    }
}

/// Reads the committed voter set at a majority, with the version of its register.
pub fn read_committed_set(shared: &Shared, set: &VoterSet) -> Option<(u64, VoterSet)> {
    let (_, outcome) = shared
        .store
        .change(VOTERS_KEY, Change::Read, shared.timeout());
    let ChangeOutcome::Committed(stored) = outcome else {
        return None;
    };
    Some((stored.version, read_set(&stored, set)))
}

fn read_set(stored: &VersionedValue, known: &VoterSet) -> VoterSet {
    VoterSet::read_from_buffer(&stored.bytes).unwrap_or_else(|_| known.clone())
}

/// Sends the new set to the members of the old one. Returns whether a majority of them adopted it.
pub fn adopt(shared: &Shared, old: &VoterSet, next: &VoterSet) -> bool {
    let mut adopted = 0;
    for voter in &old.voters {
        let request = PeerMessage::Adopt(next.clone());
        let answer = shared
            .links
            .ask_wait(&voter.address, request, shared.timeout());
        if let Some(PeerMessage::Adopted(set)) = answer {
            adopted += usize::from(set.version() >= next.version());
        }
    }
    let is_majority = adopted >= old.majority();
    if is_majority {
        shared.store.update_set(next);
        log::info!("set: {adopted} voters are in set {} now", next.version());
    }
    is_majority
}

/// Installs the merged registers of a majority of the other members into this core's voter.
fn install(shared: &Shared, set: &VoterSet) {
    let mut replicas = Vec::new();
    let mut claim_floors = ClaimFloors::default();
    for voter in set.voters.iter().filter(|voter| voter.disk != shared.disk) {
        let Some((digest, keys)) = fetch_replica(shared, &voter.address, None) else {
            continue;
        };
        if digest.set.version() == set.version() {
            claim_floors = claim_floors.max(digest.claim_floors);
            replicas.push(keys);
        }
    }
    if replicas.len() < set.majority() {
        return;
    }
    let keys = merge_replicas(replicas);
    let count = keys.len();
    let (reply_to, answer) = bounded(1);
    let set = set.clone();
    let installation = Installation {
        set,
        claim_floors,
        registers: keys,
    };
    if shared
        .voter
        .send(VoterTask::Install(installation, reply_to))
        .is_err()
    {
        return;
    }
    if let Ok(set) = answer.recv() {
        log::warn!(
            "set: this core votes in set {} with {count} keys",
            set.version()
        );
    }
}
