//! Whether an owner may use its runner list of a function to issue leases.
//!
//! The scaler sends changes of the list to the function's owner only. A list kept from an earlier period of ownership, or
//! reconstructed from the leases that gateways report, may contain runners that have been removed since. Such a list is
//! reported to the scaler as unknown and is not used until the scaler, or a former owner with a confirmed list, sends it
//! again.

use crate::lease_rules::LeaseRules;
use protocol::UpdateVersion;

/// Milliseconds to wait for the scaler to confirm a list. A scaler that has the platform's runner lists answers within one
/// iteration of its loop and a round trip. One that has just started does not, and the known list is used after this time.
const CONFIRMATION_TIMEOUT_MS: u64 = 250;

/// When an update was sent, as far as the receiver can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateAge {
    /// Sent after the last pause of this process.
    Fresh,
    /// Possibly sent before the last pause: it may have waited in a socket while the process was paused.
    Unknown,
}

/// Version of a function's runner list, and whether it was confirmed since this gateway owns the function.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListConfirmation {
    /// Newest version ever received. Older versions are rejected even while the list is unconfirmed.
    newest: UpdateVersion,
    is_confirmed: bool,
    unconfirmed_since: u64,
    /// When the scaler's last update was received, if it is known to have been sent after the last pause.
    received_at: Option<u64>,
}

impl ListConfirmation {
    /// Creates the state of a list that has not been confirmed.
    pub fn unconfirmed(now: u64) -> Self {
        Self {
            unconfirmed_since: now,
            ..Self::default()
        }
    }

    /// Marks the list as possibly outdated.
    pub fn invalidate(&mut self, now: u64) {
        self.is_confirmed = false;
        self.unconfirmed_since = now;
    }

    /// Accepts a list from the scaler, or from an owner whose list the scaler confirmed. Returns false if its version is
    /// older than the newest one.
    pub fn confirm(&mut self, version: UpdateVersion) -> bool {
        let is_accepted = version >= self.newest;
        if is_accepted {
            self.newest = version;
            self.is_confirmed = true;
        }
        is_accepted
    }

    /// Records that the scaler sent the current list at `now`.
    pub fn record_received(&mut self, now: u64) {
        self.received_at = Some(now);
    }

    /// Like [`confirm`](Self::confirm), for a list handed over by another owner. Version zero marks an unconfirmed list and
    /// is rejected. A confirmed list of the same or a newer version from the scaler takes precedence.
    pub fn confirm_handed_over(&mut self, version: UpdateVersion) -> bool {
        let is_old = version == UpdateVersion::default();
        let is_known = self.is_confirmed && version <= self.newest;
        !is_old && !is_known && self.confirm(version)
    }

    /// Version of the list; zero while it is unconfirmed, which makes the scaler send it again.
    pub fn version(&self) -> UpdateVersion {
        match self.is_confirmed {
            true => self.newest,
            false => UpdateVersion::default(),
        }
    }

    /// Whether the list is confirmed, so that runners missing from it have been removed.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Whether the list predates a process pause after which lists must be received again.
    pub fn is_from_before_pause(&self, rules: &LeaseRules) -> bool {
        !rules
            .pause_recovery
            .allows_list_received_at(self.received_at)
    }

    /// Whether the list may be used for leases: it is confirmed, or the scaler is unreachable or did not confirm it in
    /// time. A list from before an unconfirmed process pause must not be used.
    pub fn may_be_used(&self, now: u64, rules: &LeaseRules) -> bool {
        let is_late = now >= self.unconfirmed_since + CONFIRMATION_TIMEOUT_MS;
        let is_trusted = self.is_confirmed || !rules.is_scaler_reachable || is_late;
        is_trusted && !self.is_from_before_pause(rules)
    }
}
