use super::disk::VoterDisk;
use super::proposer::Proposer;
use super::state::{first_set, voter, System, MAJORITIES, MEMBERS, NEWCOMER, REPLACED, VALUE_KEY};
use crate::explorer::Model;
use crate::fingerprint::Fingerprinter;
use consensus::DiskWork;
use register::{Change, ChangeOutcome, VOTERS_KEY};
use speedy::Writable;
use std::collections::BTreeMap;

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
            let next = first_set().with_replacement(REPLACED, voter(NEWCOMER));
            let bytes = next.expect("the newcomer is new").write_to_vec();
            let bytes = bytes.expect("a set can be written");
            add(VOTERS_KEY, Change::Write { expected: 0, bytes });
        }
        proposers
    }
}

impl Model for Registers {
    type State = System;
    type Action = Step;

    fn initial_states(&self) -> Vec<System> {
        let mut disks = BTreeMap::new();
        for disk in 1..=MEMBERS {
            let mut voter = VoterDisk::empty();
            voter.work(DiskWork::FormSet(first_set()));
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
                let work = DiskWork::AdoptSet(next.set.clone());
                next.disks.get_mut(disk).map(|voter| voter.work(work));
            }
            Step::Copy(disk) => {
                let mark = next.set.version();
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
        let Some(set) = newest.max_by_key(|set| set.version()) else {
            return Ok(());
        };
        let members = set.voters.iter();
        let members = members.filter_map(|voter| state.disks.get(&voter.disk));
        let voting = members.filter(|disk| disk.held().set().version() == set.version());
        let lacking = voting.filter(|disk| {
            let held = disk.held().register(VALUE_KEY);
            held.map_or(0, |held| held.value.version) < state.acknowledged
        });
        if lacking.count() >= set.majority() {
            return Err(format!(
                "version {} was acknowledged, and a majority of set {:?} votes without it",
                state.acknowledged,
                set.version()
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
        let votes = newcomer.is_some_and(|disk| disk.held().set().epoch > 0);
        let settled = state.proposers.iter().filter(|one| {
            one.key == VALUE_KEY && matches!(one.outcome, Some(ChangeOutcome::Committed(_)))
        });
        let is_second = settled.clone().any(|one| one.set.number == 2);
        vec![
            state.acknowledged > 0,
            votes,
            is_second,
            settled.count() >= 2,
        ]
    }
}
