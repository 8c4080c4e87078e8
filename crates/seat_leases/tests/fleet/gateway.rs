//! A simulated gateway. It sends its clients' requests and runs the owner's state machine as the real gateway does.

use super::network::Event;
use super::{function_name, gateway_name, index_of, Fleet, REGIONS};
use super::{TICK_MS, TIMEOUT_MS, WORK_MS};
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{FunctionUpdate, LeaseRequest, Message, RequestId, RunnerLeases, SeatLease};
use seat_leases::{
    CancelledRequests, GatewayLeaseRequest, LeaseOwner, OwnershipTable, RelayedRequests, SeatStatus,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Milliseconds without a response after which an unreachable owner is suspected. `SUSPECT_MS` is how long it is then
/// bypassed.
const SUSPECT_AFTER_MS: u64 = 450;
const SUSPECT_MS: u64 = 1_500;
const BACKOFF_MS: u64 = 30;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    /// The process is paused and handles events only after it resumes.
    Paused,
    Down,
}

enum Phase {
    Waiting {
        owner: String,
        since: u64,
    },
    AtRunner {
        owners: Vec<String>,
        lease: SeatLease,
    },
    Backoff {
        until: u64,
    },
}

struct Request {
    function: usize,
    phase: Phase,
    arrived_at: u64,
}

pub struct Gateway {
    pub name: String,
    pub incarnation: u64,
    pub health: Health,
    /// Whether it is partitioned from all other daemons.
    pub is_cut_off: bool,
    /// Whether a controller has the scaler role.
    pub has_scaler: bool,
    pub is_leaving: bool,
    pub owner: LeaseOwner,
    relayed: RelayedRequests,
    cancelled: CancelledRequests,
    pub table: Option<Arc<OwnershipTable>>,
    requests: BTreeMap<u64, Request>,
    count: u64,
    suspects: BTreeMap<String, u64>,
    known_owners: BTreeMap<usize, String>,
    /// Events received while they cannot be handled.
    pub deferred: Vec<Event>,
}

impl Gateway {
    pub fn new(index: usize) -> Self {
        let name = gateway_name(index);
        let regions = (0..REGIONS).map(|region| (format!("zone-{region}"), format!("r{region}")));
        let topology = Topology::new(regions.collect());
        Self {
            owner: LeaseOwner::new(&name, LeasingPolicy::default(), topology),
            name,
            incarnation: 1,
            health: Health::Up,
            is_cut_off: false,
            has_scaler: true,
            is_leaving: false,
            relayed: RelayedRequests::default(),
            cancelled: CancelledRequests::default(),
            table: None,
            requests: BTreeMap::new(),
            count: 0,
            suspects: BTreeMap::new(),
            known_owners: BTreeMap::new(),
            deferred: Vec::new(),
        }
    }

    pub fn serves_clients(&self) -> bool {
        self.health == Health::Up && self.table.is_some() && !self.is_leaving
    }

    pub fn answers_scaler(&self) -> bool {
        self.health == Health::Up && self.reaches_scaler()
    }

    /// Whether it and the scaler can reach each other.
    pub fn reaches_scaler(&self) -> bool {
        !self.is_cut_off && self.has_scaler
    }

    fn is_suspect(&self, name: &str, now: u64) -> bool {
        self.suspects.get(name).is_some_and(|until| now < *until)
    }

    /// The gateway from which to request a function's seats.
    fn owner_of(&self, function: usize, now: u64) -> Option<String> {
        let table = self.table.as_ref()?;
        let function = function_name(function);
        let owner = table.owner_of(&function)?;
        if !self.is_suspect(&owner.name, now) {
            return Some(owner.name.clone());
        }
        let is_reachable = |member: &protocol::Member| !self.is_suspect(&member.name, now);
        let relay = match self.reaches_scaler() {
            true => table.owner_among(&function, |one| is_reachable(one) && one.name != self.name),
            false => None,
        };
        let next = relay.or_else(|| table.owner_among(&function, is_reachable));
        next.map(|member| member.name.clone())
    }

    /// Returns which of these requests hold no lease. The leases of the others will be released at this owner too.
    fn confirm(&mut self, owner: &str, requests: &[RequestId]) -> Vec<RequestId> {
        let mut ended = Vec::new();
        for id in requests {
            let request = self.requests.get_mut(&id.0);
            match request.map(|one| &mut one.phase) {
                Some(Phase::AtRunner { owners, .. }) => {
                    if !owners.iter().any(|one| one == owner) {
                        owners.push(owner.into());
                    }
                }
                Some(Phase::Waiting { owner: asked, .. }) if asked != owner => {}
                None if self.relayed.report_lease(owner, *id) => {}
                _ => ended.push(*id),
            }
        }
        ended
    }

    /// Seats of a function in use here, reported to an owner.
    fn leases_in_use(&mut self, owner: &str, function: usize) -> Vec<RunnerLeases> {
        let mut runners = self.relayed.report_leases(owner, &function_name(function));
        for (id, request) in &self.requests {
            let Phase::AtRunner { lease, .. } = &request.phase else {
                continue;
            };
            if request.function == function {
                runners.push(RunnerLeases {
                    runner: lease.runner.clone(),
                    address: lease.address.clone(),
                    zone: lease.zone.clone(),
                    requests: vec![RequestId(*id)],
                });
            }
        }
        runners
    }
}

impl Fleet {
    pub fn admit(&mut self, index: usize, function: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        gateway.count += 1;
        let id = gateway.count;
        let request = Request {
            function,
            phase: Phase::Backoff { until: now },
            arrived_at: now,
        };
        gateway.requests.insert(id, request);
        self.request_lease(index, id);
    }

    fn request_lease(&mut self, index: usize, id: u64) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let Some(request) = gateway.requests.get(&id) else {
            return;
        };
        let (function, arrived_at) = (request.function, request.arrived_at);
        let owner = gateway.owner_of(function, now);
        let request = gateway.requests.get_mut(&id).unwrap();
        let Some(owner) = owner else {
            request.phase = Phase::Backoff {
                until: now + BACKOFF_MS,
            };
            return;
        };
        request.phase = Phase::Waiting {
            owner: owner.clone(),
            since: now,
        };
        let lease_request = LeaseRequest {
            request_id: RequestId(id),
            function: function_name(function),
            priority: (id % 3) as u8,
            timeout_ms: (arrived_at + TIMEOUT_MS).saturating_sub(now) as u32,
            ..LeaseRequest::default()
        };
        self.report_to_new_owner(index, function, &owner);
        let name = gateway_name(index);
        if owner == name {
            self.place_request(index, &name, lease_request);
        } else {
            let message = Message::lease_request(lease_request, true);
            self.send(index, index_of(&owner), message);
        }
    }

    fn report_to_new_owner(&mut self, index: usize, function: usize, owner: &str) {
        let gateway = &mut self.gateways[index];
        let known = gateway.known_owners.insert(function, owner.into());
        if known.is_some_and(|known| known != owner) {
            self.report_leases(index, function, owner);
        }
    }

    fn report_leases(&mut self, index: usize, function: usize, owner: &str) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let runners = gateway.leases_in_use(owner, function);
        if runners.is_empty() {
            return;
        }
        for request in gateway.requests.values_mut() {
            if let Phase::AtRunner { owners, .. } = &mut request.phase {
                if request.function == function && !owners.iter().any(|one| one == owner) {
                    owners.push(owner.into());
                }
            }
        }
        let function = function_name(function);
        if owner == gateway.name {
            gateway.owner.adopt_leases(now, owner, &function, &runners);
            self.run_actions(index);
            return;
        }
        let message = Message::LeasesInUse { function, runners };
        self.send(index, index_of(owner), message);
    }

    /// Handles a lease request at this gateway, or relays it to the function's owner.
    fn place_request(&mut self, index: usize, from: &str, request: LeaseRequest) {
        let now = self.now;
        let zone = format!("zone-{}", index_of(from) % REGIONS);
        let gateway = &mut self.gateways[index];
        let owner = match gateway.owner.seat_status(&request.function) {
            SeatStatus::OwnedBy(owner) if owner != from => Some(owner.clone()),
            _ => None,
        };
        let owner = owner.filter(|owner| !gateway.is_suspect(owner, now));
        match owner {
            Some(owner) => {
                let original = GatewayLeaseRequest {
                    gateway: from.into(),
                    zone,
                    request,
                };
                self.relay(index, &owner, original);
            }
            None => {
                let owner = &mut self.gateways[index].owner;
                owner.request_lease(now, from, &zone, request);
                self.run_actions(index);
            }
        }
    }

    fn relay(&mut self, index: usize, owner: &str, original: GatewayLeaseRequest) {
        self.outcomes.relayed += 1;
        let now = self.now;
        let message = self.gateways[index].relayed.relay(now, owner, original);
        let message = Message::RelayedLeaseRequest(message);
        self.send(index, index_of(owner), message);
    }

    pub fn update_received(&mut self, index: usize, incarnation: u64, update: FunctionUpdate) {
        let gateway = &mut self.gateways[index];
        if gateway.incarnation != incarnation || gateway.health == Health::Down {
            return;
        }
        if !gateway.answers_scaler() {
            gateway.deferred.push(Event::Update {
                to: index,
                incarnation,
                update,
            });
            return;
        }
        gateway.owner.update_runners(self.now, update);
        self.run_actions(index);
    }
}

mod changes;
mod messages;
mod requests;
