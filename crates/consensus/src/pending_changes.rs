//! All changes of registers that are under way, with the ballots and numbers that they use.

use crate::pending_change::{ChangePurpose, PendingChange};
use register::Ballot;
use std::collections::BTreeMap;

/// Changes of registers under way, by id.
///
/// No two rounds of this incarnation share a number or a ballot: both only ever rise.
#[derive(Clone, Debug)]
pub(crate) struct PendingChanges {
    changes: BTreeMap<u64, PendingChange>,
    last_number: u64,
    ballot_counter: u64,
}

impl PendingChanges {
    /// Numbers and ballots rise from these on.
    pub fn new(last_number: u64, ballot_counter: u64) -> Self {
        Self {
            changes: BTreeMap::new(),
            last_number,
            ballot_counter,
        }
    }

    /// A ballot of a proposer, above all that it used before and above another one.
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

    /// Begins a round of a change, under a new number.
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

    /// Ends a change.
    pub fn remove(&mut self, id: u64) -> Option<PendingChange> {
        self.changes.remove(&id)
    }

    /// Ids of all changes, oldest first.
    pub fn ids(&self) -> Vec<u64> {
        self.changes.keys().copied().collect()
    }

    /// The change whose current round bears a number.
    pub fn in_round(&mut self, number: u64) -> Option<(u64, &mut PendingChange)> {
        let mut changes = self.changes.iter_mut();
        let found = changes.find(|(_, change)| change.is_in_round(number));
        found.map(|(id, change)| (*id, change))
    }

    /// Whether a change for this purpose is under way.
    pub fn has(&self, purpose: ChangePurpose) -> bool {
        let mut changes = self.changes.values();
        changes.any(|change| change.purpose() == purpose)
    }

    /// How many changes the daemon has asked for.
    pub fn client_count(&self) -> usize {
        let changes = self.changes.values();
        let of_clients =
            changes.filter(|change| matches!(change.purpose(), ChangePurpose::Client(_)));
        of_clients.count()
    }

    /// When the first pause ends.
    pub fn next_pause_end(&self) -> Option<u64> {
        let changes = self.changes.values();
        changes.filter_map(PendingChange::paused_until).min()
    }

    /// Drops changes that only make sense under the voter set that they began with.
    pub fn drop_bound_to_set(&mut self) {
        self.changes.retain(|_, change| {
            let purpose = change.purpose();
            !matches!(purpose, ChangePurpose::VoterSet | ChangePurpose::ScalerRole)
        });
    }
}
