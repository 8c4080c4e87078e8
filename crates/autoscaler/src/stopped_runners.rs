//! Runners that ended recently. Lists lag and may still show them; they must not be adopted again.

use std::collections::{BTreeMap, HashSet};

/// Ids of runners that ended, with the time of the end.
#[derive(Debug, Default)]
pub(crate) struct StoppedRunners {
    stopped_at: BTreeMap<String, u64>,
}

impl StoppedRunners {
    /// A runner ended.
    pub fn record(&mut self, id: String, now: u64) {
        self.stopped_at.insert(id, now);
    }

    /// When a runner ended.
    pub fn stopped_at(&self, id: &str) -> Option<u64> {
        self.stopped_at.get(id).copied()
    }

    /// Drops the record of a runner that turned out to exist still.
    pub fn remove(&mut self, id: &str) {
        self.stopped_at.remove(id);
    }

    /// Forgets runners that the newest list lacks and that ended longer ago than lists lag.
    pub fn forget_unlisted(&mut self, listed: &HashSet<&str>, unlisted_ms: u64, now: u64) {
        let is_recent = |at: u64| at + unlisted_ms > now;
        self.stopped_at
            .retain(|id, at| listed.contains(id.as_str()) || is_recent(*at));
    }
}
