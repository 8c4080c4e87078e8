use super::{HEARTBEAT_INTERVAL_MS, LEASE_MS, REPLACEMENT_TIMEOUT_MS};
use crate::fingerprint::Fingerprinter;
use consensus::{
    execute_batch_on_disk, Consensus, ConsensusAction, ConsensusOptions, DiskWork, VoterSnapshot,
};
use journal::{FaultKind, Folder, MemoryFolder};
use register::Acceptor;
use speedy::Writable;
use std::io;
use std::sync::{Arc, Mutex};
use voter::VoterDisk;

/// Distance between the random seeds of two machines. A seed is the machine's index times this plus the incarnation, so
/// that all incarnations of all machines use different seeds.
const SEED_STRIDE: u64 = 1_000;
/// Distance between the disk ids of two machines. A disk id is the machine's index times this plus the number of the disk.
const DISK_STRIDE: u64 = 100;

/// A voter that is open on a machine's disk for the duration of one round. A `VoterDisk` cannot be cloned, so a clone is
/// empty; its state is on the disk and is read again from there.
#[derive(Default)]
struct OpenVoter(Mutex<Option<VoterDisk>>);

impl OpenVoter {
    fn slot(&mut self) -> &mut Option<VoterDisk> {
        self.0
            .get_mut()
            .expect("no thread panicked while holding the voter")
    }
}

impl Clone for OpenVoter {
    fn clone(&self) -> Self {
        Self::default()
    }
}

fn open(folder: &MemoryFolder, fresh_identity: u64) -> VoterDisk {
    let folder = folder.clone();
    let open_folder = move || -> io::Result<Box<dyn Folder>> { Ok(Box::new(folder.clone())) };
    VoterDisk::open(Box::new(open_folder), fresh_identity).expect("the disk can be read")
}

/// A controller machine: its disk and, while it is running, its consensus.
#[derive(Clone)]
pub struct Node {
    /// Index of the machine.
    pub index: usize,
    /// The controller's consensus; `None` while it is down.
    pub consensus: Option<Consensus>,
    folder: MemoryFolder,
    disk_count: u64,
    identity: u64,
    incarnations: u64,
    is_first_start: bool,
    voter: OpenVoter,
    acceptor: Arc<Acceptor>,
    digest: u128,
}

impl Node {
    /// Creates a machine with an empty disk.
    pub fn new(index: usize, is_first_start: bool) -> Self {
        Self {
            index,
            consensus: None,
            folder: MemoryFolder::default(),
            disk_count: 1,
            identity: fresh_identity(index, 1),
            incarnations: 0,
            is_first_start,
            voter: OpenVoter::default(),
            acceptor: Arc::default(),
            digest: 0,
        }
    }

    /// Returns the id of the current disk.
    pub fn disk(&self) -> u64 {
        self.identity
    }

    /// Returns the number of the controller's current incarnation, counted from 1.
    pub fn incarnation(&self) -> u64 {
        self.incarnations
    }

    /// Returns the voter's state at the end of the last round.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// Opens a voter on a copy of the disk. Opening writes to the disk, and clones of a folder share their contents.
    fn open_copy(&self) -> VoterDisk {
        open(&self.folder.copy(), self.identity)
    }

    /// Replaces the journal by a snapshot of the same state, which is faster to open.
    pub fn compact(&mut self) {
        self.folder = self.folder.copy();
        let mut disk = open(&self.folder, self.identity);
        disk.reopen().expect("the disk can be written");
    }

    /// Starts a new incarnation of the controller on its disk.
    pub fn boot(&mut self, now: u64, seeds: &[String], voter_count: usize) {
        self.incarnations += 1;
        self.folder = self.folder.copy();
        let disk = open(&self.folder, self.identity);
        self.identity = disk.identity();
        let snapshot = VoterSnapshot::of(disk.voter());
        let options = ConsensusOptions {
            name: address(self.index),
            address: address(self.index),
            seeds: seeds.to_vec(),
            is_first_start: self.is_first_start,
            disk_id: self.disk(),
            lease_ms: LEASE_MS,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            replacement_timeout_ms: REPLACEMENT_TIMEOUT_MS,
            seed: self.index as u64 * SEED_STRIDE + self.incarnations,
            target_voter_count: voter_count,
        };
        self.consensus = Some(Consensus::new(options, now, snapshot));
    }

    /// Stops the controller and discards unsynced data.
    pub fn crash(&mut self) {
        self.consensus = None;
        self.voter = OpenVoter::default();
        self.folder = self.folder.copy();
        self.folder.inject(FaultKind::PowerLoss(0));
    }

    /// Crashes the machine and replaces its disk by an empty one with a new id.
    pub fn wipe(&mut self) {
        self.crash();
        self.folder = MemoryFolder::default();
        self.disk_count += 1;
        self.identity = fresh_identity(self.index, self.disk_count);
        self.is_first_start = false;
    }

    /// Executes disk work and passes the completions to the consensus.
    pub fn execute(&mut self, now: u64, work: Vec<DiskWork>) {
        let Some(consensus) = self.consensus.as_mut() else {
            return;
        };
        let (folder, identity) = (&mut self.folder, self.identity);
        let disk = self.voter.slot().get_or_insert_with(|| {
            // Clones of a folder share their contents, so each state needs its own copy before it writes.
            *folder = folder.copy();
            open(folder, identity)
        });
        for done in execute_batch_on_disk(disk, work) {
            consensus.on_disk(now, done);
        }
        self.identity = disk.identity();
    }

    /// Takes the pending actions of the consensus.
    pub fn take_actions(&mut self) -> Vec<ConsensusAction> {
        let consensus = self.consensus.as_mut();
        consensus.map(Consensus::take_actions).unwrap_or_default()
    }

    /// Returns the term under which the controller holds the scaler role, if it does.
    pub fn term(&self, now: u64) -> Option<u64> {
        self.consensus.as_ref()?.role_term(now)
    }

    /// Returns a hash of everything that determines the machine's future, except the position of its random number generator.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Recomputes the hash and the voter's state; called after the machine has changed.
    pub fn update_digest(&mut self) {
        let mut fingerprinter = Fingerprinter::default();
        fingerprinter.number(u128::from(self.identity) << 64 | u128::from(self.incarnations));
        fingerprinter.debug(&self.consensus);
        let voter = self.voter.slot().take();
        let disk = voter.unwrap_or_else(|| self.open_copy());
        self.acceptor = Arc::new(disk.voter().acceptor().clone());
        let encoded = self
            .acceptor
            .write_to_vec()
            .expect("a voter can be serialized");
        fingerprinter.bytes(&encoded);
        self.digest = fingerprinter.finish();
    }
}

fn fresh_identity(index: usize, disk_count: u64) -> u64 {
    index as u64 * DISK_STRIDE + disk_count
}

/// Returns the address of the machine with an index.
pub fn address(index: usize) -> String {
    format!("controller-{index}")
}

/// Returns the index of the machine with an address.
pub fn index_of(address: &str) -> Option<usize> {
    address.rsplit('-').next()?.parse().ok()
}
