//! Seeded simulations of proposers and acceptors under message loss, delay, reordering and duplication, with voters that
//! restart from their records. The oracle keeps the committed write of each version.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{
    Acceptor, Ballot, Change, ChangeOutcome, ClaimFloors, Proposal, ProposalStep, Record,
    RegisterState, Round, RoundStep, SetVersion, VoterRef, VoterRequest, VoterResponse, VoterSet,
};
use std::collections::BTreeMap;

const VOTERS: usize = 3;

struct Proposer {
    id: u64,
    counter: u64,
    round: Option<(Round, u64)>,
    expected: u64,
    tag: u64,
    proposed: bool,
}

enum Message {
    ToVoter(usize, usize, u64, VoterRequest),
    ToProposer(usize, usize, u64, VoterResponse),
}

struct Simulation {
    random: StdRng,
    set: VoterSet,
    voters: Vec<Acceptor>,
    synced: Vec<Vec<Record>>,
    proposers: Vec<Proposer>,
    in_flight: Vec<Message>,
    committed: BTreeMap<u64, u64>,
    writes: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let voters = (0..VOTERS as u64)
            .map(|disk| VoterRef {
                disk,
                address: String::new(),
            })
            .collect();
        let set = VoterSet {
            epoch: 1,
            number: 1,
            voters,
        };
        let mut simulation = Self {
            random: StdRng::seed_from_u64(seed),
            voters: vec![Acceptor::default(); VOTERS],
            synced: vec![Vec::new(); VOTERS],
            proposers: (0..3)
                .map(|id| Proposer {
                    id,
                    counter: 0,
                    round: None,
                    expected: 0,
                    tag: 0,
                    proposed: false,
                })
                .collect(),
            in_flight: Vec::new(),
            committed: BTreeMap::new(),
            writes: 0,
            set,
        };
        for index in 0..VOTERS {
            let record = simulation.voters[index]
                .bootstrap(simulation.set.clone())
                .unwrap();
            simulation.synced[index].push(record);
        }
        simulation
    }

    fn send_all(&mut self, proposer: usize, number: u64, operation: register::VoterOperation) {
        for voter in 0..VOTERS {
            let request = VoterRequest {
                set_version: self.set.version(),
                operation: operation.clone(),
            };
            self.in_flight
                .push(Message::ToVoter(proposer, voter, number, request));
        }
    }

    fn begin(&mut self, index: usize, tag: Option<u64>) {
        let random_tag: u64 = self.random.random();
        let proposer = &mut self.proposers[index];
        proposer.counter += 1;
        proposer.proposed &= tag.is_some();
        proposer.tag = tag.unwrap_or(random_tag);
        let ballot = Ballot {
            counter: proposer.counter,
            proposer: proposer.id,
        };
        let change = Change::Write {
            expected: proposer.expected,
            bytes: vec![index as u8],
        };
        let (round, operation) = Round::start("key", change, ballot, proposer.tag, VOTERS);
        let number = proposer.counter * 10;
        proposer.round = Some((round, number));
        self.send_all(index, number, operation);
    }

    fn record_commit(&mut self, version: u64, tag: u64) {
        let committed = self.committed.entry(version).or_insert(tag);
        assert_eq!(*committed, tag, "two values committed at version {version}");
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToVoter(proposer, voter, number, request) => {
                let (record, response) = self.voters[voter].handle(request);
                self.synced[voter].extend(record);
                self.in_flight
                    .push(Message::ToProposer(proposer, voter, number, response));
            }
            Message::ToProposer(index, voter, number, response) => {
                self.on_response(index, voter, number, response)
            }
        }
    }

    fn on_response(&mut self, index: usize, voter: usize, number: u64, response: VoterResponse) {
        let Some((mut round, current)) = self.proposers[index].round.take() else {
            return;
        };
        if current != number {
            self.proposers[index].round = Some((round, current));
            return;
        }
        match round.on_response(voter, response) {
            RoundStep::Wait => self.proposers[index].round = Some((round, current)),
            RoundStep::Send(operation) => {
                self.proposers[index].proposed |= round.has_proposed();
                self.proposers[index].round = Some((round, current + 1));
                self.send_all(index, current + 1, operation);
            }
            RoundStep::Done(ChangeOutcome::Committed(stored)) => {
                let proposer = &mut self.proposers[index];
                if stored.version == proposer.expected + 1 && stored.tag == proposer.tag {
                    self.writes += 1;
                }
                self.proposers[index].expected = stored.version;
                if stored.version > 0 {
                    self.record_commit(stored.version, stored.tag);
                }
            }
            RoundStep::Done(ChangeOutcome::Preempted(ballot)) => {
                let proposer = &mut self.proposers[index];
                proposer.counter = proposer.counter.max(ballot.counter);
                let tag = proposer.tag;
                self.begin(index, Some(tag));
            }
            RoundStep::Done(_) => {}
        }
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..=3 => {
                let index = self.random.random_range(0..3);
                if self.proposers[index].round.is_none() {
                    self.begin(index, None);
                }
            }
            4 => {
                let index = self.random.random_range(0..3);
                self.proposers[index].round = None;
            }
            5 => {
                let voter = self.random.random_range(0..VOTERS);
                let mut restored = Acceptor::default();
                for record in self.synced[voter].clone() {
                    restored.replay(record);
                }
                assert_eq!(restored, self.voters[voter]);
                self.voters[voter] = restored;
            }
            _ if self.in_flight.is_empty() => {}
            roll => {
                let index = self.random.random_range(0..self.in_flight.len());
                let message = self.in_flight.swap_remove(index);
                if roll < 12 {
                    return;
                }
                if roll < 18 {
                    if let Message::ToVoter(proposer, voter, number, request) = &message {
                        let duplicate =
                            Message::ToVoter(*proposer, *voter, *number, request.clone());
                        self.in_flight.push(duplicate);
                    }
                }
                self.deliver(message);
            }
        }
    }
}

#[test]
fn one_value_is_committed_for_each_version() {
    let mut writes = 0;
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..1_500 {
            simulation.step();
        }
        writes += simulation.writes;
    }
    assert!(writes > 1_000, "only {writes} writes were committed");
}

/// Performs a write with a proposal, against voters that respond immediately.
fn write(voters: &mut [Acceptor], counter: u64, expected: u64) -> ChangeOutcome {
    let ballot = Ballot {
        counter,
        proposer: counter,
    };
    let change = Change::Write {
        expected,
        bytes: vec![counter as u8],
    };
    let (mut proposal, mut operation) = Proposal::start("key", change, counter, ballot, VOTERS);
    loop {
        let mut next = None;
        for (index, voter) in voters.iter_mut().enumerate() {
            let request = VoterRequest {
                set_version: SetVersion::new(1, 1),
                operation: operation.clone(),
            };
            match proposal.on_response(index, voter.handle(request).1) {
                ProposalStep::Wait => {}
                ProposalStep::Send(operation) => {
                    next = Some(operation);
                    break;
                }
                ProposalStep::Retry(_) => panic!("there is no other writer"),
                ProposalStep::Done(outcome) => return outcome,
            }
        }
        operation = next.expect("a majority of voters responded");
    }
}

#[test]
fn a_write_with_a_stale_version_gets_the_current_value() {
    let mut voters = vec![Acceptor::default(); VOTERS];
    for voter in &mut voters {
        let set = VoterSet {
            epoch: 1,
            number: 1,
            voters: Vec::new(),
        };
        voter.bootstrap(set).unwrap();
    }
    for (counter, expected) in [(1, 0), (2, 1), (3, 2)] {
        let outcome = write(&mut voters, counter, expected);
        assert!(
            matches!(outcome, ChangeOutcome::Committed(_)),
            "{outcome:?}"
        );
    }
    for expected in [0, 1, 2, 7] {
        let ChangeOutcome::Conflict(stored) = write(&mut voters, 10 + expected, expected) else {
            panic!("a write with version {expected} was not rejected as a conflict");
        };
        assert_eq!((stored.version, stored.tag), (3, 3));
    }
}

/// A voter set with these disks.
fn set_of(number: u64, disks: [u64; 3]) -> VoterSet {
    let voters = disks.map(|disk| VoterRef {
        disk,
        address: String::new(),
    });
    VoterSet {
        epoch: 1,
        number,
        voters: voters.into(),
    }
}

fn replica_of(voter: &Acceptor) -> Vec<(String, RegisterState)> {
    (0..256)
        .flat_map(|range| voter.registers_in_range(range))
        .collect()
}

#[test]
fn a_new_member_starts_with_every_committed_value() {
    // The value is committed at the first and the third voter, then the third is replaced.
    let mut voters = vec![Acceptor::default(); VOTERS];
    for voter in &mut voters {
        voter.bootstrap(set_of(1, [1, 2, 3])).unwrap();
    }
    let mut lagging = std::mem::take(&mut voters[1]);
    assert!(matches!(
        write(&mut voters, 1, 0),
        ChangeOutcome::Committed(_)
    ));
    let next = set_of(2, [1, 2, 9]);
    let remaining = [&mut voters[0], &mut lagging];
    let replicas = remaining.map(|voter| {
        voter.adopt_set(next.clone()).unwrap();
        replica_of(voter)
    });
    let mut new_member = Acceptor::default();
    let merged = register::merge_replicas(replicas.into());
    new_member.install(next, ClaimFloors::default(), merged);
    assert_eq!(new_member.register("key").unwrap().value.version, 1);
    // The new member also has the promises: a ballot below the committed one is rejected.
    let (_, response) = new_member.handle(VoterRequest {
        set_version: SetVersion::new(1, 2),
        operation: register::VoterOperation::Prepare {
            key: "key".into(),
            ballot: Ballot::default(),
        },
    });
    assert!(matches!(response, VoterResponse::Rejected { .. }));
}

#[test]
fn a_voter_of_another_set_responds_with_its_own() {
    let mut voter = Acceptor::default();
    let query = register::VoterOperation::Query { key: "key".into() };
    let (record, response) = voter.handle(VoterRequest {
        set_version: SetVersion::new(1, 1),
        operation: query,
    });
    assert_eq!(record, None);
    assert_eq!(
        response,
        VoterResponse::SetMismatch {
            set: VoterSet::default()
        }
    );
}

#[test]
fn an_expired_claim_is_rejected_and_never_accepted_again() {
    let set = VoterSet {
        epoch: 1,
        number: 1,
        voters: Vec::new(),
    };
    let mut voter = Acceptor::default();
    voter.bootstrap(set).unwrap();
    let ballot = Ballot {
        counter: 1,
        proposer: 1,
    };
    let prepare = |time: u64| VoterRequest {
        set_version: SetVersion::new(1, 1),
        operation: register::VoterOperation::Prepare {
            key: format!("once/{time:014}/x"),
            ballot,
        },
    };
    assert!(voter.handle(prepare(500)).0.is_some());
    assert!(voter.handle(prepare(1_000)).0.is_some());
    assert!(
        voter.expire_claims(5_000, 600).is_none(),
        "a clock that jumped ahead"
    );
    assert!(
        voter.expire_claims(900, 400).is_none(),
        "a clock that jumped back"
    );
    assert!(voter.expire_claims(5_000, 400).is_some());
    let (record, response) = voter.handle(prepare(500));
    assert!(record.is_none() && response == VoterResponse::Expired);
    assert!(voter.handle(prepare(600)).0.is_some());
}
