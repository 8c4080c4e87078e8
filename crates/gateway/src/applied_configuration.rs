//! Configuration, evacuations and ownership applied from the control plane. Each kind of update has a version, and an
//! update older than the applied one is dropped.

use invariants::{check, Invariant};
use protocol::{inflate, Member, UpdateVersion};
use routing::{ConfigurationFormat, Limits, RoutingConfiguration, RoutingTable, TenantDirectory};
use seat_leases::OwnershipTable;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum size of an unpacked configuration, in bytes.
const DOCUMENT_MAX: u64 = 64 << 20;

/// Versions of the committed documents that a daemon has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConfigurationVersions {
    pub configuration: u64,
    pub evacuations: u64,
}

impl ConfigurationVersions {
    /// Whether any of these versions is newer than the held one.
    pub fn has_newer_than(self, held: Self) -> bool {
        self.configuration > held.configuration || self.evacuations > held.evacuations
    }
}

/// The applied configuration, evacuated zones and ownership table.
#[derive(Default)]
pub(crate) struct AppliedConfiguration {
    versions: ConfigurationVersions,
    table: Option<Arc<RoutingTable>>,
    needs_full_document: bool,
    /// Parts of the operators' document that have no effect because this version does not recognize them.
    unknown_parts: BTreeSet<String>,
    evacuated_zones: BTreeSet<String>,
    ownership: Option<Arc<OwnershipTable>>,
}

impl AppliedConfiguration {
    /// The routing table; `None` before the first configuration.
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.clone()
    }

    /// The tenants; `None` if no key is required or nothing is configured yet.
    pub fn tenants(&self) -> Option<TenantDirectory> {
        self.table.as_ref()?.configuration().tenants.clone()
    }

    /// Limits on clients' requests and connections; defaults before the first configuration.
    pub fn limits(&self) -> Limits {
        let table = self.table.as_ref();
        table.map_or_else(Limits::default, |table| {
            table.configuration().limits.clone()
        })
    }

    /// Versions of the applied documents.
    pub fn versions(&self) -> ConfigurationVersions {
        self.versions
    }

    /// Version of the configuration to which changes can be applied; 0 if the full document is needed.
    pub fn base_version(&self) -> u64 {
        if self.needs_full_document {
            0
        } else {
            self.versions.configuration
        }
    }

    /// Version number that the operators gave to the applied configuration.
    pub fn operator_version(&self) -> u64 {
        let table = self.table.as_ref();
        table.map_or(0, |table| table.configuration().version)
    }

    /// The ownership table; `None` before the first one.
    pub fn ownership(&self) -> Option<&Arc<OwnershipTable>> {
        self.ownership.as_ref()
    }

    /// The ownership table if it is agreed, and therefore binding for all members.
    pub fn agreed_owners(&self) -> Option<&OwnershipTable> {
        let table = self.ownership.as_deref();
        table.filter(|table| table.is_agreed())
    }

    /// Version of the applied ownership table.
    pub fn ownership_version(&self) -> UpdateVersion {
        let ownership = self.ownership.as_ref();
        ownership.map_or_else(UpdateVersion::default, |table| table.version())
    }

    /// The gateways in the ownership table.
    pub fn members(&self) -> &[Member] {
        self.ownership.as_ref().map_or(&[], |table| table.members())
    }

    /// The member with this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.ownership.as_ref()?.member(name)
    }

    /// Evacuated zones, which get no requests.
    pub fn evacuated_zones(&self) -> &BTreeSet<String> {
        &self.evacuated_zones
    }

    /// Whether a configuration and a non-empty membership are applied, as serving requires.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && !self.members().is_empty()
    }

    /// Maximum number of idle connections to one runner of a function: three quarters of the connections that the
    /// runner accepts, divided by the number of gateways, at least 1 and at most `limit`.
    pub fn max_idle_connections(&self, function: &str, limit: usize) -> usize {
        let table = self.table.as_ref();
        let known = table.and_then(|table| {
            let index = table.function_index(function)?;
            table.configuration().functions.get(index)
        });
        let accepted = known.map_or(1, |known| known.connections as usize);
        let share = accepted * 3 / 4 / self.members().len().max(1);
        share.max(1).min(limit)
    }

    /// Applies a full configuration document.
    pub fn apply_document(
        &mut self,
        version: u64,
        packed: &[u8],
        configuration_format: &dyn ConfigurationFormat,
    ) {
        if version <= self.versions.configuration {
            return;
        }
        let Some(document) = inflate(packed, DOCUMENT_MAX) else {
            log::error!("gateway: configuration unreadable version={version}");
            return;
        };
        match configuration_format.parse(&document) {
            Ok(configuration) => {
                self.put_in_force(version, configuration);
                self.record_unknown_parts(configuration_format.unknown_parts(&document));
            }
            Err(error) => {
                log::error!("gateway: configuration rejected version={version} error={error}")
            }
        }
    }

    /// Applies changes to the current configuration. If that fails, the full document is requested.
    pub fn apply_changes(
        &mut self,
        base: u64,
        changes: &[Vec<u8>],
        configuration_format: &dyn ConfigurationFormat,
    ) {
        let table = self.table.as_ref();
        let Some(table) = table.filter(|_| base == self.versions.configuration) else {
            return;
        };
        let mut configuration = table.configuration().as_ref().clone();
        let mut unknown_parts = self.unknown_parts.clone();
        for packed in changes {
            let change = inflate(packed, DOCUMENT_MAX);
            let updated = change.and_then(|change| {
                let updated = configuration_format.apply_change(&configuration, &change);
                unknown_parts.extend(configuration_format.unknown_parts_of_change(&change));
                updated.ok()
            });
            let Some(updated) = updated else {
                log::error!("gateway: configuration change not applicable base={base}");
                self.needs_full_document = true;
                return;
            };
            configuration = updated;
        }
        self.put_in_force(base + changes.len() as u64, configuration);
        self.record_unknown_parts(unknown_parts);
    }

    fn record_unknown_parts(&mut self, parts: BTreeSet<String>) {
        if parts != self.unknown_parts && !parts.is_empty() {
            log::warn!("gateway: configuration parts not understood parts={parts:?}");
        }
        self.unknown_parts = parts;
    }

    /// Number of parts of the document that have no effect.
    pub fn unknown_parts(&self) -> usize {
        self.unknown_parts.len()
    }

    /// Replaces the configuration by a newer one.
    pub fn put_in_force(&mut self, version: u64, configuration: RoutingConfiguration) {
        let tenants = configuration.tenants.as_ref();
        log::info!(
            "gateway: configuration applied version={} tenants={} keys={}",
            configuration.version,
            tenants.map_or(0, TenantDirectory::len),
            tenants.map_or(0, TenantDirectory::key_count)
        );
        let former = self.versions.configuration;
        check(
            Invariant::ConfigurationMovesForward,
            version > former,
            || format!("version={version} former={former}"),
        );
        let table = RoutingTable::new(Arc::new(configuration));
        self.table = Some(Arc::new(table));
        self.versions.configuration = version;
        self.needs_full_document = false;
    }

    /// Applies the evacuated zones. Returns whether they were newer.
    pub fn apply_evacuations(&mut self, version: u64, zones: Vec<String>) -> bool {
        if version <= self.versions.evacuations {
            return false;
        }
        log::info!("gateway: zones evacuated zones={zones:?}");
        let former = std::mem::replace(&mut self.versions.evacuations, version);
        check(Invariant::EvacuationsMoveForward, version > former, || {
            format!("version={version} former={former}")
        });
        self.evacuated_zones = zones.into_iter().collect();
        true
    }

    /// Applies an ownership table. Returns whether it was newer.
    pub fn apply_ownership(&mut self, table: Arc<OwnershipTable>) -> bool {
        let version = table.version();
        if version <= self.ownership_version() || table.members().is_empty() {
            return false;
        }
        log::info!(
            "gateway: ownership updated version={version} gateways={} agreed={}",
            table.members().len(),
            table.is_agreed()
        );
        self.ownership = Some(table);
        true
    }
}
