//! What a voter must refuse, and what a proposer must leave open, each shown alone.

use register::{
    Acceptor, Ballot, Change, ChangeOutcome, Proposal, ProposalStep, RegisterState, SetVersion,
    VersionedValue, VoterOperation, VoterRef, VoterRequest, VoterResponse, VoterSet,
};

const KEY: &str = "key";
const VOTERS: usize = 3;

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 1,
    }
}

fn stored(version: u64) -> VersionedValue {
    VersionedValue {
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
        epoch: 1,
        number: no,
        voters: voters.collect(),
    }
}

/// A voter that was in the first set and is in the second.
fn voter_in_second_set() -> Acceptor {
    let mut voter = Acceptor::default();
    voter.bootstrap(set(1)).expect("it was empty");
    voter.adopt_set(set(2)).expect("the set follows");
    voter
}

fn operations(counter: u64) -> [VoterOperation; 3] {
    let key = || KEY.to_string();
    [
        VoterOperation::Query { key: key() },
        VoterOperation::Prepare {
            key: key(),
            ballot: ballot(counter),
        },
        VoterOperation::Accept {
            key: key(),
            ballot: ballot(counter),
            value: stored(1),
        },
    ]
}

#[test]
fn a_request_under_an_earlier_or_later_set_or_epoch_is_answered_with_the_voters_set_and_changes_nothing(
) {
    let mut voter = voter_in_second_set();
    for set_version in
        [(1, 1), (1, 3), (0, 2), (2, 2)].map(|(epoch, number)| SetVersion::new(epoch, number))
    {
        for operation in operations(5) {
            let (record, reply) = voter.handle(VoterRequest {
                set_version,
                operation,
            });
            assert_eq!(record, None, "{set_version:?}");
            assert_eq!(
                reply,
                VoterResponse::SetMismatch { set: set(2) },
                "{set_version:?}"
            );
            assert!(voter.is_empty());
        }
    }
}

#[test]
fn a_voter_never_goes_back_to_an_earlier_set_nor_to_another_epoch() {
    let mut voter = voter_in_second_set();
    let mut other_epoch = set(3);
    other_epoch.epoch = 2;
    for older in [set(1), set(2), other_epoch] {
        assert_eq!(voter.adopt_set(older), None);
        assert_eq!(voter.set().version(), SetVersion::new(1, 2));
    }
    assert!(
        voter.adopt_set(set(4)).is_some(),
        "sets between may be missed"
    );
}

#[test]
fn a_repaired_value_breaks_no_promise() {
    let mut voter = voter_in_second_set();
    let promise = VoterOperation::Prepare {
        key: KEY.to_string(),
        ballot: ballot(9),
    };
    let message = VoterRequest {
        set_version: SetVersion::new(1, 2),
        operation: promise,
    };
    assert!(voter.handle(message).0.is_some());
    let copy = |counter: u64| {
        let held = RegisterState {
            promised: ballot(counter),
            accepted: ballot(counter),
            value: stored(1),
        };
        vec![(KEY.to_string(), held)]
    };
    // To a proposer that has the promise of 9 nothing was accepted here; a value from below it would come too late.
    assert!(voter.repair(copy(8)).is_empty());
    assert_eq!(voter.register(KEY).map(|held| held.value.version), Some(0));
    assert_eq!(voter.repair(copy(9)).len(), 1);
    assert_eq!(
        voter.register(KEY).map(|held| held.promised),
        Some(ballot(9))
    );
}

/// A write whose value went out to all voters, and whose round was then beaten.
fn preempted_after_proposing() -> Proposal {
    let change = Change::Write {
        expected: 0,
        bytes: vec![1],
    };
    let (mut proposal, _) = Proposal::start(KEY, change, 7, ballot(1), VOTERS);
    let holds = || VoterResponse::LastAccepted {
        ballot: Ballot::default(),
        value: VersionedValue::default(),
    };
    assert_eq!(proposal.on_response(0, holds()), ProposalStep::Wait);
    let step = proposal.on_response(1, holds());
    assert!(matches!(
        step,
        ProposalStep::Send(VoterOperation::Accept { .. })
    ));
    let refused = || VoterResponse::Rejected {
        promised: ballot(5),
    };
    assert_eq!(proposal.on_response(0, refused()), ProposalStep::Wait);
    assert_eq!(
        proposal.on_response(1, refused()),
        ProposalStep::Retry(ballot(5))
    );
    proposal
}

#[test]
fn a_write_that_was_proposed_stays_indeterminate_whatever_its_next_round_meets() {
    assert_eq!(
        preempted_after_proposing().abandon(),
        ChangeOutcome::Indeterminate
    );
    let ends = [
        VoterResponse::SetMismatch { set: set(2) },
        VoterResponse::Expired,
    ];
    for end in ends {
        let mut proposal = preempted_after_proposing();
        proposal.retry(ballot(6));
        let step = proposal.on_response(0, end);
        assert_eq!(step, ProposalStep::Done(ChangeOutcome::Indeterminate));
    }
    let mut proposal = preempted_after_proposing();
    proposal.retry(ballot(6));
    assert_eq!(
        proposal.abandon(),
        ChangeOutcome::Indeterminate,
        "nobody answered"
    );
}
