use crate::shared::CoreError;
use crossbeam::channel::{Receiver, Sender};
use journal::{DiskFolder, Journal, JournalError};
use register::{Acceptor, Record, VoterMessage, VoterReply, VoterSet};
use speedy::{Readable, Writable};
use std::path::Path;
use wire::{Message, Responder};

/// Most questions that are answered with one sync.
const BATCH_MAX: usize = 256;

/// What the voter's thread is asked.
pub enum Work {
    /// A question from the wire.
    Ask(VoterMessage, Responder),
    /// Take this first set, and tell what is held then.
    Form(VoterSet, Sender<VoterSet>),
    /// Forget claims issued before this time.
    AgeOut(u64),
    /// Tell the set and how many keys are held.
    Tell(Sender<(VoterSet, usize)>),
}

/// A voter with its disk: one thread, one sync for all questions that have come in meanwhile.
pub struct Voter {
    acceptor: Acceptor,
    journal: Option<Journal>,
}

impl Voter {
    /// Reads back what the disk holds. Where records in the middle are damaged the voter stays
    /// closed, since it no longer knows what it promised.
    pub fn open(path: &Path) -> Result<Self, CoreError> {
        let folder = DiskFolder::open(&path.join("register")).map_err(CoreError::Io)?;
        let (journal, found) = match Journal::open(Box::new(folder)) {
            Ok(opened) => opened,
            Err(report) if *report.current_context() == JournalError::Damaged => {
                log::error!("voter: closed, since the journal is damaged: {report:?}");
                return Ok(Self {
                    acceptor: Acceptor::default(),
                    journal: None,
                });
            }
            Err(report) => return Err(CoreError::Journal(report)),
        };
        if found.torn > 0 {
            log::warn!("voter: cut {} bytes of a torn last record", found.torn);
        }
        let snapshot = found.snapshot.as_deref().map(Acceptor::read_from_buffer);
        let mut acceptor = match snapshot {
            None => Acceptor::default(),
            Some(Ok(acceptor)) => acceptor,
            Some(Err(error)) => {
                return Err(CoreError::NotOurs(format!(
                    "the snapshot cannot be read: {error}"
                )))
            }
        };
        for bytes in &found.records {
            let records = Vec::<Record>::read_from_buffer(bytes)
                .map_err(|error| CoreError::NotOurs(format!("a record cannot be read: {error}")))?;
            for record in records {
                acceptor.replay(record);
            }
        }
        Ok(Self {
            acceptor,
            journal: Some(journal),
        })
    }

    /// Works until nobody asks any more.
    pub fn run(mut self, work: &Receiver<Work>) {
        while let Ok(first) = work.recv() {
            let mut records = Vec::new();
            let mut replies = Vec::new();
            let mut formed = Vec::new();
            for item in std::iter::once(first).chain(work.try_iter().take(BATCH_MAX)) {
                match item {
                    Work::Ask(message, responder) => {
                        let (record, reply) = self.handle(message);
                        records.extend(record);
                        replies.push((responder, reply));
                    }
                    Work::Form(set, told) => {
                        records.extend(self.acceptor.form(set));
                        formed.push(told);
                    }
                    Work::AgeOut(before) => records.extend(self.acceptor.age_out(before)),
                    Work::Tell(told) => {
                        let _ = told.send((self.acceptor.set().clone(), self.acceptor.len()));
                    }
                }
            }
            let is_synced = records.is_empty() || self.sync(&records);
            for (responder, reply) in replies {
                let reply = if is_synced {
                    reply
                } else {
                    closed("the disk failed")
                };
                responder.answer(Message::VoterAnswer(reply));
            }
            for told in formed.into_iter().filter(|_| is_synced) {
                let _ = told.send(self.acceptor.set().clone());
            }
        }
    }

    fn handle(&mut self, message: VoterMessage) -> (Option<Record>, VoterReply) {
        if self.journal.is_none() {
            return (None, closed("the disk is not to be trusted"));
        }
        self.acceptor.handle(message)
    }

    /// Syncs records. After a failure the voter is closed: what it holds in memory may be more than
    /// what the disk has.
    fn sync(&mut self, records: &Vec<Record>) -> bool {
        let Some(journal) = self.journal.as_mut() else {
            return false;
        };
        let bytes = records.write_to_vec().unwrap_or_default();
        if let Err(report) = journal.append(&bytes) {
            log::error!("voter: closed until a restart, since the disk failed: {report:?}");
            self.journal = None;
            return false;
        }
        if journal.wants_snapshot() {
            let state = self.acceptor.write_to_vec().unwrap_or_default();
            if let Err(report) = journal.snapshot(&state) {
                log::error!("voter: no snapshot: {report:?}");
            }
        }
        true
    }
}

fn closed(reason: &str) -> VoterReply {
    VoterReply::Closed {
        reason: reason.into(),
    }
}
