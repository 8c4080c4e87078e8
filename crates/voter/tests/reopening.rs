//! A voter whose disk fails: nothing that was not synced is answered, and it opens again by itself only
//! when all that it holds was written anew.

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

fn held(voter: &Voter) -> u64 {
    voter
        .acceptor()
        .register("k")
        .map_or(0, |held| held.value.version)
}

#[test]
fn a_sync_that_failed_is_never_taken_for_done_and_the_voter_opens_again() {
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
        "nothing can be written anew on a full disk"
    );
    folder.inject(FaultKind::Room);
    let mut voter = Voter::reopen(Box::new(folder.clone())).unwrap();
    assert!(voter.is_open() && held(&voter) == 1);
    voter.handle(accept(4, b"fourth"));
    assert!(voter.sync());
    folder.inject(FaultKind::PowerLoss(0));
    let again = Voter::open(Box::new(folder)).unwrap();
    assert_eq!(held(&again), 4);
}
