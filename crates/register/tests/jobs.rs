//! Voters forget jobs after a time, and take nothing old for new afterwards.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{
    Acceptor, Ballot, Change, ChangeOutcome, Proposal, ProposalStep, Record, RegisterState,
    SetVersion, VersionedValue, VoterOperation, VoterRequest, VoterResponse, VoterSet,
};

const VOTERS: usize = 3;

fn founded() -> (Acceptor, Vec<Record>) {
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
    fn ask(&mut self, ask: VoterOperation) -> VoterResponse {
        let (record, reply) = self.acceptor.handle(VoterRequest {
            set_version: SetVersion::new(1, 1),
            operation: ask,
        });
        self.records.extend(record);
        reply
    }

    fn turn(&mut self) {
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
    let (mut proposal, mut ask) = Proposal::start(key, change, tag, first, VOTERS);
    for _ in 0..20 {
        let mut next = None;
        for place in (0..VOTERS).filter(|place| answers(*place)) {
            let reply = voters[place].ask(ask.clone());
            match proposal.on_response(place, reply) {
                ProposalStep::Wait => continue,
                ProposalStep::Done(outcome) => return outcome,
                ProposalStep::Send(ask) => next = Some(ask),
                ProposalStep::Retry(above) => {
                    next = Some(proposal.retry(ballot(counter, above.counter)));
                }
            }
            break;
        }
        let Some(again) = next else {
            return proposal.abandon();
        };
        ask = again;
    }
    proposal.abandon()
}

fn three() -> Vec<Voter> {
    let voter = |_| {
        let (acceptor, records) = founded();
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
fn a_job_lasts_for_one_turn_at_least_and_two_at_most() {
    let mut voters = three();
    let (mut counter, all) = (0, |_| true);
    for job in 0..50 {
        let key = format!("job/{job}");
        let outcome = change(&mut voters, &mut counter, 1, &key, write(b"one"), all);
        assert!(matches!(outcome, ChangeOutcome::Committed(_)));
        voters.iter_mut().for_each(Voter::turn);
        let outcome = change(&mut voters, &mut counter, 1, &key, write(b"two"), all);
        assert!(
            matches!(outcome, ChangeOutcome::Conflict(_)),
            "{job} is forgotten early"
        );
        voters.iter_mut().for_each(Voter::turn);
        voters.iter_mut().for_each(Voter::turn);
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
    voters.iter_mut().for_each(Voter::turn);
    let outcome = change(&mut voters, &mut low, 2, "job/low", write(b"one"), all);
    assert!(matches!(outcome, ChangeOutcome::Committed(_)));
    // The round ends at a majority, so the third voter may not have been asked.
    let holds = |voter: &Voter| voter.acceptor.register("job/low").is_some();
    let holders: Vec<bool> = voters.iter().map(holds).collect();
    assert!(holders.iter().filter(|holds| **holds).count() >= 2);
    voters.iter_mut().for_each(Voter::turn);
    let after: Vec<bool> = voters.iter().map(holds).collect();
    assert_eq!(after, holders, "a voter forgot it early");
    voters.iter_mut().for_each(Voter::turn);
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
    let promise = VoterOperation::Prepare {
        key: key.clone(),
        ballot,
    };
    voters[0].ask(promise);
    voters[0].turn();
    voters[0].turn();
    assert!(voters[0].acceptor.register(&key).is_none());
    for restarts in [false, true] {
        if restarts {
            voters[0].restart();
        }
        let stored = VersionedValue {
            version: 1,
            tag: 1,
            bytes: vec![1],
        };
        let accept = VoterOperation::Accept {
            key: key.clone(),
            ballot,
            value: stored,
        };
        let reply = voters[0].ask(accept);
        assert!(matches!(reply, VoterResponse::Rejected { .. }), "{reply:?}");
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
        voters.iter_mut().for_each(Voter::turn);
    }
    assert_eq!(voters[0].acceptor.len(), 3);
}

#[test]
fn answers_are_taken_up_to_a_bound_and_claims_beyond_it() {
    let (mut acceptor, records) = founded();
    let held = |size: usize, counter: u64| RegisterState {
        promised: Ballot {
            counter,
            proposer: 1,
        },
        accepted: Ballot {
            counter,
            proposer: 1,
        },
        value: VersionedValue {
            version: 1,
            tag: 1,
            bytes: vec![0; size],
        },
    };
    for place in 0..310 {
        acceptor.replay(Record::Register(format!("job/{place}"), held(40 << 10, 5)));
    }
    let mut voter = Voter { acceptor, records };
    let mut accept = |size: usize| {
        let ballot = Ballot {
            counter: 9,
            proposer: 1,
        };
        let stored = held(size, 9).value;
        let key = "job/new".to_string();
        voter.ask(VoterOperation::Accept {
            key,
            ballot,
            value: stored,
        })
    };
    assert!(matches!(accept(2_000), VoterResponse::Unavailable { .. }));
    assert!(matches!(
        accept(41 << 10),
        VoterResponse::Unavailable { .. }
    ));
    assert_eq!(accept(200), VoterResponse::Accepted);
    for place in 310..420 {
        let record = Record::Register(format!("job/{place}"), held(40 << 10, 5));
        voter.acceptor.replay(record);
    }
    let ballot = Ballot {
        counter: 9,
        proposer: 1,
    };
    let key = "job/newer".to_string();
    let promise = VoterOperation::Prepare { key, ballot };
    assert!(matches!(
        voter.ask(promise),
        VoterResponse::Unavailable { .. }
    ));
    let key = "job/1".to_string();
    let peek = VoterOperation::Query { key };
    assert!(matches!(
        voter.ask(peek),
        VoterResponse::LastAccepted { .. }
    ));
}

/// A voter that was away comes back with jobs that the others have forgotten. What is settled after that stays.
#[test]
fn what_one_voter_still_holds_never_undoes_what_was_settled_since() {
    let mut outcomes = [0; 2];
    for seed in 0..400 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut voters = three();
        let mut counters = [0; 3];
        let mut ids = [0, 1, 2];
        let (mut newest, mut acknowledged): (u64, Option<VersionedValue>) = (0, None);
        for step in 0..60 {
            let away = random.random_range(0..VOTERS);
            let who = random.random_range(0..3);
            match random.random_range(0..10) {
                0 => voters[away].restart(),
                // Another life, with another id.
                1 => (counters[who], ids[who]) = (0, ids[who] + 3),
                2 => {
                    // Two voters turn; the third, as if it were down, does not.
                    for place in (0..VOTERS).filter(|place| *place != away) {
                        voters[place].turn();
                    }
                    (newest, acknowledged) = (0, None);
                }
                pick => {
                    let change_wanted = if pick < 7 {
                        Change::Write {
                            expected: newest,
                            bytes: vec![step],
                        }
                    } else {
                        Change::Read
                    };
                    let is_write = pick < 7;
                    let answers = |place| place != away;
                    let (counter, id) = (&mut counters[who], ids[who]);
                    let outcome = change(&mut voters, counter, id, "job/x", change_wanted, answers);
                    let (ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored)) =
                        outcome
                    else {
                        continue;
                    };
                    if let Some(known) = &acknowledged {
                        let is_next = is_write && stored.version == known.version + 1;
                        assert!(
                            is_next || stored == *known,
                            "seed {seed}: {known:?} was undone by {stored:?}"
                        );
                    }
                    outcomes[usize::from(is_write)] += 1;
                    newest = stored.version;
                    // That there is nothing is not settled: a voter that forgets late may still hold something.
                    acknowledged = (stored.version > 0).then_some(stored);
                }
            }
        }
    }
    assert!(outcomes.iter().all(|count| *count > 3_000), "{outcomes:?}");
}
