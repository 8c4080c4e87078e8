//! A voter whose disk fails: nothing that was not synced is answered, and it opens again by itself only
//! when all that it holds was written anew.

use journal::{MemoryFolder, Mishap};
use register::{Ballot, Stored, VoterAsk, VoterMessage, VoterRef, VoterReply, VoterSet};
use voter::Voter;

fn set() -> VoterSet {
    VoterSet {
        era: 1,
        no: 1,
        voters: vec![VoterRef {
            disk: 1,
            address: "one".into(),
        }],
    }
}

fn accept(counter: u64, bytes: &[u8]) -> VoterMessage {
    VoterMessage {
        mark: set().mark(),
        ask: VoterAsk::Accept {
            key: "k".into(),
            ballot: Ballot {
                counter,
                proposer: 1,
            },
            stored: Stored {
                version: counter,
                tag: counter,
                bytes: bytes.to_vec(),
            },
        },
    }
}

fn held(voter: &Voter) -> u64 {
    voter.held().held("k").map_or(0, |held| held.stored.version)
}

#[test]
fn a_sync_that_failed_is_never_taken_for_done_and_the_voter_opens_again() {
    let folder = MemoryFolder::default();
    let mut voter = Voter::open(Box::new(folder.clone())).unwrap();
    voter.form(set(), 0);
    voter.ask(accept(1, b"first"));
    assert!(voter.sync());
    folder.suffer(Mishap::Full);
    voter.ask(accept(2, b"second"));
    assert!(!voter.sync(), "the disk is full");
    assert!(matches!(
        voter.ask(accept(3, b"third")),
        VoterReply::Closed { .. }
    ));
    assert!(voter.may_reopen());
    assert!(
        Voter::reopen(Box::new(folder.clone())).is_err(),
        "nothing can be written anew on a full disk"
    );
    folder.suffer(Mishap::Room);
    let mut voter = Voter::reopen(Box::new(folder.clone())).unwrap();
    assert!(voter.is_open() && held(&voter) == 1);
    voter.ask(accept(4, b"fourth"));
    assert!(voter.sync());
    folder.suffer(Mishap::PowerLoss(0));
    let again = Voter::open(Box::new(folder)).unwrap();
    assert_eq!(held(&again), 4);
}
