//! Seeded runs of proposers against acceptors with loss, delay, reordering, doubling and voters
//! that come back from their records. The oracle is a list of acknowledged writes.

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

enum Parcel {
    ToVoter(usize, usize, u64, VoterRequest),
    ToProposer(usize, usize, u64, VoterResponse),
}

struct World {
    random: StdRng,
    set: VoterSet,
    voters: Vec<Acceptor>,
    synced: Vec<Vec<Record>>,
    proposers: Vec<Proposer>,
    parcels: Vec<Parcel>,
    committed: BTreeMap<u64, u64>,
    writes: usize,
}

impl World {
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
        let mut world = Self {
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
            parcels: Vec::new(),
            committed: BTreeMap::new(),
            writes: 0,
            set,
        };
        for place in 0..VOTERS {
            let record = world.voters[place].bootstrap(world.set.clone()).unwrap();
            world.synced[place].push(record);
        }
        world
    }

    fn send_all(&mut self, proposer: usize, number: u64, ask: register::VoterOperation) {
        for voter in 0..VOTERS {
            let message = VoterRequest {
                set_version: self.set.version(),
                operation: ask.clone(),
            };
            self.parcels
                .push(Parcel::ToVoter(proposer, voter, number, message));
        }
    }

    fn begin(&mut self, place: usize, tag: Option<u64>) {
        let fresh: u64 = self.random.random();
        let proposer = &mut self.proposers[place];
        proposer.counter += 1;
        proposer.proposed &= tag.is_some();
        proposer.tag = tag.unwrap_or(fresh);
        let ballot = Ballot {
            counter: proposer.counter,
            proposer: proposer.id,
        };
        let change = Change::Write {
            expected: proposer.expected,
            bytes: vec![place as u8],
        };
        let (round, ask) = Round::start("key", change, ballot, proposer.tag, VOTERS);
        let number = proposer.counter * 10;
        proposer.round = Some((round, number));
        self.send_all(place, number, ask);
    }

    fn commit(&mut self, version: u64, tag: u64) {
        let known = self.committed.entry(version).or_insert(tag);
        assert_eq!(*known, tag, "two values committed at version {version}");
    }

    fn deliver(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::ToVoter(proposer, voter, number, message) => {
                let (record, reply) = self.voters[voter].handle(message);
                self.synced[voter].extend(record);
                self.parcels
                    .push(Parcel::ToProposer(proposer, voter, number, reply));
            }
            Parcel::ToProposer(place, voter, number, reply) => {
                self.answer(place, voter, number, reply)
            }
        }
    }

    fn answer(&mut self, place: usize, voter: usize, number: u64, reply: VoterResponse) {
        let Some((mut round, current)) = self.proposers[place].round.take() else {
            return;
        };
        if current != number {
            self.proposers[place].round = Some((round, current));
            return;
        }
        match round.on_response(voter, reply) {
            RoundStep::Wait => self.proposers[place].round = Some((round, current)),
            RoundStep::Send(ask) => {
                self.proposers[place].proposed |= round.has_proposed();
                self.proposers[place].round = Some((round, current + 1));
                self.send_all(place, current + 1, ask);
            }
            RoundStep::Done(ChangeOutcome::Committed(stored)) => {
                let proposer = &mut self.proposers[place];
                if stored.version == proposer.expected + 1 && stored.tag == proposer.tag {
                    self.writes += 1;
                }
                self.proposers[place].expected = stored.version;
                if stored.version > 0 {
                    self.commit(stored.version, stored.tag);
                }
            }
            RoundStep::Done(ChangeOutcome::Preempted(ballot)) => {
                let proposer = &mut self.proposers[place];
                proposer.counter = proposer.counter.max(ballot.counter);
                let tag = proposer.tag;
                self.begin(place, Some(tag));
            }
            RoundStep::Done(_) => {}
        }
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..=3 => {
                let place = self.random.random_range(0..3);
                if self.proposers[place].round.is_none() {
                    self.begin(place, None);
                }
            }
            4 => {
                let place = self.random.random_range(0..3);
                self.proposers[place].round = None;
            }
            5 => {
                let voter = self.random.random_range(0..VOTERS);
                let mut back = Acceptor::default();
                for record in self.synced[voter].clone() {
                    back.replay(record);
                }
                assert_eq!(back, self.voters[voter]);
                self.voters[voter] = back;
            }
            _ if self.parcels.is_empty() => {}
            roll => {
                let place = self.random.random_range(0..self.parcels.len());
                let parcel = self.parcels.swap_remove(place);
                if roll < 12 {
                    return;
                }
                if roll < 18 {
                    if let Parcel::ToVoter(proposer, voter, number, message) = &parcel {
                        let twin = Parcel::ToVoter(*proposer, *voter, *number, message.clone());
                        self.parcels.push(twin);
                    }
                }
                self.deliver(parcel);
            }
        }
    }
}

#[test]
fn one_value_is_committed_for_each_version() {
    let mut writes = 0;
    for seed in 0..300 {
        let mut world = World::new(seed);
        for _ in 0..1_500 {
            world.step();
        }
        writes += world.writes;
    }
    assert!(writes > 1_000, "only {writes} writes were committed");
}

/// Writes through proposals against voters that answer at once.
fn write(voters: &mut [Acceptor], counter: u64, expected: u64) -> ChangeOutcome {
    let ballot = Ballot {
        counter,
        proposer: counter,
    };
    let change = Change::Write {
        expected,
        bytes: vec![counter as u8],
    };
    let (mut proposal, mut ask) = Proposal::start("key", change, counter, ballot, VOTERS);
    loop {
        let mut next = None;
        for (place, voter) in voters.iter_mut().enumerate() {
            let message = VoterRequest {
                set_version: SetVersion::new(1, 1),
                operation: ask.clone(),
            };
            match proposal.on_response(place, voter.handle(message).1) {
                ProposalStep::Wait => {}
                ProposalStep::Send(ask) => {
                    next = Some(ask);
                    break;
                }
                ProposalStep::Retry(_) => panic!("nobody else writes"),
                ProposalStep::Done(outcome) => return outcome,
            }
        }
        ask = next.expect("all voters answered");
    }
}

#[test]
fn a_write_that_finds_a_later_version_is_told_what_is_there() {
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
            panic!("a write with version {expected} was not told that it is stale");
        };
        assert_eq!((stored.version, stored.tag), (3, 3));
    }
}

/// A set of voters with these disks.
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
fn a_new_member_holds_what_any_majority_had_committed() {
    // The value is committed at the first and the third voter; the third is then replaced.
    let mut voters = vec![Acceptor::default(); VOTERS];
    for voter in &mut voters {
        voter.bootstrap(set_of(1, [1, 2, 3])).unwrap();
    }
    let mut missing = std::mem::take(&mut voters[1]);
    assert!(matches!(
        write(&mut voters, 1, 0),
        ChangeOutcome::Committed(_)
    ));
    let next = set_of(2, [1, 2, 9]);
    let remaining = [&mut voters[0], &mut missing];
    let replicas = remaining.map(|voter| {
        voter.adopt_set(next.clone()).unwrap();
        replica_of(voter)
    });
    let mut new_member = Acceptor::default();
    let merged = register::merge_replicas(replicas.into());
    new_member.install(next, ClaimFloors::default(), merged);
    assert_eq!(new_member.register("key").unwrap().value.version, 1);
    // Promises come with it: a ballot below the committed one is rejected.
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
fn a_voter_of_another_set_answers_with_its_own() {
    let mut voter = Acceptor::default();
    let ask = register::VoterOperation::Query { key: "key".into() };
    let (record, reply) = voter.handle(VoterRequest {
        set_version: SetVersion::new(1, 1),
        operation: ask,
    });
    assert_eq!(record, None);
    assert_eq!(
        reply,
        VoterResponse::SetMismatch {
            set: VoterSet::default()
        }
    );
}

#[test]
fn an_expired_claim_is_refused_and_never_taken_anew() {
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
    let ask = |time: u64| VoterRequest {
        set_version: SetVersion::new(1, 1),
        operation: register::VoterOperation::Prepare {
            key: format!("once/{time:014}/x"),
            ballot,
        },
    };
    assert!(voter.handle(ask(500)).0.is_some());
    assert!(voter.handle(ask(1_000)).0.is_some());
    assert!(
        voter.expire_claims(5_000, 600).is_none(),
        "a clock that jumped ahead"
    );
    assert!(
        voter.expire_claims(900, 400).is_none(),
        "a clock that jumped back"
    );
    assert!(voter.expire_claims(5_000, 400).is_some());
    let (record, reply) = voter.handle(ask(500));
    assert!(record.is_none() && reply == VoterResponse::Expired);
    assert!(voter.handle(ask(600)).0.is_some());
}
