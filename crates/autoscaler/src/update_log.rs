//! Assigns versions to the updates for owners.

use std::collections::BTreeSet;

/// Number of bits below the term in an update's number. All numbers of a later term are higher than those of an earlier one,
/// so that a number that an owner holds from an earlier term is never mistaken for one of this term.
const TERM_SHIFT: u32 = 32;

/// Numbers updates and records which functions have changed since their last update.
#[derive(Debug)]
pub(crate) struct UpdateLog {
    term: u64,
    last_number: u64,
    changed: BTreeSet<String>,
}

impl UpdateLog {
    /// Creates the log of a term, without updates.
    pub fn new(term: u64) -> Self {
        Self {
            term,
            last_number: term << TERM_SHIFT,
            changed: BTreeSet::new(),
        }
    }

    /// The term in which the updates are sent.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The number that precedes all updates of this term.
    pub fn base_number(&self) -> u64 {
        self.term << TERM_SHIFT
    }

    /// Marks a function for which an update must be sent.
    pub fn mark_changed(&mut self, function: &str) {
        if !self.changed.contains(function) {
            self.changed.insert(function.to_owned());
        }
    }

    /// Takes the names of the functions that changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    /// Assigns the number of the next update.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
