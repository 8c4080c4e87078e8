//! Moves the seats of functions from one owner to the next.

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

/// Maximum number of functions in one handover message.
const HANDOVER_FUNCTIONS_MAX: usize = 64;

impl LeaseOwner {
    /// Applies a newer ownership table. Requests handovers from the former owners of functions that moved to this gateway,
    /// and answers gateways that requested handovers under this version.
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

    /// The owner of each known function under the current table.
    fn owners_of_known(&mut self) -> HashMap<String, Option<Member>> {
        let functions = self.functions.keys();
        let ownership = &mut self.ownership;
        functions
            .map(|function| (function.clone(), ownership.table_owner(function).cloned()))
            .collect()
    }

    /// Invalidates the runner lists of functions whose owner changed. Changes of a list are sent to the function's owner
    /// only, so lists at other gateways are outdated and must be neither used nor handed over. A gateway that has just lost
    /// a function to another one has the newest list and keeps it for the handover. Without agreed tables there is no
    /// handover.
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

    /// Whether this gateway may lease a function's seats, and otherwise which gateway owns them.
    pub fn seat_status(&mut self, function: &str) -> &SeatStatus {
        self.ownership.status(function)
    }

    /// Sets the unresponsive members whose functions are leased here while there is no scaler that could remove them from
    /// the table.
    pub fn set_failover_for(&mut self, now: u64, members: BTreeSet<String>) {
        if self.ownership.set_failover_for(members) {
            self.issue_all_leases(now);
        }
    }

    /// Handles a gateway's request for the seats that moved to it under a version of the table.
    pub fn handover_requested(&mut self, gateway: &str, version: UpdateVersion) {
        if self.ownership.handover_requested(gateway, version) {
            self.send_handover(gateway);
        }
    }

    /// Sends a gateway the state of all functions that the table assigns to it.
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

    /// Handles a handover from a former owner.
    ///
    /// # Errors
    /// If the handover was sent under a version other than that of the current table, or by a gateway that is not a member
    /// of it. It is then ignored. Nothing is lost, because members are asked again under each version.
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

    /// Adopts a function's state from its former owner. The leases stay in use until their gateways confirm or end them.
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
                // What the gateway itself has reported since is newer.
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

    /// Takes the requests that wait here for seats of other owners which are reachable now.
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
            // Relayed requests are not forwarded again. Neither are the owner's own requests, since it uses another table.
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

    /// Stops waiting for handovers that did not arrive in time.
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

    /// Issues all leases that are possible now.
    pub(super) fn issue_all_leases(&mut self, now: u64) {
        for function in self.functions_with_waiting() {
            self.issue_leases(now, &function);
        }
    }
}
