//! A voter with its journal: what it holds is in memory, what it said is on the disk.

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
    /// The identity is damaged, and journals of several identities lie beside it.
    SeveralIdentities,
    /// The journal could not be opened.
    Journal,
    /// Its records are not a voter's.
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

/// What an empty voter takes to become a member of a set.
#[derive(Clone, Debug, PartialEq)]
pub struct Installation {
    /// The set that it is a member of.
    pub set: VoterSet,
    /// The latest floors of a majority of the other members.
    pub claim_floors: ClaimFloors,
    /// All that a majority of the other members holds.
    pub registers: Vec<(String, RegisterState)>,
}

/// A voter with its journal. A response may leave only after [`Voter::sync`] returned true. A voter without a journal is closed:
/// it answers nothing and takes nothing.
pub struct Voter {
    acceptor: Acceptor,
    journal: Option<Journal>,
    unsynced: Vec<Record>,
    is_damaged: bool,
}

fn closed(reason: &str) -> VoterResponse {
    VoterResponse::Unavailable {
        reason: reason.into(),
    }
}

impl Voter {
    /// Reads back what the disk holds. Where it is damaged, or was not written by a voter of this version, the
    /// voter stays closed, since it no longer knows what it promised; the files stay as they are.
    pub fn open(folder: Box<dyn Folder>) -> Result<Self, Report<VoterError>> {
        let (journal, found) = match Journal::open(folder) {
            Ok(opened) => opened,
            Err(report) if *report.current_context() == JournalError::Damaged => {
                log::error!("voter: closed, journal damaged error={report:#}");
                return Ok(Self::closed(true));
            }
            Err(report) => return Err(report.change_context(VoterError::Journal)),
        };
        if found.torn > 0 {
            log::warn!("voter: torn record cut bytes={}", found.torn);
        }
        let acceptor = match recovered(&found) {
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

    /// A voter whose disk cannot be read at the moment. It answers nothing until it is opened again.
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

    /// What the voter holds, also what is not durable yet.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// Whether the disk can be trusted.
    pub fn is_open(&self) -> bool {
        self.journal.is_some()
    }

    /// Whether the disk failed, and may be tried again since what it holds is not damaged.
    pub fn can_reopen(&self) -> bool {
        self.journal.is_none() && !self.is_damaged
    }

    /// Reads back what the disk holds after it had failed, and writes all of it anew: what was read may
    /// have been in the system's memory only, since a sync that failed says nothing of what lasts.
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

    /// Works out the response to a request. It may leave once [`Voter::sync`] returned true.
    pub fn handle(&mut self, request: VoterRequest) -> VoterResponse {
        if !self.is_open() {
            return closed("the disk is not to be trusted");
        }
        let (record, response) = self.acceptor.handle(request);
        self.unsynced.extend(record);
        response
    }

    /// What is answered in place of a response whose records could not be synced.
    pub fn disk_failed_response() -> VoterResponse {
        closed("the disk failed")
    }

    /// Takes the first set of an epoch. Claims issued before `refused_before`, in milliseconds of the wall clock, are refused.
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

    /// Takes the set that follows.
    pub fn adopt_set(&mut self, set: VoterSet) {
        if self.is_open() {
            self.unsynced.extend(self.acceptor.adopt_set(set));
        }
    }

    /// Takes a set with all that its other members hold, where this voter is empty.
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

    /// Takes newer values from another replica.
    pub fn repair(&mut self, keys: Vec<(String, RegisterState)>) {
        if self.is_open() {
            self.unsynced.extend(self.acceptor.repair(keys));
        }
    }

    /// Forgets claims issued longer ago than they are remembered.
    pub fn expire_claims(&mut self, wall: u64, remembered: u64) {
        if self.is_open() {
            self.unsynced
                .extend(self.acceptor.expire_claims(wall, remembered));
        }
    }

    /// Lets one span pass for which jobs are remembered.
    pub fn advance_job_window(&mut self) {
        if self.is_open() {
            self.unsynced.extend(self.acceptor.advance_job_window());
        }
    }

    /// Syncs all that was taken. After a failure the voter is closed until it is opened again: what
    /// it holds in memory may be more than what the disk has.
    pub fn sync(&mut self) -> bool {
        if self.unsynced.is_empty() {
            return true;
        }
        let records = std::mem::take(&mut self.unsynced);
        let Some(journal) = self.journal.as_mut() else {
            return false;
        };
        let bytes = records.write_to_vec().unwrap_or_default();
        // What is too large for the log, such as the state that a new member takes over, is made durable as a snapshot.
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

    /// Shortens the log by a snapshot where it has grown long. Call it after the answers that waited for
    /// [`Voter::sync`] have left: it writes all that is held once.
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

/// The state that a journal's snapshot and records add up to.
fn recovered(found: &Recovered) -> Result<Acceptor, Report<VoterError>> {
    let mut acceptor = match &found.snapshot {
        None => Acceptor::default(),
        Some(bytes) => Acceptor::read_from_buffer(bytes).change_context(VoterError::Records)?,
    };
    for bytes in &found.records {
        let records = Vec::<Record>::read_from_buffer(bytes).change_context(VoterError::Records)?;
        for record in records {
            acceptor.replay(record);
        }
    }
    acceptor.rebuild_indexes();
    Ok(acceptor)
}
