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

/// Seeds of the random numbers of two incarnations never meet: place and incarnation are part of them.
const SEED_STRIDE: u64 = 1_000;
/// Ids of disks are made alike from place and number.
const DISK_STRIDE: u64 = 100;

/// A voter that is open on a machine's disk for the time of one round. It cannot be cloned, and need not be: what it
/// holds is on the disk.
#[derive(Default)]
struct OpenVoter(Mutex<Option<VoterDisk>>);

impl OpenVoter {
    fn slot(&mut self) -> &mut Option<VoterDisk> {
        self.0.get_mut().expect("no thread panicked with it")
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

/// A controller's machine: its disk and, where it runs, its consensus.
#[derive(Clone)]
pub struct Node {
    /// Number of the machine.
    pub place: usize,
    /// The controller's consensus; none while it is down.
    pub consensus: Option<Consensus>,
    folder: MemoryFolder,
    disks: u64,
    identity: u64,
    incarnations: u64,
    is_first_start: bool,
    voter: OpenVoter,
    held: Arc<Acceptor>,
    digest: u128,
}

impl Node {
    /// A machine with an empty disk.
    pub fn new(place: usize, is_first_start: bool) -> Self {
        Self {
            place,
            consensus: None,
            folder: MemoryFolder::default(),
            disks: 1,
            identity: fresh_identity(place, 1),
            incarnations: 0,
            is_first_start,
            voter: OpenVoter::default(),
            held: Arc::default(),
            digest: 0,
        }
    }

    /// Id of the disk that it has now.
    pub fn disk(&self) -> u64 {
        self.identity
    }

    /// Number of its controller's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnations
    }

    /// What the voter held at the end of the round.
    pub fn held(&self) -> &Acceptor {
        &self.held
    }

    /// Opens a copy of the disk: opening writes, and clones of a folder share theirs.
    fn open_copy(&self) -> VoterDisk {
        open(&self.folder.copy(), self.identity)
    }

    /// Replaces the journal by a snapshot of the same state, which is faster to read.
    pub fn compact(&mut self) {
        self.folder = self.folder.copy();
        let mut disk = open(&self.folder, self.identity);
        disk.reopen().expect("the disk can be written");
    }

    /// Starts the controller on its disk.
    pub fn boot(&mut self, now: u64, seeds: &[String], voters_wanted: usize) {
        self.incarnations += 1;
        self.folder = self.folder.copy();
        let disk = open(&self.folder, self.identity);
        self.identity = disk.identity();
        let held = VoterSnapshot::of(disk.voter());
        let options = ConsensusOptions {
            name: address(self.place),
            address: address(self.place),
            seeds: seeds.to_vec(),
            is_first_start: self.is_first_start,
            disk_id: self.disk(),
            lease_ms: LEASE_MS,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            replacement_timeout_ms: REPLACEMENT_TIMEOUT_MS,
            seed: self.place as u64 * SEED_STRIDE + self.incarnations,
            target_voter_count: voters_wanted,
        };
        self.consensus = Some(Consensus::new(options, now, held));
    }

    /// Stops the controller and loses what was not synced.
    pub fn crash(&mut self) {
        self.consensus = None;
        self.voter = OpenVoter::default();
        self.folder = self.folder.copy();
        self.folder.inject(FaultKind::PowerLoss(0));
    }

    /// Gives the machine an empty disk with a new id.
    pub fn wipe(&mut self) {
        self.crash();
        self.folder = MemoryFolder::default();
        self.disks += 1;
        self.identity = fresh_identity(self.place, self.disks);
        self.is_first_start = false;
    }

    /// Does the disk's work and gives the consensus what came of it.
    pub fn perform(&mut self, now: u64, work: Vec<DiskWork>) {
        let Some(consensus) = self.consensus.as_mut() else {
            return;
        };
        let (folder, identity) = (&mut self.folder, self.identity);
        let disk = self.voter.slot().get_or_insert_with(|| {
            // Each state has a disk of its own, since clones of a folder share theirs.
            *folder = folder.copy();
            open(folder, identity)
        });
        for done in execute_batch_on_disk(disk, work) {
            consensus.on_disk(now, done);
        }
        self.identity = disk.identity();
    }

    /// What the consensus wants done.
    pub fn take_actions(&mut self) -> Vec<ConsensusAction> {
        let consensus = self.consensus.as_mut();
        consensus.map(Consensus::take_actions).unwrap_or_default()
    }

    /// The term under which the controller holds the scaler role.
    pub fn term(&self, now: u64) -> Option<u64> {
        self.consensus.as_ref()?.role_term(now)
    }

    /// Hash of all that decides the machine's future but for the position of its random generator.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Makes the hash anew, after the machine has changed.
    pub fn update_digest(&mut self) {
        let mut fingerprinter = Fingerprinter::default();
        fingerprinter.number(u128::from(self.identity) << 64 | u128::from(self.incarnations));
        fingerprinter.debug(&self.consensus);
        let voter = self.voter.slot().take();
        let disk = voter.unwrap_or_else(|| self.open_copy());
        self.held = Arc::new(disk.voter().acceptor().clone());
        let held = self.held.write_to_vec().expect("a voter can be written");
        fingerprinter.bytes(&held);
        self.digest = fingerprinter.finish();
    }
}

fn fresh_identity(place: usize, disks: u64) -> u64 {
    place as u64 * DISK_STRIDE + disks
}

/// Address of the machine with a number.
pub fn address(place: usize) -> String {
    format!("controller-{place}")
}

/// Number of the machine at an address.
pub fn place_of(address: &str) -> Option<usize> {
    address.rsplit('-').next()?.parse().ok()
}
