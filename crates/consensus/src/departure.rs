//! Progress of a replaced controller that is leaving the voter set.

use register::VoterSet;
use std::collections::BTreeSet;

/// Interval between requests to members to confirm that they have installed the set, in milliseconds.
const CONFIRM_INTERVAL_MS: u64 = 250;
/// Number of replacement timeouts that a live member may take to install the set.
const INSTALL_TIMEOUTS: u64 = 4;

/// State of a departure. The replica is kept until a majority of the new set no longer depends on it.
#[derive(Clone, Debug)]
pub(crate) struct Departure {
    since: u64,
    next_request_at: u64,
    /// Disks of members that have confirmed the durable installation of the newest set.
    installed: BTreeSet<u64>,
    is_resetting: bool,
}

impl Departure {
    /// Starts a departure.
    pub fn new(now: u64) -> Self {
        Self {
            since: now,
            next_request_at: now,
            installed: BTreeSet::new(),
            is_resetting: false,
        }
    }

    /// Whether confirmation requests are due now.
    pub fn poll_request(&mut self, now: u64) -> bool {
        let is_due = now >= self.next_request_at;
        if is_due {
            self.next_request_at = now + CONFIRM_INTERVAL_MS;
        }
        is_due
    }

    /// Records that a member has durably installed the newest set.
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

    /// Whether the new set no longer depends on this replica. A majority must have installed the set, so that every
    /// acknowledged value is held by one of its members. The other members get additional time, because a new member
    /// may need this replica to install; the time is longer if one of them is live.
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
        let has_timed_out = now >= self.since + timeouts * timeout_ms;
        installed >= set.majority() && (missing.is_empty() || has_timed_out)
    }

    /// Marks the disk reset as started.
    pub fn start_reset(&mut self) {
        self.is_resetting = true;
    }

    /// Whether the disk is being reset.
    pub fn is_resetting(&self) -> bool {
        self.is_resetting
    }
}
