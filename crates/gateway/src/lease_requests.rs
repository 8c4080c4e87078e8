//! Phase 3: requests a seat from the owner of the function's seats, and releases it after use.

use crate::gateway::{Gateway, TimerEvent};
use crate::pending_request::{HeldLease, OwnerName, PendingRequest, RequestPhase};
use protocol::{
    LeaseOutcome, LeaseRelease, LeaseRequest, Member, Message, RequestId, RequestTenant,
    RunnerLeases,
};
use std::collections::BTreeSet;

/// Backoff of a request whose function has no owner, in milliseconds.
const NO_OWNER_BACKOFF_MS: u64 = 30;

impl Gateway {
    /// The gateway to request a function's seats from: its owner or, while the owner is suspected to be dead, another
    /// gateway that relays requests to it. If no scaler is reachable, or some gateways do not support agreed
    /// ownership tables, the other gateway acts as the owner instead.
    pub fn owner_of(&self, function: &str) -> Option<OwnerName> {
        let table = self.configuration.ownership()?;
        let is_live = |member: &Member| !self.peers.is_suspect(&member.name, self.now);
        let owner = table.owner_of(function)?;
        if is_live(owner) {
            return Some(owner.name.clone());
        }
        let is_other = |member: &Member| member.name != self.options.name;
        let relay = match self.waits_for_scaler() {
            true => table.owner_among(function, |member| is_live(member) && is_other(member)),
            false => None,
        };
        let next = relay.or_else(|| table.owner_among(function, is_live));
        next.map(|member| member.name.clone())
    }

    /// Requests a lease from the function's owner.
    pub fn request_lease(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let function = request.function.clone();
        let mut lease_request = lease_request(request, self.now);
        let Some(owner) = self.owner_of(&function) else {
            self.back_off(id, NO_OWNER_BACKOFF_MS);
            return;
        };
        let now = self.now;
        if let Some(request) = self.requests.get(id) {
            request.phase = RequestPhase::AwaitingLease {
                owner: owner.clone(),
                since: now,
            };
            lease_request.job = request.job.as_mut().map(|job| job.begin_attempt(&owner));
        }
        self.report_leases_to_new_owner(&owner, &function);
        if owner == self.options.name {
            let zone = self.options.zone.clone();
            self.lease_requested(&owner, &zone, lease_request);
            return;
        }
        self.send_lease_request(&owner, lease_request);
    }

    fn send_lease_request(&mut self, owner: &str, request: LeaseRequest) {
        // The first message opens the link, so until the peer has answered a ping, the message form without tenants
        // is sent.
        let understands_tenants = self.peers.understands_tenants(owner);
        let message = Message::lease_request(request, understands_tenants);
        self.send_to_peer(owner, &message);
    }

    /// Handles a lease request of a gateway, which may be this one. A request of a job goes to the job coordinator
    /// first.
    pub fn lease_requested(&mut self, gateway: &str, zone: &str, request: LeaseRequest) {
        if request.job.is_some() {
            self.jobs.request_arrived(self.now, gateway, zone, request);
        } else {
            self.place_lease_request(gateway, zone, request);
        }
    }

    /// Puts a request into backoff, after which it requests a lease again.
    pub fn back_off(&mut self, id: RequestId, wait_ms: u64) {
        if let Some(request) = self.requests.get(id) {
            request.phase = RequestPhase::Backoff;
            self.timers
                .schedule(self.now + wait_ms, TimerEvent::BackoffOver(id));
        }
    }

    /// Handles the end of a request's backoff.
    pub fn backoff_over(&mut self, id: RequestId) {
        let request = self.requests.get(id);
        if request.is_some_and(|request| matches!(request.phase, RequestPhase::Backoff)) {
            self.request_lease(id);
        }
    }

    /// Cancels the lease request of a request that awaits a lease.
    pub fn cancel_lease_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let RequestPhase::AwaitingLease { owner, .. } = &request.phase else {
            return;
        };
        let owner = owner.clone();
        request.phase = RequestPhase::Backoff;
        if owner == self.options.name {
            self.cancel_placed_request(&owner, id);
        } else {
            self.cancel_at_peer(&owner, id);
        }
        self.void_job_attempt(&owner, id);
    }

    /// Cancels a lease request at another gateway. Under an agreed ownership table the owner acknowledges the
    /// cancellation, and its messages about the request are ignored until then.
    fn cancel_at_peer(&mut self, owner: &str, id: RequestId) {
        if self.peers.contains(owner) && self.configuration.agreed_owners().is_some() {
            self.cancelled_requests.record_cancellation(owner, id);
        }
        self.send_to_peer(owner, &Message::CancelRequest(id));
    }

    /// Releases a lease at the owner that granted it, at all owners to which it was reported and, if that is another
    /// gateway, at the function's current owner.
    pub fn release_lease(&mut self, lease: &HeldLease, outcome: LeaseOutcome, duration_ms: u64) {
        let release = LeaseRelease {
            request_id: lease.request,
            outcome,
            duration_ms: duration_ms as u32,
        };
        let owner = self.owner_of(&lease.function);
        let other = owner.filter(|owner| !lease.owners.contains(owner));
        for name in lease.owners.iter().chain(&other) {
            self.release_lease_at(name, &release);
        }
    }

    /// Releases a lease at one owner, which may be this gateway.
    pub fn release_lease_at(&mut self, owner: &str, release: &LeaseRelease) {
        if owner == self.options.name {
            self.release_placed_lease(owner, release);
        } else if self.peers.contains(owner) {
            self.send_to_peer(owner, &Message::LeaseRelease(release.clone()));
        }
    }

    /// Reports the seats in use at this gateway to a function's owner if the owner has changed. The owner may be this
    /// gateway.
    pub fn report_leases_to_new_owner(&mut self, owner: &str, function: &str) {
        if self.peers.remember_owner(function, owner) {
            self.report_leases(owner, function);
        }
    }

    /// Reports the seats in use at this gateway to an owner over a new link. An owner keeps a gateway's leases only
    /// as long as the link between them lasts.
    pub fn report_leases_over_new_link(&mut self, owner: &str) {
        for function in self.functions_in_use() {
            if self.owner_of(&function).as_deref() == Some(owner) {
                self.peers.remember_owner(&function, owner);
                self.report_leases(owner, &function);
            }
        }
    }

    fn report_leases(&mut self, owner: &str, function: &str) {
        let mut runners = self.relayed_requests.report_leases(owner, function);
        self.add_leases_in_use(function, &mut runners);
        if runners.is_empty() {
            return;
        }
        for id in runners.iter().flat_map(|runner| &runner.requests) {
            if let Some(request) = self.requests.get(*id) {
                request.lease_reported(owner);
            }
        }
        if owner == self.options.name {
            self.lease_owner
                .adopt_leases(self.now, owner, function, &runners);
            return;
        }
        let message = Message::LeasesInUse {
            function: function.into(),
            runners,
        };
        self.send_to_peer(owner, &message);
    }

    /// Functions for which requests of this gateway's own clients hold leases.
    pub fn functions_in_use(&self) -> BTreeSet<String> {
        let upstream = self.requests.iter();
        let upstream = upstream.filter(|request| request.attempt().is_some());
        upstream.map(|request| request.function.clone()).collect()
    }

    /// Adds the requests of this gateway's own clients that hold leases at a function's runners.
    fn add_leases_in_use(&self, function: &str, runners: &mut Vec<RunnerLeases>) {
        for request in self.requests.iter() {
            let Some(attempt) = request.attempt() else {
                continue;
            };
            if request.function != function {
                continue;
            }
            match runners
                .iter_mut()
                .find(|known| known.runner == attempt.runner)
            {
                Some(known) => known.requests.push(request.id),
                None => runners.push(RunnerLeases {
                    runner: attempt.runner.clone(),
                    address: attempt.address.clone(),
                    zone: attempt.zone.clone(),
                    requests: vec![request.id],
                }),
            }
        }
    }

    /// Moves requests that wait for a gateway that no longer owns their function to the current owner.
    pub fn move_to_new_owners(&mut self) {
        let awaiting = |request: &PendingRequest| request.awaited_owner().is_some();
        for id in self.requests.ids(awaiting) {
            self.move_to_new_owner(id);
        }
    }

    fn move_to_new_owner(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some((owner, _)) = request.awaited_owner() else {
            return;
        };
        let (owner, function) = (owner.clone(), request.function.clone());
        let awaits_claim = request.awaits_claim();
        if self.owner_of(&function).as_deref() == Some(&owner) {
            return;
        }
        if awaits_claim {
            self.abandon_attempt(id);
            self.void_job_attempt(&owner, id);
        } else {
            self.cancel_lease_request(id);
        }
        self.request_lease(id);
    }
}

/// Builds the lease request of a request, without its participation in a job.
fn lease_request(request: &PendingRequest, now: u64) -> LeaseRequest {
    LeaseRequest {
        request_id: request.id,
        function: request.function.clone(),
        priority: request.priority,
        timeout_ms: request.deadline.saturating_sub(now) as u32,
        excluded_runners: request.excluded_runners.clone(),
        job: None,
        allowed_regions: request.allowed_regions.clone(),
        tenant: request.client.as_ref().map(|client| RequestTenant {
            name: client.name().to_string(),
            priority: client.tenant().priority,
        }),
    }
}
