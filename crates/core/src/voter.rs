use crate::shared::CoreError;
use crossbeam::channel::{Receiver, Sender};
use journal::{DiskFolder, Journal, JournalError};
use register::{Acceptor, Held, Record, VoterMessage, VoterReply, VoterSet};
use speedy::{Readable, Writable};
use std::path::Path;
use wire::{Copy, Message, Responder};

/// Most questions that are answered with one sync.
const BATCH_MAX: usize = 256;

/// What the voter's thread is asked.
pub enum Work {
    /// A question from the wire.
    Ask(VoterMessage, Responder),
    /// Take this first set with its floor, and tell what is held then.
    Form(VoterSet, u64, Sender<VoterSet>),
    /// Take the set that follows.
    Adopt(VoterSet, Responder),
    /// Take a set with all that its other members hold, into an empty voter.
    Install(Install, Sender<VoterSet>),
    /// Take newer values from another copy.
    Mend(Vec<(String, Held)>),
    /// Tell the copy in short.
    Digests(Sender<Copy>),
    /// Tell all that is held in a range.
    Range(u16, Responder),
    /// Forget claims issued before this time.
    AgeOut(u64),
    /// Tell the set and how many keys are held.
    Tell(Sender<(VoterSet, usize)>),
}

/// What an empty voter is given.
pub struct Install {
    pub set: VoterSet,
    pub floors: (u64, u64),
    pub keys: Vec<(String, Held)>,
}

/// A voter with its disk: one thread, one sync for all questions that have come in meanwhile.
pub struct Voter {
    acceptor: Acceptor,
    journal: Option<Journal>,
}

/// What came of the work that is synced together.
#[derive(Default)]
struct Batch {
    records: Vec<Record>,
    replies: Vec<(Responder, VoterReply)>,
    told_set: Vec<Sender<VoterSet>>,
    adopted: Vec<Responder>,
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
        acceptor.restore_digests();
        Ok(Self {
            acceptor,
            journal: Some(journal),
        })
    }

    /// Works until nobody asks any more.
    pub fn run(mut self, work: &Receiver<Work>) {
        while let Ok(first) = work.recv() {
            let mut batch = Batch::default();
            for item in std::iter::once(first).chain(work.try_iter().take(BATCH_MAX)) {
                self.take(item, &mut batch);
            }
            let is_synced = batch.records.is_empty() || self.sync(&batch.records);
            for (responder, reply) in batch.replies {
                let reply = if is_synced {
                    reply
                } else {
                    closed("the disk failed")
                };
                responder.answer(Message::VoterAnswer(reply));
            }
            if !is_synced {
                continue;
            }
            let set = self.acceptor.set();
            for told in batch.told_set {
                let _ = told.send(set.clone());
            }
            for responder in batch.adopted {
                responder.answer(Message::Adopted(set.clone()));
            }
        }
    }

    fn take(&mut self, item: Work, batch: &mut Batch) {
        let records = &mut batch.records;
        let is_open = self.journal.is_some();
        match item {
            Work::Ask(message, responder) => {
                let (record, reply) = self.handle(message);
                records.extend(record);
                batch.replies.push((responder, reply));
            }
            Work::Form(set, floor, told) => {
                let formed = is_open.then(|| self.acceptor.form(set)).flatten();
                if formed.is_some() {
                    records.extend(self.acceptor.shut_before(floor));
                }
                records.extend(formed);
                batch.told_set.push(told);
            }
            Work::Adopt(set, responder) => {
                if is_open {
                    records.extend(self.acceptor.adopt(set));
                    batch.adopted.push(responder);
                }
            }
            Work::Install(install, told) => {
                if is_open {
                    let Install { set, floors, keys } = install;
                    records.extend(self.acceptor.install(set, floors, keys));
                }
                batch.told_set.push(told);
            }
            Work::Mend(keys) => {
                if is_open {
                    records.extend(self.acceptor.mend(keys));
                }
            }
            Work::AgeOut(before) => records.extend(self.acceptor.age_out(before)),
            Work::Digests(told) => {
                let _ = told.send(Copy {
                    set: self.acceptor.set().clone(),
                    floors: self.acceptor.floors(),
                    ranges: self.acceptor.digests().all().to_vec(),
                });
            }
            Work::Range(range, responder) => {
                responder.answer(Message::RangeAnswer(self.acceptor.range(range)));
            }
            Work::Tell(told) => {
                let _ = told.send((self.acceptor.set().clone(), self.acceptor.len()));
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
