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

/// Maximum number of work items that share one sync.
const BATCH_SIZE_MAX: usize = 256;
/// Maximum bytes of work queued for the disk.
const UNFINISHED_BYTES_MAX: usize = 24 << 20;
/// Interval between attempts to reopen a failed disk.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Handle of the thread that waits for the disk, so that no other thread does.
pub(crate) struct DiskThread {
    work: Sender<DiskWork>,
    completed: Receiver<DiskCompletion>,
    /// Bytes of work that is queued or in progress.
    unfinished: Arc<AtomicUsize>,
    /// Completions of work that was rejected without being queued.
    rejected: Vec<DiskCompletion>,
}

/// State of the thread.
struct DiskWorker {
    disk: VoterDisk,
    work: Receiver<DiskWork>,
    results: Sender<DiskCompletion>,
    unfinished: Arc<AtomicUsize>,
    waker: Arc<Waker>,
}

/// Opens the voter stored in a data folder.
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
    /// Moves the disk to a new thread, which wakes the event loop when work completes.
    pub fn start(disk: VoterDisk, waker: Arc<Waker>) -> Self {
        let (work, work_queue) = unbounded::<DiskWork>();
        let (results, completed) = unbounded();
        let unfinished = Arc::new(AtomicUsize::new(0));
        let worker = DiskWorker {
            disk,
            work: work_queue,
            results,
            unfinished: unfinished.clone(),
            waker,
        };
        std::thread::spawn(move || worker.serve());
        Self {
            work,
            completed,
            unfinished,
            rejected: Vec::new(),
        }
    }

    /// Queues work for the thread, or rejects it if too much is queued, as happens while a disk hangs.
    pub fn submit(&mut self, work: DiskWork) {
        let size = work.size();
        let unfinished = self.unfinished.load(Ordering::Relaxed);
        if unfinished > 0 && unfinished + size > UNFINISHED_BYTES_MAX {
            self.rejected.extend(work.reject());
            return;
        }
        self.unfinished.fetch_add(size, Ordering::Relaxed);
        let _ = self.work.send(work);
    }

    /// Bytes of work that was submitted and is not completed.
    pub fn unfinished_bytes(&self) -> usize {
        self.unfinished.load(Ordering::Relaxed)
    }

    /// Takes the completions of work that was completed or rejected since the last call.
    pub fn take_completions(&mut self) -> Vec<DiskCompletion> {
        let rejected = self.rejected.drain(..);
        rejected.chain(self.completed.try_iter()).collect()
    }
}

impl DiskWorker {
    fn serve(mut self) {
        let mut last_attempt_at = Instant::now();
        loop {
            let first = match self.work.recv_timeout(REOPEN_INTERVAL) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if self.disk.voter().can_reopen() && last_attempt_at.elapsed() >= REOPEN_INTERVAL {
                last_attempt_at = Instant::now();
                self.reopen();
            }
            if let Some(first) = first {
                self.execute_batch(first);
            }
        }
    }

    fn reopen(&mut self) {
        if let Err(report) = self.disk.reopen() {
            log::debug!("controller: the disk still fails: {report:#}");
            return;
        }
        log::warn!("controller: disk recovered, voter rewritten");
        let snapshot = VoterSnapshot::of(self.disk.voter());
        let _ = self.results.send(DiskCompletion::VoterState(snapshot));
        let _ = self.waker.wake();
    }

    fn execute_batch(&mut self, first: DiskWork) {
        let rest = self.work.try_iter().take(BATCH_SIZE_MAX);
        let batch: Vec<DiskWork> = std::iter::once(first).chain(rest).collect();
        let size = batch.iter().map(DiskWork::size).sum();
        for completed in execute_batch_on_disk(&mut self.disk, batch) {
            let _ = self.results.send(completed);
        }
        self.unfinished.fetch_sub(size, Ordering::Relaxed);
        let _ = self.waker.wake();
        self.disk.voter_mut().compact();
    }
}
