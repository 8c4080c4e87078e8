//! Lease requests that this gateway relays to a function's owner for gateways that cannot reach it.
//!
//! The owner treats a relayed request as one of this gateway, under an id of its own. Leases, rejections and releases take
//! the same route. That way the owner remains the only gateway that leases the function's seats, even if others cannot
//! reach it.

use crate::lease_holder::LeaseHolder;
use crate::unconfirmed_leases::LEASE_EXPIRY_MS;
use protocol::{LeaseRequest, RelayedLeaseRequest, RequestId, RunnerLeases, SeatLease};
use std::collections::{BTreeMap, HashMap};

/// Maximum number of requests relayed at once.
const RELAYED_MAX: usize = 4_096;
/// Set in the ids of relayed requests and never in those of a gateway's own requests.
const RELAYED_BIT: u64 = 1 << 63;

/// A lease request with the gateway it came from. It may be relayed to another gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayLeaseRequest {
    /// Name of the gateway that received the client's request.
    pub gateway: String,
    /// Zone of that gateway.
    pub zone: String,
    /// The lease request.
    pub request: LeaseRequest,
}

/// The id of a relayed request, and the owners that know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedId {
    /// The owner that it was relayed to and all later owners that were told of its lease.
    pub owners: Vec<String>,
    /// Id of the request at these owners.
    pub request_id: RequestId,
    /// Name of the function.
    pub function: String,
}

#[derive(Debug)]
struct RelayedRequest {
    owner: String,
    /// Later owners of the function that were told of the lease.
    reported_to: Vec<String>,
    original: GatewayLeaseRequest,
    relayed_at: u64,
    /// Time in milliseconds of the clock after which a seat is of no use.
    deadline: u64,
    lease: Option<SeatLease>,
    /// Time at which its lease is considered ended; `None` while its gateway is connected.
    expires_at: Option<u64>,
}

/// All relayed requests by id.
#[derive(Debug, Default)]
pub struct RelayedRequests {
    relayed: BTreeMap<RequestId, RelayedRequest>,
    by_holder: HashMap<LeaseHolder, RequestId>,
    count: u64,
}

impl RelayedRequests {
    /// Whether an id belongs to a relayed request.
    pub(crate) fn is_relayed(id: RequestId) -> bool {
        id.0 & RELAYED_BIT != 0
    }

    /// Whether another request may be relayed.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.relayed.len() < RELAYED_MAX
    }

    /// Number of relayed requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.relayed.len()
    }

    /// Whether no request is relayed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.relayed.is_empty()
    }

    /// Relays a request to an owner. Returns the message to send.
    pub fn relay(
        &mut self,
        now: u64,
        owner: &str,
        original: GatewayLeaseRequest,
    ) -> RelayedLeaseRequest {
        self.count += 1;
        let id = RequestId(RELAYED_BIT | self.count);
        let message = RelayedLeaseRequest::new(id, &original.zone, original.request.clone());
        let holder = LeaseHolder::new(&original.gateway, original.request.request_id);
        self.by_holder.insert(holder, id);
        let deadline = now + u64::from(original.request.timeout_ms);
        let relayed = RelayedRequest {
            owner: owner.into(),
            reported_to: Vec::new(),
            original,
            relayed_at: now,
            deadline,
            lease: None,
            expires_at: None,
        };
        self.relayed.insert(id, relayed);
        message
    }

    /// Records a lease from an owner. Returns the gateway that it is for and the lease with that gateway's request id, or
    /// `None` if no lease of this owner is awaited.
    pub fn record_lease(&mut self, owner: &str, lease: &SeatLease) -> Option<(String, SeatLease)> {
        let relayed = self.relayed.get_mut(&lease.request_id)?;
        if relayed.owner != owner || relayed.lease.is_some() {
            return None;
        }
        relayed.lease = Some(lease.clone());
        let lease = SeatLease {
            request_id: relayed.original.request.request_id,
            ..lease.clone()
        };
        Some((relayed.original.gateway.clone(), lease))
    }

    /// Records a rejection from an owner. Returns the gateway that it is for and the request's id there.
    pub fn record_rejection(&mut self, owner: &str, id: RequestId) -> Option<(String, RequestId)> {
        if self.relayed.get(&id)?.owner != owner {
            return None;
        }
        let original = self.remove(id)?.original;
        Some((original.gateway, original.request.request_id))
    }

    /// Removes a request that needs no seat any more. Returns the id and the owners to notify.
    pub fn end(&mut self, gateway: &str, request_id: RequestId) -> Option<RelayedId> {
        let holder = LeaseHolder::new(gateway, request_id);
        let id = *self.by_holder.get(&holder)?;
        let relayed = self.remove(id)?;
        Some(relayed.relayed_id(id))
    }

    /// Handles the end of the link with a gateway. Returns its waiting requests, which must be cancelled at their owners.
    /// Requests with a lease may be running and are considered ended after a while.
    pub fn remove_gateway(&mut self, now: u64, gateway: &str) -> Vec<RelayedId> {
        for relayed in self.relayed.values_mut() {
            if relayed.original.gateway == gateway && relayed.lease.is_some() {
                relayed.expires_at.get_or_insert(now + LEASE_EXPIRY_MS);
            }
        }
        let waiting =
            self.take(|relayed| relayed.original.gateway == gateway && relayed.lease.is_none());
        waiting
            .into_iter()
            .map(|(id, relayed)| relayed.relayed_id(id))
            .collect()
    }

    /// Takes the requests whose leases are considered ended.
    pub fn take_expired(&mut self, now: u64) -> Vec<RelayedId> {
        let expired = self.take(|relayed| relayed.expires_at.is_some_and(|at| now >= at));
        expired
            .into_iter()
            .map(|(id, relayed)| relayed.relayed_id(id))
            .collect()
    }

    /// Handles the end of the link with an owner. Returns the requests that were waiting there. The owner asks about its
    /// leases once the link is open again.
    pub fn remove_owner(&mut self, now: u64, owner: &str) -> Vec<GatewayLeaseRequest> {
        let waiting = self.take(|relayed| relayed.owner == owner && relayed.lease.is_none());
        let waiting = waiting.into_iter();
        waiting
            .filter_map(|(_, request)| request.remaining(now))
            .collect()
    }

    /// Takes the waiting requests whose function has a new owner, each with the id to cancel at the former owner.
    pub fn take_moved(
        &mut self,
        now: u64,
        mut is_owner: impl FnMut(&str, &str) -> bool,
    ) -> Vec<(RelayedId, GatewayLeaseRequest)> {
        let moved = self.take(|relayed| {
            relayed.lease.is_none() && !is_owner(&relayed.original.request.function, &relayed.owner)
        });
        let moved = moved
            .into_iter()
            .filter_map(|(id, request)| Some((request.relayed_id(id), request.remaining(now)?)));
        moved.collect()
    }

    /// Owners that have not responded to a request relayed at or before this time.
    pub fn awaited_owners(&self, until: u64) -> impl Iterator<Item = &str> {
        let relayed = self.relayed.values();
        let overdue =
            relayed.filter(move |request| request.lease.is_none() && request.relayed_at <= until);
        overdue.map(|request| request.owner.as_str())
    }

    /// Records that an owner was told of the lease of a relayed request. Returns whether the request holds a lease or may
    /// hold one, because a lease from another owner may be on its way.
    pub fn report_lease(&mut self, owner: &str, id: RequestId) -> bool {
        let Some(relayed) = self.relayed.get_mut(&id) else {
            return false;
        };
        if relayed.lease.is_some() {
            relayed.report_to(owner);
            return true;
        }
        relayed.owner != owner
    }

    /// The seats of a function's runners held by relayed requests, recorded as reported to this owner.
    pub fn report_leases(&mut self, owner: &str, function: &str) -> Vec<RunnerLeases> {
        let mut runners: BTreeMap<String, RunnerLeases> = BTreeMap::new();
        for (id, relayed) in &mut self.relayed {
            if relayed.original.request.function != function {
                continue;
            }
            let Some(lease) = relayed.lease.clone() else {
                continue;
            };
            relayed.report_to(owner);
            let leases = runners.entry(lease.runner.clone());
            let leases = leases.or_insert_with(|| RunnerLeases {
                runner: lease.runner,
                address: lease.address,
                zone: lease.zone,
                requests: Vec::new(),
            });
            leases.requests.push(*id);
        }
        runners.into_values().collect()
    }

    fn remove(&mut self, id: RequestId) -> Option<RelayedRequest> {
        let relayed = self.relayed.remove(&id)?;
        let original = &relayed.original;
        let holder = LeaseHolder::new(&original.gateway, original.request.request_id);
        if self.by_holder.get(&holder) == Some(&id) {
            self.by_holder.remove(&holder);
        }
        Some(relayed)
    }

    fn take(
        &mut self,
        mut is_taken: impl FnMut(&RelayedRequest) -> bool,
    ) -> Vec<(RequestId, RelayedRequest)> {
        let relayed = self.relayed.iter();
        let ids: Vec<RequestId> = relayed
            .filter(|(_, request)| is_taken(request))
            .map(|(id, _)| *id)
            .collect();
        let taken = ids.into_iter().map(|id| (id, self.remove(id)));
        taken
            .filter_map(|(id, relayed)| Some((id, relayed?)))
            .collect()
    }
}

impl RelayedRequest {
    fn relayed_id(&self, request_id: RequestId) -> RelayedId {
        RelayedId {
            owners: std::iter::once(&self.owner)
                .chain(&self.reported_to)
                .cloned()
                .collect(),
            request_id,
            function: self.original.request.function.clone(),
        }
    }

    fn report_to(&mut self, owner: &str) {
        if self.owner != owner && !self.reported_to.iter().any(|known| known == owner) {
            self.reported_to.push(owner.into());
        }
    }

    /// The request with its remaining timeout, to be sent again; `None` after its deadline.
    fn remaining(self, now: u64) -> Option<GatewayLeaseRequest> {
        let left_ms = self.deadline.checked_sub(now).filter(|left| *left > 0)?;
        let mut original = self.original;
        original.request.timeout_ms = left_ms as u32;
        Some(original)
    }
}
