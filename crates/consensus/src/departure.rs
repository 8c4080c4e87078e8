//! How far a controller whose place in the voter set another took is with leaving it.

use register::VoterSet;
use std::collections::BTreeSet;

/// Time between requests to confirm that members have installed the set, in milliseconds.
const CONFIRM_INTERVAL_MS: u64 = 250;
/// Replacement time-outs for which a member that is heard may take to install the set.
const INSTALL_TIMEOUTS: u64 = 4;

/// A departure under way. Its replica is kept until a majority of the new set can do without it.
#[derive(Clone, Debug)]
pub(crate) struct Departure {
    since: u64,
    next_request_at: u64,
    /// Disks of members that confirmed that they have durably installed the newest set.
    installed: BTreeSet<u64>,
    is_resetting: bool,
}

impl Departure {
    /// Begins now.
    pub fn new(now: u64) -> Self {
        Self {
            since: now,
            next_request_at: now,
            installed: BTreeSet::new(),
            is_resetting: false,
        }
    }

    /// Whether members are to be asked now whether they have installed the set.
    pub fn poll_request(&mut self, now: u64) -> bool {
        let is_due = now >= self.next_request_at;
        if is_due {
            self.next_request_at = now + CONFIRM_INTERVAL_MS;
        }
        is_due
    }

    /// A member confirmed that it has durably installed the newest set.
    pub fn record_installed(&mut self, disk: u64) {
        self.installed.insert(disk);
    }

    /// Disks of members that have not confirmed the set yet.
    pub fn missing(&self, set: &VoterSet) -> Vec<u64> {
        let disks = set.voters.iter().map(|voter| voter.disk);
        disks
            .filter(|disk| !self.installed.contains(disk))
            .collect()
    }

    /// Whether the new set can do without this replica. A majority must have installed the set, so that whatever was
    /// acknowledged is held by one of its members. The others are left time beyond that, since a newcomer may need
    /// this replica to install: longer where one of them is heard.
    pub fn may_leave(
        &self,
        now: u64,
        set: &VoterSet,
        is_missing_heard: bool,
        timeout_ms: u64,
    ) -> bool {
        let missing = self.missing(set);
        let installed = set.voters.len() - missing.len();
        let timeouts = if is_missing_heard {
            INSTALL_TIMEOUTS
        } else {
            1
        };
        let is_long_ago = now >= self.since + timeouts * timeout_ms;
        installed >= set.majority() && (missing.is_empty() || is_long_ago)
    }

    /// The disk is being emptied from now on.
    pub fn start_reset(&mut self) {
        self.is_resetting = true;
    }

    /// Whether the disk is being emptied.
    pub fn is_resetting(&self) -> bool {
        self.is_resetting
    }
}
