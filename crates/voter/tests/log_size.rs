//! The size of the log on the disk is bounded under rapid changes, even while no snapshot can be written.

use journal::{Folder, MemoryFolder, MAX_SEGMENT_BYTES};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{
    Ballot, VersionedValue, VoterOperation, VoterRef, VoterRequest, VoterResponse, VoterSet,
};
use std::io;
use std::sync::Arc;
use voter::Voter;

const DISK_BYTES: usize = 64_000_000;
/// Size of a configuration of 300 KB after compression.
const VALUE_BYTES: usize = 64 << 10;
/// One change every 80 ms for five minutes.
const CHANGES: u64 = 5 * 60 * 1_000 / 80;

/// Statistics of a disk, and whether its renames fail.
#[derive(Default)]
struct DiskStats {
    /// Largest total size of all files, in bytes.
    peak: usize,
    written: usize,
    /// Whether renames fail, and with them snapshots.
    is_failing_renames: bool,
}

#[derive(Clone, Default)]
struct InstrumentedFolder {
    inner: MemoryFolder,
    stats: Arc<Mutex<DiskStats>>,
}

impl Folder for InstrumentedFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        self.inner.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.inner.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.inner.append(name, bytes)?;
        let mut stats = self.stats.lock();
        stats.peak = stats.peak.max(self.inner.size());
        stats.written += bytes.len();
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.inner.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.stats.lock().is_failing_renames {
            return Err(io::Error::other("rename failed"));
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

fn bootstrapped(folder: &InstrumentedFolder) -> Voter {
    let mut voter = Voter::open(Box::new(folder.clone())).unwrap();
    voter.bootstrap(set(), 0);
    assert!(voter.sync());
    voter
}

fn version(voter: &Voter) -> u64 {
    let state = voter.acceptor().register("description");
    state.map_or(0, |state| state.value.version)
}

/// Makes a change as the disk thread does. A closed voter is reopened first.
fn change(voter: &mut Voter, folder: &InstrumentedFolder, counter: u64, bytes: Vec<u8>) -> bool {
    if voter.can_reopen() {
        if let Ok(opened) = Voter::reopen(Box::new(folder.clone())) {
            *voter = opened;
        }
    }
    let response = voter.handle(accept("description", counter, bytes));
    let is_synced = voter.sync() && response == VoterResponse::Accepted;
    let before = folder.stats.lock().written;
    voter.compact();
    let compacted = folder.stats.lock().written - before;
    assert!(
        compacted <= VALUE_BYTES + 1_000,
        "compaction wrote {compacted} bytes, which delays responses"
    );
    is_synced
}

#[test]
fn rapid_changes_keep_the_log_small() {
    let mut random = StdRng::seed_from_u64(1);
    let folder = InstrumentedFolder::default();
    let mut voter = bootstrapped(&folder);
    for counter in 1..=CHANGES {
        let bytes = value(&mut random, VALUE_BYTES);
        assert!(change(&mut voter, &folder, counter, bytes));
    }
    let stats = folder.stats.lock();
    println!("peak {} bytes, written {}", stats.peak, stats.written);
    assert!(stats.peak < 10 << 20);
    assert!(stats.written < 11 * (CHANGES as usize * VALUE_BYTES) / 10);
}

#[test]
fn a_log_that_cannot_be_compacted_stops_growing_and_loses_nothing() {
    let mut random = StdRng::seed_from_u64(2);
    let folder = InstrumentedFolder::default();
    let mut voter = bootstrapped(&folder);
    let mut acknowledged = 0;
    let mut rejected = 0;
    for counter in 1..=1_000 {
        folder.stats.lock().is_failing_renames = (200..700).contains(&counter);
        let bytes = value(&mut random, VALUE_BYTES);
        if change(&mut voter, &folder, counter, bytes) {
            acknowledged = counter;
        } else {
            rejected += 1;
        }
        assert!(version(&voter) >= acknowledged || !voter.is_open());
    }
    let peak = folder.stats.lock().peak;
    println!("peak {peak} bytes, {rejected} changes rejected");
    // Each time the voter is opened, the last segment, of 1 MB and a record, is rewritten before the old one is removed.
    assert!(peak < MAX_SEGMENT_BYTES as usize + (1 << 20) + 12 * VALUE_BYTES);
    assert!(rejected > 100 && acknowledged == 1_000);
    folder.inner.lose_power(&[]);
    let voter = Voter::open(Box::new(folder)).unwrap();
    assert_eq!(version(&voter), acknowledged);
}

/// The largest state: values of 4 MB and as many jobs as are accepted. Two snapshots of it and a full log fit on the disk.
#[test]
fn the_largest_state_fits_on_the_disk() {
    let mut random = StdRng::seed_from_u64(3);
    let folder = InstrumentedFolder::default();
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
            let response = voter.handle(accept(&key, counter, bytes));
            if response != VoterResponse::Accepted {
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
    let peak = folder.stats.lock().peak;
    println!("peak {peak} bytes with {} keys", voter.acceptor().len());
    assert!(peak < DISK_BYTES, "{peak} bytes");
}
