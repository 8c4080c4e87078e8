//! All pending register changes, and the ballots and request numbers they use.

use crate::pending_change::{ChangePurpose, PendingChange};
use register::Ballot;
use std::collections::BTreeMap;

/// Pending register changes by id.
///
/// Request numbers and ballots only increase, so no two rounds of this incarnation share one.
#[derive(Clone, Debug)]
pub(crate) struct PendingChanges {
    changes: BTreeMap<u64, PendingChange>,
    last_number: u64,
    ballot_counter: u64,
}

impl PendingChanges {
    /// Starts above the given request number and ballot counter.
    pub fn new(last_number: u64, ballot_counter: u64) -> Self {
        Self {
            changes: BTreeMap::new(),
            last_number,
            ballot_counter,
        }
    }

    /// Returns a ballot above all earlier ones and above the given one.
    pub fn next_ballot(&mut self, proposer: u64, above: Ballot) -> Ballot {
        self.ballot_counter = self.ballot_counter.max(above.counter) + 1;
        Ballot {
            counter: self.ballot_counter,
            proposer,
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a change. Returns its id.
    pub fn insert(&mut self, change: PendingChange) -> u64 {
        let id = self.next_number();
        self.changes.insert(id, change);
        id
    }

    /// Starts a round of a change under a new number.
    pub fn start_round(&mut self, id: u64) {
        let number = self.next_number();
        if let Some(change) = self.changes.get_mut(&id) {
            change.start_round(number);
        }
    }

    /// The change with an id.
    pub fn get(&self, id: u64) -> Option<&PendingChange> {
        self.changes.get(&id)
    }

    /// The change with an id.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut PendingChange> {
        self.changes.get_mut(&id)
    }

    /// Removes and returns a change.
    pub fn remove(&mut self, id: u64) -> Option<PendingChange> {
        self.changes.remove(&id)
    }

    /// Ids of all changes, oldest first.
    pub fn ids(&self) -> Vec<u64> {
        self.changes.keys().copied().collect()
    }

    /// The change whose current round has this number.
    pub fn find_by_round(&mut self, number: u64) -> Option<(u64, &mut PendingChange)> {
        let mut changes = self.changes.iter_mut();
        let found = changes.find(|(_, change)| change.is_in_round(number));
        found.map(|(id, change)| (*id, change))
    }

    /// Whether a change for this purpose is pending.
    pub fn has(&self, purpose: ChangePurpose) -> bool {
        let mut changes = self.changes.values();
        changes.any(|change| change.purpose() == purpose)
    }

    /// Whether a change of this key is pending.
    pub fn has_key(&self, key: &str) -> bool {
        let mut changes = self.changes.values();
        changes.any(|change| change.key() == key)
    }

    /// Number of pending changes requested by the daemon.
    pub fn client_count(&self) -> usize {
        let changes = self.changes.values();
        let of_clients =
            changes.filter(|change| matches!(change.purpose(), ChangePurpose::Client(_)));
        of_clients.count()
    }

    /// End of the earliest pause.
    pub fn next_pause_end(&self) -> Option<u64> {
        let changes = self.changes.values();
        changes.filter_map(PendingChange::paused_until).min()
    }

    /// Removes changes that only apply to the voter set under which they were started.
    pub fn remove_set_dependent(&mut self) {
        self.changes.retain(|_, change| {
            let purpose = change.purpose();
            !matches!(purpose, ChangePurpose::VoterSet | ChangePurpose::ScalerRole)
        });
    }
}
