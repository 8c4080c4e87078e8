use super::{SimulatedCluster, HEARTBEAT_INTERVAL_MS, LEASE_MS, REPLACEMENT_TIMEOUT_MS};
use crate::cluster::Event;
use consensus::{
    execute_batch_on_disk, Consensus, ConsensusOptions, DiskCompletion, DiskWork, VoterSnapshot,
};
use journal::{Folder, MemoryFolder};
use rand::rngs::StdRng;
use rand::Rng;
use register::{SetVersion, VoterSet};
use std::io;
use voter::VoterDisk;

/// A machine with a disk and a controller.
pub struct Node {
    pub address: String,
    pub seeds: Vec<String>,
    pub is_first_start: bool,
    pub disk: u64,
    pub incarnation: u64,
    pub folder: MemoryFolder,
    pub consensus: Option<Consensus>,
    pub voter: Option<VoterDisk>,
    pub disk_work: Vec<DiskWork>,
    pub is_frozen: bool,
    pub is_gone: bool,
    pub frozen: Vec<Event>,
    offset: u64,
}

impl Node {
    pub fn new(
        place: usize,
        seeds: Vec<String>,
        is_first_start: bool,
        offset: u64,
        random: &mut StdRng,
    ) -> Self {
        Self {
            address: format!("at-{place}"),
            seeds,
            is_first_start,
            disk: random.random(),
            incarnation: 0,
            folder: MemoryFolder::default(),
            consensus: None,
            voter: None,
            disk_work: Vec::new(),
            is_frozen: false,
            is_gone: false,
            frozen: Vec::new(),
            offset,
        }
    }

    /// The machine's own monotonic clock.
    pub fn clock(&self, now: u64) -> u64 {
        now + self.offset
    }

    /// The term under which the controller holds the scaler role now, by its own account.
    pub fn term(&self, now: u64) -> Option<u64> {
        self.consensus.as_ref()?.role_term(self.clock(now))
    }

    /// Whether the controller considers itself current now.
    pub fn is_current(&self, now: u64) -> bool {
        let consensus = self.consensus.as_ref();
        consensus.is_some_and(|consensus| consensus.is_current(self.clock(now)))
    }

    /// The newest version of a key that the controller knows to be committed.
    pub fn committed_version(&self, key: &str) -> u64 {
        let consensus = self.consensus.as_ref();
        let committed = consensus.and_then(|consensus| consensus.committed(key));
        committed.map_or(0, |(version, _)| version)
    }

    /// Executes the queued disk work.
    pub fn perform(&mut self, now: u64) {
        let disk_work = std::mem::take(&mut self.disk_work);
        let local = self.clock(now);
        let (Some(voter), Some(consensus)) = (self.voter.as_mut(), self.consensus.as_mut()) else {
            return;
        };
        for completion in execute_batch_on_disk(voter, disk_work) {
            consensus.on_disk(local, completion);
        }
        voter.voter_mut().compact();
        self.disk = voter.identity();
    }

    /// Version of the set that the controller's voter is in.
    pub fn set_version(&self) -> SetVersion {
        let voter = self.voter.as_ref();
        voter.map_or(SetVersion::default(), |disk| {
            disk.voter().acceptor().set().version()
        })
    }

    /// The set that the controller's voter is in.
    pub fn voter_set(&self) -> Option<&VoterSet> {
        let disk = self.voter.as_ref()?;
        let set = disk.voter().acceptor().set();
        (set.epoch > 0).then_some(set)
    }

    fn open_disk(&mut self, fresh: u64) -> VoterDisk {
        let folder = self.folder.clone();
        let open_folder = move || -> io::Result<Box<dyn Folder>> { Ok(Box::new(folder.clone())) };
        let disk = VoterDisk::open(Box::new(open_folder), fresh).unwrap();
        self.disk = disk.identity();
        disk
    }
}

impl SimulatedCluster {
    pub fn boot(&mut self, place: usize) {
        if self.nodes[place].consensus.is_some() || self.nodes[place].is_gone {
            return;
        }
        let (now, seed) = (self.now, self.random.random());
        let wanted = self.wanted;
        let node = &mut self.nodes[place];
        node.incarnation += 1;
        let voter = node.open_disk(node.disk);
        let options = ConsensusOptions {
            name: node.address.clone(),
            address: node.address.clone(),
            seeds: node.seeds.clone(),
            is_first_start: node.is_first_start,
            disk_id: node.disk,
            lease_ms: LEASE_MS,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            replacement_timeout_ms: REPLACEMENT_TIMEOUT_MS,
            seed,
            target_voter_count: wanted,
        };
        let local = node.clock(now);
        node.consensus = Some(Consensus::new(
            options,
            local,
            VoterSnapshot::of(voter.voter()),
        ));
        node.voter = Some(voter);
        let incarnation = node.incarnation;
        self.later(0, Event::Tick(place, incarnation));
    }

    /// Reopens a failed disk.
    pub fn reopen(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        let disk = node.voter.as_mut().unwrap();
        disk.reopen().unwrap();
        let held = VoterSnapshot::of(disk.voter());
        let local = node.clock(self.now);
        if let Some(consensus) = node.consensus.as_mut() {
            consensus.on_disk(local, DiskCompletion::VoterState(held));
        }
        self.drain(place);
    }

    /// Kills the controller. Queued disk work may or may not be executed.
    pub fn kill(&mut self, place: usize) {
        let is_done = self.random.random_bool(0.5);
        let node = &mut self.nodes[place];
        let disk_work = std::mem::take(&mut node.disk_work);
        if let Some(voter) = node.voter.as_mut().filter(|_| is_done) {
            execute_batch_on_disk(voter, disk_work);
        }
        node.consensus = None;
        node.voter = None;
        node.is_frozen = false;
        node.frozen.clear();
    }

    /// Kills the controller and wipes its disk.
    pub fn wipe(&mut self, place: usize) {
        self.kill(place);
        let disk = self.random.random();
        let node = &mut self.nodes[place];
        node.folder = MemoryFolder::default();
        node.disk = disk;
        node.is_first_start = false;
    }

    pub fn thaw(&mut self, place: usize) {
        self.nodes[place].is_frozen = false;
        let frozen = std::mem::take(&mut self.nodes[place].frozen);
        for event in frozen {
            self.later(0, event);
        }
    }
}
