//! A voter that is reopened after a disk failure replaces every file written before it. This is in addition to what the
//! journal itself does after a failure.

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
fn a_reopened_voter_keeps_no_file_written_before_the_failure() {
    let folder = MemoryFolder::default();
    let mut voter = Voter::open(Box::new(folder.clone())).expect("an empty folder can be opened");
    voter.bootstrap(set(), 0);
    voter.handle(accept(1));
    assert!(voter.sync());
    folder.inject(FaultKind::Full);
    voter.handle(accept(2));
    assert!(!voter.sync());
    folder.inject(FaultKind::SpaceFreed);
    let before = folder.list().expect("a folder in memory can be listed");
    let voter = Voter::reopen(Box::new(folder.clone())).expect("the disk has room again");
    assert!(voter.is_open());
    let after = folder.list().expect("a folder in memory can be listed");
    assert!(!before.is_empty() && !after.is_empty());
    assert!(after.iter().all(|name| !before.contains(name)), "{after:?}");
    let version = voter
        .acceptor()
        .register("key")
        .map(|state| state.value.version);
    assert_eq!(version, Some(1));
}
