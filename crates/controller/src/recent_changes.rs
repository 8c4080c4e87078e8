//! The newest changes of the configuration, for gateways that lack only a few versions.

use operator_commands::ConfigurationRecord;
use std::collections::VecDeque;

/// Maximum number of changes in memory. A gateway that lacks more is sent the complete configuration.
const CHANGES_MAX: usize = 64;

/// The newest changes up to the committed configuration, with consecutive versions of the register.
#[derive(Default)]
pub(crate) struct RecentChanges {
    /// Version that resulted from the oldest change.
    first_version: u64,
    changes: VecDeque<Vec<u8>>,
}

impl RecentChanges {
    /// Adds a configuration that was committed as this version of the register.
    pub fn push(&mut self, version: u64, configuration: &ConfigurationRecord) {
        let is_consecutive = version == self.first_version + self.changes.len() as u64;
        if !is_consecutive || configuration.change.is_empty() {
            self.changes.clear();
            self.first_version = version + 1;
            return;
        }
        self.changes.push_back(configuration.change.clone());
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
            self.first_version += 1;
        }
    }

    /// The changes that lead from a version to the newest; none if some of them are not available.
    pub fn since(&self, version: u64) -> Option<Vec<Vec<u8>>> {
        let skipped = (version + 1).checked_sub(self.first_version)? as usize;
        let changes: Vec<Vec<u8>> = self.changes.iter().skip(skipped).cloned().collect();
        (!changes.is_empty()).then_some(changes)
    }
}
