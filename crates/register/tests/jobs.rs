//! Voters delete jobs after the retention period, and never mistake a request for a deleted job for a new one.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{
    Acceptor, Ballot, Change, ChangeOutcome, Proposal, ProposalStep, Record, RegisterState,
    SetVersion, VersionedValue, VoterOperation, VoterRequest, VoterResponse, VoterSet,
};
use std::ops::Range;

const VOTERS: usize = 3;

fn bootstrapped() -> (Acceptor, Vec<Record>) {
    let mut acceptor = Acceptor::default();
    let record = acceptor.bootstrap(VoterSet {
        epoch: 1,
        number: 1,
        voters: Vec::new(),
    });
    (acceptor, record.into_iter().collect())
}

struct Voter {
    acceptor: Acceptor,
    records: Vec<Record>,
}

impl Voter {
    fn handle(&mut self, operation: VoterOperation) -> VoterResponse {
        let (record, response) = self.acceptor.handle(VoterRequest {
            set_version: SetVersion::new(1, 1),
            operation,
        });
        self.records.extend(record);
        response
    }

    fn end_retention_period(&mut self) {
        let record = self.acceptor.advance_job_window();
        self.records.extend(record);
    }

    fn restart(&mut self) {
        self.acceptor = Acceptor::default();
        for record in self.records.clone() {
            self.acceptor.replay(record);
        }
        self.acceptor.rebuild_indexes();
    }
}

/// Changes a register with a proposal, against the voters that respond.
fn change(
    voters: &mut [Voter],
    counter: &mut u64,
    proposer: u64,
    key: &str,
    change: Change,
    responds: impl Fn(usize) -> bool,
) -> ChangeOutcome {
    let ballot = |counter: &mut u64, above: u64| {
        *counter = (*counter).max(above) + 1;
        Ballot {
            counter: *counter,
            proposer,
        }
    };
    let first = ballot(counter, 0);
    let tag = first.counter << 16 | proposer;
    let (mut proposal, mut operation) = Proposal::start(key, change, tag, first, VOTERS);
    for _ in 0..20 {
        let mut next = None;
        for index in (0..VOTERS).filter(|index| responds(*index)) {
            let response = voters[index].handle(operation.clone());
            match proposal.on_response(index, response) {
                ProposalStep::Wait => continue,
                ProposalStep::Done(outcome) => return outcome,
                ProposalStep::Send(operation) => next = Some(operation),
                ProposalStep::Retry(above) => {
                    next = Some(proposal.retry(ballot(counter, above.counter)));
                }
            }
            break;
        }
        let Some(next_operation) = next else {
            return proposal.abandon();
        };
        operation = next_operation;
    }
    proposal.abandon()
}

fn three_voters() -> Vec<Voter> {
    let voter = |_| {
        let (acceptor, records) = bootstrapped();
        Voter { acceptor, records }
    };
    (0..VOTERS).map(voter).collect()
}

fn write(bytes: &[u8]) -> Change {
    Change::Write {
        expected: 0,
        bytes: bytes.to_vec(),
    }
}

#[test]
fn a_job_is_retained_for_one_to_two_periods() {
    let mut voters = three_voters();
    let (mut counter, all) = (0, |_| true);
    for job in 0..50 {
        let key = format!("job/{job}");
        let outcome = change(&mut voters, &mut counter, 1, &key, write(b"one"), all);
        assert!(matches!(outcome, ChangeOutcome::Committed(_)));
        voters.iter_mut().for_each(Voter::end_retention_period);
        let outcome = change(&mut voters, &mut counter, 1, &key, write(b"two"), all);
        assert!(
            matches!(outcome, ChangeOutcome::Conflict(_)),
            "{job} was deleted early"
        );
        voters.iter_mut().for_each(Voter::end_retention_period);
        voters.iter_mut().for_each(Voter::end_retention_period);
        assert!(voters
            .iter()
            .all(|voter| voter.acceptor.register(&key).is_none()));
    }
    assert!(
        voters[0].acceptor.len() <= 2,
        "{}",
        voters[0].acceptor.len()
    );
}

#[test]
fn a_job_claimed_with_a_low_ballot_counter_is_retained() {
    let mut voters = three_voters();
    let (mut high, mut low, all) = (1_000, 0, |_| true);
    change(&mut voters, &mut high, 1, "job/high", write(b"one"), all);
    voters.iter_mut().for_each(Voter::end_retention_period);
    let outcome = change(&mut voters, &mut low, 2, "job/low", write(b"one"), all);
    assert!(matches!(outcome, ChangeOutcome::Committed(_)));
    // The round ends at a majority, so the operation may not have reached the third voter.
    let has_job = |voter: &Voter| voter.acceptor.register("job/low").is_some();
    let holders: Vec<bool> = voters.iter().map(has_job).collect();
    assert!(holders.iter().filter(|holds| **holds).count() >= 2);
    voters.iter_mut().for_each(Voter::end_retention_period);
    let after: Vec<bool> = voters.iter().map(has_job).collect();
    assert_eq!(after, holders, "a voter deleted it early");
    voters.iter_mut().for_each(Voter::end_retention_period);
    assert!(!voters.iter().any(has_job));
}

#[test]
fn an_accept_that_arrives_after_its_job_was_deleted_is_rejected() {
    let mut voters = three_voters();
    let ballot = Ballot {
        counter: 7,
        proposer: 3,
    };
    let key = "job/late".to_string();
    let prepare = VoterOperation::Prepare {
        key: key.clone(),
        ballot,
    };
    voters[0].handle(prepare);
    voters[0].end_retention_period();
    voters[0].end_retention_period();
    assert!(voters[0].acceptor.register(&key).is_none());
    for restarts in [false, true] {
        if restarts {
            voters[0].restart();
        }
        let value = VersionedValue {
            version: 1,
            tag: 1,
            bytes: vec![1],
        };
        let accept = VoterOperation::Accept {
            key: key.clone(),
            ballot,
            value,
        };
        let response = voters[0].handle(accept);
        assert!(
            matches!(response, VoterResponse::Rejected { .. }),
            "{response:?}"
        );
    }
}

#[test]
fn other_keys_are_never_deleted() {
    let mut voters = three_voters();
    let mut counter = 0;
    for key in ["description", "once/00000000000001/f/x", "job"] {
        change(&mut voters, &mut counter, 1, key, write(b"kept"), |_| true);
    }
    for _ in 0..6 {
        voters.iter_mut().for_each(Voter::end_retention_period);
    }
    assert_eq!(voters[0].acceptor.len(), 3);
}

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 1,
    }
}

/// State of a job whose value has `size` bytes.
fn job_state(size: usize, counter: u64) -> RegisterState {
    RegisterState {
        promised: ballot(counter),
        accepted: ballot(counter),
        value: VersionedValue {
            version: 1,
            tag: 1,
            bytes: vec![0; size],
        },
    }
}

/// Adds these jobs to the voter, each with a value of maximum size.
fn fill(acceptor: &mut Acceptor, jobs: Range<usize>) {
    for job in jobs {
        let state = job_state(40 << 10, 5);
        acceptor.replay(Record::Register(format!("job/{job}"), state));
    }
}

#[test]
fn results_are_rejected_at_a_lower_total_size_than_claims() {
    let (mut acceptor, records) = bootstrapped();
    fill(&mut acceptor, 0..310);
    let mut voter = Voter { acceptor, records };
    let mut accept = |size: usize| {
        voter.handle(VoterOperation::Accept {
            key: "job/new".to_string(),
            ballot: ballot(9),
            value: job_state(size, 9).value,
        })
    };
    assert!(matches!(accept(2_000), VoterResponse::Unavailable { .. }));
    assert!(matches!(
        accept(41 << 10),
        VoterResponse::Unavailable { .. }
    ));
    assert_eq!(accept(200), VoterResponse::Accepted);
    fill(&mut voter.acceptor, 310..420);
    let prepare = VoterOperation::Prepare {
        key: "job/newer".to_string(),
        ballot: ballot(9),
    };
    assert!(matches!(
        voter.handle(prepare),
        VoterResponse::Unavailable { .. }
    ));
    let key = "job/1".to_string();
    let query = VoterOperation::Query { key };
    assert!(matches!(
        voter.handle(query),
        VoterResponse::LastAccepted { .. }
    ));
}

/// What the completed changes imply for a job.
#[derive(Default)]
struct Oracle {
    newest: u64,
    acknowledged: Option<VersionedValue>,
}

impl Oracle {
    fn next_change(&self, is_write: bool, step: u8) -> Change {
        if !is_write {
            return Change::Read;
        }
        Change::Write {
            expected: self.newest,
            bytes: vec![step],
        }
    }

    fn on_committed(&mut self, seed: u64, is_write: bool, value: VersionedValue) {
        if let Some(known) = &self.acknowledged {
            let is_next = is_write && value.version == known.version + 1;
            assert!(
                is_next || value == *known,
                "seed {seed}: {known:?} was undone by {value:?}"
            );
        }
        self.newest = value.version;
        // A read that finds nothing commits nothing: a voter that deletes late may still have a value.
        self.acknowledged = (value.version > 0).then_some(value);
    }
}

/// A voter that was down comes back with jobs that the others have deleted. Values that were committed since must stay.
#[test]
fn an_outdated_value_at_one_voter_never_undoes_a_later_commit() {
    let mut outcomes = [0; 2];
    for seed in 0..400 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut voters = three_voters();
        let mut counters = [0; 3];
        let mut ids = [0, 1, 2];
        let mut oracle = Oracle::default();
        for step in 0..60 {
            let down = random.random_range(0..VOTERS);
            let proposer_index = random.random_range(0..3);
            match random.random_range(0..10) {
                0 => voters[down].restart(),
                // The proposer restarts with another id.
                1 => (counters[proposer_index], ids[proposer_index]) = (0, ids[proposer_index] + 3),
                2 => {
                    // The retention period ends at two voters, but not at the third, as if it were down.
                    for index in (0..VOTERS).filter(|index| *index != down) {
                        voters[index].end_retention_period();
                    }
                    oracle = Oracle::default();
                }
                pick => {
                    let is_write = pick < 7;
                    let next_change = oracle.next_change(is_write, step);
                    let responds = |index| index != down;
                    let (counter, id) = (&mut counters[proposer_index], ids[proposer_index]);
                    let outcome = change(&mut voters, counter, id, "job/x", next_change, responds);
                    let (ChangeOutcome::Committed(value) | ChangeOutcome::Conflict(value)) =
                        outcome
                    else {
                        continue;
                    };
                    oracle.on_committed(seed, is_write, value);
                    outcomes[usize::from(is_write)] += 1;
                }
            }
        }
    }
    assert!(outcomes.iter().all(|count| *count > 3_000), "{outcomes:?}");
}
