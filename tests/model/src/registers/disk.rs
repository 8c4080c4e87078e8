use crate::fingerprint::Fingerprinter;
use consensus::{execute_batch, DiskCompletion, DiskWork, ReplicaPage, ValueId};
use journal::{FaultKind, MemoryFolder};
use register::{Acceptor, SetVersion, VoterRequest, VoterResponse};
use speedy::Writable;
use std::sync::Arc;
use voter::Voter;

/// A voter's disk, on which the product's voter is opened for each piece of work.
#[derive(Clone)]
pub struct ModelDisk {
    folder: MemoryFolder,
    acceptor: Arc<Acceptor>,
    digest: u128,
}

impl ModelDisk {
    /// An empty disk.
    pub fn empty() -> Self {
        let mut disk = Self {
            folder: MemoryFolder::default(),
            acceptor: Arc::default(),
            digest: 0,
        };
        disk.note(&open(&disk.folder));
        disk
    }

    /// What the voter holds.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// Hash of what the voter holds. Two journals that are read back alike decide the same future.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Does work and gives what came of it.
    pub fn work(&mut self, work: DiskWork) -> Vec<DiskCompletion> {
        self.folder = self.folder.copy();
        let mut voter = open(&self.folder);
        let dones = execute_batch(&mut voter, vec![work]);
        self.note(&voter);
        dones
    }

    /// The voter's response to a request.
    pub fn ask(&mut self, request: VoterRequest) -> Option<VoterResponse> {
        let work = DiskWork::VoterRequest {
            to: String::new(),
            number: 0,
            known: ValueId::default(),
            request,
        };
        let mut dones = self.work(work).into_iter();
        dones.find_map(|done| match done {
            DiskCompletion::VoterResponse { response, .. } => Some(response),
            _ => None,
        })
    }

    /// A copy of what is held under a set.
    pub fn copy(&mut self, set_version: SetVersion) -> Option<ReplicaPage> {
        let work = DiskWork::ReadReplica {
            to: String::new(),
            set_version,
            after: String::new(),
        };
        let mut dones = self.work(work).into_iter();
        dones.find_map(|done| match done {
            DiskCompletion::ReplicaPage { page, .. } => Some(page),
            _ => None,
        })
    }

    /// Loses what was not synced.
    pub fn crash(&mut self) {
        self.folder = self.folder.copy();
        self.folder.inject(FaultKind::PowerLoss(0));
        self.note(&open(&self.folder));
    }

    fn note(&mut self, voter: &Voter) {
        self.acceptor = Arc::new(voter.acceptor().clone());
        let mut fingerprinter = Fingerprinter::default();
        let held = self
            .acceptor
            .write_to_vec()
            .expect("a voter can be written");
        fingerprinter.bytes(&held);
        self.digest = fingerprinter.finish();
    }
}

fn open(folder: &MemoryFolder) -> Voter {
    Voter::open(Box::new(folder.clone())).expect("the disk can be read")
}
