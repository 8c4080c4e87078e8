//! Whether an owner may lease by the list of a function's runners that it has.
//!
//! The scaler tells changes of the list to the function's owner alone. A list from an earlier time as owner, or one that is made of the
//! leases that gateways report, may name runners that have left since. It is reported to the scaler as unknown, and nothing is leased by it
//! until the scaler, or a former owner that it told, has named the runners anew.

use crate::lease_rules::LeaseRules;
use protocol::UpdateVersion;

/// Milliseconds for which an owner waits for the scaler to confirm a list. A scaler that has the platform's lists answers within a turn and a
/// round trip; one that has just begun does not, and service goes on by what is known.
const CONFIRMATION_TIMEOUT_MS: u64 = 250;

/// When an update left the scaler, as far as its receiver can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateAge {
    /// After the last pause of this process.
    Fresh,
    /// Perhaps before: it may have waited in a socket while the process stood still.
    Unknown,
}

/// The version of a function's list of runners, and whether it was confirmed since the function is owned here.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListConfirmation {
    /// Newest version that was ever told here; an older one is no news, also where the list is doubted.
    newest: UpdateVersion,
    is_confirmed: bool,
    unconfirmed_since: u64,
    /// When the scaler told it, where that is certain.
    received_at: Option<u64>,
}

impl ListConfirmation {
    /// A list that nobody has confirmed.
    pub fn unconfirmed(now: u64) -> Self {
        Self {
            unconfirmed_since: now,
            ..Self::default()
        }
    }

    /// The list may be old from now on.
    pub fn invalidate(&mut self, now: u64) {
        self.is_confirmed = false;
        self.unconfirmed_since = now;
    }

    /// A list of this version is told by the scaler, or by an owner that it told. Returns whether it is in force.
    pub fn confirm(&mut self, version: UpdateVersion) -> bool {
        let is_accepted = version >= self.newest;
        if is_accepted {
            self.newest = version;
            self.is_confirmed = true;
        }
        is_accepted
    }

    /// The scaler has told the list that is in force now.
    pub fn record_received(&mut self, now: u64) {
        self.received_at = Some(now);
    }

    /// The same as [`confirm`](Self::confirm), of an owner that hands over, whose list may be old: then it bears version zero. What the scaler has told here itself holds.
    pub fn confirm_handed_over(&mut self, version: UpdateVersion) -> bool {
        let is_old = version == UpdateVersion::default();
        let is_known = self.is_confirmed && version <= self.newest;
        !is_old && !is_known && self.confirm(version)
    }

    /// Version of the list; zero while it is not confirmed, so that the scaler tells it anew.
    pub fn version(&self) -> UpdateVersion {
        match self.is_confirmed {
            true => self.newest,
            false => UpdateVersion::default(),
        }
    }

    /// Whether runners that the list does not name have left.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Whether it was told before a pause of the process after which lists are awaited.
    pub fn is_from_before_pause(&self, rules: &LeaseRules) -> bool {
        !rules
            .pause_recovery
            .allows_list_received_at(self.received_at)
    }

    /// Whether seats may be leased by the list: it is confirmed, or nobody can confirm it, or nobody has in time.
    pub fn may_be_used(&self, now: u64, rules: &LeaseRules) -> bool {
        let is_late = now >= self.unconfirmed_since + CONFIRMATION_TIMEOUT_MS;
        let is_trusted = self.is_confirmed || !rules.is_scaler_reachable || is_late;
        is_trusted && !self.is_from_before_pause(rules)
    }
}
