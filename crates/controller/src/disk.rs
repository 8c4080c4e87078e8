//! The thread that has the disk, and the files that it keeps in the data folder.

use council::{perform, DiskDone, DiskWork, HeldSummary};
use crossbeam::channel::{unbounded, Receiver, RecvTimeoutError, Sender};
use journal::{DiskFolder, Folder};
use mio::Waker;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use voter::Voter;

/// File with the id of the disk.
const IDENTITY: &str = "identity";
/// Folder of a voter's journal; the id of its disk follows. A journal is never read under another id.
const JOURNAL_PREFIX: &str = "register-";
/// Most pieces of work that one sync covers.
const BATCH_MAX: usize = 256;
/// Most bytes of work that waits for the disk.
const WAITING_MAX: usize = 24 << 20;
/// Pause between tries at a disk that failed.
const REOPEN: Duration = Duration::from_millis(500);

/// The thread that waits for the disk, so that nothing else does.
pub(crate) struct Disk {
    work: Sender<DiskWork>,
    done: Receiver<DiskDone>,
    /// Bytes of work that waits.
    waiting: Arc<AtomicUsize>,
    refused: Vec<DiskDone>,
}

/// What the thread works with.
struct Worker {
    voter: Voter,
    path: PathBuf,
    identity: u64,
    work: Receiver<DiskWork>,
    results: Sender<DiskDone>,
    waiting: Arc<AtomicUsize>,
    waker: Arc<Waker>,
}

fn journal_path(path: &Path, identity: u64) -> PathBuf {
    path.join(format!("{JOURNAL_PREFIX}{identity:016x}"))
}

fn journal_folder(path: &Path, identity: u64) -> Result<Box<dyn Folder>, String> {
    let folder = DiskFolder::open(&journal_path(path, identity));
    Ok(Box::new(folder.map_err(|error| error.to_string())?))
}

/// Opens the voter of a data folder. A disk that fails at this moment leaves the voter closed; the thread of
/// the disk tries it again.
pub(crate) fn open(path: &Path, identity: u64) -> Voter {
    let opened = journal_folder(path, identity)
        .and_then(|folder| Voter::open(folder).map_err(|report| format!("{report:#}")));
    opened.unwrap_or_else(|reason| {
        log::error!("controller: the disk cannot be read at the moment: {reason}");
        Voter::unreadable()
    })
}

fn reopen(path: &Path, identity: u64) -> Option<Voter> {
    let folder = journal_folder(path, identity).ok()?;
    let voter = Voter::reopen(folder).ok()?;
    log::warn!("controller: the disk works again, and all was written anew");
    Some(voter)
}

impl Disk {
    pub fn start(voter: Voter, path: PathBuf, identity: u64, waker: Arc<Waker>) -> Self {
        let (work, jobs) = unbounded::<DiskWork>();
        let (results, done) = unbounded();
        let waiting = Arc::new(AtomicUsize::new(0));
        let worker = Worker {
            voter,
            path,
            identity,
            work: jobs,
            results,
            waiting: waiting.clone(),
            waker,
        };
        std::thread::spawn(move || worker.serve());
        Self {
            work,
            done,
            waiting,
            refused: Vec::new(),
        }
    }

    /// Gives work to the thread, or refuses it where too much waits, as while a disk hangs.
    pub fn ask(&mut self, work: DiskWork) {
        let size = work.size();
        let waiting = self.waiting.load(Ordering::Relaxed);
        if waiting > 0 && waiting + size > WAITING_MAX {
            self.refused.extend(work.refused());
            return;
        }
        self.waiting.fetch_add(size, Ordering::Relaxed);
        let _ = self.work.send(work);
    }

    pub fn done(&mut self) -> Vec<DiskDone> {
        let refused = self.refused.drain(..);
        refused.chain(self.done.try_iter()).collect()
    }
}

impl Worker {
    fn serve(mut self) {
        let mut tried_at = Instant::now();
        loop {
            let first = match self.work.recv_timeout(REOPEN) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if self.voter.may_reopen() && tried_at.elapsed() >= REOPEN {
                tried_at = Instant::now();
                self.reopen();
            }
            if let Some(first) = first {
                self.perform(first);
            }
        }
    }

    fn reopen(&mut self) {
        let Some(voter) = reopen(&self.path, self.identity) else {
            return;
        };
        self.voter = voter;
        let held = HeldSummary::of(&self.voter);
        let _ = self.results.send(DiskDone::Held(held));
        let _ = self.waker.wake();
    }

    fn perform(&mut self, first: DiskWork) {
        let rest = self.work.try_iter().take(BATCH_MAX);
        let batch: Vec<DiskWork> = std::iter::once(first).chain(rest).collect();
        let size = batch.iter().map(DiskWork::size).sum();
        for done in perform(&mut self.voter, batch) {
            let _ = self.results.send(done);
        }
        self.waiting.fetch_sub(size, Ordering::Relaxed);
        let _ = self.waker.wake();
        self.voter.compact();
    }
}

/// What the identity file says: the random id made with the disk, and the id that it had before.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Identity {
    disk: u64,
    /// Id whose journal is still to be removed; 0 for none.
    replaced: u64,
}

impl Identity {
    fn read(bytes: &[u8]) -> Option<Self> {
        let words: Vec<u64> = bytes
            .chunks(8)
            .map(|word| <[u8; 8]>::try_from(word).map(u64::from_le_bytes))
            .collect::<Result<_, _>>()
            .ok()?;
        let [disk, replaced, check] = words[..] else {
            return None;
        };
        (check == !(disk ^ replaced)).then_some(Self { disk, replaced })
    }

    fn write(self, path: &Path) -> Result<(), String> {
        let mut folder = DiskFolder::open(path).map_err(|error| error.to_string())?;
        let check = !(self.disk ^ self.replaced);
        let words = [self.disk, self.replaced, check];
        let bytes = words.map(u64::to_le_bytes).concat();
        let written = folder.replace(IDENTITY, &bytes);
        written.map_err(|error| format!("the identity cannot be written: {error}"))
    }
}

/// The random id made with the disk. Where its file is missing or damaged, the journal beside it tells the id;
/// where there is no journal of that id, the disk counts as new, since nobody knows what it promised.
pub(crate) fn identity(path: &Path) -> Result<u64, String> {
    let folder = DiskFolder::open(path).map_err(|error| error.to_string())?;
    let kept = match folder.read(IDENTITY) {
        Ok(bytes) => Identity::read(&bytes),
        Err(error) if error.kind() == ErrorKind::NotFound => None,
        Err(error) => return Err(format!("the identity cannot be read: {error}")),
    };
    let journals = journals(&folder)?;
    let known = kept.filter(|kept| journals.contains(&kept.disk));
    let (identity, is_kept) = match (known, journals.as_slice()) {
        (Some(kept), _) => (kept, true),
        (None, [one]) if kept.is_none() => {
            log::warn!("controller: the identity was missing or damaged; the journal's is taken");
            (fresh(*one, 0), false)
        }
        (None, [_, _, ..]) if kept.is_none() => {
            return Err("the identity is damaged, and several journals lie beside it".into());
        }
        (None, _) => (fresh(rand::random(), 0), false),
    };
    if !is_kept {
        identity.write(path)?;
    }
    tidy(path, identity, &journals);
    journal_folder(path, identity.disk)?;
    Ok(identity.disk)
}

fn fresh(disk: u64, replaced: u64) -> Identity {
    Identity { disk, replaced }
}

/// Ids of the disks whose journals lie in the data folder.
fn journals(folder: &DiskFolder) -> Result<Vec<u64>, String> {
    let names = folder.list().map_err(|error| error.to_string())?;
    let id = |name: &String| {
        let digits = name.strip_prefix(JOURNAL_PREFIX)?;
        u64::from_str_radix(digits, 16).ok()
    };
    Ok(names.iter().filter_map(id).collect())
}

/// Removes the journal of the id that this disk had before. Those of others are left alone and never read.
fn tidy(path: &Path, identity: Identity, journals: &[u64]) {
    for other in journals.iter().filter(|other| **other != identity.disk) {
        if *other == identity.replaced {
            let _ = std::fs::remove_dir_all(journal_path(path, *other));
        } else {
            log::warn!("controller: the journal of another disk, {other:016x}, is left alone");
        }
    }
}

/// Gives the disk a new id, as for a core that was replaced while it was away, and removes its journal. The new
/// id lasts before anything is removed: a voter that kept its id and lost its promises could vote twice.
pub(crate) fn empty(path: &Path, replaced: u64) -> Result<u64, String> {
    let identity = fresh(rand::random(), replaced);
    identity.write(path)?;
    journal_folder(path, identity.disk)?;
    tidy(path, identity, &[replaced]);
    Ok(identity.disk)
}

#[cfg(test)]
#[path = "disk_tests.rs"]
mod tests;
