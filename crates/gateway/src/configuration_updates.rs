//! Applies updates from the control plane, and reports the functions owned here to the scaler.

use crate::gateway::Gateway;
use protocol::{Member, Message, OwnershipChange, UpdateVersion};
use seat_leases::{changed_members, OwnershipTable};
use std::sync::Arc;

impl Gateway {
    /// Applies a committed configuration.
    pub fn configuration_received(&mut self, version: u64, packed: &[u8]) {
        self.controllers.request_answered();
        let configuration_format = self.options.configuration_format.as_ref();
        self.configuration
            .apply_document(version, packed, configuration_format);
        self.recheck_keys();
    }

    /// Applies committed changes to a configuration.
    pub fn changes_received(&mut self, base_version: u64, changes: &[Vec<u8>]) {
        self.controllers.request_answered();
        let configuration_format = self.options.configuration_format.as_ref();
        self.configuration
            .apply_changes(base_version, changes, configuration_format);
        self.recheck_keys();
    }

    /// Applies committed evacuated zones.
    pub fn evacuations_received(&mut self, version: u64, zones: Vec<String>) {
        if self.configuration.apply_evacuations(version, zones) {
            let zones = self.configuration.evacuated_zones().clone();
            self.lease_owner.set_evacuated_zones(zones);
        }
    }

    /// Applies a membership in which some gateways do not support agreed ownership tables.
    pub fn membership_received(&mut self, version: UpdateVersion, members: Vec<Member>) {
        self.ownership_received(OwnershipTable::not_agreed(version, members));
    }

    /// Applies an incremental change to such a membership. A change based on another version is dropped.
    pub fn membership_changed(
        &mut self,
        base: UpdateVersion,
        version: UpdateVersion,
        joined: &[Member],
        left: &[String],
    ) {
        let table = self.configuration.ownership();
        let Some(table) = table.filter(|table| table.version() == base && !table.is_agreed())
        else {
            log::debug!("gateway: membership change dropped base={base}");
            return;
        };
        let members = changed_members(table.members(), joined, left);
        self.membership_received(version, members);
    }

    /// Applies an incremental change to an agreed ownership table. A change based on another version is dropped.
    pub fn ownership_changed(&mut self, change: &OwnershipChange) {
        let table = self.configuration.ownership();
        match table.and_then(|table| table.changed(change)) {
            Some(table) => self.ownership_received(table),
            None => log::debug!("gateway: ownership change dropped base={}", change.base),
        }
    }

    /// Applies an ownership table. Requests that wait for a gateway that no longer owns their function request a
    /// lease from the new owner, and new owners receive reports of the seats in use.
    pub fn ownership_received(&mut self, table: OwnershipTable) {
        let table = Arc::new(table);
        if !self.configuration.apply_ownership(Arc::clone(&table)) {
            return;
        }
        self.peers.clear_suspects();
        self.lease_owner.apply_table(self.now, table);
        self.move_relayed_requests();
        self.move_to_new_owners();
        for function in self.functions_in_use() {
            if let Some(owner) = self.owner_of(&function) {
                self.report_leases_to_new_owner(&owner, &function);
            }
        }
    }

    /// Reports changes of the functions owned here to the scaler, and evicts functions that others own.
    pub fn report_to_scaler(&mut self) {
        let Some(scaler) = self.controllers.scaler(self.now) else {
            return;
        };
        let reports = self.lease_owner.reports(self.now, scaler.is_new);
        if !reports.is_empty() || scaler.is_new {
            let message = Message::FunctionReports(reports);
            self.send_to_controller(&scaler.address, &message);
        }
        if self.controllers.is_eviction_due(self.now) && self.configuration.is_ready() {
            self.lease_owner.evict_unowned(self.now);
        }
    }
}
