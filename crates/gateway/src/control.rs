use crate::gateway::Gateway;
use protocol::{unpack, Member, Message};
use routing::{Limits, RoutingConfiguration, RoutingTable};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Largest document, in bytes.
const DOCUMENT_MAX: u64 = 64 << 20;
/// Most idle lines to one runner.
const IDLE_EACH_MAX: usize = 8;

/// What the control plane told, newest first by mark.
#[derive(Default)]
pub(crate) struct Control {
    description: u64,
    table: Option<Arc<RoutingTable>>,
    /// Changes could not be applied, so the whole description is asked for.
    pub wants_whole: bool,
    closures: u64,
    closed: BTreeSet<String>,
    roster: (u64, u64),
    members: Vec<Member>,
}

impl Control {
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.clone()
    }

    pub fn limits(&self) -> Limits {
        let table = self.table.as_ref();
        table.map_or_else(Limits::default, |table| {
            table.configuration().limits.clone()
        })
    }

    pub fn marks(&self) -> (u64, u64) {
        (self.description, self.closures)
    }

    pub fn roster(&self) -> (u64, u64) {
        self.roster
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub fn is_closed(&self, district: &str) -> bool {
        self.closed.contains(district)
    }

    /// Whether there is enough to serve with.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && !self.members.is_empty()
    }

    /// Idle lines that are kept to one runner: this daemon's share of what the runner takes.
    pub fn idle_lines(&self, function: &str) -> usize {
        let table = self.table.as_ref();
        let known = table.and_then(|table| {
            let index = table.function_index(function)?;
            table.configuration().functions.get(index)
        });
        let most = known.map_or(1, |known| known.connections as usize);
        (most * 3 / 4 / self.members.len().max(1)).clamp(1, IDLE_EACH_MAX)
    }

    /// Version of the operator's description in force.
    pub fn version(&self) -> u64 {
        let table = self.table.as_ref();
        table.map_or(0, |table| table.configuration().version)
    }
}

impl Gateway {
    /// A settled description; an older one than the one in force is dropped.
    pub fn take_description(&mut self, mark: u64, packed: &[u8]) {
        self.links.asked_until = 0;
        if mark <= self.control.description {
            return;
        }
        let Some(document) = unpack(packed, DOCUMENT_MAX) else {
            log::error!("gateway: description {mark} cannot be unpacked");
            return;
        };
        match self.options.documents.parse(&document) {
            Ok(description) => self.put_in_force(mark, description),
            Err(fault) => log::error!("gateway: description {mark} is refused: {fault}"),
        }
    }

    /// Settled changes of the description in force. Where they cannot be applied the whole one is asked for.
    pub fn take_changes(&mut self, from: u64, changes: &[Vec<u8>]) {
        self.links.asked_until = 0;
        let Some(table) = self
            .control
            .table()
            .filter(|_| from == self.control.description)
        else {
            return;
        };
        let mut description = table.configuration().as_ref().clone();
        for packed in changes {
            let change = unpack(packed, DOCUMENT_MAX);
            let next = change.and_then(|change| {
                let amended = self.options.documents.apply_change(&description, &change);
                amended.ok()
            });
            let Some(next) = next else {
                log::error!("gateway: a change after description {from} cannot be applied");
                self.control.wants_whole = true;
                return;
            };
            description = next;
        }
        self.put_in_force(from + changes.len() as u64, description);
    }

    fn put_in_force(&mut self, mark: u64, description: RoutingConfiguration) {
        log::info!("gateway: description {} in force", description.version);
        let table = RoutingTable::new(Arc::new(description));
        self.control.table = Some(Arc::new(table));
        self.control.description = mark;
        self.control.wants_whole = false;
    }

    /// Settled closed districts.
    pub fn take_closures(&mut self, mark: u64, districts: Vec<String>) {
        if mark <= self.control.closures {
            return;
        }
        log::info!("gateway: closed districts {districts:?}");
        self.control.closures = mark;
        self.control.closed = districts.into_iter().collect();
        self.keeper.set_evacuated_zones(self.control.closed.clone());
    }

    /// The gateways that keep functions; requests that wait at a keeper which is none any more bid anew.
    pub fn take_roster(&mut self, mark: (u64, u64), members: Vec<Member>) {
        if mark <= self.control.roster || members.is_empty() {
            return;
        }
        log::info!("gateway: roster {mark:?} of {} members", members.len());
        self.control.roster = mark;
        self.control.members = members;
        self.links.forgive();
        self.move_waiting();
        for function in self.functions_at_runners() {
            let keeper = self.keeper_of(&function);
            if let Some(keeper) = keeper.filter(|keeper| *keeper != self.options.name) {
                self.introduce(&keeper, &function);
            }
        }
    }

    /// Moves requests that await word from another daemon than the one that keeps their function now.
    pub fn move_waiting(&mut self) {
        for number in self.tickets.numbers(|ticket| ticket.awaits().is_some()) {
            let Some(ticket) = self.tickets.get(number) else {
                continue;
            };
            let Some((lender, _)) = ticket.awaits() else {
                continue;
            };
            let (lender, function) = (lender.clone(), ticket.function.clone());
            let is_gated = ticket.is_gated();
            if self.keeper_of(&function).as_deref() == Some(&lender) {
                continue;
            }
            if is_gated {
                self.leave_runner(number);
                self.void_bid(&lender, number);
            } else {
                self.withdraw(number);
            }
            self.place_bid(number);
        }
    }

    /// Tells the scaler what changed at the functions kept here.
    pub fn report(&mut self) {
        let Some((controller, is_new)) = self.links.scaler(self.now) else {
            return;
        };
        let reports = self.keeper.reports(self.now, is_new);
        if !reports.is_empty() || is_new {
            self.tell_controller(&controller, &Message::FunctionReports(reports));
        }
        let (name, members) = (&self.options.name, self.control.members());
        if self.links.is_due_to_forget(self.now) && !members.is_empty() {
            self.keeper.evict_unowned(self.now, |function| {
                let elected = seat_leases::select_owner(function, members, |_| true);
                elected.is_some_and(|member| member.name == *name)
            });
        }
    }
}
