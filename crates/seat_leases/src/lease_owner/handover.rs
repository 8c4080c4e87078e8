//! How the seats of a function move from one owner to the next.

use super::LeaseOwner;
use crate::action::LeaseAction;
use crate::function_seats::FunctionSeats;
use crate::lease_holder::LeaseHolder;
use crate::ownership_table::OwnershipTable;
use crate::relayed_requests::{GatewayLeaseRequest, RelayedRequests};
use crate::seat_ownership::{HandoverRefusal, SeatStatus};
use protocol::{FunctionHandover, GatewayLeases, Member, SeatHandover, UpdateVersion};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Most functions in one part of a hand-over.
const HANDOVER_FUNCTIONS_MAX: usize = 64;

impl LeaseOwner {
    /// A newer table is in force. Former owners of functions that fell to this gateway are asked for their seats, and gateways that
    /// asked under this version are answered.
    pub fn apply_table(&mut self, now: u64, table: Arc<OwnershipTable>) {
        let version = table.version();
        self.remove_departed_gateways(now, &table);
        self.rules.is_scaler_reachable = true;
        let is_newcomer = self.ownership.is_newcomer_under(&table);
        let former = self.owners_of_known();
        for gateway in self.ownership.apply_table(now, table) {
            self.request_handover(gateway, version);
        }
        self.invalidate_former_lists(now, &former, is_newcomer);
        for gateway in self.ownership.take_answerable() {
            self.send_handover(&gateway);
        }
        self.issue_all_leases(now);
    }

    /// The owner of each function known here, by the table in force.
    fn owners_of_known(&mut self) -> HashMap<String, Option<Member>> {
        let functions = self.functions.keys();
        let ownership = &mut self.ownership;
        functions
            .map(|function| (function.clone(), ownership.table_owner(function).cloned()))
            .collect()
    }

    /// Doubts the runners of functions whose owner is another one than before. What becomes of them is told to their owner alone, so that
    /// the list of any other gateway is old; it is neither leased by nor handed over. A gateway that has just lost a function to another
    /// one has the newest list, for that one; without agreed tables it hands nothing over.
    fn invalidate_former_lists(
        &mut self,
        now: u64,
        former: &HashMap<String, Option<Member>>,
        is_newcomer: bool,
    ) {
        let is_agreed = self.ownership.agreed_table().is_some();
        let mut regained = 0;
        for (function, seats) in &mut self.functions {
            let former = former.get(function).and_then(Option::as_ref);
            let current = self.ownership.table_owner(function).cloned();
            let is_lost_here =
                former.is_some_and(|owner| self.ownership.is_this_gateway(owner)) && is_agreed;
            let is_kept = former == current.as_ref() || is_lost_here;
            if is_kept && !is_newcomer {
                continue;
            }
            seats.invalidate_runner_list(now);
            if current.is_some_and(|owner| self.ownership.is_this_gateway(&owner)) {
                regained += 1;
                seats.report_state().mark_changed();
                seats.report_state().mark_urgent();
                self.unreported.insert(function.clone());
            }
        }
        if regained > 0 {
            log::info!("gateway: functions regained functions={regained}");
        }
    }

    pub(super) fn request_handover(&mut self, gateway: String, version: UpdateVersion) {
        let request = LeaseAction::RequestHandover { gateway, version };
        self.actions.push(request);
    }

    /// What this gateway is to a function's seats.
    pub fn seat_status(&mut self, function: &str) -> &SeatStatus {
        self.ownership.status(function)
    }

    /// Sets the silent members whose functions are leased here, because no controller scales that could remove them.
    pub fn set_failover_for(&mut self, now: u64, members: BTreeSet<String>) {
        if self.ownership.set_failover_for(members) {
            self.issue_all_leases(now);
        }
    }

    /// Another gateway asks for the seats that fell to it under a version of the table.
    pub fn handover_requested(&mut self, gateway: &str, version: UpdateVersion) {
        if self.ownership.handover_requested(gateway, version) {
            self.send_handover(gateway);
        }
    }

    /// Tells a gateway all that is known of the functions that the table gives to it.
    fn send_handover(&mut self, gateway: &str) {
        let Some(table) = self.ownership.agreed_table() else {
            return;
        };
        let version = table.version();
        let is_owned_by_recipient = |function: &str| {
            let owner = table.owner_of(function);
            owner.is_some_and(|owner| owner.name == gateway)
        };
        let functions = self.functions.iter();
        let functions = functions.filter(|(name, _)| is_owned_by_recipient(name));
        let mut rest: Vec<FunctionHandover> = functions
            .map(|(name, seats)| seats.handover(name))
            .collect();
        loop {
            let following = rest.split_off(rest.len().min(HANDOVER_FUNCTIONS_MAX));
            let is_last = following.is_empty();
            let handover = SeatHandover {
                version,
                functions: std::mem::replace(&mut rest, following),
                is_last,
            };
            self.actions.push(LeaseAction::HandOver {
                gateway: gateway.into(),
                handover,
            });
            if is_last {
                return;
            }
        }
    }

    /// A former owner has answered.
    ///
    /// # Errors
    /// Where the answer was given under another version of the table than the one in force, or by a gateway that is no member of it.
    /// Nothing is leased by it then, and nothing is lost: members are asked anew under each version.
    pub fn receive_handover(
        &mut self,
        now: u64,
        gateway: &str,
        handover: SeatHandover,
    ) -> Result<(), HandoverRefusal> {
        self.ownership.check_handover(gateway, handover.version)?;
        for function in handover.functions {
            self.adopt_function(now, function);
        }
        if handover.is_last && self.ownership.handover_completed(gateway) {
            self.issue_all_leases(now);
        }
        Ok(())
    }

    /// Takes over what the former owner knows of a function. Its leases count until their gateways have told what they use.
    fn adopt_function(&mut self, now: u64, handover: FunctionHandover) {
        let function = handover.function.clone();
        if matches!(self.ownership.status(&function), SeatStatus::OwnedBy(_)) {
            return;
        }
        let seats = self.functions.entry(function.clone());
        let seats = seats.or_insert_with(|| FunctionSeats::new(now));
        seats.touch(now);
        seats.adopt_runners(now, &handover, &self.rules);
        seats.report_state().mark_changed();
        self.unreported.insert(function.clone());
        self.schedule_probes(&function);
        for leases in handover.leases {
            self.adopt_gateway_leases(now, &function, leases);
        }
    }

    fn adopt_gateway_leases(&mut self, now: u64, function: &str, leases: GatewayLeases) {
        let GatewayLeases { gateway, runners } = leases;
        let mut requests = Vec::new();
        for runner in runners {
            for request_id in runner.requests {
                let holder = LeaseHolder::new(&gateway, request_id);
                // What its gateway itself has said since is newer.
                if self.function_by_holder.contains_key(&holder) {
                    continue;
                }
                let seats = self.functions.get_mut(function);
                let Some(runner) = seats.and_then(|seats| seats.runner(&runner.runner)) else {
                    continue;
                };
                runner.add_lease(holder.clone());
                self.unconfirmed.insert(now, holder.clone());
                self.function_by_holder.insert(holder, function.into());
                requests.push(request_id);
            }
        }
        self.request_confirmation(gateway, requests);
    }

    /// Takes the requests that wait here for seats of other owners that can be reached now.
    pub fn take_waiting_for_other_owners(
        &mut self,
        now: u64,
        is_reachable: impl Fn(&str) -> bool,
    ) -> Vec<(String, GatewayLeaseRequest)> {
        let mut taken = Vec::new();
        for (function, seats) in &mut self.functions {
            if !seats.has_waiting() {
                continue;
            }
            let SeatStatus::OwnedBy(owner) = self.ownership.status(function) else {
                continue;
            };
            if !is_reachable(owner) {
                continue;
            }
            let owner = owner.clone();
            // What was relayed goes no further, nor does what the owner itself asks for, which has another table.
            let is_taken = |holder: &LeaseHolder| {
                !RelayedRequests::is_relayed(holder.request_id) && holder.gateway != owner
            };
            for request in seats.take_waiting(now, function, is_taken) {
                let holder = LeaseHolder::new(&request.gateway, request.request.request_id);
                self.function_by_holder.remove(&holder);
                taken.push((owner.clone(), request));
            }
        }
        taken
    }

    /// Members that have not handed over in time are no longer waited for.
    pub(super) fn expire_handovers(&mut self, now: u64) {
        if !self.ownership.is_awaiting() {
            return;
        }
        let late = self.ownership.expire(now);
        if late.is_empty() {
            return;
        }
        log::warn!("gateway: hand-over timed out gateways={late:?}");
        self.issue_all_leases(now);
    }

    /// Leases what may be leased by now.
    pub(super) fn issue_all_leases(&mut self, now: u64) {
        for function in self.functions_with_waiting() {
            self.issue_leases(now, &function);
        }
    }
}
