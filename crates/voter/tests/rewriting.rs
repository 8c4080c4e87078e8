//! What a voter does with a disk that failed, beside what the journal does by itself.

use journal::{FaultKind, Folder, MemoryFolder};
use register::{Ballot, VersionedValue, VoterOperation, VoterRef, VoterRequest, VoterSet};
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

fn accept(version: u64) -> VoterRequest {
    let ballot = Ballot {
        counter: version,
        proposer: 1,
    };
    VoterRequest {
        set_version: set().version(),
        operation: VoterOperation::Accept {
            key: "key".into(),
            ballot,
            value: VersionedValue {
                version,
                tag: version,
                bytes: b"value".to_vec(),
            },
        },
    }
}

#[test]
fn a_voter_that_opens_again_leaves_no_file_that_was_written_before_the_failure() {
    let folder = MemoryFolder::default();
    let mut voter = Voter::open(Box::new(folder.clone())).expect("the folder is empty");
    voter.bootstrap(set(), 0);
    voter.handle(accept(1));
    assert!(voter.sync());
    folder.inject(FaultKind::Full);
    voter.handle(accept(2));
    assert!(!voter.sync());
    folder.inject(FaultKind::Room);
    let before = folder.list().expect("memory can be listed");
    let voter = Voter::reopen(Box::new(folder.clone())).expect("there is room again");
    assert!(voter.is_open());
    let after = folder.list().expect("memory can be listed");
    assert!(!before.is_empty() && !after.is_empty());
    assert!(after.iter().all(|name| !before.contains(name)), "{after:?}");
    let held = voter
        .acceptor()
        .register("key")
        .map(|held| held.value.version);
    assert_eq!(held, Some(1));
}
