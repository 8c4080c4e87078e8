//! A voter whose disk fails: it acknowledges nothing that was not synced, and can be reopened only once its whole state has been
//! rewritten.

use journal::{FaultKind, MemoryFolder};
use register::{
    Ballot, VersionedValue, VoterOperation, VoterRef, VoterRequest, VoterResponse, VoterSet,
};
use voter::Voter;

fn set() -> VoterSet {
    VoterSet {
        epoch: 1,
        number: 1,
        voters: vec![VoterRef {
            disk: 1,
            address: "one".into(),
        }],
    }
}

fn accept(counter: u64, bytes: &[u8]) -> VoterRequest {
    VoterRequest {
        set_version: set().version(),
        operation: VoterOperation::Accept {
            key: "k".into(),
            ballot: Ballot {
                counter,
                proposer: 1,
            },
            value: VersionedValue {
                version: counter,
                tag: counter,
                bytes: bytes.to_vec(),
            },
        },
    }
}

fn stored_version(voter: &Voter) -> u64 {
    voter
        .acceptor()
        .register("k")
        .map_or(0, |state| state.value.version)
}

#[test]
fn a_failed_sync_is_never_reported_as_success_and_the_voter_can_be_reopened() {
    let folder = MemoryFolder::default();
    let mut voter = Voter::open(Box::new(folder.clone())).unwrap();
    voter.bootstrap(set(), 0);
    voter.handle(accept(1, b"first"));
    assert!(voter.sync());
    folder.inject(FaultKind::Full);
    voter.handle(accept(2, b"second"));
    assert!(!voter.sync(), "the disk is full");
    assert!(matches!(
        voter.handle(accept(3, b"third")),
        VoterResponse::Unavailable { .. }
    ));
    assert!(voter.can_reopen());
    assert!(
        Voter::reopen(Box::new(folder.clone())).is_err(),
        "the state cannot be rewritten on a full disk"
    );
    folder.inject(FaultKind::SpaceFreed);
    let mut voter = Voter::reopen(Box::new(folder.clone())).unwrap();
    assert!(voter.is_open() && stored_version(&voter) == 1);
    voter.handle(accept(4, b"fourth"));
    assert!(voter.sync());
    folder.inject(FaultKind::PowerLoss(0));
    let reopened = Voter::open(Box::new(folder)).unwrap();
    assert_eq!(stored_version(&reopened), 4);
}
