//! The scaler of the simulated fleet: who is linked, the table that follows, and the runners of functions.

use super::network::Event;
use super::{function_name, gateway_name, index_of, runner_id, Fleet, REGIONS};
use protocol::{FunctionUpdate, Member, RunnerStage, RunnerUpdate, UpdateVersion};
use rand::Rng;
use seat_leases::OwnershipTable;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Milliseconds within which a suspected gateway answers a ping of the scaler.
const PING_TIMEOUT_MS: u64 = 200;
/// Number of the update that tells a function's runners first.
const FIRST_UPDATE: u64 = 1;

pub struct Scaler {
    term: u64,
    number: u64,
    /// Whether it publishes anything.
    pub is_up: bool,
    /// Incarnations of the linked gateways.
    linked: BTreeMap<usize, u64>,
    leaving: BTreeSet<usize>,
    published: Vec<Member>,
    /// When each gateway is told the last message.
    told_at: BTreeMap<usize, u64>,
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
            told_at: BTreeMap::new(),
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
    /// Publishes the gateways that are linked now.
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
        self.tell(&message, &joined, is_first);
    }

    /// Tells all linked gateways a table, each in the order of publication.
    fn tell(&mut self, message: &protocol::OwnershipTable, joined: &[String], is_first: bool) {
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
            let at = self.told_in_order(index);
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

    /// When a gateway is told what the scaler sends now: messages on its link keep their order.
    fn told_in_order(&mut self, index: usize) -> u64 {
        let last = self.scaler.told_at.get(&index).copied().unwrap_or(0);
        let at = last.max(self.now + self.random.random_range(1..60));
        self.scaler.told_at.insert(index, at);
        at
    }

    /// The scaler learns that a runner leaves, or that it is back, and tells the function's owner.
    pub fn runner_changes(&mut self, function: usize, place: usize, leaves: bool) {
        let now = self.now;
        let runner = self.runners.get_mut(&runner_id(function, place));
        runner.expect("it is there").left_at = leaves.then_some(now);
        *self.scaler.updates.entry(function).or_insert(FIRST_UPDATE) += 1;
        let table = self.scaler.table.as_ref();
        let owner = table.and_then(|table| table.owner_of(&function_name(function)));
        if let Some(owner) = owner.map(|owner| index_of(&owner.name)) {
            self.tell_update(owner, function);
        }
    }

    fn tell_update(&mut self, index: usize, function: usize) {
        let Some(&incarnation) = self.scaler.linked.get(&index) else {
            return;
        };
        let update = self.function_update(function);
        let at = self.told_in_order(index);
        let event = Event::Update {
            to: index,
            incarnation,
            update,
        };
        self.network.schedule(at, event);
    }

    fn function_update(&self, function: usize) -> FunctionUpdate {
        let ids = (0..3).map(|place| runner_id(function, place));
        let known = ids.filter_map(|id| Some((self.runners.get(&id)?, id)));
        let runners = known.map(|(runner, id)| RunnerUpdate {
            address: format!("{id}:1"),
            zone: format!("zone-{}", function % REGIONS),
            id,
            quota: runner.quota,
            stage: match runner.left_at {
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

    /// A gateway reports its functions; it is told the runners of those of which it has an older list.
    pub fn report_to_scaler(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        if !gateway.answers_scaler() {
            return;
        }
        for report in gateway.owner.reports(self.now, false) {
            let function = report.function.trim_start_matches('f').parse();
            let function = function.expect("a function's number");
            if report.update_number != self.update_number(function) {
                self.tell_update(index, function);
            }
        }
    }

    /// Another scaler begins, which knows the gateways that are linked.
    pub fn begin_term(&mut self) {
        self.scaler.term += 1;
        self.scaler.number = 0;
        self.publish();
    }

    /// The scaler learns that a gateway has a link or has none any more.
    pub fn scaler_notices(&mut self, gateway: usize, is_linked: bool) {
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

    /// A gateway is about to stop.
    pub fn scaler_hears_of_leaving(&mut self, gateway: usize) {
        if self.scaler.leaving.insert(gateway) {
            self.publish();
        }
    }

    /// Others take a gateway for silent; it is gone where it does not answer the scaler either.
    pub fn scaler_suspects(&mut self, gateway: usize) {
        let is_linked = self.scaler.linked.contains_key(&gateway);
        if is_linked && !self.gateways[gateway].answers_scaler() {
            let at = self.now + PING_TIMEOUT_MS;
            let event = Event::Notice {
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
