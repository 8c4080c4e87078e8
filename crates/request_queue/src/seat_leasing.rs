use crate::action::{Action, AttemptOutcome, SeatGrant};
use crate::message::{FrontMessage, PriorityCount, Return, SeatAssignment};
use crate::owned::OwnedRunner;
use crate::scheduler::{HeldSeat, SeatScheduler};
use configuration::{PeerRef, RunnerEntry, RunnerState};
use std::collections::BTreeMap;

/// Candidate for the next seat of an owner: this front's own queue (`front` is none) or another front's request.
struct Candidate {
    priority: u8,
    since: u64,
    front: Option<String>,
}

impl SeatScheduler {
    /// Leases free seats to queued requests, and requests seats of other owners for the rest.
    pub(crate) fn dispatch(&mut self, now: u64) {
        let dirty = std::mem::take(&mut self.dirty);
        if !self.has_quorum(now) {
            return;
        }
        for function in dirty {
            self.reject_unfinishable(now, &function);
            while self.lease_one(now, &function) {}
            self.send_seat_requests(now, &function);
        }
    }

    fn lease_one(&mut self, now: u64, function: &str) -> bool {
        let Some(candidate) = self.select_candidate(now, function) else {
            return false;
        };
        let waited_ms = now.saturating_sub(candidate.since);
        let Some(selected_runner) = self.select_runner(now, function, waited_ms) else {
            return false;
        };
        for owned in self.owned.values_mut() {
            if owned.entry.function == function && owned.entry.id != selected_runner {
                owned.record_passed_over();
            }
        }
        let seat_no = self.next_seat;
        self.next_seat += 1;
        match candidate.front {
            None => self.lease_to_self(now, function, &selected_runner, seat_no),
            Some(front) => {
                self.lease_to_peer(
                    now,
                    function,
                    &selected_runner,
                    seat_no,
                    &front,
                    candidate.priority,
                );
            }
        }
        true
    }

    /// Selects this owner's runner with the highest predicted spare throughput.
    fn select_runner(&self, now: u64, function: &str, waited_ms: u64) -> Option<String> {
        let function_spec = self.configuration.function_spec(function)?;
        let last_resort = self.last_resort(function);
        let typical_response_time = self.index.typical_response_time(function);
        let spare = |owned: &OwnedRunner, free: u32| {
            let may_lease = free > 0
                && self.configuration.is_open(&owned.entry.zone)
                && (!owned.is_slow(typical_response_time)
                    || owned.may_lease_while_slow(now, waited_ms));
            let spare = (f64::from(free) * 1e6
                / owned.response_time_ms(typical_response_time).max(1.0))
                as u64;
            let is_trial = owned.is_slow(typical_response_time) && owned.is_trial_due(now);
            may_lease.then_some(if is_trial { u64::MAX } else { spare })
        };
        let scored = self.owned.iter().filter_map(|(runner, owned)| {
            if owned.entry.function != function {
                return None;
            }
            let is_last = last_resort.as_ref() == Some(runner);
            let free = owned.free(now, function_spec.concurrency, is_last);
            Some((spare(owned, free)?, runner))
        });
        scored.max().map(|(_, runner)| runner.clone())
    }

    /// The one wanted runner of a function that gets requests even while it is ejected.
    fn last_resort(&self, function: &str) -> Option<String> {
        let entries = self.index.entries(&self.plan, function);
        let wanted = entries.filter(|entry| self.may_run_on(entry));
        wanted.map(|entry| &entry.id).min().cloned()
    }

    fn select_candidate(&self, now: u64, function: &str) -> Option<Candidate> {
        let own = self.queues.get(function).map(|queue| queue.priorities(now));
        let own = own.into_iter().flatten().map(|count| Candidate {
            priority: count.priority,
            since: now.saturating_sub(count.oldest_ms),
            front: None,
        });
        let received_since = now.saturating_sub(self.configuration.bounds.lease_ms());
        let seat_requests =
            self.seat_requests
                .of(function, received_since)
                .flat_map(|seat_request| {
                    seat_request.priorities.iter().map(|count| Candidate {
                        priority: count.priority,
                        since: seat_request.received_at.saturating_sub(count.oldest_ms),
                        front: Some(seat_request.from.name.clone()),
                    })
                });
        let by_age = self.next_seat.is_multiple_of(crate::queue::AGEING_SHARE);
        own.chain(seat_requests).min_by_key(|candidate| {
            let priority = if by_age { 0 } else { candidate.priority };
            (priority, candidate.since)
        })
    }

    /// Time from which a seat that is leased now can no longer be in use.
    fn reclaim_at(&self, now: u64, function: &str) -> u64 {
        let bounds = &self.configuration.bounds;
        now + bounds.seat_window_ms() + self.longest_budget(function) + 2 * bounds.slack_ms()
    }

    fn lease_to_self(&mut self, now: u64, function: &str, runner: &str, seat_no: u64) {
        let reclaim_at = self.reclaim_at(now, function);
        let Some(queued_request) = self.queues.get_mut(function).and_then(|queue| queue.take())
        else {
            return;
        };
        let local_peer = self.local_peer.clone();
        let Some(owned) = self.owned.get_mut(runner) else {
            return;
        };
        owned.lease_seat(seat_no, local_peer.clone(), reclaim_at);
        let entry = owned.entry.clone();
        let grant = self.grant(now, &entry, local_peer, seat_no);
        self.launch(queued_request, grant);
    }

    fn lease_to_peer(
        &mut self,
        now: u64,
        function: &str,
        runner: &str,
        seat_no: u64,
        front: &str,
        priority: u8,
    ) {
        let reclaim_at = self.reclaim_at(now, function);
        let received_since = now.saturating_sub(self.configuration.bounds.lease_ms());
        let requester = self
            .seat_requests
            .of(function, received_since)
            .find(|seat_request| seat_request.from.name == front)
            .map(|seat_request| seat_request.from.clone());
        let Some((requester, stamp)) =
            requester.zip(self.seat_requests.record_lease(function, front, priority))
        else {
            return;
        };
        let Some(owned) = self.owned.get_mut(runner) else {
            return;
        };
        owned.lease_seat(seat_no, requester.clone(), reclaim_at);
        let epoch = owned.entry.owner_epoch;
        self.seat_requests
            .record_assignment(&requester, seat_no, function);
        let assignment = FrontMessage::SeatAssignment(SeatAssignment {
            stamp,
            function: function.to_string(),
            runner: runner.to_string(),
            epoch,
            seat_no,
        });
        self.actions
            .push(Action::Send(front.to_string(), assignment));
    }

    fn grant(&self, start: u64, entry: &RunnerEntry, owner: PeerRef, seat_no: u64) -> SeatGrant {
        SeatGrant {
            runner: entry.id.clone(),
            function: entry.function.clone(),
            address: entry.address.clone(),
            key: entry.key.clone(),
            owner,
            epoch: entry.owner_epoch,
            seat_no,
            start_by: start + self.configuration.bounds.seat_window_ms(),
        }
    }

    fn launch(&mut self, queued_request: crate::QueuedRequest, grant: SeatGrant) {
        let key = (grant.owner.name.clone(), grant.seat_no);
        let held = HeldSeat {
            grant: grant.clone(),
            lost_until: None,
        };
        self.seats.insert(key, held);
        self.actions.push(Action::Launch(queued_request, grant));
    }

    /// Handles a seat leased to this front: the next queued request takes it, or it is returned.
    pub(crate) fn on_assignment(&mut self, now: u64, from: &PeerRef, assignment: &SeatAssignment) {
        if !self
            .seat_requests
            .record_seat_number(from, assignment.seat_no)
        {
            return;
        }
        let entry = self.index.runner(&self.plan, &assignment.runner);
        let entry = entry.cloned().filter(|entry| {
            entry.owner == *from
                && entry.owner_epoch == assignment.epoch
                && entry.function == assignment.function
                && self.may_run_on(entry)
        });
        let is_fresh = now < assignment.stamp + self.configuration.bounds.seat_window_ms();
        let usable = entry.filter(|_| is_fresh && self.has_quorum(now));
        self.reject_unfinishable(now, &assignment.function);
        let queued_request = usable
            .is_some()
            .then(|| self.queues.get_mut(&assignment.function)?.take())
            .flatten();
        self.dirty.insert(assignment.function.clone());
        let Some((entry, queued_request)) = usable.zip(queued_request) else {
            let message = return_message(
                &assignment.runner,
                assignment.seat_no,
                AttemptOutcome::Unsent,
            );
            self.actions.push(Action::Send(from.name.clone(), message));
            return;
        };
        let grant = self.grant(assignment.stamp, &entry, from.clone(), assignment.seat_no);
        self.launch(queued_request, grant);
    }

    /// Whether plan and configuration allow new requests on a runner.
    pub(crate) fn may_run_on(&self, entry: &RunnerEntry) -> bool {
        entry.state == RunnerState::Wanted && self.configuration.is_open(&entry.zone)
    }

    /// Returns a seat to its owner, which may be this front.
    pub(crate) fn return_seat(&mut self, now: u64, grant: &SeatGrant, outcome: AttemptOutcome) {
        let message = return_message(&grant.runner, grant.seat_no, outcome);
        if grant.owner == self.local_peer {
            self.on_message(now, &self.local_peer.clone(), message);
        } else {
            let owner = grant.owner.name.clone();
            self.actions.push(Action::Send(owner, message));
        }
    }

    /// Requests seats of other owners for queued requests, divided by the predicted throughput of their runners.
    fn send_seat_requests(&mut self, now: u64, function: &str) {
        let lease = self.configuration.bounds.lease_ms();
        let typical_response_time = self.index.typical_response_time(function).max(1);
        let mut weights: BTreeMap<String, u64> = BTreeMap::new();
        for entry in self.index.entries(&self.plan, function) {
            let is_candidate = self.may_run_on(entry)
                && (entry.owner == self.local_peer
                    || self
                        .quorum_lease
                        .responded_within(&entry.owner.name, now, lease));
            if is_candidate {
                let response_time_ms = if entry.response_time_ms > 0 {
                    entry.response_time_ms
                } else {
                    typical_response_time
                };
                let throughput = u64::from(entry.quota) * 1_000_000 / u64::from(response_time_ms);
                *weights.entry(entry.owner.name.clone()).or_default() += throughput;
            }
        }
        let priorities = self
            .queues
            .get(function)
            .map_or_else(Vec::new, |queue| queue.priorities(now));
        let waiting: u32 = priorities.iter().map(|count| count.count).sum();
        let total: u64 = weights.values().sum::<u64>().max(1);
        for name in self.seat_requests.sent_to(function) {
            weights.entry(name).or_default();
        }
        weights.remove(&self.local_peer.name);
        for (owner, weight) in weights {
            let share = (u64::from(waiting) * weight).div_ceil(total);
            let seat_request = take_first(&priorities, share as u32);
            let (incarnation, seen_assignment) = self.seat_requests.seen(&owner);
            if !self.is_update(function, &owner, &seat_request, seen_assignment) {
                continue;
            }
            let message = FrontMessage::SeatRequest {
                stamp: now,
                incarnation,
                seen_assignment,
                function: function.to_string(),
                priorities: seat_request,
            };
            self.actions.push(Action::Send(owner, message));
        }
    }

    /// Whether a seat request differs from the last one sent to this owner. Seat requests trigger one another,
    /// so sending unchanged ones at once would never end.
    fn is_update(
        &mut self,
        function: &str,
        owner: &str,
        seat_request: &[PriorityCount],
        seen: u64,
    ) -> bool {
        let key = (function.to_string(), owner.to_string());
        let counts: Vec<(u8, u32)> = seat_request
            .iter()
            .map(|one| (one.priority, one.count))
            .collect();
        let last = self.seat_requests.sent.get(&key);
        if counts.is_empty() {
            return self.seat_requests.sent.remove(&key).is_some();
        }
        if !self.refreshes_seat_requests && last == Some(&(counts.clone(), seen)) {
            return false;
        }
        self.seat_requests.sent.insert(key, (counts, seen));
        true
    }

    pub(crate) fn report_holds(&mut self, now: u64) {
        let mut held: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for entry in &self.plan.runners {
            if entry.owner != self.local_peer {
                held.entry(entry.owner.name.clone()).or_default();
            }
        }
        for (owner, seat_no) in self.seats.keys() {
            if let Some(seats) = held.get_mut(owner) {
                seats.push(*seat_no);
            }
        }
        for (owner, seats) in held {
            let (incarnation, seen_assignment) = self.seat_requests.seen(&owner);
            let message = FrontMessage::Holds {
                stamp: now,
                incarnation,
                seen_assignment,
                seats,
            };
            self.actions.push(Action::Send(owner, message));
        }
    }
}

fn return_message(runner: &str, seat_no: u64, outcome: AttemptOutcome) -> FrontMessage {
    let took_ms = match outcome {
        AttemptOutcome::Answered(took_ms) => Some(took_ms),
        _ => None,
    };
    FrontMessage::Return(Return {
        runner: runner.to_string(),
        seat_no,
        took_ms,
        is_bad: matches!(
            outcome,
            AttemptOutcome::Bad | AttemptOutcome::Broken | AttemptOutcome::Lost
        ),
        is_absent: outcome == AttemptOutcome::Absent,
    })
}

/// The first `share` of the queued requests, the most urgent first.
fn take_first(priorities: &[PriorityCount], share: u32) -> Vec<PriorityCount> {
    let mut left = share;
    let mut first = Vec::new();
    for count in priorities {
        let taken = count.count.min(left);
        left -= taken;
        if taken > 0 {
            first.push(PriorityCount {
                count: taken,
                ..count.clone()
            });
        }
    }
    first
}
