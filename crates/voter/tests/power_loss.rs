//! A voter whose power goes after every operation of its disk: what it answered holds, and nothing else does.

use journal::{CrashOutcome, DiskFault, MemoryFolder};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{
    Ballot, ClaimFloors, RegisterState, SetVersion, VersionedValue, VoterOperation, VoterRef,
    VoterRequest, VoterResponse, VoterSet,
};
use speedy::Writable;
use voter::{Installation, Voter};

const KEYS: [&str; 3] = ["description", "job/one", "job/two"];
/// Turns after which a job that nobody touched is forgotten.
const FORGET_TURNS: usize = 2;
const STEPS: usize = 14;
const SEEDS: u64 = 24;

fn set(no: u64) -> VoterSet {
    let disk = 1;
    let address = "one".into();
    VoterSet {
        epoch: 1,
        number: no,
        voters: vec![VoterRef { disk, address }],
    }
}

fn held(counter: u64) -> RegisterState {
    let ballot = Ballot {
        counter,
        proposer: 9,
    };
    RegisterState {
        promised: ballot,
        accepted: ballot,
        value: VersionedValue {
            version: counter,
            tag: counter,
            bytes: vec![counter as u8; 2],
        },
    }
}

/// The strongest that was answered for a key, or read back and so open to be answered.
#[derive(Clone, Default)]
struct Answered {
    promised: Ballot,
    accepted: Ballot,
    set_version: SetVersion,
}

#[derive(Clone)]
struct Oracle {
    answered: [Answered; KEYS.len()],
    /// States that the disk may hold: the last one that lasts, and those tried since.
    states: Vec<Vec<u8>>,
}

fn state(voter: &Voter) -> Vec<u8> {
    voter.acceptor().write_to_vec().unwrap()
}

impl Oracle {
    fn new() -> Self {
        Self {
            answered: Default::default(),
            states: vec![register::Acceptor::default().write_to_vec().unwrap()],
        }
    }

    fn check(&mut self, voter: &Voter) {
        assert!(voter.is_open(), "a loss of power damages nothing");
        let found = state(voter);
        assert!(
            self.states.contains(&found),
            "a state that the voter never had"
        );
        for (key, answered) in KEYS.iter().zip(&self.answered) {
            let floor = voter.acceptor().register("job").map(|held| held.promised);
            let floor = floor
                .filter(|_| register::is_job_key(key))
                .unwrap_or_default();
            let held = voter.acceptor().register(key).cloned().unwrap_or_default();
            let promised = held.promised.max(floor);
            assert!(promised >= answered.promised, "{key}: a weaker promise");
            let accepted = held.accepted.max(floor);
            assert!(accepted >= answered.accepted, "{key}: a value is lost");
            assert!(voter.acceptor().set().version() >= answered.set_version);
        }
        self.states = vec![found];
    }

    fn synced(&mut self, voter: &Voter, key: usize, ask: &VoterOperation, reply: &VoterResponse) {
        self.states = vec![state(voter)];
        let answered = &mut self.answered[key];
        answered.set_version = voter.acceptor().set().version();
        match (ask, reply) {
            (VoterOperation::Prepare { ballot, .. }, VoterResponse::LastAccepted { .. }) => {
                answered.promised = answered.promised.max(*ballot);
            }
            (VoterOperation::Accept { ballot, .. }, VoterResponse::Accepted) => {
                answered.promised = answered.promised.max(*ballot);
                answered.accepted = answered.accepted.max(*ballot);
            }
            _ => {}
        }
    }
}

/// One random script over a disk, which fails from an operation on.
struct Run {
    disk: MemoryFolder,
    voter: Option<Voter>,
    oracle: Oracle,
    random: StdRng,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            disk: MemoryFolder::default(),
            voter: None,
            oracle: Oracle::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn open(&mut self, is_reopened: bool) -> bool {
        let folder = Box::new(self.disk.clone());
        let opened = match is_reopened {
            true => Voter::reopen(folder),
            false => Voter::open(folder),
        };
        let Ok(voter) = opened else {
            return false;
        };
        self.oracle.check(&voter);
        self.voter = Some(voter);
        true
    }

    fn step(&mut self) {
        let (choice, key) = (
            self.random.random_range(0..12),
            self.random.random_range(0..KEYS.len()),
        );
        let counter = self.random.random_range(1..30);
        let is_reopened = choice == 0;
        if self.voter.is_none() || choice < 2 {
            self.voter = None;
            if !self.open(is_reopened) {
                return;
            }
        }
        let Some(voter) = self.voter.as_mut() else {
            return;
        };
        let message = message(voter, choice, key, counter);
        let ask = message.operation.clone();
        match choice {
            2 => voter.repair(vec![(KEYS[key].into(), held(counter))]),
            3 => (0..FORGET_TURNS).for_each(|_| voter.advance_job_window()),
            4 => voter.adopt_set(set(counter)),
            5 => voter.install(Installation {
                set: set(1),
                claim_floors: ClaimFloors::default(),
                registers: vec![(KEYS[key].into(), held(counter))],
            }),
            _ => voter.bootstrap(set(1), 0),
        }
        let reply = voter.handle(message);
        self.oracle.states.push(state(voter));
        if voter.sync() {
            self.oracle.synced(voter, key, &ask, &reply);
        } else {
            self.voter = None;
        }
    }

    fn lose_power(&self, outcomes: &[CrashOutcome]) {
        let disk = self.disk.copy();
        disk.lose_power(outcomes);
        let mut after = Self {
            disk,
            voter: None,
            oracle: self.oracle.clone(),
            random: self.random.clone(),
        };
        assert!(after.open(false));
        // What was read back may have been answered; it must last from now on.
        after.voter = None;
        after.disk.lose_power(&[]);
        assert!(after.open(true));
        after.step();
        after.voter = None;
        after.disk.lose_power(&[]);
        assert!(after.open(false));
    }
}

fn message(voter: &Voter, choice: usize, key: usize, counter: u64) -> VoterRequest {
    let key = KEYS[key].to_string();
    let ballot = Ballot {
        counter,
        proposer: 1,
    };
    let ask = match choice {
        6 | 7 => VoterOperation::Prepare { key, ballot },
        8 => VoterOperation::Query { key },
        _ => VoterOperation::Accept {
            key,
            ballot,
            value: VersionedValue {
                version: counter,
                tag: counter,
                bytes: vec![counter as u8; 3],
            },
        },
    };
    let set_version = match voter.acceptor().set().version() {
        SetVersion { epoch: 0, .. } => SetVersion::new(1, 1),
        set_version => set_version,
    };
    VoterRequest {
        set_version,
        operation: ask,
    }
}

#[test]
fn no_promise_is_weaker_and_no_value_is_lost_when_the_power_goes_after_any_operation() {
    let mut tried = 0;
    for seed in 0..SEEDS {
        for operations in 0.. {
            let mut run = Run::new(seed);
            run.disk.fail_after(operations, DiskFault::Stopped);
            (0..STEPS).for_each(|_| run.step());
            let unsynced = run.disk.unsynced();
            let longest = unsynced.iter().copied().max().unwrap_or(0);
            let same = |outcome| vec![outcome; unsynced.len()];
            run.lose_power(&same(CrashOutcome::Kept));
            (0..longest).for_each(|count| run.lose_power(&same(CrashOutcome::Torn(count))));
            for _ in 0..12 {
                let draw = |length: &usize| match run.random.random_range(0..3) {
                    0 => CrashOutcome::Kept,
                    1 => CrashOutcome::Lost,
                    _ => CrashOutcome::Torn(run.random.random_range(0..=*length)),
                };
                let outcomes: Vec<CrashOutcome> = unsynced.iter().map(draw).collect();
                run.lose_power(&outcomes);
            }
            tried += 13 + longest;
            if run.disk.operations() <= operations {
                break;
            }
        }
    }
    println!("{tried} losses of power");
    assert!(tried > 10_000);
}

#[test]
fn a_disk_that_fails_for_a_while_weakens_no_promise() {
    for fault in [DiskFault::Full, DiskFault::ShortWrite, DiskFault::SyncFails] {
        for seed in 0..SEEDS {
            for operations in 0..30 {
                let mut run = Run::new(seed);
                run.disk.fail_after(operations, fault);
                (0..STEPS / 2).for_each(|_| run.step());
                run.disk.fail_after(u64::MAX, fault);
                (0..STEPS / 2).for_each(|_| run.step());
                run.lose_power(&[]);
                run.lose_power(&vec![CrashOutcome::Kept; run.disk.unsynced().len()]);
            }
        }
    }
}
