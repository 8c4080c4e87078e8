//! Start and end of leases, unresponsive peers, and periodic work.

use super::{Health, Phase, BACKOFF_MS, SUSPECT_AFTER_MS, TICK_MS, TIMEOUT_MS, WORK_MS};
use crate::fleet::network::Event;
use crate::fleet::LATE_MS;
use crate::fleet::{gateway_name, index_of, Fleet};
use protocol::{LeaseOutcome, LeaseRelease, Message, RequestId, SeatLease};
use rand::Rng;
use seat_leases::{LeaseRequestEnd, RelayedId};
use std::collections::BTreeSet;

impl Fleet {
    pub(super) fn lease_received(&mut self, index: usize, from: &str, lease: SeatLease) {
        let id = lease.request_id;
        let gateway = &mut self.gateways[index];
        let request = gateway.requests.get_mut(&id.0);
        let request = request.filter(
            |request| matches!(&request.phase, Phase::Waiting { owner, .. } if owner == from),
        );
        let Some(request) = request else {
            let release = LeaseRelease {
                request_id: id,
                outcome: LeaseOutcome::Unused,
                duration_ms: 0,
            };
            self.release_at(index, from, &release);
            return;
        };
        request.phase = Phase::AtRunner {
            owners: vec![from.into()],
            lease: lease.clone(),
        };
        let incarnation = gateway.incarnation;
        let runner = self.runners.get_mut(&lease.runner).unwrap();
        runner.in_flight += 1;
        if runner.in_flight > runner.quota {
            self.outcomes.over_quota += 1;
        }
        if runner
            .draining_since
            .is_some_and(|at| self.now > at + LATE_MS)
        {
            self.outcomes.late += 1;
        }
        let event = Event::WorkDone {
            runner: lease.runner,
            gateway: index,
            incarnation,
            request: id.0,
        };
        let at = self.now + self.random.random_range(WORK_MS);
        self.network.schedule(at, event);
    }

    pub fn work_done(&mut self, runner: &str, index: usize, incarnation: u64, request: u64) {
        let gateway = &mut self.gateways[index];
        if gateway.incarnation == incarnation && gateway.health == Health::Paused {
            let event = Event::WorkDone {
                runner: runner.into(),
                gateway: index,
                incarnation,
                request,
            };
            // The runner has finished. The gateway reads the response after it resumes.
            self.runners.get_mut(runner).unwrap().in_flight -= 1;
            gateway.deferred.push(event);
            return;
        }
        self.runners.get_mut(runner).unwrap().in_flight -= 1;
        self.response_read(index, incarnation, request);
    }

    pub fn response_read(&mut self, index: usize, incarnation: u64, request: u64) {
        let gateway = &mut self.gateways[index];
        if gateway.incarnation != incarnation || gateway.health == Health::Down {
            return;
        }
        let Some(ended) = gateway.requests.remove(&request) else {
            return;
        };
        let Phase::AtRunner { mut owners, .. } = ended.phase else {
            return;
        };
        self.outcomes.served += 1;
        let current = gateway.owner_of(ended.function, self.now);
        owners.extend(current.filter(|owner| !owners.contains(owner)));
        let release = LeaseRelease {
            request_id: RequestId(request),
            outcome: LeaseOutcome::Succeeded,
            duration_ms: 10,
        };
        for owner in owners {
            self.release_at(index, &owner, &release);
        }
    }

    fn release_at(&mut self, index: usize, owner: &str, release: &LeaseRelease) {
        if owner == gateway_name(index) {
            self.release_locally(index, owner, release);
            self.run_actions(index);
        } else {
            self.send(
                index,
                index_of(owner),
                Message::LeaseRelease(release.clone()),
            );
        }
    }

    pub(super) fn release_locally(&mut self, index: usize, from: &str, release: &LeaseRelease) {
        self.end_locally(index, from, &LeaseRequestEnd::Release(release.clone()));
    }

    fn end_locally(&mut self, index: usize, from: &str, end: &LeaseRequestEnd) {
        let now = self.now;
        self.gateways[index].owner.end_request(now, from, end);
        self.end_relay(index, from, end);
    }

    pub(super) fn cancel_at_peer(&mut self, index: usize, owner: &str, id: RequestId) {
        self.gateways[index]
            .cancelled
            .record_cancellation(owner, id);
        self.send(index, index_of(owner), Message::CancelRequest(id));
    }

    pub(super) fn cancel_locally(&mut self, index: usize, from: &str, id: RequestId) {
        self.end_locally(index, from, &LeaseRequestEnd::Cancel(id));
    }

    fn end_relay(&mut self, index: usize, from: &str, end: &LeaseRequestEnd) {
        let gateway = &mut self.gateways[index];
        let Some(relayed) = gateway.relayed.end(from, end.request_id()) else {
            return;
        };
        let function = relayed.function.trim_start_matches('f').parse().unwrap();
        let other = gateway.owner_of(function, self.now);
        let other = other.filter(|owner| !relayed.owners.contains(owner));
        for owner in relayed.owners.into_iter().chain(other) {
            self.end_relay_at(index, &owner, &end.with_request_id(relayed.request_id));
        }
    }

    fn end_relay_at(&mut self, index: usize, owner: &str, end: &LeaseRequestEnd) {
        if owner != gateway_name(index) {
            self.send(index, index_of(owner), end.clone().into_message());
            return;
        }
        let (now, lease_owner) = (self.now, &mut self.gateways[index].owner);
        lease_owner.end_request(now, owner, end);
        self.run_actions(index);
    }

    pub(super) fn cancel_relayed(&mut self, index: usize, relayed: Vec<RelayedId>) {
        for RelayedId {
            owners, request_id, ..
        } in relayed
        {
            for owner in owners {
                self.end_relay_at(index, &owner, &LeaseRequestEnd::Cancel(request_id));
            }
        }
    }

    pub(super) fn rejection_received(
        &mut self,
        index: usize,
        from: &str,
        id: RequestId,
        retry_ms: u32,
    ) {
        let gateway = &mut self.gateways[index];
        if gateway.cancelled.is_cancelled(from, id) {
            return;
        }
        match gateway.relayed.record_rejection(from, id) {
            Some((to, request_id)) if to != gateway.name => {
                let message = Message::Reject {
                    request_id,
                    retry_after_ms: retry_ms,
                };
                self.send(index, index_of(&to), message);
            }
            Some((_, id)) => self.end_rejected(index, id),
            None => self.end_rejected(index, id),
        }
    }

    fn end_rejected(&mut self, index: usize, id: RequestId) {
        let requests = &mut self.gateways[index].requests;
        let is_waiting = requests
            .get(&id.0)
            .is_some_and(|request| matches!(request.phase, Phase::Waiting { .. }));
        if is_waiting {
            requests.remove(&id.0);
            self.outcomes.rejected += 1;
        }
    }

    pub fn tick(&mut self, index: usize, incarnation: u64) {
        let gateway = &self.gateways[index];
        if gateway.incarnation != incarnation || gateway.health == Health::Down {
            return;
        }
        let event = Event::Tick(index, incarnation);
        self.network.schedule(self.now + TICK_MS, event);
        if gateway.health == Health::Up {
            self.end_late_requests(index);
            self.suspect_silent_owners(index);
            self.maintain(index);
        }
    }

    fn end_late_requests(&mut self, index: usize) {
        let now = self.now;
        let requests = &self.gateways[index].requests;
        let late = requests.iter().filter(|(_, request)| {
            let is_sent = matches!(request.phase, Phase::AtRunner { .. });
            !is_sent && now >= request.arrived_at + TIMEOUT_MS
        });
        for id in late.map(|(id, _)| *id).collect::<Vec<_>>() {
            let ended = self.gateways[index].requests.remove(&id).unwrap();
            let outcomes = &mut self.outcomes;
            outcomes.timed_out += 1;
            outcomes.last_timed_out_arrival = outcomes.last_timed_out_arrival.max(ended.arrived_at);
            if let Phase::Waiting { owner, .. } = ended.phase {
                if owner == gateway_name(index) {
                    self.cancel_locally(index, &owner, RequestId(id));
                } else {
                    self.cancel_at_peer(index, &owner, RequestId(id));
                }
            }
        }
    }

    fn suspect_silent_owners(&mut self, index: usize) {
        let now = self.now;
        let gateway = &self.gateways[index];
        let overdue = now.saturating_sub(SUSPECT_AFTER_MS);
        let waiting = gateway.requests.values().filter_map(|request| {
            let Phase::Waiting { owner, since } = &request.phase else {
                return None;
            };
            (*since <= overdue && *owner != gateway.name).then(|| index_of(owner))
        });
        let relayed = gateway.relayed.awaited_owners(overdue).map(index_of);
        let awaited: BTreeSet<usize> = waiting.chain(relayed).collect();
        for peer in awaited {
            let is_heard =
                self.network.is_connected(index, peer) && self.gateways[peer].health == Health::Up;
            if !is_heard {
                self.lose_link(index, peer);
            }
        }
    }

    fn maintain(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let suspects = gateway.suspects.iter();
        let suspects: BTreeSet<String> = suspects
            .filter(|(_, until)| now < **until)
            .map(|(name, _)| name.clone())
            .collect();
        let failover_for = match gateway.reaches_scaler() {
            true => BTreeSet::new(),
            false => suspects.clone(),
        };
        gateway.owner.tick(now);
        gateway.owner.set_failover_for(now, failover_for);
        let reaches_scaler = gateway.reaches_scaler();
        gateway.owner.set_scaler_reachable(now, reaches_scaler);
        let expired = gateway.relayed.take_expired(now);
        let is_reachable = |owner: &str| !suspects.contains(owner);
        let forwarded = gateway
            .owner
            .take_waiting_for_other_owners(now, is_reachable);
        self.cancel_relayed(index, expired);
        for (owner, waiting) in forwarded {
            self.relay(index, &owner, waiting);
        }
        self.run_actions(index);
        self.report_to_scaler(index);
        self.move_waiting(index);
        let due = self.gateways[index].requests.iter().filter(
            |(_, request)| matches!(request.phase, Phase::Backoff { until } if until + BACKOFF_MS <= now),
        );
        for id in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.request_lease(index, id);
        }
    }
}
