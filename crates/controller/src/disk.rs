//! The thread that owns the voter's disk.

use council::{perform_on, DiskDone, DiskWork};
use crossbeam::channel::{unbounded, Receiver, Sender};
use journal::{DiskFolder, Folder};
use mio::Waker;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use voter::VoterDisk;

/// Most pieces of work that one sync covers.
const BATCH_MAX: usize = 256;
/// Pause between tries at a disk that failed.
const REOPEN: Duration = Duration::from_millis(500);

/// The thread that waits for the disk, so that nothing else does.
pub(crate) struct Disk {
    work: Sender<DiskWork>,
    done: Receiver<DiskDone>,
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

fn try_again(disk: &mut VoterDisk) {
    match disk.reopen() {
        Ok(()) => log::warn!("controller: the disk works again, and all was written anew"),
        Err(report) => log::debug!("controller: the disk still fails: {report:#}"),
    }
}

impl Disk {
    pub fn start(disk: VoterDisk, waker: Arc<Waker>) -> Self {
        let (work, jobs) = unbounded::<DiskWork>();
        let (results, done) = unbounded();
        std::thread::spawn(move || serve(disk, &jobs, &results, &waker));
        Self { work, done }
    }

    pub fn ask(&self, work: DiskWork) {
        let _ = self.work.send(work);
    }

    pub fn done(&self) -> Vec<DiskDone> {
        self.done.try_iter().collect()
    }
}

fn serve(
    mut disk: VoterDisk,
    jobs: &Receiver<DiskWork>,
    results: &Sender<DiskDone>,
    waker: &Waker,
) {
    let mut tried_at = Instant::now();
    while let Ok(first) = jobs.recv() {
        if disk.voter().may_reopen() && tried_at.elapsed() >= REOPEN {
            tried_at = Instant::now();
            try_again(&mut disk);
        }
        let rest = jobs.try_iter().take(BATCH_MAX);
        let batch = std::iter::once(first).chain(rest).collect();
        for done in perform_on(&mut disk, batch) {
            let _ = results.send(done);
        }
        let _ = waker.wake();
    }
}
