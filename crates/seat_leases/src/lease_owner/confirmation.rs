//! Leases whose gateways may have ended them unheard: those that were handed over, and those of gateways whose link has ended.

use super::LeaseOwner;
use crate::action::LeaseAction;
use crate::function_seats::FunctionSeats;
use crate::lease_holder::LeaseHolder;
use crate::ownership_table::OwnershipTable;
use protocol::{RequestId, RunnerLeases};
use std::collections::BTreeSet;

impl LeaseOwner {
    /// The link with a gateway has ended. What it waits for is requested anew. Its seats are in use for as long as the table names it:
    /// it says over the next link which of them it has given back.
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

    /// What was asked of a former owner, or its answer, may have been lost with the link.
    fn request_handover_again(&mut self, gateway: &str) {
        let table = self.ownership.table();
        let Some(version) = table.map(|table| table.version()) else {
            return;
        };
        if self.ownership.awaited().contains(gateway) {
            self.request_handover(gateway.into(), version);
        }
    }

    /// A gateway reports to the function's new owner all seats that it uses. Of those that were known before the others are free; under an
    /// agreed table the gateway is asked about them first, since a lease may be on its way to it.
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

    /// Gateways that a new table names no more, or in another incarnation, hold nothing.
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

    /// A gateway says which of the leases that it was asked about it does not hold. What it has said of the same requests since counts.
    pub fn leases_ended(&mut self, now: u64, gateway: &str, requests: &[RequestId]) {
        for request_id in requests {
            let holder = LeaseHolder::new(gateway, *request_id);
            if self.unconfirmed.contains(&holder) {
                self.cancel(now, gateway, *request_id);
            }
        }
    }

    /// Asks about leases again, and ends those of which nothing was heard for long.
    pub(super) fn poll_unconfirmed(&mut self, now: u64) {
        for holder in self.unconfirmed.take_expired(now) {
            self.cancel(now, &holder.gateway, holder.request_id);
        }
        for (gateway, requests) in self.unconfirmed.take_due(now) {
            self.request_confirmation(gateway, requests);
        }
    }

    /// Asks a gateway whether its requests hold the leases that are counted for them.
    pub(super) fn request_confirmation(&mut self, gateway: String, requests: Vec<RequestId>) {
        if !requests.is_empty() {
            let action = LeaseAction::ConfirmLeases { gateway, requests };
            self.actions.push(action);
        }
    }
}
