//! Runners that ended recently. Lists lag and may still show them, but they must not be adopted again.

use std::collections::{BTreeMap, HashSet};

/// Ids of runners that ended recently, with the time at which each ended.
#[derive(Debug, Default)]
pub(crate) struct StoppedRunners {
    stopped_at: BTreeMap<String, u64>,
}

impl StoppedRunners {
    /// Records that a runner ended.
    pub fn record(&mut self, id: String, now: u64) {
        self.stopped_at.insert(id, now);
    }

    /// Time at which a runner ended; `None` if it is not recorded.
    pub fn stopped_at(&self, id: &str) -> Option<u64> {
        self.stopped_at.get(id).copied()
    }

    /// Removes the record of a runner that turned out to exist still.
    pub fn remove(&mut self, id: &str) {
        self.stopped_at.remove(id);
    }

    /// Removes the runners that are missing from the newest list and ended longer ago than lists may lag.
    pub fn forget_unlisted(&mut self, listed: &HashSet<&str>, unlisted_ms: u64, now: u64) {
        let is_recent = |at: u64| at + unlisted_ms > now;
        self.stopped_at
            .retain(|id, at| listed.contains(id.as_str()) || is_recent(*at));
    }
}
