//! The log under a storm of changes: bounded on the disk, also while no snapshot can be made.

use journal::{Folder, MemoryFolder, SEGMENTS_MAX};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{
    Ballot, VersionedValue, VoterOperation, VoterRef, VoterRequest, VoterResponse, VoterSet,
};
use std::io;
use std::sync::Arc;
use voter::Voter;

const DISK: usize = 64_000_000;
/// A configuration of 300 KB, deflated.
const VALUE: usize = 64 << 10;
/// A change every 80 ms for five minutes.
const CHANGES: u64 = 5 * 60 * 1_000 / 80;

/// What a disk went through.
#[derive(Default)]
struct Watch {
    /// Most bytes that all files took.
    peak: usize,
    written: usize,
    /// Whether snapshots fail: nothing can be renamed.
    is_refusing: bool,
}

#[derive(Clone, Default)]
struct WatchedFolder {
    inner: MemoryFolder,
    watch: Arc<Mutex<Watch>>,
}

impl Folder for WatchedFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        self.inner.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.inner.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.inner.append(name, bytes)?;
        let mut watch = self.watch.lock();
        watch.peak = watch.peak.max(self.inner.size());
        watch.written += bytes.len();
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.inner.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.watch.lock().is_refusing {
            return Err(io::Error::other("refused"));
        }
        self.inner.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inner.remove(name)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.inner.sync_names()
    }
}

fn set() -> VoterSet {
    let (disk, address) = (1, "one".into());
    VoterSet {
        epoch: 1,
        number: 1,
        voters: vec![VoterRef { disk, address }],
    }
}

fn accept(key: &str, counter: u64, bytes: Vec<u8>) -> VoterRequest {
    let ballot = Ballot {
        counter,
        proposer: 1,
    };
    let stored = VersionedValue {
        version: counter,
        tag: counter,
        bytes,
    };
    let key = key.to_string();
    VoterRequest {
        set_version: set().version(),
        operation: VoterOperation::Accept {
            key,
            ballot,
            value: stored,
        },
    }
}

fn value(random: &mut StdRng, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    random.fill(&mut bytes[..]);
    bytes
}

fn bootstrapped(folder: &WatchedFolder) -> Voter {
    let mut voter = Voter::open(Box::new(folder.clone())).unwrap();
    voter.bootstrap(set(), 0);
    assert!(voter.sync());
    voter
}

fn version(voter: &Voter) -> u64 {
    let held = voter.acceptor().register("description");
    held.map_or(0, |held| held.value.version)
}

/// Makes a change, as the thread of the disk does; a voter that was closed is opened again first.
fn change(voter: &mut Voter, folder: &WatchedFolder, counter: u64, bytes: Vec<u8>) -> bool {
    if voter.can_reopen() {
        if let Ok(opened) = Voter::reopen(Box::new(folder.clone())) {
            *voter = opened;
        }
    }
    let reply = voter.handle(accept("description", counter, bytes));
    let is_synced = voter.sync() && reply == VoterResponse::Accepted;
    let before = folder.watch.lock().written;
    voter.compact();
    let compacted = folder.watch.lock().written - before;
    assert!(
        compacted <= VALUE + 1_000,
        "{compacted} bytes hold answers up"
    );
    is_synced
}

#[test]
fn a_storm_of_changes_leaves_the_disk_room() {
    let mut random = StdRng::seed_from_u64(1);
    let folder = WatchedFolder::default();
    let mut voter = bootstrapped(&folder);
    for counter in 1..=CHANGES {
        let bytes = value(&mut random, VALUE);
        assert!(change(&mut voter, &folder, counter, bytes));
    }
    let watch = folder.watch.lock();
    println!("peak {} bytes, written {}", watch.peak, watch.written);
    assert!(watch.peak < 10 << 20);
    assert!(watch.written < 11 * (CHANGES as usize * VALUE) / 10);
}

#[test]
fn a_log_that_cannot_be_shortened_stops_in_time_and_loses_nothing() {
    let mut random = StdRng::seed_from_u64(2);
    let folder = WatchedFolder::default();
    let mut voter = bootstrapped(&folder);
    let mut acknowledged = 0;
    let mut refused = 0;
    for counter in 1..=1_000 {
        folder.watch.lock().is_refusing = (200..700).contains(&counter);
        let bytes = value(&mut random, VALUE);
        if change(&mut voter, &folder, counter, bytes) {
            acknowledged = counter;
        } else {
            refused += 1;
        }
        assert!(version(&voter) >= acknowledged || !voter.is_open());
    }
    let peak = folder.watch.lock().peak;
    println!("peak {peak} bytes, {refused} changes refused");
    // At each opening the last segment, of 1 MB and a record, is written anew before the old one goes.
    assert!(peak < SEGMENTS_MAX as usize + (1 << 20) + 12 * VALUE);
    assert!(refused > 100 && acknowledged == 1_000);
    folder.inner.lose_power(&[]);
    let voter = Voter::open(Box::new(folder)).unwrap();
    assert_eq!(version(&voter), acknowledged);
}

/// The largest state: values of 4 MB, and as many jobs as are taken. Two snapshots of it and a full log fit.
#[test]
fn the_largest_state_leaves_the_disk_room() {
    let mut random = StdRng::seed_from_u64(3);
    let folder = WatchedFolder::default();
    let mut voter = bootstrapped(&folder);
    let mut counter = 0;
    for key in ["description", "closures"] {
        voter.handle(accept(key, 1, vec![1; 4 << 20]));
        assert!(voter.sync());
        voter.compact();
    }
    for size in [40 << 10, 1 << 10, 0] {
        loop {
            counter += 1;
            let bytes = value(&mut random, size);
            let key = format!("job/{counter:08}/{}", "k".repeat(60));
            let reply = voter.handle(accept(&key, counter, bytes));
            if reply != VoterResponse::Accepted {
                break;
            }
            if counter % 64 == 0 {
                assert!(voter.sync());
                voter.compact();
            }
        }
    }
    assert!(voter.sync());
    for _ in 0..40 {
        counter += 1;
        voter.handle(accept("description", counter, vec![2; 4 << 20]));
        assert!(voter.sync());
        voter.compact();
    }
    let peak = folder.watch.lock().peak;
    println!("peak {peak} bytes with {} keys", voter.acceptor().len());
    assert!(peak < DISK, "{peak} bytes");
}
