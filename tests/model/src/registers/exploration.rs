use super::disk::ModelDisk;
use super::proposer::Proposer;
use super::state::{
    first_set, voter, System, MAJORITIES, MEMBERS, NEW_MEMBER, REPLACED, VALUE_KEY,
};
use crate::explorer::Model;
use crate::fingerprint::Fingerprinter;
use consensus::DiskWork;
use register::{Change, ChangeOutcome, VOTERS_KEY};
use speedy::Writable;
use std::collections::BTreeMap;

/// Scope of the register model: voters, proposers and a new member.
pub struct Registers {
    /// Number of proposers that write different values, each expecting the empty register.
    pub writers: u64,
    /// Number of proposers that read.
    pub readers: u64,
    /// Whether a new member replaces a member.
    pub has_new_member: bool,
    /// Number of times that each proposer retries after it was preempted.
    pub max_retries: u64,
}

/// A step of a proposer, a voter or the new member.
#[derive(Clone, Debug)]
pub enum RegistersAction {
    /// A proposer starts.
    Begin(usize),
    /// A preempted proposer retries with a higher ballot.
    Retry(usize),
    /// A voter handles a request: the index of the request in sending order, and the voter's disk.
    Handle(usize, u64),
    /// A proposer receives the response with this index.
    DeliverResponse(usize),
    /// A voter adopts the newest set.
    Adopt(u64),
    /// The new member receives a copy of a voter's registers.
    Copy(u64),
    /// The new member installs the copies and starts to vote.
    Install,
    /// A voter's machine crashes and restarts.
    Crash(u64),
}

impl Registers {
    fn proposers(&self) -> Vec<Proposer> {
        let mut proposers = Vec::new();
        let mut add = |key, change| {
            let id = proposers.len() as u64 + 1;
            proposers.push(Proposer::new(
                id,
                key,
                change,
                first_set(),
                self.max_retries,
            ));
        };
        for writer in 0..self.writers {
            let bytes = vec![writer as u8 + 1];
            let expected = 0;
            add(VALUE_KEY, Change::Write { expected, bytes });
        }
        for _ in 0..self.readers {
            add(VALUE_KEY, Change::Read);
        }
        if self.has_new_member {
            let next = first_set().with_replacement(REPLACED, voter(NEW_MEMBER));
            let bytes = next
                .expect("the new member is not in the first set")
                .write_to_vec();
            let bytes = bytes.expect("a set can be serialized");
            add(VOTERS_KEY, Change::Write { expected: 0, bytes });
        }
        proposers
    }
}

impl Model for Registers {
    type State = System;
    type Action = RegistersAction;

    fn initial_states(&self) -> Vec<System> {
        let mut disks = BTreeMap::new();
        for disk in 1..=MEMBERS {
            let mut voter = ModelDisk::empty();
            voter.execute(DiskWork::FormSet(first_set()));
            disks.insert(disk, voter);
        }
        if self.has_new_member {
            disks.insert(NEW_MEMBER, ModelDisk::empty());
        }
        let system = System {
            disks,
            proposers: self.proposers(),
            sent: Vec::new(),
            responses: Vec::new(),
            set: first_set(),
            replica_pages: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: 0,
        };
        if !self.has_new_member {
            return vec![system];
        }
        let replaced = MAJORITIES.iter().map(|majority| {
            let mut system = system.clone();
            system.commit_next_set(majority);
            system
        });
        replaced.collect()
    }

    fn actions(&self, state: &System) -> Vec<RegistersAction> {
        let mut steps = Vec::new();
        for (index, proposer) in state.proposers.iter().enumerate() {
            if proposer.may_start() {
                steps.push(RegistersAction::Begin(index));
            }
            if proposer.may_retry() {
                steps.push(RegistersAction::Retry(index));
            }
        }
        for (index, sent) in state.sent.iter().enumerate() {
            let disks = state.disks.keys();
            let disks = disks.filter(|disk| state.is_addressed_to(sent, **disk));
            steps.extend(disks.map(|disk| RegistersAction::Handle(index, *disk)));
        }
        steps.extend((0..state.responses.len()).map(RegistersAction::DeliverResponse));
        steps.extend(state.membership_steps());
        steps.extend(state.disks.keys().map(|disk| RegistersAction::Crash(*disk)));
        steps
    }

    fn apply(&self, state: &System, step: &RegistersAction) -> Result<System, String> {
        let mut next = state.clone();
        match step {
            RegistersAction::Begin(index) => {
                next.proposers[*index].acknowledged_before = next.acknowledged;
                let request = next.proposers[*index].begin(first_set());
                next.send(*index, Some(request));
            }
            RegistersAction::Retry(index) => {
                let request = next.proposers[*index].retry();
                next.send(*index, request);
            }
            RegistersAction::Handle(index, disk) => next.handle(*index, *disk),
            RegistersAction::DeliverResponse(index) => next.deliver_response(*index)?,
            RegistersAction::Adopt(disk) => {
                let work = DiskWork::AdoptSet(next.set.clone());
                next.disks.get_mut(disk).map(|voter| voter.execute(work));
            }
            RegistersAction::Copy(disk) => {
                let set_version = next.set.version();
                let page = next
                    .disks
                    .get_mut(disk)
                    .and_then(|voter| voter.read_replica(set_version));
                next.replica_pages.extend(page.map(|page| (*disk, page)));
            }
            RegistersAction::Install => next.install(),
            RegistersAction::Crash(disk) => {
                next.disks.get_mut(disk).map(ModelDisk::crash);
            }
        }
        Ok(next)
    }

    /// Checks that every majority of the newest set, taken from its members that have adopted it, includes a voter that
    /// stores the acknowledged version.
    fn check(&self, state: &System) -> Result<(), String> {
        let newest = state.disks.values().map(|disk| disk.acceptor().set());
        let Some(set) = newest.max_by_key(|set| set.version()) else {
            return Ok(());
        };
        let members = set.voters.iter();
        let members = members.filter_map(|voter| state.disks.get(&voter.disk));
        let voting = members.filter(|disk| disk.acceptor().set().version() == set.version());
        let stale = voting.filter(|disk| {
            let register = disk.acceptor().register(VALUE_KEY);
            register.map_or(0, |register| register.value.version) < state.acknowledged
        });
        if stale.count() >= set.majority() {
            return Err(format!(
                "version {} was acknowledged, and a majority of set {:?} does not store it",
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
        // The order in which requests were sent has no effect on later steps.
        let mut sent: Vec<String> = state.sent.iter().map(|sent| format!("{sent:?}")).collect();
        sent.sort();
        fingerprinter.debug(&sent);
        fingerprinter.debug(&state.responses);
        fingerprinter.debug(&state.replica_pages);
        fingerprinter.debug(&(&state.committed, state.acknowledged, &state.set));
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
        let new_member = state.disks.get(&NEW_MEMBER);
        let votes = new_member.is_some_and(|disk| disk.acceptor().set().epoch > 0);
        let committed = state.proposers.iter().filter(|proposer| {
            proposer.key == VALUE_KEY
                && matches!(proposer.outcome, Some(ChangeOutcome::Committed(_)))
        });
        let is_second = committed.clone().any(|proposer| proposer.set.number == 2);
        vec![
            state.acknowledged > 0,
            votes,
            is_second,
            committed.count() >= 2,
        ]
    }
}
