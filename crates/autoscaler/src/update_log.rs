//! Versions of the updates to owners.

use std::collections::BTreeSet;

/// Bits of an update's number below the term: a number of a later term is above all of an earlier one, so that an
/// owner's number of an earlier term is never taken for one of this term.
const TERM_SHIFT: u32 = 32;

/// Numbers updates and records which functions changed since their last one.
#[derive(Debug)]
pub(crate) struct UpdateLog {
    term: u64,
    last_number: u64,
    changed: BTreeSet<String>,
}

impl UpdateLog {
    /// The log of a term, with no update yet.
    pub fn new(term: u64) -> Self {
        Self {
            term,
            last_number: term << TERM_SHIFT,
            changed: BTreeSet::new(),
        }
    }

    /// The term under which updates are sent.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The number below all updates of this term.
    pub fn base_number(&self) -> u64 {
        self.term << TERM_SHIFT
    }

    /// An update of the function is to be sent.
    pub fn mark_changed(&mut self, function: &str) {
        if !self.changed.contains(function) {
            self.changed.insert(function.to_owned());
        }
    }

    /// The functions that changed since the last call, by name.
    pub fn take_changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    /// The number of the next update.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
