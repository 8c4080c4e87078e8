use council::{perform, DiskDone, DiskWork};
use crossbeam::channel::{unbounded, Receiver, Sender};
use journal::{DiskFolder, Folder};
use mio::Waker;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use voter::Voter;

/// File with the id of the disk.
const IDENTITY: &str = "identity";
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
pub(crate) fn open(path: &Path) -> Result<Voter, String> {
    let folder = DiskFolder::open(&path.join("register")).map_err(|error| error.to_string())?;
    Voter::open(Box::new(folder)).map_err(|report| format!("{report:#}"))
}

fn reopen(path: &Path) -> Option<Voter> {
    let folder = DiskFolder::open(&path.join("register")).ok()?;
    let voter = Voter::reopen(Box::new(folder)).ok()?;
    log::warn!("controller: the disk works again, and all was written anew");
    Some(voter)
}

impl Disk {
    pub fn start(voter: Voter, path: PathBuf, waker: Arc<Waker>) -> Self {
        let (work, jobs) = unbounded::<DiskWork>();
        let (results, done) = unbounded();
        std::thread::spawn(move || serve(voter, &path, &jobs, &results, &waker));
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
    mut voter: Voter,
    path: &Path,
    jobs: &Receiver<DiskWork>,
    results: &Sender<DiskDone>,
    waker: &Waker,
) {
    let mut tried_at = Instant::now();
    while let Ok(first) = jobs.recv() {
        if voter.may_reopen() && tried_at.elapsed() >= REOPEN {
            tried_at = Instant::now();
            voter = reopen(path).unwrap_or(voter);
        }
        let rest = jobs.try_iter().take(BATCH_MAX);
        let batch = std::iter::once(first).chain(rest).collect();
        for done in perform(&mut voter, batch) {
            let _ = results.send(done);
        }
        let _ = waker.wake();
    }
}

/// The random id made with the disk.
pub(crate) fn identity(path: &Path) -> Result<u64, String> {
    let folder = DiskFolder::open(path).map_err(|error| error.to_string())?;
    let mut folder: Box<dyn Folder> = Box::new(folder);
    if let Ok(bytes) = folder.read(IDENTITY) {
        if let Ok(bytes) = <[u8; 8]>::try_from(bytes.as_slice()) {
            return Ok(u64::from_le_bytes(bytes));
        }
    }
    let fresh: u64 = rand::random();
    let written = folder.replace(IDENTITY, &fresh.to_le_bytes());
    written.map_err(|error| error.to_string())?;
    Ok(fresh)
}

/// Removes all that the disk holds, as for a core that was replaced while it was away.
pub(crate) fn empty(path: &Path) {
    let _ = std::fs::remove_dir_all(path.join("register"));
    let _ = std::fs::remove_file(path.join(IDENTITY));
}
