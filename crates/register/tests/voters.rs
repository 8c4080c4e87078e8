//! Requests that a voter must reject, and outcomes that a proposer must report as indeterminate.

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

fn set(set_number: u64) -> VoterSet {
    let voters = (1..=VOTERS as u64).map(|disk| VoterRef {
        disk,
        address: format!("at-{disk}"),
    });
    VoterSet {
        epoch: 1,
        number: set_number,
        voters: voters.collect(),
    }
}

/// A voter that moved from the first set to the second.
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
fn a_request_under_another_set_or_epoch_gets_the_voters_set_and_changes_nothing() {
    let mut voter = voter_in_second_set();
    for set_version in
        [(1, 1), (1, 3), (0, 2), (2, 2)].map(|(epoch, number)| SetVersion::new(epoch, number))
    {
        for operation in operations(5) {
            let (record, response) = voter.handle(VoterRequest {
                set_version,
                operation,
            });
            assert_eq!(record, None, "{set_version:?}");
            assert_eq!(
                response,
                VoterResponse::SetMismatch { set: set(2) },
                "{set_version:?}"
            );
            assert!(voter.is_empty());
        }
    }
}

#[test]
fn a_voter_never_adopts_an_earlier_set_or_another_epoch() {
    let mut voter = voter_in_second_set();
    let mut other_epoch = set(3);
    other_epoch.epoch = 2;
    for older in [set(1), set(2), other_epoch] {
        assert_eq!(voter.adopt_set(older), None);
        assert_eq!(voter.set().version(), SetVersion::new(1, 2));
    }
    assert!(
        voter.adopt_set(set(4)).is_some(),
        "sets in between may be skipped"
    );
}

#[test]
fn a_repaired_value_breaks_no_promise() {
    let mut voter = voter_in_second_set();
    let prepare = VoterOperation::Prepare {
        key: KEY.to_string(),
        ballot: ballot(9),
    };
    let request = VoterRequest {
        set_version: SetVersion::new(1, 2),
        operation: prepare,
    };
    assert!(voter.handle(request).0.is_some());
    let replica = |counter: u64| {
        let state = RegisterState {
            promised: ballot(counter),
            accepted: ballot(counter),
            value: stored(1),
        };
        vec![(KEY.to_string(), state)]
    };
    // The voter told the proposer of ballot 9 that nothing was accepted, so it must not take a value of a lower ballot now.
    assert!(voter.repair(replica(8)).is_empty());
    assert_eq!(
        voter.register(KEY).map(|state| state.value.version),
        Some(0)
    );
    assert_eq!(voter.repair(replica(9)).len(), 1);
    assert_eq!(
        voter.register(KEY).map(|state| state.promised),
        Some(ballot(9))
    );
}

/// A write whose value was sent to all voters, and whose round was then preempted.
fn preempted_after_proposing() -> Proposal {
    let change = Change::Write {
        expected: 0,
        bytes: vec![1],
    };
    let (mut proposal, _) = Proposal::start(KEY, change, 7, ballot(1), VOTERS);
    let nothing_accepted = || VoterResponse::LastAccepted {
        ballot: Ballot::default(),
        value: VersionedValue::default(),
    };
    assert_eq!(
        proposal.on_response(0, nothing_accepted()),
        ProposalStep::Wait
    );
    let step = proposal.on_response(1, nothing_accepted());
    assert!(matches!(
        step,
        ProposalStep::Send(VoterOperation::Accept { .. })
    ));
    let rejected = || VoterResponse::Rejected {
        promised: ballot(5),
    };
    assert_eq!(proposal.on_response(0, rejected()), ProposalStep::Wait);
    assert_eq!(
        proposal.on_response(1, rejected()),
        ProposalStep::Retry(ballot(5))
    );
    proposal
}

#[test]
fn a_proposed_write_stays_indeterminate_however_its_next_round_fails() {
    assert_eq!(
        preempted_after_proposing().abandon(),
        ChangeOutcome::Indeterminate
    );
    let failures = [
        VoterResponse::SetMismatch { set: set(2) },
        VoterResponse::Expired,
    ];
    for failure in failures {
        let mut proposal = preempted_after_proposing();
        proposal.retry(ballot(6));
        let step = proposal.on_response(0, failure);
        assert_eq!(step, ProposalStep::Done(ChangeOutcome::Indeterminate));
    }
    let mut proposal = preempted_after_proposing();
    proposal.retry(ballot(6));
    assert_eq!(
        proposal.abandon(),
        ChangeOutcome::Indeterminate,
        "no voter responded"
    );
}
