//! Power loss while a voter is reset: it comes back either as the complete former voter or as an empty new one.

use journal::{FaultKind, Folder, MemoryFolder};
use parking_lot::Mutex;
use register::{
    Ballot, SetVersion, VersionedValue, VoterOperation, VoterRef, VoterRequest, VoterResponse,
    VoterSet,
};
use std::io;
use std::sync::Arc;
use voter::VoterDisk;

const OLD: u64 = 1;
const NEW: u64 = 2;
const NEWER: u64 = 3;

/// A folder in which only `remaining` more changes succeed, as if power were lost after them.
struct FailingFolder {
    folder: MemoryFolder,
    remaining: Arc<Mutex<usize>>,
}

impl FailingFolder {
    fn consume_change(&self) -> io::Result<()> {
        let mut remaining = self.remaining.lock();
        if *remaining == 0 {
            return Err(io::Error::other("power was lost"));
        }
        *remaining -= 1;
        Ok(())
    }
}

impl Folder for FailingFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        self.folder.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.folder.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.consume_change()?;
        self.folder.append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.consume_change()?;
        self.folder.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.consume_change()?;
        self.folder.rename(from, to)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.consume_change()?;
        self.folder.sync_names()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.consume_change()?;
        self.folder.remove(name)
    }
}

fn open(folder: &MemoryFolder, remaining: &Arc<Mutex<usize>>, fresh: u64) -> VoterDisk {
    let (folder, remaining) = (folder.clone(), Arc::clone(remaining));
    let open_folder = move || -> io::Result<Box<dyn Folder>> {
        let (folder, remaining) = (folder.clone(), Arc::clone(&remaining));
        Ok(Box::new(FailingFolder { folder, remaining }))
    };
    VoterDisk::open(Box::new(open_folder), fresh).unwrap()
}

fn set(set_number: u64) -> VoterSet {
    VoterSet {
        epoch: 1,
        number: set_number,
        voters: vec![VoterRef {
            disk: OLD,
            address: "one".into(),
        }],
    }
}

fn accept(key: &str, set_number: u64) -> VoterRequest {
    VoterRequest {
        set_version: SetVersion::new(1, set_number),
        operation: VoterOperation::Accept {
            key: key.into(),
            ballot: Ballot {
                counter: 4,
                proposer: 1,
            },
            value: VersionedValue {
                version: 7,
                tag: 7,
                bytes: b"kept".to_vec(),
            },
        },
    }
}

/// A voter with two values that has adopted two sets, so that the loss of any of its files or records is noticed.
fn populated_voter(remaining: &Arc<Mutex<usize>>) -> (MemoryFolder, VoterDisk) {
    let folder = MemoryFolder::default();
    let mut disk = open(&folder, remaining, OLD);
    disk.voter_mut().bootstrap(set(1), 0);
    assert_eq!(
        disk.voter_mut().handle(accept("first", 1)),
        VoterResponse::Accepted
    );
    assert!(disk.voter_mut().sync());
    disk.reopen().unwrap();
    disk.voter_mut().adopt_set(set(2));
    assert_eq!(
        disk.voter_mut().handle(accept("second", 2)),
        VoterResponse::Accepted
    );
    assert!(disk.voter_mut().sync());
    (folder, disk)
}

fn is_former_voter(disk: &VoterDisk) -> bool {
    let acceptor = disk.voter().acceptor();
    let has = |key: &str| {
        acceptor
            .register(key)
            .is_some_and(|state| state.value.version == 7)
    };
    acceptor.set().version() == SetVersion::new(1, 2) && has("first") && has("second")
}

fn is_empty_voter(disk: &VoterDisk) -> bool {
    let acceptor = disk.voter().acceptor();
    acceptor.set().epoch == 0 && acceptor.is_empty() && disk.voter().is_open()
}

#[test]
fn power_loss_at_any_step_leaves_the_former_voter_or_an_empty_one() {
    let mut seen = [0; 2];
    for steps in 0..12 {
        let remaining = Arc::new(Mutex::new(usize::MAX));
        let (folder, mut disk) = populated_voter(&remaining);
        *remaining.lock() = steps;
        let reset_result = disk.reset(NEW);
        drop(disk);
        folder.inject(FaultKind::PowerLoss(0));
        *remaining.lock() = usize::MAX;
        let reopened = open(&folder, &remaining, NEWER);
        match reopened.identity() {
            OLD => assert!(
                is_former_voter(&reopened) && reset_result.is_err(),
                "after {steps} steps"
            ),
            // Without a journal of the new identity it is unknown whether it voted, so that identity is replaced too.
            NEW | NEWER => assert!(is_empty_voter(&reopened), "after {steps} steps"),
            other => panic!("identity {other} after {steps} steps"),
        }
        seen[usize::from(reopened.identity() != OLD)] += 1;
        let files = folder.list().unwrap();
        let old = format!("{OLD:016x}-");
        let has_old = files.iter().any(|name| name.starts_with(&old));
        assert_eq!(has_old, reopened.identity() == OLD, "{files:?}");
    }
    assert!(seen[0] > 0 && seen[1] > 0, "{seen:?}");
}

#[test]
fn a_full_disk_keeps_the_former_voter_and_may_be_reset_later() {
    let remaining = Arc::new(Mutex::new(usize::MAX));
    let (folder, mut disk) = populated_voter(&remaining);
    folder.inject(FaultKind::Full);
    assert!(disk.reset(NEW).is_err());
    assert!(is_former_voter(&disk) && disk.identity() == OLD);
    folder.inject(FaultKind::SpaceFreed);
    disk.reset(NEW).unwrap();
    assert!(is_empty_voter(&disk) && disk.identity() == NEW);
}

#[test]
fn foreign_files_are_kept_and_files_of_another_identity_are_never_read() {
    let remaining = Arc::new(Mutex::new(usize::MAX));
    let (mut folder, disk) = populated_voter(&remaining);
    drop(disk);
    folder.replace("notes.txt", b"mine").unwrap();
    let former: Vec<String> = folder.list().unwrap();
    let words = [NEWER, 0, !NEWER].map(u64::to_le_bytes).concat();
    folder.replace("identity", &words).unwrap();
    let reopened = open(&folder, &remaining, NEW);
    assert!(reopened.identity() == NEW && is_empty_voter(&reopened));
    let files = folder.list().unwrap();
    assert!(former.iter().all(|name| files.contains(name)), "{files:?}");
}
