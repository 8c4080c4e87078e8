//! The newest changes of the configuration, for gateways that lack only these.

use operator_commands::ConfigurationRecord;
use std::collections::VecDeque;

/// Most changes in memory. A gateway that lacks more gets the complete configuration.
const CHANGES_MAX: usize = 64;

/// The changes that led to the configuration in force, by the register's versions, without a gap.
#[derive(Default)]
pub(crate) struct RecentChanges {
    /// Version to which the oldest change led.
    first: u64,
    changes: VecDeque<Vec<u8>>,
}

impl RecentChanges {
    /// A configuration was committed at a version of the register.
    pub fn note(&mut self, version: u64, configuration: &ConfigurationRecord) {
        let follows = version == self.first + self.changes.len() as u64;
        if !follows || configuration.change.is_empty() {
            self.changes.clear();
            self.first = version + 1;
            return;
        }
        self.changes.push_back(configuration.change.clone());
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
            self.first += 1;
        }
    }

    /// The changes that lead from a version to the newest; none where they are not all known.
    pub fn since(&self, version: u64) -> Option<Vec<Vec<u8>>> {
        let behind = (version + 1).checked_sub(self.first)? as usize;
        let changes: Vec<Vec<u8>> = self.changes.iter().skip(behind).cloned().collect();
        (!changes.is_empty()).then_some(changes)
    }
}
