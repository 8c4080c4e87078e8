use crate::fingerprint::Fingerprinter;
use consensus::{execute_batch, DiskCompletion, DiskWork, ReplicaPage, ValueId};
use journal::{FaultKind, MemoryFolder};
use register::{Acceptor, SetVersion, VoterRequest, VoterResponse};
use speedy::Writable;
use std::sync::Arc;
use voter::Voter;

/// A voter's disk. The production voter is opened on it anew for each piece of work.
#[derive(Clone)]
pub struct ModelDisk {
    folder: MemoryFolder,
    acceptor: Arc<Acceptor>,
    digest: u128,
}

impl ModelDisk {
    /// Creates an empty disk.
    pub fn empty() -> Self {
        let mut disk = Self {
            folder: MemoryFolder::default(),
            acceptor: Arc::default(),
            digest: 0,
        };
        disk.update_state(&open(&disk.folder));
        disk
    }

    /// Returns the voter's state.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// Returns a hash of the voter's state. Journals that recover to the same state are treated as equal, since only the
    /// recovered state affects later steps.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Executes work and returns its completions.
    pub fn execute(&mut self, work: DiskWork) -> Vec<DiskCompletion> {
        self.folder = self.folder.copy();
        let mut voter = open(&self.folder);
        let completions = execute_batch(&mut voter, vec![work]);
        self.update_state(&voter);
        completions
    }

    /// Handles a request and returns the voter's response.
    pub fn handle_request(&mut self, request: VoterRequest) -> Option<VoterResponse> {
        let work = DiskWork::VoterRequest {
            to: String::new(),
            number: 0,
            known: ValueId::default(),
            request,
        };
        let mut completions = self.execute(work).into_iter();
        completions.find_map(|completion| match completion {
            DiskCompletion::VoterResponse { response, .. } => Some(response),
            _ => None,
        })
    }

    /// Returns a copy of the registers, if the voter has adopted the given set.
    pub fn read_replica(&mut self, set_version: SetVersion) -> Option<ReplicaPage> {
        let work = DiskWork::ReadReplica {
            to: String::new(),
            set_version,
            after: String::new(),
        };
        let mut completions = self.execute(work).into_iter();
        completions.find_map(|completion| match completion {
            DiskCompletion::ReplicaPage { page, .. } => Some(page),
            _ => None,
        })
    }

    /// Discards unsynced data and restarts.
    pub fn crash(&mut self) {
        self.folder = self.folder.copy();
        self.folder.inject(FaultKind::PowerLoss(0));
        self.update_state(&open(&self.folder));
    }

    fn update_state(&mut self, voter: &Voter) {
        self.acceptor = Arc::new(voter.acceptor().clone());
        let mut fingerprinter = Fingerprinter::default();
        let encoded = self
            .acceptor
            .write_to_vec()
            .expect("a voter can be serialized");
        fingerprinter.bytes(&encoded);
        self.digest = fingerprinter.finish();
    }
}

fn open(folder: &MemoryFolder) -> Voter {
    Voter::open(Box::new(folder.clone())).expect("the disk can be read")
}
