//! What a voter must refuse, and what a proposer must leave open, each shown alone.

use register::{
    Acceptor, Ballot, Change, Held, Outcome, Proposal, ProposalStep, Stored, VoterAsk,
    VoterMessage, VoterRef, VoterReply, VoterSet,
};

const KEY: &str = "key";
const VOTERS: usize = 3;

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 1,
    }
}

fn stored(version: u64) -> Stored {
    Stored {
        version,
        tag: version,
        bytes: vec![version as u8],
    }
}

fn set(no: u64) -> VoterSet {
    let voters = (1..=VOTERS as u64).map(|disk| VoterRef {
        disk,
        address: format!("at-{disk}"),
    });
    VoterSet {
        era: 1,
        no,
        voters: voters.collect(),
    }
}

/// A voter that was in the first set and is in the second.
fn voter_in_second_set() -> Acceptor {
    let mut voter = Acceptor::default();
    voter.form(set(1)).expect("it was empty");
    voter.adopt(set(2)).expect("the set follows");
    voter
}

fn questions(counter: u64) -> [VoterAsk; 3] {
    let key = || KEY.to_string();
    [
        VoterAsk::Peek { key: key() },
        VoterAsk::Promise {
            key: key(),
            ballot: ballot(counter),
        },
        VoterAsk::Accept {
            key: key(),
            ballot: ballot(counter),
            stored: stored(1),
        },
    ]
}

#[test]
fn a_question_under_an_earlier_or_later_set_or_era_is_answered_with_the_voters_set_and_changes_nothing(
) {
    let mut voter = voter_in_second_set();
    for mark in [(1, 1), (1, 3), (0, 2), (2, 2)] {
        for ask in questions(5) {
            let (record, reply) = voter.handle(VoterMessage { mark, ask });
            assert_eq!(record, None, "{mark:?}");
            assert_eq!(reply, VoterReply::OtherSet { set: set(2) }, "{mark:?}");
            assert!(voter.is_empty());
        }
    }
}

#[test]
fn a_voter_never_goes_back_to_an_earlier_set_nor_to_another_era() {
    let mut voter = voter_in_second_set();
    let mut other_era = set(3);
    other_era.era = 2;
    for older in [set(1), set(2), other_era] {
        assert_eq!(voter.adopt(older), None);
        assert_eq!(voter.set().mark(), (1, 2));
    }
    assert!(voter.adopt(set(4)).is_some(), "sets between may be missed");
}

#[test]
fn a_mended_value_breaks_no_promise() {
    let mut voter = voter_in_second_set();
    let promise = VoterAsk::Promise {
        key: KEY.to_string(),
        ballot: ballot(9),
    };
    let message = VoterMessage {
        mark: (1, 2),
        ask: promise,
    };
    assert!(voter.handle(message).0.is_some());
    let copy = |counter: u64| {
        let held = Held {
            promised: ballot(counter),
            accepted: ballot(counter),
            stored: stored(1),
        };
        vec![(KEY.to_string(), held)]
    };
    // To a proposer that has the promise of 9 nothing was accepted here; a value from below it would come too late.
    assert!(voter.mend(copy(8)).is_empty());
    assert_eq!(voter.held(KEY).map(|held| held.stored.version), Some(0));
    assert_eq!(voter.mend(copy(9)).len(), 1);
    assert_eq!(voter.held(KEY).map(|held| held.promised), Some(ballot(9)));
}

/// A write whose value went out to all voters, and whose round was then beaten.
fn beaten_after_proposing() -> Proposal {
    let change = Change::Write {
        expected: 0,
        bytes: vec![1],
    };
    let (mut proposal, _) = Proposal::start(KEY, change, 7, ballot(1), VOTERS);
    let holds = || VoterReply::Holds {
        ballot: Ballot::default(),
        stored: Stored::default(),
    };
    assert_eq!(proposal.on_reply(0, holds()), ProposalStep::Wait);
    let step = proposal.on_reply(1, holds());
    assert!(matches!(step, ProposalStep::Ask(VoterAsk::Accept { .. })));
    let refused = || VoterReply::Refused {
        promised: ballot(5),
    };
    assert_eq!(proposal.on_reply(0, refused()), ProposalStep::Wait);
    assert_eq!(
        proposal.on_reply(1, refused()),
        ProposalStep::Again(ballot(5))
    );
    proposal
}

#[test]
fn a_write_that_was_proposed_stays_undecided_whatever_its_next_round_meets() {
    assert_eq!(beaten_after_proposing().give_up(), Outcome::Undecided);
    let ends = [VoterReply::OtherSet { set: set(2) }, VoterReply::AgedOut];
    for end in ends {
        let mut proposal = beaten_after_proposing();
        proposal.again(ballot(6));
        let step = proposal.on_reply(0, end);
        assert_eq!(step, ProposalStep::Done(Outcome::Undecided));
    }
    let mut proposal = beaten_after_proposing();
    proposal.again(ballot(6));
    assert_eq!(proposal.give_up(), Outcome::Undecided, "nobody answered");
}
