//! The thread that owns the voter's disk.

use consensus::{execute_batch_on_disk, DiskCompletion, DiskWork, VoterSnapshot};
use crossbeam::channel::{unbounded, Receiver, RecvTimeoutError, Sender};
use journal::{DiskFolder, Folder};
use mio::Waker;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use voter::VoterDisk;

/// Most pieces of work that one sync covers.
const BATCH_SIZE_MAX: usize = 256;
/// Most bytes of work that waits for the disk.
const WAITING_BYTES_MAX: usize = 24 << 20;
/// Pause between tries at a disk that failed.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// The handle of the thread that waits for the disk, so that nothing else does.
pub(crate) struct DiskThread {
    work: Sender<DiskWork>,
    done: Receiver<DiskCompletion>,
    /// Bytes of work that waits.
    waiting: Arc<AtomicUsize>,
    /// Completions of work that was not handed over.
    refused: Vec<DiskCompletion>,
}

/// What the thread works with.
struct Worker {
    disk: VoterDisk,
    work: Receiver<DiskWork>,
    results: Sender<DiskCompletion>,
    waiting: Arc<AtomicUsize>,
    waker: Arc<Waker>,
}

/// Opens the voter of a data folder.
pub(crate) fn open(path: &Path) -> Result<VoterDisk, String> {
    let path = path.to_path_buf();
    let open_folder = move || -> io::Result<Box<dyn Folder>> {
        let folder = DiskFolder::open(&path)?;
        Ok(Box::new(folder))
    };
    let opened = VoterDisk::open(Box::new(open_folder), rand::random());
    opened.map_err(|report| format!("{report:#}"))
}

impl DiskThread {
    /// Hands the disk over to a new thread, which wakes the event loop when work is done.
    pub fn start(disk: VoterDisk, waker: Arc<Waker>) -> Self {
        let (work, jobs) = unbounded::<DiskWork>();
        let (results, done) = unbounded();
        let waiting = Arc::new(AtomicUsize::new(0));
        let worker = Worker {
            disk,
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
    pub fn submit(&mut self, work: DiskWork) {
        let size = work.size();
        let waiting = self.waiting.load(Ordering::Relaxed);
        if waiting > 0 && waiting + size > WAITING_BYTES_MAX {
            self.refused.extend(work.reject());
            return;
        }
        self.waiting.fetch_add(size, Ordering::Relaxed);
        let _ = self.work.send(work);
    }

    /// Bytes of work that was handed over and is not done.
    pub fn unfinished_bytes(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Work that is done or was refused since the last call.
    pub fn take_completions(&mut self) -> Vec<DiskCompletion> {
        let refused = self.refused.drain(..);
        refused.chain(self.done.try_iter()).collect()
    }
}

impl Worker {
    fn serve(mut self) {
        let mut tried_at = Instant::now();
        loop {
            let first = match self.work.recv_timeout(REOPEN_INTERVAL) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if self.disk.voter().can_reopen() && tried_at.elapsed() >= REOPEN_INTERVAL {
                tried_at = Instant::now();
                self.reopen();
            }
            if let Some(first) = first {
                self.perform(first);
            }
        }
    }

    fn reopen(&mut self) {
        if let Err(report) = self.disk.reopen() {
            log::debug!("controller: the disk still fails: {report:#}");
            return;
        }
        log::warn!("controller: disk recovered, voter rewritten");
        let held = VoterSnapshot::of(self.disk.voter());
        let _ = self.results.send(DiskCompletion::VoterState(held));
        let _ = self.waker.wake();
    }

    fn perform(&mut self, first: DiskWork) {
        let rest = self.work.try_iter().take(BATCH_SIZE_MAX);
        let batch: Vec<DiskWork> = std::iter::once(first).chain(rest).collect();
        let size = batch.iter().map(DiskWork::size).sum();
        for done in execute_batch_on_disk(&mut self.disk, batch) {
            let _ = self.results.send(done);
        }
        self.waiting.fetch_sub(size, Ordering::Relaxed);
        let _ = self.waker.wake();
        self.disk.voter_mut().compact();
    }
}
