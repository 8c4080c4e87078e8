//! The scaler of the simulated fleet: linked gateways, the ownership tables derived from them, and the functions' runners.

use super::network::Event;
use super::{function_name, gateway_name, index_of, runner_id, Fleet, REGIONS};
use protocol::{FunctionUpdate, Member, RunnerStage, RunnerUpdate, UpdateVersion};
use rand::Rng;
use seat_leases::OwnershipTable;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Milliseconds within which a suspected gateway must answer the scaler's ping.
const PING_TIMEOUT_MS: u64 = 200;
/// Number of a function's first runner update.
const FIRST_UPDATE: u64 = 1;

pub struct Scaler {
    term: u64,
    number: u64,
    /// Whether it is running and publishes tables.
    pub is_up: bool,
    /// Incarnations of the linked gateways.
    linked: BTreeMap<usize, u64>,
    leaving: BTreeSet<usize>,
    published: Vec<Member>,
    /// Delivery time of the last message to each gateway.
    delivered_at: BTreeMap<usize, u64>,
    is_agreed: bool,
    table: Option<Arc<OwnershipTable>>,
    /// Number of the newest update of each function whose runners have changed.
    updates: BTreeMap<usize, u64>,
}

impl Scaler {
    pub fn new(gateways: usize, is_agreed: bool) -> Self {
        Self {
            term: 1,
            number: 0,
            is_up: true,
            linked: (0..gateways).map(|index| (index, 1)).collect(),
            leaving: BTreeSet::new(),
            published: Vec::new(),
            delivered_at: BTreeMap::new(),
            is_agreed,
            table: None,
            updates: BTreeMap::new(),
        }
    }

    pub fn version(&self) -> UpdateVersion {
        UpdateVersion {
            term: self.term,
            number: self.number,
        }
    }

    fn members(&self) -> Vec<Member> {
        let linked = self.linked.iter();
        linked
            .map(|(index, incarnation)| Member {
                name: gateway_name(*index),
                incarnation: *incarnation,
                address: String::new(),
                zone: format!("zone-{}", index % REGIONS),
            })
            .collect()
    }
}

impl Fleet {
    /// Publishes a table of the linked gateways.
    pub fn publish(&mut self) {
        if !self.scaler.is_up {
            return;
        }
        let members = self.scaler.members();
        let is_first = self.scaler.number == 0;
        self.scaler.number += 1;
        let newest = self
            .gateways
            .iter()
            .filter_map(|one| Some(one.table.as_ref()?.version()))
            .max();
        let joined = members.iter().filter(|member| {
            let table = self.gateways[index_of(&member.name)].table.as_ref();
            let is_behind = is_first && table.map(|table| table.version()) < newest;
            is_behind || !self.scaler.published.contains(member)
        });
        let joined: Vec<String> = joined.map(|member| member.name.clone()).collect();
        let leaving = self.scaler.leaving.iter();
        let message = protocol::OwnershipTable {
            version: self.scaler.version(),
            members: members.clone(),
            joined: joined.clone(),
            leaving: leaving.map(|index| gateway_name(*index)).collect(),
            is_first: true,
        };
        self.scaler.published = members;
        self.send_table(&message, &joined, is_first);
    }

    /// Sends a table to all linked gateways. Each receives tables in the order of publication.
    fn send_table(
        &mut self,
        message: &protocol::OwnershipTable,
        joined: &[String],
        is_first: bool,
    ) {
        let linked: Vec<(usize, u64)> = self
            .scaler
            .linked
            .iter()
            .map(|(index, incarnation)| (*index, *incarnation))
            .collect();
        for (index, incarnation) in linked {
            let is_newcomer = !is_first && joined.contains(&gateway_name(index));
            let table = match self.scaler.is_agreed {
                true => OwnershipTable::agreed(protocol::OwnershipTable {
                    is_first: !is_newcomer,
                    ..message.clone()
                }),
                false => OwnershipTable::not_agreed(message.version, message.members.clone()),
            };
            let at = self.next_delivery_at(index);
            let table = Arc::new(table);
            self.scaler.table = Some(Arc::clone(&table));
            let event = Event::Table {
                to: index,
                incarnation,
                table,
            };
            self.network.schedule(at, event);
        }
    }

    /// Delivery time of a message sent to a gateway now. Messages on a link arrive in order.
    fn next_delivery_at(&mut self, index: usize) -> u64 {
        let last = self.scaler.delivered_at.get(&index).copied().unwrap_or(0);
        let at = last.max(self.now + self.random.random_range(1..60));
        self.scaler.delivered_at.insert(index, at);
        at
    }

    /// Starts draining a runner, or makes it serve again, and updates the function's owner.
    pub fn set_runner_draining(&mut self, function: usize, number: usize, is_draining: bool) {
        let now = self.now;
        let runner = self.runners.get_mut(&runner_id(function, number));
        runner.expect("it is there").draining_since = is_draining.then_some(now);
        *self.scaler.updates.entry(function).or_insert(FIRST_UPDATE) += 1;
        let table = self.scaler.table.as_ref();
        let owner = table.and_then(|table| table.owner_of(&function_name(function)));
        if let Some(owner) = owner.map(|owner| index_of(&owner.name)) {
            self.send_update(owner, function);
        }
    }

    fn send_update(&mut self, index: usize, function: usize) {
        let Some(&incarnation) = self.scaler.linked.get(&index) else {
            return;
        };
        let update = self.function_update(function);
        let at = self.next_delivery_at(index);
        let event = Event::Update {
            to: index,
            incarnation,
            update,
        };
        self.network.schedule(at, event);
    }

    fn function_update(&self, function: usize) -> FunctionUpdate {
        let ids = (0..3).map(|number| runner_id(function, number));
        let known = ids.filter_map(|id| Some((self.runners.get(&id)?, id)));
        let runners = known.map(|(runner, id)| RunnerUpdate {
            address: format!("{id}:1"),
            zone: format!("zone-{}", function % REGIONS),
            id,
            quota: runner.quota,
            stage: match runner.draining_since {
                None => RunnerStage::Serving,
                Some(_) => RunnerStage::Draining,
            },
            starts_in_ms: 0,
        });
        FunctionUpdate {
            function: function_name(function),
            version: UpdateVersion {
                term: 1,
                number: self.update_number(function),
            },
            runners: runners.collect(),
            start_block: None,
        }
    }

    fn update_number(&self, function: usize) -> u64 {
        let number = self.scaler.updates.get(&function);
        number.copied().unwrap_or(FIRST_UPDATE)
    }

    /// Reports a gateway's functions to the scaler, which sends the runners of each function whose list at the gateway is
    /// older.
    pub fn report_to_scaler(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        if !gateway.answers_scaler() {
            return;
        }
        for report in gateway.owner.reports(self.now, false) {
            let function = report.function.trim_start_matches('f').parse();
            let function = function.expect("a function's number");
            if report.update_number != self.update_number(function) {
                self.send_update(index, function);
            }
        }
    }

    /// Starts a new scaler term with the gateways that are linked.
    pub fn begin_term(&mut self) {
        self.scaler.term += 1;
        self.scaler.number = 0;
        self.publish();
    }

    /// Records that a gateway's link with the scaler was opened or closed.
    pub fn set_linked(&mut self, gateway: usize, is_linked: bool) {
        let incarnation = self.gateways[gateway].incarnation;
        if !is_linked && self.gateways[gateway].answers_scaler() {
            return;
        }
        let has_changed = match is_linked {
            true => self.scaler.linked.insert(gateway, incarnation) != Some(incarnation),
            false => self.scaler.linked.remove(&gateway).is_some(),
        };
        self.scaler.leaving.remove(&gateway);
        if has_changed {
            self.publish();
        }
    }

    /// Records that a gateway is about to stop.
    pub fn announce_leaving(&mut self, gateway: usize) {
        if self.scaler.leaving.insert(gateway) {
            self.publish();
        }
    }

    /// Handles a report that a gateway is unresponsive. It is removed if it does not answer the scaler either.
    pub fn check_suspicion(&mut self, gateway: usize) {
        let is_linked = self.scaler.linked.contains_key(&gateway);
        if is_linked && !self.gateways[gateway].answers_scaler() {
            let at = self.now + PING_TIMEOUT_MS;
            let event = Event::ScalerLink {
                gateway,
                is_linked: false,
            };
            self.network.schedule(at, event);
        }
    }

    /// Whether a gateway is in the published table.
    pub fn is_published(&self, gateway: usize) -> bool {
        self.scaler.linked.contains_key(&gateway)
    }
}
