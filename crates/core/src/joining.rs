use crate::repair::{copy_of, pull};
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

/// Takes the next step of an empty core into the set of voters.
pub fn step(shared: &Shared, joining: &mut MembershipChange, set: &VoterSet, heard: &[PeerStatus]) {
    let Some((version, newest)) = settled_set(shared, set) else {
        return;
    };
    let me = VoterRef {
        disk: shared.disk,
        address: shared.settings.address().to_string(),
    };
    let timeout = shared.store.committed().configuration.bounds.return_ms;
    let answering: Vec<u64> = heard.iter().map(|one| one.disk).collect();
    let view = MembershipView {
        now: now_ms(),
        replacement_timeout_ms: timeout,
        local_voter: &me,
        set,
        answering: &answering,
        committed_version: version,
        committed_set: &newest,
    };
    match joining.decide(&view) {
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

/// Puts an empty core in the place of a voter, as an operator asks. It is refused where too few of
/// the other voters answer for the new set to have a majority at once.
pub fn replace(shared: &Shared, old: &str, new: &str) -> Result<VoterSet, String> {
    let set = shared.store.set();
    let leaving = set.voters.iter().find(|voter| voter.address == old);
    let Some(leaving) = leaving else {
        return Err(format!("{old} is no voter"));
    };
    let staying = set.voters.iter().filter(|voter| voter.address != old);
    let answering = staying
        .filter(|voter| copy_of(shared, &voter.address).is_some_and(|copy| copy.set == *set))
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
        set: their_set,
        ..
    }) = hello
    else {
        return Err(format!("no core answers at {new}"));
    };
    if their_set.epoch != 0 {
        return Err(format!("the core at {new} is not empty"));
    }
    let newcomer = VoterRef {
        disk,
        address: new.to_string(),
    };
    let next = set.with_replacement(leaving.disk, newcomer);
    let next = next.ok_or_else(|| format!("the core at {new} is a voter already"))?;
    let (version, committed) =
        settled_set(shared, &set).ok_or_else(|| "no majority of voters answers".to_string())?;
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

/// The newest set that was settled, with its register's version.
pub fn settled_set(shared: &Shared, set: &VoterSet) -> Option<(u64, VoterSet)> {
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

/// Tells the members of the old set to take the new one, and waits for a majority of them.
pub fn adopt(shared: &Shared, old: &VoterSet, next: &VoterSet) -> bool {
    let mut adopted = 0;
    for voter in &old.voters {
        let question = PeerMessage::Adopt(next.clone());
        let answer = shared
            .links
            .ask_wait(&voter.address, question, shared.timeout());
        if let Some(PeerMessage::Adopted(set)) = answer {
            adopted += usize::from(set.version() >= next.version());
        }
    }
    let is_majority = adopted >= old.majority();
    if is_majority {
        shared.store.learn_set(next);
        log::info!("set: {adopted} voters are in set {} now", next.version());
    }
    is_majority
}

/// Takes over what a majority of the other members holds.
fn install(shared: &Shared, set: &VoterSet) {
    let mut copies = Vec::new();
    let mut claim_floors = ClaimFloors::default();
    for voter in set.voters.iter().filter(|voter| voter.disk != shared.disk) {
        let Some((copy, keys)) = pull(shared, &voter.address, None) else {
            continue;
        };
        if copy.set.version() == set.version() {
            claim_floors = claim_floors.max(copy.claim_floors);
            copies.push(keys);
        }
    }
    if copies.len() < set.majority() {
        return;
    }
    let keys = merge_replicas(copies);
    let count = keys.len();
    let (reported, answer) = bounded(1);
    let set = set.clone();
    let given = Installation {
        set,
        claim_floors,
        registers: keys,
    };
    if shared
        .voter
        .send(VoterTask::Install(given, reported))
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
