//! Requests waiting for a seat of one function, ordered by priority, then by the round of their tenant, then by arrival.
//!
//! Within a priority, tenants are served by fair queueing, one seat each per round. A tenant's requests take consecutive
//! rounds, and the first request of a tenant that was not waiting takes the current round. So a tenant that sends many
//! times more requests than others waits behind its own requests and does not delay the others. No state is kept of tenants
//! without waiting requests, except for those served in the current round.

use crate::lease_holder::LeaseHolder;
use protocol::{LeaseRequest, RequestTenant};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Priority of the tenant, then priority of the request. 0 is the highest priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestClass {
    tenant_priority: u8,
    priority: u8,
}

/// A request's position in the queue. The lowest position is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    class: RequestClass,
    /// Round in which the request is served.
    round: u64,
    /// Arrival number within the function.
    arrival: u64,
}

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub holder: LeaseHolder,
    /// Zone of the gateway.
    pub zone: String,
    /// 0 is the highest priority.
    pub priority: u8,
    /// The tenant that sent it, if any.
    pub tenant: Option<RequestTenant>,
    /// Runners that have failed the request.
    pub excluded_runners: Vec<String>,
    /// Regions that the request may run in; empty if all are allowed.
    pub allowed_regions: Vec<String>,
    /// Time in milliseconds of the clock after which a seat is of no use.
    pub deadline: u64,
}

/// Fair-queueing rounds of one class. Requests without a tenant share one entry under an empty name.
#[derive(Clone, Debug, Default)]
struct TenantRounds {
    /// The current round.
    current: u64,
    /// Tenants already served in the current round.
    served: HashSet<String>,
    /// Rounds of the waiting requests, by tenant.
    waiting: HashMap<String, BTreeSet<u64>>,
}

/// The queue of one function.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    waiting: BTreeMap<QueuePosition, WaitingRequest>,
    /// Rounds of the classes with waiting requests.
    rounds: BTreeMap<RequestClass, TenantRounds>,
    arrivals: u64,
}

impl RequestClass {
    fn new(priority: u8, tenant: Option<&RequestTenant>) -> Self {
        Self {
            tenant_priority: tenant.map_or(0, |tenant| tenant.priority),
            priority,
        }
    }
}

impl WaitingRequest {
    /// Creates a waiting request that arrived at `now`.
    pub fn new(now: u64, holder: LeaseHolder, zone: &str, request: LeaseRequest) -> Self {
        Self {
            holder,
            zone: zone.into(),
            priority: request.priority,
            tenant: request.tenant,
            excluded_runners: request.excluded_runners,
            allowed_regions: request.allowed_regions,
            deadline: now + u64::from(request.timeout_ms),
        }
    }
}

impl TenantRounds {
    /// The round of a tenant's next request.
    fn next_round(&self, tenant: &str) -> u64 {
        let waiting = self.waiting.get(tenant);
        if let Some(last) = waiting.and_then(BTreeSet::last) {
            return self.current.max(last + 1);
        }
        self.current + u64::from(self.served.contains(tenant))
    }

    fn add(&mut self, tenant: &str, round: u64) {
        let waiting = self.waiting.entry(tenant.to_string());
        waiting.or_default().insert(round);
    }

    fn remove(&mut self, tenant: &str, round: u64) {
        let Some(waiting) = self.waiting.get_mut(tenant) else {
            return;
        };
        waiting.remove(&round);
        if waiting.is_empty() {
            self.waiting.remove(tenant);
        }
    }

    fn record_served(&mut self, tenant: &str, round: u64) {
        if round > self.current {
            self.current = round;
            self.served.clear();
        }
        self.served.insert(tenant.to_string());
    }
}

fn tenant_name(tenant: Option<&RequestTenant>) -> &str {
    tenant.map_or("", |tenant| &tenant.name)
}

impl WaitQueue {
    pub fn push(&mut self, request: WaitingRequest) {
        self.arrivals += 1;
        let tenant = request.tenant.as_ref();
        let class = RequestClass::new(request.priority, tenant);
        let rounds = self.rounds.entry(class).or_default();
        let tenant = tenant_name(tenant);
        let round = rounds.next_round(tenant);
        rounds.add(tenant, round);
        let position = QueuePosition {
            class,
            round,
            arrival: self.arrivals,
        };
        self.waiting.insert(position, request);
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Waiting requests in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = (QueuePosition, &WaitingRequest)> {
        let waiting = self.waiting.iter();
        waiting.map(|(position, request)| (*position, request))
    }

    /// Number of requests served before a new request.
    pub fn ahead_of(&self, request: &LeaseRequest) -> usize {
        let position = self.position_for(request);
        self.waiting.range(..=position).count()
    }

    /// The last request in the queue, if a new request would precede it.
    pub fn displaced_by(&self, request: &LeaseRequest) -> Option<QueuePosition> {
        let (last, _) = self.waiting.last_key_value()?;
        (self.position_for(request) < *last).then_some(*last)
    }

    fn position_for(&self, request: &LeaseRequest) -> QueuePosition {
        let tenant = request.tenant.as_ref();
        let class = RequestClass::new(request.priority, tenant);
        let rounds = self.rounds.get(&class);
        QueuePosition {
            class,
            round: rounds.map_or(0, |rounds| rounds.next_round(tenant_name(tenant))),
            arrival: u64::MAX,
        }
    }

    /// Removes a request that gets a seat, which uses its tenant's share of the round.
    pub fn serve(&mut self, position: QueuePosition) -> Option<WaitingRequest> {
        let request = self.waiting.remove(&position)?;
        if let Some(rounds) = self.rounds.get_mut(&position.class) {
            rounds.record_served(tenant_name(request.tenant.as_ref()), position.round);
        }
        self.remove_from_round(position, &request);
        Some(request)
    }

    /// Removes a request that gets no seat.
    pub fn remove(&mut self, position: QueuePosition) -> Option<WaitingRequest> {
        let request = self.waiting.remove(&position)?;
        self.remove_from_round(position, &request);
        Some(request)
    }

    /// Removes a request from its round. The rounds of a class are dropped with its last waiting request.
    fn remove_from_round(&mut self, position: QueuePosition, request: &WaitingRequest) {
        let Some(rounds) = self.rounds.get_mut(&position.class) else {
            return;
        };
        rounds.remove(tenant_name(request.tenant.as_ref()), position.round);
        if rounds.waiting.is_empty() {
            self.rounds.remove(&position.class);
        }
    }

    /// Removes matching requests, in the order in which they would be served.
    pub fn take(&mut self, is_taken: impl Fn(&LeaseHolder) -> bool) -> Vec<WaitingRequest> {
        let waiting = self.waiting.iter();
        let positions: Vec<QueuePosition> = waiting
            .filter(|(_, request)| is_taken(&request.holder))
            .map(|(position, _)| *position)
            .collect();
        let taken = positions.into_iter();
        taken.filter_map(|position| self.remove(position)).collect()
    }

    pub fn remove_holder(&mut self, holder: &LeaseHolder) {
        self.take(|known| known == holder);
    }

    pub fn has_gateway(&self, gateway: &str) -> bool {
        let mut waiting = self.waiting.values();
        waiting.any(|request| request.holder.gateway == gateway)
    }

    pub fn remove_gateway(&mut self, gateway: &str) {
        self.take(|holder| holder.gateway == gateway);
    }
}
