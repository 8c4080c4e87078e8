//! Voters forget jobs after a time, and take nothing old for new afterwards.

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

    fn end_span(&mut self) {
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

/// Changes a register at those voters that answer.
fn change(
    voters: &mut [Voter],
    counter: &mut u64,
    proposer: u64,
    key: &str,
    change: Change,
    answers: impl Fn(usize) -> bool,
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
        for place in (0..VOTERS).filter(|place| answers(*place)) {
            let response = voters[place].handle(operation.clone());
            match proposal.on_response(place, response) {
                ProposalStep::Wait => continue,
                ProposalStep::Done(outcome) => return outcome,
                ProposalStep::Send(operation) => next = Some(operation),
                ProposalStep::Retry(above) => {
                    next = Some(proposal.retry(ballot(counter, above.counter)));
                }
            }
            break;
        }
        let Some(again) = next else {
            return proposal.abandon();
        };
        operation = again;
    }
    proposal.abandon()
}

fn three() -> Vec<Voter> {
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
fn a_job_lasts_for_one_span_at_least_and_two_at_most() {
    let mut voters = three();
    let (mut counter, all) = (0, |_| true);
    for job in 0..50 {
        let key = format!("job/{job}");
        let outcome = change(&mut voters, &mut counter, 1, &key, write(b"one"), all);
        assert!(matches!(outcome, ChangeOutcome::Committed(_)));
        voters.iter_mut().for_each(Voter::end_span);
        let outcome = change(&mut voters, &mut counter, 1, &key, write(b"two"), all);
        assert!(
            matches!(outcome, ChangeOutcome::Conflict(_)),
            "{job} is forgotten early"
        );
        voters.iter_mut().for_each(Voter::end_span);
        voters.iter_mut().for_each(Voter::end_span);
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
fn a_job_lasts_though_whoever_claims_it_counts_low() {
    let mut voters = three();
    let (mut high, mut low, all) = (1_000, 0, |_| true);
    change(&mut voters, &mut high, 1, "job/high", write(b"one"), all);
    voters.iter_mut().for_each(Voter::end_span);
    let outcome = change(&mut voters, &mut low, 2, "job/low", write(b"one"), all);
    assert!(matches!(outcome, ChangeOutcome::Committed(_)));
    // The round ends at a majority, so the third voter may not have been asked.
    let holds = |voter: &Voter| voter.acceptor.register("job/low").is_some();
    let holders: Vec<bool> = voters.iter().map(holds).collect();
    assert!(holders.iter().filter(|holds| **holds).count() >= 2);
    voters.iter_mut().for_each(Voter::end_span);
    let after: Vec<bool> = voters.iter().map(holds).collect();
    assert_eq!(after, holders, "a voter forgot it early");
    voters.iter_mut().for_each(Voter::end_span);
    assert!(!voters.iter().any(holds));
}

#[test]
fn an_accept_that_comes_after_its_job_was_forgotten_is_refused() {
    let mut voters = three();
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
    voters[0].end_span();
    voters[0].end_span();
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
fn other_keys_are_never_forgotten() {
    let mut voters = three();
    let mut counter = 0;
    for key in ["description", "once/00000000000001/f/x", "job"] {
        change(&mut voters, &mut counter, 1, key, write(b"kept"), |_| true);
    }
    for _ in 0..6 {
        voters.iter_mut().for_each(Voter::end_span);
    }
    assert_eq!(voters[0].acceptor.len(), 3);
}

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 1,
    }
}

/// A job whose value has so many bytes.
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

/// Gives the voter these jobs, each with the largest value.
fn fill(acceptor: &mut Acceptor, jobs: Range<usize>) {
    for job in jobs {
        let state = job_state(40 << 10, 5);
        acceptor.replay(Record::Register(format!("job/{job}"), state));
    }
}

#[test]
fn results_are_taken_up_to_a_bound_and_claims_beyond_it() {
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

/// What is known of a job after the changes that ended so far.
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

    fn committed(&mut self, seed: u64, is_write: bool, value: VersionedValue) {
        if let Some(known) = &self.acknowledged {
            let is_next = is_write && value.version == known.version + 1;
            assert!(
                is_next || value == *known,
                "seed {seed}: {known:?} was undone by {value:?}"
            );
        }
        self.newest = value.version;
        // That there is nothing is not committed: a voter that forgets late may still hold something.
        self.acknowledged = (value.version > 0).then_some(value);
    }
}

/// A voter that was away comes back with jobs that the others have forgotten. What is committed after that stays.
#[test]
fn what_one_voter_still_holds_never_undoes_what_was_committed_since() {
    let mut outcomes = [0; 2];
    for seed in 0..400 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut voters = three();
        let mut counters = [0; 3];
        let mut ids = [0, 1, 2];
        let mut oracle = Oracle::default();
        for step in 0..60 {
            let away = random.random_range(0..VOTERS);
            let who = random.random_range(0..3);
            match random.random_range(0..10) {
                0 => voters[away].restart(),
                // Another incarnation, with another id.
                1 => (counters[who], ids[who]) = (0, ids[who] + 3),
                2 => {
                    // A span ends at two voters; not at the third, as if it were down.
                    for index in (0..VOTERS).filter(|index| *index != away) {
                        voters[index].end_span();
                    }
                    oracle = Oracle::default();
                }
                pick => {
                    let is_write = pick < 7;
                    let wanted = oracle.next_change(is_write, step);
                    let answers = |index| index != away;
                    let (counter, id) = (&mut counters[who], ids[who]);
                    let outcome = change(&mut voters, counter, id, "job/x", wanted, answers);
                    let (ChangeOutcome::Committed(value) | ChangeOutcome::Conflict(value)) =
                        outcome
                    else {
                        continue;
                    };
                    oracle.committed(seed, is_write, value);
                    outcomes[usize::from(is_write)] += 1;
                }
            }
        }
    }
    assert!(outcomes.iter().all(|count| *count > 3_000), "{outcomes:?}");
}
