//! Power loss after each disk operation of a voter: what it acknowledged survives, and no state that it never had appears.

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
/// Retention periods after which an unchanged job is deleted.
const RETENTION_PERIODS: usize = 2;
const STEPS: usize = 14;
const SEEDS: u64 = 24;

fn set(set_number: u64) -> VoterSet {
    let disk = 1;
    let address = "one".into();
    VoterSet {
        epoch: 1,
        number: set_number,
        voters: vec![VoterRef { disk, address }],
    }
}

fn accepted_state(counter: u64) -> RegisterState {
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

/// Strongest state of a key that the voter acknowledged, or read back and may therefore report.
#[derive(Clone, Default)]
struct Acknowledged {
    promised: Ballot,
    accepted: Ballot,
    set_version: SetVersion,
}

#[derive(Clone)]
struct Oracle {
    acknowledged: [Acknowledged; KEYS.len()],
    /// Serialized states that may be found on the disk: the last durable one, and those attempted since.
    states: Vec<Vec<u8>>,
}

fn serialized_state(voter: &Voter) -> Vec<u8> {
    voter.acceptor().write_to_vec().unwrap()
}

impl Oracle {
    fn new() -> Self {
        Self {
            acknowledged: Default::default(),
            states: vec![register::Acceptor::default().write_to_vec().unwrap()],
        }
    }

    fn check(&mut self, voter: &Voter) {
        assert!(voter.is_open(), "a power loss damages nothing");
        let recovered = serialized_state(voter);
        assert!(
            self.states.contains(&recovered),
            "recovered a state that the voter never had"
        );
        for (key, acknowledged) in KEYS.iter().zip(&self.acknowledged) {
            let floor = voter.acceptor().register("job").map(|state| state.promised);
            let floor = floor
                .filter(|_| register::is_job_key(key))
                .unwrap_or_default();
            let state = voter.acceptor().register(key).cloned().unwrap_or_default();
            let promised = state.promised.max(floor);
            assert!(promised >= acknowledged.promised, "{key}: a weaker promise");
            let accepted = state.accepted.max(floor);
            assert!(accepted >= acknowledged.accepted, "{key}: a value is lost");
            assert!(voter.acceptor().set().version() >= acknowledged.set_version);
        }
        self.states = vec![recovered];
    }

    fn on_synced(
        &mut self,
        voter: &Voter,
        key: usize,
        operation: &VoterOperation,
        response: &VoterResponse,
    ) {
        self.states = vec![serialized_state(voter)];
        let acknowledged = &mut self.acknowledged[key];
        acknowledged.set_version = voter.acceptor().set().version();
        match (operation, response) {
            (VoterOperation::Prepare { ballot, .. }, VoterResponse::LastAccepted { .. }) => {
                acknowledged.promised = acknowledged.promised.max(*ballot);
            }
            (VoterOperation::Accept { ballot, .. }, VoterResponse::Accepted) => {
                acknowledged.promised = acknowledged.promised.max(*ballot);
                acknowledged.accepted = acknowledged.accepted.max(*ballot);
            }
            _ => {}
        }
    }
}

/// A random sequence of steps on a disk that fails after a given number of operations.
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
        let request = build_request(voter, choice, key, counter);
        let operation = request.operation.clone();
        match choice {
            2 => voter.repair(vec![(KEYS[key].into(), accepted_state(counter))]),
            3 => (0..RETENTION_PERIODS).for_each(|_| voter.advance_job_window()),
            4 => voter.adopt_set(set(counter)),
            5 => voter.install(Installation {
                set: set(1),
                claim_floors: ClaimFloors::default(),
                registers: vec![(KEYS[key].into(), accepted_state(counter))],
            }),
            _ => voter.bootstrap(set(1), 0),
        }
        let response = voter.handle(request);
        self.oracle.states.push(serialized_state(voter));
        if voter.sync() {
            self.oracle.on_synced(voter, key, &operation, &response);
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
        // The voter may report what it read back, so that must be durable from now on.
        after.voter = None;
        after.disk.lose_power(&[]);
        assert!(after.open(true));
        after.step();
        after.voter = None;
        after.disk.lose_power(&[]);
        assert!(after.open(false));
    }
}

fn build_request(voter: &Voter, choice: usize, key: usize, counter: u64) -> VoterRequest {
    let key = KEYS[key].to_string();
    let ballot = Ballot {
        counter,
        proposer: 1,
    };
    let voter_operation = match choice {
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
        operation: voter_operation,
    }
}

#[test]
fn no_promise_or_value_is_lost_when_power_fails_after_any_operation() {
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
    println!("{tried} power losses");
    assert!(tried > 10_000);
}

#[test]
fn a_temporary_disk_failure_weakens_no_promise() {
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
