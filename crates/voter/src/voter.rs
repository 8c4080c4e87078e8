//! A voter with its journal: its state is in memory, and what it promised or accepted is on the disk.

use error_stack::{Report, ResultExt};
use journal::{Folder, Journal, JournalError, Recovered};
use register::{
    Acceptor, ClaimFloors, Record, RegisterState, VoterRequest, VoterResponse, VoterSet,
};
use speedy::{Readable, Writable};
use std::fmt;

/// Why a voter's disk could not be read.
#[derive(Debug, PartialEq)]
pub enum VoterError {
    /// The data folder could not be used.
    Folder,
    /// The identity could not be read.
    Identity,
    /// The identity is damaged, and the folder has journals of several identities.
    SeveralIdentities,
    /// The journal could not be opened.
    Journal,
    /// The journal's records or snapshot could not be decoded as a voter's.
    Records,
}

impl fmt::Display for VoterError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Folder => "the data folder could not be used",
            Self::Identity => "the identity cannot be read",
            Self::SeveralIdentities => {
                "the identity is damaged, and several journals lie beside it"
            }
            Self::Journal => "the journal could not be opened",
            Self::Records => "the journal's records cannot be read",
        })
    }
}

impl std::error::Error for VoterError {}

/// State that an empty voter installs to become a member of a set.
#[derive(Clone, Debug, PartialEq)]
pub struct Installation {
    /// The set that the voter joins.
    pub set: VoterSet,
    /// The latest claim floors among a majority of the other members.
    pub claim_floors: ClaimFloors,
    /// Merged registers of a majority of the other members.
    pub registers: Vec<(String, RegisterState)>,
}

/// A voter with its journal. A response may be sent only after [`Voter::sync`] returned true. A voter without a journal is
/// closed: it reports itself unavailable and accepts no changes.
pub struct Voter {
    acceptor: Acceptor,
    journal: Option<Journal>,
    unsynced: Vec<Record>,
    is_damaged: bool,
}

fn unavailable(reason: &str) -> VoterResponse {
    VoterResponse::Unavailable {
        reason: reason.into(),
    }
}

impl Voter {
    /// Reads back the state from the disk. If the journal is damaged, or was not written by a voter of this version, the voter
    /// stays closed, since it no longer knows what it promised. The files are left as they are.
    pub fn open(folder: Box<dyn Folder>) -> Result<Self, Report<VoterError>> {
        let (journal, recovered) = match Journal::open(folder) {
            Ok(opened) => opened,
            Err(report) if *report.current_context() == JournalError::Damaged => {
                log::error!("voter: closed, journal damaged error={report:#}");
                return Ok(Self::closed(true));
            }
            Err(report) => return Err(report.change_context(VoterError::Journal)),
        };
        if recovered.torn_bytes > 0 {
            log::warn!("voter: torn record cut bytes={}", recovered.torn_bytes);
        }
        let acceptor = match restore(&recovered) {
            Ok(acceptor) => acceptor,
            Err(report) => {
                log::error!("voter: closed, journal of another kind error={report:#}");
                return Ok(Self::closed(true));
            }
        };
        Ok(Self {
            acceptor,
            journal: Some(journal),
            unsynced: Vec::new(),
            is_damaged: false,
        })
    }

    /// A voter whose disk cannot be read at the moment. It stays closed until it is reopened.
    pub fn unreadable() -> Self {
        Self::closed(false)
    }

    fn closed(is_damaged: bool) -> Self {
        Self {
            acceptor: Acceptor::default(),
            journal: None,
            unsynced: Vec::new(),
            is_damaged,
        }
    }

    /// The voter's state, including changes that are not durable yet.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// Whether the voter has a working journal.
    pub fn is_open(&self) -> bool {
        self.journal.is_some()
    }

    /// Whether the voter is closed because its disk failed, and may be reopened since its journal is not damaged.
    pub fn can_reopen(&self) -> bool {
        self.journal.is_none() && !self.is_damaged
    }

    /// Reads back the state after a disk failure and rewrites all of it as a snapshot: what was read may come from the page
    /// cache only, since a failed sync leaves it unknown what is durable.
    pub fn reopen(folder: Box<dyn Folder>) -> Result<Self, Report<VoterError>> {
        let mut voter = Self::open(folder)?;
        let state = voter.acceptor.write_to_vec().unwrap_or_default();
        if let Some(journal) = voter.journal.as_mut() {
            journal
                .snapshot(&state)
                .change_context(VoterError::Journal)?;
        }
        Ok(voter)
    }

    /// Computes the response to a request. It may be sent once [`Voter::sync`] returned true.
    pub fn handle(&mut self, request: VoterRequest) -> VoterResponse {
        if !self.is_open() {
            return unavailable("the disk is not to be trusted");
        }
        let (record, response) = self.acceptor.handle(request);
        self.unsynced.extend(record);
        response
    }

    /// Response to send instead of one whose records could not be synced.
    pub fn disk_failed_response() -> VoterResponse {
        unavailable("the disk failed")
    }

    /// Adopts the first set of an epoch. Claims issued before `refused_before`, in milliseconds of the wall clock, are rejected.
    pub fn bootstrap(&mut self, set: VoterSet, refused_before: u64) {
        if !self.is_open() {
            return;
        }
        let formed = self.acceptor.bootstrap(set);
        if formed.is_some() {
            self.unsynced
                .extend(self.acceptor.refuse_claims_before(refused_before));
        }
        self.unsynced.extend(formed);
    }

    /// Adopts a later set of the same epoch.
    pub fn adopt_set(&mut self, set: VoterSet) {
        if self.is_open() {
            self.unsynced.extend(self.acceptor.adopt_set(set));
        }
    }

    /// Installs a set and the state of its other members, if this voter is empty.
    pub fn install(&mut self, installation: Installation) {
        if self.is_open() {
            let records = self.acceptor.install(
                installation.set,
                installation.claim_floors,
                installation.registers,
            );
            self.unsynced.extend(records);
        }
    }

    /// Takes over newer values from another replica.
    pub fn repair(&mut self, registers: Vec<(String, RegisterState)>) {
        if self.is_open() {
            self.unsynced.extend(self.acceptor.repair(registers));
        }
    }

    /// Deletes claims that were issued more than `retention_ms` ago.
    pub fn expire_claims(&mut self, wall_clock: u64, retention_ms: u64) {
        if self.is_open() {
            self.unsynced
                .extend(self.acceptor.expire_claims(wall_clock, retention_ms));
        }
    }

    /// Ends a retention period of jobs.
    pub fn advance_job_window(&mut self) {
        if self.is_open() {
            self.unsynced.extend(self.acceptor.advance_job_window());
        }
    }

    /// Makes all pending changes durable. If that fails, the voter is closed until it is reopened, since its state in memory may
    /// be ahead of the disk.
    pub fn sync(&mut self) -> bool {
        if self.unsynced.is_empty() {
            return true;
        }
        let records = std::mem::take(&mut self.unsynced);
        let Some(journal) = self.journal.as_mut() else {
            return false;
        };
        let bytes = records.write_to_vec().unwrap_or_default();
        // Changes too large for the log, such as the state that a new member installs, are made durable as a snapshot.
        let written = if journal.has_room(bytes.len()) {
            journal.append(&bytes)
        } else {
            let state = self.acceptor.write_to_vec().unwrap_or_default();
            journal.snapshot(&state)
        };
        if let Err(report) = written {
            log::error!("voter: closed, disk failed error={report:#}");
            self.journal = None;
            return false;
        }
        true
    }

    /// Compacts the log into a snapshot if it has grown long. Call it after the responses that waited for [`Voter::sync`] were
    /// sent, because it writes the whole state.
    pub fn compact(&mut self) {
        let Some(journal) = self.journal.as_mut() else {
            return;
        };
        if !self.unsynced.is_empty() || !journal.wants_snapshot() {
            return;
        }
        let state = self.acceptor.write_to_vec().unwrap_or_default();
        if let Err(report) = journal.snapshot(&state) {
            log::error!("voter: snapshot failed error={report:#}");
        }
    }
}

/// Restores the state from a journal's snapshot and records.
fn restore(recovered: &Recovered) -> Result<Acceptor, Report<VoterError>> {
    let mut acceptor = match &recovered.snapshot {
        None => Acceptor::default(),
        Some(bytes) => Acceptor::read_from_buffer(bytes).change_context(VoterError::Records)?,
    };
    for bytes in &recovered.records {
        let records = Vec::<Record>::read_from_buffer(bytes).change_context(VoterError::Records)?;
        for record in records {
            acceptor.replay(record);
        }
    }
    acceptor.rebuild_indexes();
    Ok(acceptor)
}
