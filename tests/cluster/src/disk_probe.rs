//! Detects disk stalls during a soak by syncing a small file repeatedly and recording slow syncs. Daemons acknowledge nothing
//! before a sync, so a time limit that expires while the machine's disk stalls does not indicate a fault in them.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, Once};
use std::time::{Duration, Instant};

/// Shortest sync that counts as a stall; shorter ones are normal.
const STALL_MIN: Duration = Duration::from_millis(300);
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

static START: Once = Once::new();
static PROBE: Mutex<Probe> = Mutex::new(Probe {
    stalls: Vec::new(),
    syncing_since: None,
});

/// A period in which a sync did not complete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stall {
    pub began_at: Instant,
    pub ended_at: Instant,
}

impl Stall {
    pub fn duration(&self) -> Duration {
        self.ended_at - self.began_at
    }

    /// The part of the stall after `since`.
    fn duration_since(&self, since: Instant) -> Duration {
        self.ended_at
            .saturating_duration_since(self.began_at.max(since))
    }
}

struct Probe {
    stalls: Vec<Stall>,
    syncing_since: Option<Instant>,
}

/// Starts this process's probe in a folder; later calls have no effect.
pub fn start(folder: &Path) {
    let path = folder.join(format!("disk-probe-{}", std::process::id()));
    START.call_once(|| {
        std::thread::spawn(move || loop {
            set_syncing(Some(Instant::now()));
            sync(&path);
            set_syncing(None);
            std::thread::sleep(PROBE_INTERVAL);
        });
    });
}

fn sync(path: &Path) {
    if let Ok(mut file) = File::create(path) {
        let _ = file.write_all(b"probe").and_then(|()| file.sync_all());
    }
    let _ = std::fs::remove_file(path);
}

fn set_syncing(since: Option<Instant>) {
    let mut probe = PROBE.lock().expect("the probe does not panic");
    let ended = probe.current_stall();
    probe.stalls.extend(ended);
    probe.syncing_since = since;
}

impl Probe {
    /// The sync in progress, if it already counts as a stall.
    fn current_stall(&self) -> Option<Stall> {
        let stall = Stall {
            began_at: self.syncing_since?,
            ended_at: Instant::now(),
        };
        (stall.duration() >= STALL_MIN).then_some(stall)
    }
}

/// All stalls so far in order, including one in progress. Empty if no probe was started.
pub fn stalls() -> Vec<Stall> {
    let probe = PROBE.lock().expect("the probe does not panic");
    let ended = probe.stalls.iter().copied();
    ended.chain(probe.current_stall()).collect()
}

/// Total stall time since a point in time.
pub fn stalled_since(since: Instant) -> Duration {
    let stalls = stalls();
    stalls.iter().map(|stall| stall.duration_since(since)).sum()
}

/// A time limit that does not advance while the disk stalls.
#[derive(Clone, Copy, Debug)]
pub struct Deadline {
    began_at: Instant,
    limit: Duration,
}

impl Deadline {
    /// Starts the limit now.
    pub fn after(limit: Duration) -> Self {
        Self {
            began_at: Instant::now(),
            limit,
        }
    }

    pub fn is_over(&self) -> bool {
        let counted = self.began_at.elapsed();
        counted.saturating_sub(stalled_since(self.began_at)) >= self.limit
    }
}
