//! Updates of the control plane are put in force, and the functions that are owned here are reported to the scaler.

use crate::gateway::Gateway;
use protocol::{Member, Message, UpdateVersion};
use seat_leases::select_owner;

impl Gateway {
    /// A committed configuration.
    pub fn configuration_received(&mut self, version: u64, packed: &[u8]) {
        self.controllers.request_answered();
        let configuration_format = self.options.configuration_format.as_ref();
        self.configuration
            .apply_document(version, packed, configuration_format);
    }

    /// Committed changes of a configuration.
    pub fn changes_received(&mut self, base_version: u64, changes: &[Vec<u8>]) {
        self.controllers.request_answered();
        let configuration_format = self.options.configuration_format.as_ref();
        self.configuration
            .apply_changes(base_version, changes, configuration_format);
    }

    /// Committed evacuated zones.
    pub fn evacuations_received(&mut self, version: u64, zones: Vec<String>) {
        if self.configuration.apply_evacuations(version, zones) {
            let zones = self.configuration.evacuated_zones().clone();
            self.lease_owner.set_evacuated_zones(zones);
        }
    }

    /// The gateways that own functions. Requests that await a lease of a gateway that owns the function no more request
    /// it anew, and new owners learn which seats are in use.
    pub fn membership_received(&mut self, version: UpdateVersion, members: Vec<Member>) {
        if !self.configuration.apply_membership(version, members) {
            return;
        }
        self.peers.clear_suspects();
        self.move_to_new_owners();
        for function in self.functions_in_use() {
            if let Some(owner) = self.owner_of(&function) {
                self.report_leases_to_new_owner(&owner, &function);
            }
        }
    }

    /// Reports to the scaler what changed at the functions owned here, and evicts functions that others own.
    pub fn report_to_scaler(&mut self) {
        let Some(scaler) = self.controllers.scaler(self.now) else {
            return;
        };
        let reports = self.lease_owner.reports(self.now, scaler.is_new);
        if !reports.is_empty() || scaler.is_new {
            let message = Message::FunctionReports(reports);
            self.send_to_controller(&scaler.address, &message);
        }
        let (name, members) = (&self.options.name, self.configuration.members());
        if self.controllers.is_eviction_due(self.now) && !members.is_empty() {
            self.lease_owner.evict_unowned(self.now, |function| {
                let owner = select_owner(function, members, |_| true);
                owner.is_some_and(|member| member.name == *name)
            });
        }
    }
}
