//! A voter that begins anew while power is lost: it is the whole former voter or an empty new one.

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

/// A folder whose calls fail once so many of them changed something, as when power is lost.
struct Cut {
    folder: MemoryFolder,
    left: Arc<Mutex<usize>>,
}

impl Cut {
    fn pass(&self) -> io::Result<()> {
        let mut left = self.left.lock();
        if *left == 0 {
            return Err(io::Error::other("power was lost"));
        }
        *left -= 1;
        Ok(())
    }
}

impl Folder for Cut {
    fn list(&self) -> io::Result<Vec<String>> {
        self.folder.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.folder.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.pass()?;
        self.folder.append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.pass()?;
        self.folder.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.pass()?;
        self.folder.rename(from, to)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.pass()?;
        self.folder.sync_names()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.pass()?;
        self.folder.remove(name)
    }
}

fn open(folder: &MemoryFolder, left: &Arc<Mutex<usize>>, fresh: u64) -> VoterDisk {
    let (folder, left) = (folder.clone(), Arc::clone(left));
    let open_folder = move || -> io::Result<Box<dyn Folder>> {
        let (folder, left) = (folder.clone(), Arc::clone(&left));
        Ok(Box::new(Cut { folder, left }))
    };
    VoterDisk::open(Box::new(open_folder), fresh).unwrap()
}

fn set(no: u64) -> VoterSet {
    VoterSet {
        epoch: 1,
        number: no,
        voters: vec![VoterRef {
            disk: OLD,
            address: "one".into(),
        }],
    }
}

fn accept(key: &str, no: u64) -> VoterRequest {
    VoterRequest {
        set_version: SetVersion::new(1, no),
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

/// A voter with two values and two sets, so that losing any file or record of it would show.
fn filled(left: &Arc<Mutex<usize>>) -> (MemoryFolder, VoterDisk) {
    let folder = MemoryFolder::default();
    let mut disk = open(&folder, left, OLD);
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

fn is_whole(disk: &VoterDisk) -> bool {
    let held = disk.voter().acceptor();
    let has = |key: &str| {
        held.register(key)
            .is_some_and(|held| held.value.version == 7)
    };
    held.set().version() == SetVersion::new(1, 2) && has("first") && has("second")
}

fn is_blank(disk: &VoterDisk) -> bool {
    let held = disk.voter().acceptor();
    held.set().epoch == 0 && held.is_empty() && disk.voter().is_open()
}

#[test]
fn power_lost_at_any_step_leaves_the_whole_former_voter_or_an_empty_one() {
    let mut seen = [0; 2];
    for steps in 0..12 {
        let left = Arc::new(Mutex::new(usize::MAX));
        let (folder, mut disk) = filled(&left);
        *left.lock() = steps;
        let begun = disk.reset(NEW);
        drop(disk);
        folder.inject(FaultKind::PowerLoss(0));
        *left.lock() = usize::MAX;
        let again = open(&folder, &left, NEWER);
        match again.identity() {
            OLD => assert!(is_whole(&again) && begun.is_err(), "after {steps} steps"),
            // Without a journal of the new identity nobody knows whether it voted: it is given up too.
            NEW | NEWER => assert!(is_blank(&again), "after {steps} steps"),
            other => panic!("identity {other} after {steps} steps"),
        }
        seen[usize::from(again.identity() != OLD)] += 1;
        let files = folder.list().unwrap();
        let old = format!("{OLD:016x}-");
        let has_old = files.iter().any(|name| name.starts_with(&old));
        assert_eq!(has_old, again.identity() == OLD, "{files:?}");
    }
    assert!(seen[0] > 0 && seen[1] > 0, "{seen:?}");
}

#[test]
fn a_disk_that_is_full_keeps_the_former_voter_and_may_be_emptied_later() {
    let left = Arc::new(Mutex::new(usize::MAX));
    let (folder, mut disk) = filled(&left);
    folder.inject(FaultKind::Full);
    assert!(disk.reset(NEW).is_err());
    assert!(is_whole(&disk) && disk.identity() == OLD);
    folder.inject(FaultKind::Room);
    disk.reset(NEW).unwrap();
    assert!(is_blank(&disk) && disk.identity() == NEW);
}

#[test]
fn foreign_files_stay_and_files_of_another_identity_are_never_read() {
    let left = Arc::new(Mutex::new(usize::MAX));
    let (mut folder, disk) = filled(&left);
    drop(disk);
    folder.replace("notes.txt", b"mine").unwrap();
    let former: Vec<String> = folder.list().unwrap();
    let words = [NEWER, 0, !NEWER].map(u64::to_le_bytes).concat();
    folder.replace("identity", &words).unwrap();
    let again = open(&folder, &left, NEW);
    assert!(again.identity() == NEW && is_blank(&again));
    let files = folder.list().unwrap();
    assert!(former.iter().all(|name| files.contains(name)), "{files:?}");
}
