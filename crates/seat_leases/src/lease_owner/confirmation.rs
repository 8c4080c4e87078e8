//! Confirmation of leases that may have ended without this owner noticing: leases that were handed over, and leases of
//! gateways whose link closed.

use super::LeaseOwner;
use crate::action::LeaseAction;
use crate::function_seats::FunctionSeats;
use crate::lease_holder::LeaseHolder;
use crate::ownership_table::OwnershipTable;
use protocol::{RequestId, RunnerLeases};
use std::collections::BTreeSet;

impl LeaseOwner {
    /// Handles the end of the link with a gateway. The gateway sends its waiting requests again. While the ownership table
    /// lists it as a member, its leases stay in use, and it reports over the next link which of them have ended.
    pub fn gateway_disconnected(&mut self, now: u64, gateway: &str) {
        self.request_handover_again(gateway);
        let table = self.ownership.agreed_table();
        let is_member = table.is_some_and(|table| table.member(gateway).is_some());
        if !is_member {
            self.remove_gateway(now, gateway);
            return;
        }
        for (function, seats) in &mut self.functions {
            for holder in seats.remove_waiting_of(gateway) {
                self.function_by_holder.remove(&holder);
                self.unreported.insert(function.clone());
            }
            for holder in seats.holders_of(gateway) {
                self.unconfirmed.insert(now, holder);
            }
        }
    }

    /// Requests a pending handover again, since the request or its answer may have been lost with the link.
    fn request_handover_again(&mut self, gateway: &str) {
        let table = self.ownership.table();
        let Some(version) = table.map(|table| table.version()) else {
            return;
        };
        if self.ownership.awaited().contains(gateway) {
            self.request_handover(gateway.into(), version);
        }
    }

    /// Handles a gateway's report of all seats of a function that it uses, sent to the function's new owner. Its other
    /// known leases have ended. Under an agreed table the gateway is asked about them first, because a lease may still be
    /// on its way to it.
    pub fn adopt_leases(
        &mut self,
        now: u64,
        gateway: &str,
        function: &str,
        runners: &[RunnerLeases],
    ) {
        let reported = runners.iter().flat_map(|runner| &runner.requests);
        let reported: BTreeSet<LeaseHolder> = reported
            .map(|request_id| LeaseHolder::new(gateway, *request_id))
            .collect();
        let seats = self.functions.entry(function.to_string());
        let seats = seats.or_insert_with(|| FunctionSeats::new(now));
        let known = seats.holders_of(gateway).into_iter();
        let unreported: Vec<LeaseHolder> =
            known.filter(|holder| !reported.contains(holder)).collect();
        for holder in &reported {
            self.end_holder(holder);
        }
        self.end_unreported(now, gateway, unreported);
        let seats = self.functions.entry(function.to_string());
        let seats = seats.or_insert_with(|| FunctionSeats::new(now));
        seats.touch(now);
        for leases in runners {
            let runner = seats.runner_or_add(now, leases, &self.rules);
            for request_id in &leases.requests {
                let holder = LeaseHolder::new(gateway, *request_id);
                runner.add_lease(holder.clone());
                self.function_by_holder.insert(holder, function.to_string());
            }
        }
        seats.report_state().mark_changed();
        self.unreported.insert(function.to_string());
        self.issue_leases(now, function);
    }

    fn end_unreported(&mut self, now: u64, gateway: &str, unreported: Vec<LeaseHolder>) {
        if self.ownership.agreed_table().is_none() {
            for holder in unreported {
                self.end_holder(&holder);
            }
            return;
        }
        let requests: Vec<RequestId> = unreported.iter().map(|holder| holder.request_id).collect();
        for holder in unreported {
            self.unconfirmed.insert(now, holder);
        }
        self.request_confirmation(gateway.into(), requests);
    }

    /// Removes gateways that are missing from a new table or have another incarnation in it.
    pub(super) fn remove_departed_gateways(&mut self, now: u64, table: &OwnershipTable) {
        let Some(former) = self.ownership.table() else {
            return;
        };
        let has_departed = |name: &&str| {
            let (former, member) = (former.member(name), table.member(name));
            former.is_some_and(|former| {
                member.is_none_or(|member| member.incarnation != former.incarnation)
            })
        };
        let holders = self.function_by_holder.keys();
        let gateways: BTreeSet<&str> = holders.map(|holder| holder.gateway.as_str()).collect();
        let departed = gateways.into_iter().filter(has_departed).map(String::from);
        for gateway in departed.collect::<Vec<String>>() {
            self.remove_gateway(now, &gateway);
        }
    }

    /// Handles a gateway's answer naming the leases that it does not hold. Only leases that are still unconfirmed end:
    /// anything the gateway has said about the same requests since takes precedence.
    pub fn leases_ended(&mut self, now: u64, gateway: &str, requests: &[RequestId]) {
        for request_id in requests {
            let holder = LeaseHolder::new(gateway, *request_id);
            if self.unconfirmed.contains(&holder) {
                self.cancel(now, gateway, *request_id);
            }
        }
    }

    /// Repeats unanswered questions about leases, and ends leases that stayed unconfirmed for too long.
    pub(super) fn poll_unconfirmed(&mut self, now: u64) {
        for holder in self.unconfirmed.take_expired(now) {
            self.cancel(now, &holder.gateway, holder.request_id);
        }
        for (gateway, requests) in self.unconfirmed.take_due(now) {
            self.request_confirmation(gateway, requests);
        }
    }

    /// Asks a gateway whether these requests still hold their leases.
    pub(super) fn request_confirmation(&mut self, gateway: String, requests: Vec<RequestId>) {
        if !requests.is_empty() {
            let action = LeaseAction::ConfirmLeases { gateway, requests };
            self.actions.push(action);
        }
    }
}
