use super::disk::VoterDisk;
use super::proposer::{Proposer, Question};
use crate::explorer::Model;
use crate::fingerprint::Fingerprinter;
use council::{CopyPage, DiskWork, Installation};
use register::{
    merged, replaced, Change, Outcome, VoterMessage, VoterRef, VoterReply, VoterSet, VOTERS_KEY,
};
use speedy::{Readable, Writable};
use std::collections::{BTreeMap, BTreeSet};

const VALUE_KEY: &str = "value";
const MEMBERS: u64 = 3;
const NEWCOMER: u64 = 4;
/// The member whose place the newcomer takes.
const REPLACED: u64 = 3;
/// Majorities of the first set.
const MAJORITIES: [[u64; 2]; 3] = [[1, 2], [1, 3], [2, 3]];

/// Voters, proposers and a newcomer.
pub struct Registers {
    /// Callers that write different values, all upon the empty register.
    pub writers: u64,
    /// Callers that read.
    pub readers: u64,
    /// Whether a newcomer takes a member's place.
    pub has_newcomer: bool,
    /// Times that each proposer goes on after it was beaten.
    pub tries: u64,
}

/// A question that was sent to all voters of a set.
#[derive(Clone, Debug)]
struct Sent {
    proposer: usize,
    number: u64,
    message: VoterMessage,
}

/// The whole system.
#[derive(Clone)]
pub struct System {
    disks: BTreeMap<u64, VoterDisk>,
    proposers: Vec<Proposer>,
    sent: Vec<Sent>,
    /// Answers to questions that are out, by proposer and voter.
    answers: Vec<(usize, u64, VoterReply)>,
    /// The newest set that is settled.
    set: VoterSet,
    copies: BTreeMap<u64, CopyPage>,
    settled: BTreeMap<u64, Vec<u8>>,
    acknowledged: u64,
}

/// One step of one part.
#[derive(Clone, Debug)]
pub enum Step {
    /// A proposer begins.
    Begin(usize),
    /// A beaten proposer goes on.
    Retry(usize),
    /// A voter handles a question: its place in the order of sending, and the voter's disk.
    Handle(usize, u64),
    /// A proposer takes an answer.
    Answer(usize),
    /// A voter follows into the newest set.
    Adopt(u64),
    /// The newcomer gets a voter's copy.
    Copy(u64),
    /// The newcomer installs the copies and votes.
    Install,
    /// A voter's machine crashes and starts again.
    Crash(u64),
}

fn voter(disk: u64) -> VoterRef {
    VoterRef {
        disk,
        address: format!("controller-{disk}"),
    }
}

fn first_set() -> VoterSet {
    VoterSet {
        era: 1,
        no: 1,
        voters: (1..=MEMBERS).map(voter).collect(),
    }
}

impl Registers {
    fn proposers(&self) -> Vec<Proposer> {
        let mut proposers = Vec::new();
        let mut add = |key, change| {
            let id = proposers.len() as u64 + 1;
            proposers.push(Proposer::new(id, key, change, first_set(), self.tries));
        };
        for writer in 0..self.writers {
            let bytes = vec![writer as u8 + 1];
            let expected = 0;
            add(VALUE_KEY, Change::Write { expected, bytes });
        }
        for _ in 0..self.readers {
            add(VALUE_KEY, Change::Read);
        }
        if self.has_newcomer {
            let next = replaced(&first_set(), REPLACED, voter(NEWCOMER));
            let bytes = next.expect("the newcomer is new").write_to_vec();
            let bytes = bytes.expect("a set can be written");
            add(VOTERS_KEY, Change::Write { expected: 0, bytes });
        }
        proposers
    }
}

impl System {
    fn send(&mut self, proposer: usize, question: Option<Question>) {
        let Some(Question { number, ask }) = question else {
            return;
        };
        let mark = self.proposers[proposer].set.mark();
        let message = VoterMessage { mark, ask };
        self.sent.push(Sent {
            proposer,
            number,
            message,
        });
    }

    /// Lets the last proposer settle the next set at a majority that answers at once.
    fn settle_next_set(&mut self, majority: &[u64]) {
        let changer = self.proposers.len() - 1;
        let mut question = Some(self.proposers[changer].begin(first_set()));
        while let Some(Question { ask, .. }) = question.take() {
            for disk in majority {
                let mark = first_set().mark();
                let ask = ask.clone();
                let voter = self.disks.get_mut(disk).expect("the member has a disk");
                let reply = voter.ask(VoterMessage { mark, ask });
                let reply = reply.expect("the voter answers");
                let place = *disk as usize - 1;
                question = question.or(self.proposers[changer].answer(place, reply));
            }
        }
        let noted = self.note_outcome(changer);
        noted.expect("the next set can be read");
    }

    fn forget_old_answers(&mut self) {
        let proposers = &self.proposers;
        let mut kept: BTreeSet<String> = BTreeSet::new();
        self.answers.retain(|(proposer, disk, reply)| {
            proposers[*proposer].is_running() && kept.insert(format!("{proposer} {disk} {reply:?}"))
        });
        self.answers
            .sort_by_cached_key(|(proposer, disk, reply)| (*proposer, *disk, format!("{reply:?}")));
    }

    fn drop_answers_of(&mut self, proposer: usize) {
        self.answers.retain(|(one, _, _)| *one != proposer);
    }

    fn handle(&mut self, place: usize, disk: u64) {
        let sent = self.sent[place].clone();
        let Some(voter) = self.disks.get_mut(&disk) else {
            return;
        };
        let Some(reply) = voter.ask(sent.message) else {
            return;
        };
        let proposer = &self.proposers[sent.proposer];
        if proposer.is_running() && proposer.number == sent.number {
            self.answers.push((sent.proposer, disk, reply));
        }
        self.forget_old_answers();
    }

    fn answer(&mut self, place: usize) -> Result<(), String> {
        let (proposer, disk, reply) = self.answers.remove(place);
        if let VoterReply::OtherSet { set } = reply {
            // As the product does: the proposer begins anew under a newer set, and asks on under its own else.
            if set.mark() > self.proposers[proposer].set.mark() {
                let question = self.proposers[proposer].begin(set);
                self.drop_answers_of(proposer);
                self.send(proposer, Some(question));
            }
            return Ok(());
        }
        let voters = &self.proposers[proposer].set.voters;
        let Some(voter) = voters.iter().position(|voter| voter.disk == disk) else {
            return Ok(());
        };
        let number = self.proposers[proposer].number;
        let question = self.proposers[proposer].answer(voter, reply);
        if self.proposers[proposer].number != number {
            self.drop_answers_of(proposer);
        }
        self.send(proposer, question);
        self.note_outcome(proposer)
    }

    fn note_outcome(&mut self, place: usize) -> Result<(), String> {
        let proposer = self.proposers[place].clone();
        let Some(Outcome::Settled(stored) | Outcome::Stale(stored)) = &proposer.outcome else {
            return Ok(());
        };
        let is_settled = matches!(proposer.outcome, Some(Outcome::Settled(_)));
        if proposer.key == VOTERS_KEY {
            let set = VoterSet::read_from_buffer(&stored.bytes);
            self.set = set.map_err(|error| error.to_string())?;
            return Ok(());
        }
        if stored.version == 0 && proposer.floor == 0 {
            return Ok(());
        }
        let known = self.settled.entry(stored.version);
        let known = known.or_insert_with(|| stored.bytes.clone());
        if *known != stored.bytes {
            return Err(format!(
                "two values are settled at version {}",
                stored.version
            ));
        }
        let is_foreign =
            matches!(&proposer.change, Change::Write { bytes, .. } if *bytes != stored.bytes);
        if is_settled && is_foreign {
            return Err("another's write was acknowledged".into());
        }
        if is_settled && stored.version < proposer.floor {
            return Err(format!(
                "version {} was acknowledged and {} read later",
                proposer.floor, stored.version
            ));
        }
        if is_settled {
            self.acknowledged = self.acknowledged.max(stored.version);
        }
        Ok(())
    }

    fn has_enough_copies(&self) -> bool {
        let others = self.set.voters.iter().filter(|one| one.disk != NEWCOMER);
        let given = others
            .clone()
            .filter(|one| self.copies.contains_key(&one.disk));
        given.count() > others.count() / 2
    }

    fn install(&mut self) {
        let pages = std::mem::take(&mut self.copies);
        let floors = pages.values().fold((0, 0), |floors: (u64, u64), page| {
            (floors.0.max(page.floors.0), floors.1.max(page.floors.1))
        });
        let installation = Installation {
            set: self.set.clone(),
            floors,
            keys: merged(pages.into_values().map(|page| page.keys).collect()),
        };
        if let Some(disk) = self.disks.get_mut(&NEWCOMER) {
            disk.work(DiskWork::Install(installation));
        }
    }

    /// Steps of the change of sets.
    fn membership_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.set.no < 2 {
            return steps;
        }
        let newcomer_votes = self.disks[&NEWCOMER].held().set().era > 0;
        for (disk, voter) in &self.disks {
            let set = voter.held().set();
            if set.era > 0 && set.no < self.set.no {
                steps.push(Step::Adopt(*disk));
            }
            let is_source = *disk != NEWCOMER && set.mark() == self.set.mark();
            if is_source && !newcomer_votes && !self.copies.contains_key(disk) {
                steps.push(Step::Copy(*disk));
            }
        }
        if !newcomer_votes && self.has_enough_copies() {
            steps.push(Step::Install);
        }
        steps
    }

    fn is_for(&self, sent: &Sent, disk: u64) -> bool {
        // A question is sent to the voters of its set.
        let voters = match sent.message.mark {
            mark if mark == self.set.mark() => self.set.voters.clone(),
            _ => first_set().voters,
        };
        voters.iter().any(|voter| voter.disk == disk)
    }
}

impl Model for Registers {
    type State = System;
    type Action = Step;

    fn initial_states(&self) -> Vec<System> {
        let mut disks = BTreeMap::new();
        for disk in 1..=MEMBERS {
            let mut voter = VoterDisk::empty();
            voter.work(DiskWork::Form(first_set()));
            disks.insert(disk, voter);
        }
        if self.has_newcomer {
            disks.insert(NEWCOMER, VoterDisk::empty());
        }
        let system = System {
            disks,
            proposers: self.proposers(),
            sent: Vec::new(),
            answers: Vec::new(),
            set: first_set(),
            copies: BTreeMap::new(),
            settled: BTreeMap::new(),
            acknowledged: 0,
        };
        if !self.has_newcomer {
            return vec![system];
        }
        let replaced = MAJORITIES.iter().map(|majority| {
            let mut system = system.clone();
            system.settle_next_set(majority);
            system
        });
        replaced.collect()
    }

    fn actions(&self, state: &System) -> Vec<Step> {
        let mut steps = Vec::new();
        for (place, proposer) in state.proposers.iter().enumerate() {
            if proposer.may_begin() {
                steps.push(Step::Begin(place));
            }
            if proposer.may_retry() {
                steps.push(Step::Retry(place));
            }
        }
        for (place, sent) in state.sent.iter().enumerate() {
            let disks = state.disks.keys();
            let disks = disks.filter(|disk| state.is_for(sent, **disk));
            steps.extend(disks.map(|disk| Step::Handle(place, *disk)));
        }
        steps.extend((0..state.answers.len()).map(Step::Answer));
        steps.extend(state.membership_steps());
        steps.extend(state.disks.keys().map(|disk| Step::Crash(*disk)));
        steps
    }

    fn apply(&self, state: &System, step: &Step) -> Result<System, String> {
        let mut next = state.clone();
        match step {
            Step::Begin(place) => {
                next.proposers[*place].floor = next.acknowledged;
                let question = next.proposers[*place].begin(first_set());
                next.send(*place, Some(question));
            }
            Step::Retry(place) => {
                let question = next.proposers[*place].retry();
                next.send(*place, question);
            }
            Step::Handle(place, disk) => next.handle(*place, *disk),
            Step::Answer(place) => next.answer(*place)?,
            Step::Adopt(disk) => {
                let work = DiskWork::Adopt(next.set.clone());
                next.disks.get_mut(disk).map(|voter| voter.work(work));
            }
            Step::Copy(disk) => {
                let mark = next.set.mark();
                let page = next.disks.get_mut(disk).and_then(|voter| voter.copy(mark));
                next.copies.extend(page.map(|page| (*disk, page)));
            }
            Step::Install => next.install(),
            Step::Crash(disk) => {
                next.disks.get_mut(disk).map(VoterDisk::crash);
            }
        }
        Ok(next)
    }

    /// Every majority of the newest set whose members all vote in it holds what was acknowledged.
    fn check(&self, state: &System) -> Result<(), String> {
        let newest = state.disks.values().map(|disk| disk.held().set());
        let Some(set) = newest.max_by_key(|set| set.mark()) else {
            return Ok(());
        };
        let members = set.voters.iter();
        let members = members.filter_map(|voter| state.disks.get(&voter.disk));
        let voting = members.filter(|disk| disk.held().set().mark() == set.mark());
        let lacking = voting.filter(|disk| {
            let held = disk.held().held(VALUE_KEY);
            held.map_or(0, |held| held.stored.version) < state.acknowledged
        });
        if lacking.count() >= set.majority() {
            return Err(format!(
                "version {} was acknowledged, and a majority of set {:?} votes without it",
                state.acknowledged,
                set.mark()
            ));
        }
        Ok(())
    }

    fn fingerprint(&self, state: &System) -> u128 {
        let mut fingerprinter = Fingerprinter::default();
        for disk in state.disks.values() {
            fingerprinter.number(disk.digest());
        }
        fingerprinter.debug(&state.proposers);
        // The order in which questions were sent decides nothing.
        let mut sent: Vec<String> = state.sent.iter().map(|sent| format!("{sent:?}")).collect();
        sent.sort();
        fingerprinter.debug(&sent);
        fingerprinter.debug(&state.answers);
        fingerprinter.debug(&state.copies);
        fingerprinter.debug(&(&state.settled, state.acknowledged, &state.set));
        fingerprinter.finish()
    }

    fn milestones(&self) -> &'static [&'static str] {
        &[
            "a write was acknowledged",
            "the newcomer votes",
            "a change was decided under the second set",
            "two proposers settled",
        ]
    }

    fn reached(&self, state: &System) -> Vec<bool> {
        let newcomer = state.disks.get(&NEWCOMER);
        let votes = newcomer.is_some_and(|disk| disk.held().set().era > 0);
        let settled = state
            .proposers
            .iter()
            .filter(|one| one.key == VALUE_KEY && matches!(one.outcome, Some(Outcome::Settled(_))));
        let is_second = settled.clone().any(|one| one.set.no == 2);
        vec![
            state.acknowledged > 0,
            votes,
            is_second,
            settled.count() >= 2,
        ]
    }
}
