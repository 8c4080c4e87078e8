//! The newest committed configuration and evacuations that this controller knows.

use crate::recent_changes::RecentChanges;
use consensus::{Consensus, CONFIGURATION_KEY, EVACUATIONS_KEY};
use operator_commands::{ConfigurationRecord, Evacuations};
use protocol::Message;

/// Which committed values have changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommittedChange {
    /// The configuration, and possibly the evacuations.
    Configuration,
    /// Only the evacuations.
    Evacuations,
}

/// Versions of the two registers that a gateway has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KnownVersions {
    /// Version of the configuration.
    pub configuration: u64,
    /// Version of the evacuations.
    pub evacuations: u64,
}

/// Values of the two registers that operators' commands change, and the updates that gateways need. Versions are those of the
/// registers, and never decrease.
#[derive(Default)]
pub(crate) struct CommittedConfiguration {
    record: ConfigurationRecord,
    version: u64,
    recent_changes: RecentChanges,
    evacuations: Evacuations,
    evacuations_version: u64,
}

impl CommittedConfiguration {
    /// Takes the values that the consensus has committed; none if nothing is newer. A value that cannot be parsed is skipped.
    pub fn update(&mut self, consensus: &Consensus) -> Option<CommittedChange> {
        let configuration = consensus.committed(CONFIGURATION_KEY);
        let has_configuration =
            configuration.is_some_and(|(version, value)| self.update_configuration(version, value));
        let evacuations = consensus.committed(EVACUATIONS_KEY);
        let has_evacuations =
            evacuations.is_some_and(|(version, value)| self.update_evacuations(version, value));
        let change = if has_configuration {
            CommittedChange::Configuration
        } else if has_evacuations {
            CommittedChange::Evacuations
        } else {
            return None;
        };
        log::info!(
            "controller: configuration committed version={} evacuated_zones={:?}",
            self.record.version,
            self.evacuations.zones
        );
        Some(change)
    }

    fn update_configuration(&mut self, version: u64, value: &[u8]) -> bool {
        if version <= self.version {
            return false;
        }
        let Some(record) = ConfigurationRecord::read(value) else {
            log::error!("controller: committed configuration unreadable version={version}");
            return false;
        };
        self.recent_changes.push(version, &record);
        self.record = record;
        self.version = version;
        true
    }

    fn update_evacuations(&mut self, version: u64, value: &[u8]) -> bool {
        if version <= self.evacuations_version {
            return false;
        }
        let Some(evacuations) = Evacuations::read(value) else {
            return false;
        };
        self.evacuations = evacuations;
        self.evacuations_version = version;
        true
    }

    /// The committed configuration.
    pub fn record(&self) -> &ConfigurationRecord {
        &self.record
    }

    /// The register's version of the committed configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The evacuated zones.
    pub fn evacuated_zones(&self) -> &[String] {
        &self.evacuations.zones
    }

    /// The register's version of the evacuations.
    pub fn evacuations_version(&self) -> u64 {
        self.evacuations_version
    }

    /// The messages that bring a gateway with these versions up to date: only the changes, if they are available and smaller
    /// than the complete configuration.
    pub fn updates_since(&self, known: KnownVersions) -> Vec<Message> {
        let mut updates = Vec::new();
        if self.version > known.configuration {
            updates.push(self.configuration_since(known.configuration));
        }
        if self.evacuations_version > known.evacuations {
            updates.push(Message::EvacuatedZones {
                version: self.evacuations_version,
                zones: self.evacuations.zones.clone(),
            });
        }
        updates
    }

    fn configuration_since(&self, known_version: u64) -> Message {
        let changes = self.recent_changes.since(known_version);
        let changes = changes.filter(|changes| {
            let size: usize = changes.iter().map(Vec::len).sum();
            size < self.record.deflated_document.len()
        });
        let complete = || Message::Configuration {
            version: self.version,
            document: self.record.deflated_document.clone(),
        };
        changes.map_or_else(complete, |changes| Message::ConfigurationChanges {
            base_version: known_version,
            changes,
        })
    }
}
