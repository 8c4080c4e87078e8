use crate::mending::{copy_of, pull};
use crate::set::Heard;
use crate::shared::Shared;
use crate::voter::{Install, Work};
use crossbeam::channel::bounded;
use register::{merged, replaced, Change, Outcome, Stored, VoterRef, VoterSet, VOTERS_KEY};
use speedy::{Readable, Writable};
use std::time::Duration;
use wire::{now_ms, Message};

const PATIENCE: Duration = Duration::from_secs(1);

/// An empty core's way into the set of voters.
#[derive(Default)]
pub struct Joining {
    /// Members that did not answer, and since when.
    silent: Vec<(u64, u64)>,
}

impl Joining {
    /// Takes the next step: finish a change that was settled, install what the others hold, or ask
    /// for the place of a member that is gone.
    pub fn step(&mut self, shared: &Shared, set: &VoterSet, heard: &[Heard]) {
        let Some((version, settled)) = settled_set(shared, set) else {
            return;
        };
        if settled.mark() > set.mark() {
            adopt(shared, set, &settled);
            return;
        }
        if set.voters.iter().any(|voter| voter.disk == shared.disk) {
            install(shared, set);
            return;
        }
        let Some(gone) = self.gone(shared, set, heard) else {
            return;
        };
        let newcomer = VoterRef {
            disk: shared.disk,
            address: shared.settings.address().to_string(),
        };
        let Some(next) = replaced(set, gone.disk, newcomer) else {
            return;
        };
        log::warn!(
            "set: this empty core takes the place of the voter at {}",
            gone.address
        );
        let change = Change::Write {
            expected: version,
            bytes: next.write_to_vec().unwrap_or_default(),
        };
        let (_, outcome) = shared.store.change(VOTERS_KEY, change, PATIENCE);
        if let Outcome::Settled(_) = outcome {
            adopt(shared, set, &next);
        }
    }

    /// A member whose place is free: its disk was emptied, or it has been silent for as long as the
    /// service may take to return.
    fn gone(&mut self, shared: &Shared, set: &VoterSet, heard: &[Heard]) -> Option<VoterRef> {
        let now = now_ms();
        let patience = shared.store.settled().blueprint.bounds.return_ms;
        let own_address = shared.settings.address().to_string();
        let answers = |voter: &&VoterRef| heard.iter().any(|one| one.disk == voter.disk);
        self.silent.retain(|(disk, _)| {
            let is_member = set.voters.iter().any(|voter| voter.disk == *disk);
            is_member && !heard.iter().any(|one| one.disk == *disk)
        });
        let mut missing = set.voters.iter().filter(|voter| !answers(voter));
        missing
            .find(|voter| {
                if voter.address == own_address {
                    return true;
                }
                let known = self.silent.iter().find(|(disk, _)| *disk == voter.disk);
                let since = known.map_or(now, |(_, since)| *since);
                if known.is_none() {
                    self.silent.push((voter.disk, now));
                }
                since + patience <= now
            })
            .cloned()
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
    let hello = shared.links.ask_wait(new, Message::Hello, PATIENCE);
    let Some(Message::HelloAnswer {
        disk,
        set: their_set,
    }) = hello
    else {
        return Err(format!("no core answers at {new}"));
    };
    if their_set.era != 0 {
        return Err(format!("the core at {new} is not empty"));
    }
    let newcomer = VoterRef {
        disk,
        address: new.to_string(),
    };
    let next = replaced(&set, leaving.disk, newcomer);
    let next = next.ok_or_else(|| format!("the core at {new} is a voter already"))?;
    let (version, settled) =
        settled_set(shared, &set).ok_or_else(|| "no majority of voters answers".to_string())?;
    if settled.mark() > set.mark() {
        adopt(shared, &set, &settled);
        return Err("another change of the voters was under way; ask again".into());
    }
    let change = Change::Write {
        expected: version,
        bytes: next.write_to_vec().unwrap_or_default(),
    };
    match shared.store.change(VOTERS_KEY, change, PATIENCE) {
        (_, Outcome::Settled(_)) if adopt(shared, &set, &next) => Ok(next),
        (_, outcome) => Err(format!("the change did not go through: {outcome:?}")),
    }
}

/// The newest set that was settled, with its register's version.
pub fn settled_set(shared: &Shared, set: &VoterSet) -> Option<(u64, VoterSet)> {
    let (_, outcome) = shared.store.change(VOTERS_KEY, Change::Read, PATIENCE);
    let Outcome::Settled(stored) = outcome else {
        return None;
    };
    Some((stored.version, read_set(&stored, set)))
}

fn read_set(stored: &Stored, known: &VoterSet) -> VoterSet {
    VoterSet::read_from_buffer(&stored.bytes).unwrap_or_else(|_| known.clone())
}

/// Tells the members of the old set to take the new one, and waits for a majority of them.
pub fn adopt(shared: &Shared, old: &VoterSet, next: &VoterSet) -> bool {
    let mut adopted = 0;
    for voter in &old.voters {
        let question = Message::Adopt(next.clone());
        let answer = shared.links.ask_wait(&voter.address, question, PATIENCE);
        if let Some(Message::Adopted(set)) = answer {
            adopted += usize::from(set.mark() >= next.mark());
        }
    }
    let is_majority = adopted >= old.majority();
    if is_majority {
        shared.store.learn_set(next);
        log::info!("set: {adopted} voters are in set {:?} now", next.mark());
    }
    is_majority
}

/// Takes over what a majority of the other members holds.
fn install(shared: &Shared, set: &VoterSet) {
    let mut copies = Vec::new();
    let mut floors = (0, 0);
    for voter in set.voters.iter().filter(|voter| voter.disk != shared.disk) {
        let Some((copy, keys)) = pull(shared, &voter.address, None) else {
            continue;
        };
        if copy.set.mark() == set.mark() {
            floors = (floors.0.max(copy.floors.0), floors.1.max(copy.floors.1));
            copies.push(keys);
        }
    }
    if copies.len() < set.majority() {
        return;
    }
    let keys = merged(copies);
    let count = keys.len();
    let (told, answer) = bounded(1);
    let set = set.clone();
    let install = Install { set, floors, keys };
    if shared.voter.send(Work::Install(install, told)).is_err() {
        return;
    }
    if let Ok(set) = answer.recv() {
        log::warn!(
            "set: this core votes in set {:?} with {count} keys",
            set.mark()
        );
    }
}
