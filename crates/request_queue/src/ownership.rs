use crate::action::Action;
use crate::index::Index;
use crate::message::{FrontMessage, Return, MAX_LIST_ENTRIES};
use crate::owned::OwnedRunner;
use crate::scheduler::{FormerRunner, SeatScheduler};
use crate::seat_requests::OpenSeatRequest;
use configuration::{Configuration, PeerRef, Plan, RunnerState, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl SeatScheduler {
    /// Applies a newer configuration; an older one is ignored.
    pub fn set_configuration(
        &mut self,
        now: u64,
        configuration: Arc<Configuration>,
        version: Version,
    ) {
        if version <= self.configuration_version {
            return;
        }
        self.configuration = configuration;
        self.configuration_version = version;
        let unlisted: Vec<String> = self
            .queues
            .keys()
            .filter(|function| self.configuration.function_spec(function).is_none())
            .cloned()
            .collect();
        for function in unlisted {
            let queue = self.queues.remove(&function);
            for queued_request in queue
                .into_iter()
                .flat_map(|mut removed_queue| removed_queue.clear())
            {
                self.reject(queued_request, crate::Rejection::Unlisted);
            }
        }
        let listed = &self.configuration;
        self.counts
            .retain(|function, _| listed.function_spec(function).is_some());
        self.dirty.extend(self.queues.keys().cloned());
        self.dispatch(now);
    }

    /// Applies a newer plan; an older one is ignored.
    pub fn set_plan(&mut self, now: u64, plan: Arc<Plan>, version: Version) {
        if version <= self.plan_version {
            return;
        }
        self.plan = plan;
        self.plan_version = version;
        self.index = Index::of(&self.plan);
        self.quorum_lease.retain_members(&self.plan);
        self.seat_requests.retain_members(&self.plan.membership);
        let mut previously_owned = std::mem::take(&mut self.owned);
        for entry in &self.plan.runners {
            let is_mine = entry.owner == self.local_peer
                && matches!(entry.state, RunnerState::Wanted | RunnerState::Draining);
            if !is_mine {
                continue;
            }
            let same = previously_owned
                .remove(&entry.id)
                .filter(|owned| owned.entry.owner_epoch == entry.owner_epoch);
            let mut owned = same.unwrap_or_else(|| OwnedRunner::new(entry.clone(), now));
            owned.entry = entry.clone();
            self.owned.insert(entry.id.clone(), owned);
            self.dirty.insert(entry.function.clone());
        }
        self.release_runners(now, previously_owned);
        self.apply_handovers(now);
        self.dirty.extend(self.queues.keys().cloned());
        self.dispatch(now);
    }

    /// Hands over runners that have another owner now. Seats that are still leased are returned to this front.
    fn release_runners(&mut self, now: u64, released: BTreeMap<String, OwnedRunner>) {
        for (runner, owned) in released {
            let next = self.plan.runner(&runner).map(|entry| entry.owner.clone());
            let to = next.unwrap_or_else(|| self.local_peer.clone());
            if owned.is_active(now) {
                let key = (runner, owned.entry.owner_epoch);
                let since = now;
                self.former.insert(key, FormerRunner { owned, to, since });
            }
        }
        self.send_handovers(now);
    }

    pub(crate) fn send_handovers(&mut self, now: u64) {
        for ((runner, epoch), former) in &self.former {
            if former.to == self.local_peer {
                continue;
            }
            let ends = former.owned.leased.values().map(|leased| leased.reclaim_at);
            let message = FrontMessage::Handover {
                runner: runner.clone(),
                epoch: *epoch,
                leased: former.owned.leased_count(now),
                over_in_ms: ends.max().unwrap_or(now).saturating_sub(now),
            };
            let next_owner = former.to.name.clone();
            self.actions.push(Action::Send(next_owner, message));
        }
    }

    fn apply_handovers(&mut self, now: u64) {
        for (runner, owned) in &mut self.owned {
            let key = (runner.clone(), owned.entry.owner_epoch.wrapping_sub(1));
            let Some((leased, until)) = self.handovers.get(&key) else {
                continue;
            };
            owned.block(*leased, *until);
            owned.active_at = Some(owned.active_at.map_or(now, |time| time.min(now)));
        }
        let plan = &self.plan;
        self.handovers
            .retain(|(runner, _), _| plan.runner(runner).is_some());
    }

    pub(crate) fn refresh_owned(&mut self, now: u64) {
        let bounds = self.configuration.bounds.clone();
        let lease = bounds.lease_ms();
        let wait = lease * 11 / 10 + bounds.seat_window_ms() + 2 * bounds.slack_ms();
        let longest = self.configuration.longest_budget_ms();
        let may_lease = self.has_quorum(now);
        for (runner, owned) in &mut self.owned {
            owned.reclaim(now);
            if owned.active_at.is_none()
                && may_lease
                && self.quorum_lease.majority_has_version(
                    &self.local_peer.name,
                    &self.plan,
                    owned.entry.owner_since,
                )
            {
                let function_spec = self.configuration.function_spec(&owned.entry.function);
                let budget = function_spec.map_or(longest, |function_spec| function_spec.budget_ms);
                owned.active_at = Some(now + wait + budget);
            }
            if owned.take_due_probe(now, &bounds) {
                self.actions.push(Action::Probe {
                    runner: runner.clone(),
                    address: owned.entry.address.clone(),
                });
            }
        }
        self.former.retain(|_, former| {
            former.owned.reclaim(now);
            !former.owned.leased.is_empty() || now < former.since + 2 * lease
        });
        self.seat_requests.expire_before(now.saturating_sub(lease));
        self.dirty.extend(self.seat_requests.functions());
    }

    /// Records the result of a probe: whether the runner accepted a connection.
    pub fn probe_finished(&mut self, now: u64, runner: &str, is_reachable: bool) {
        if let Some(owned) = self.owned.get_mut(runner) {
            owned.probe_finished(is_reachable);
            self.dirty.insert(owned.entry.function.clone());
        }
        self.dispatch(now);
    }

    /// Handles a message from another front.
    pub fn on_message(&mut self, now: u64, from: &PeerRef, message: FrontMessage) {
        match message {
            FrontMessage::Heartbeat {
                stamp,
                last_assignment,
                ..
            } => {
                self.seat_requests.record_seat_number(from, last_assignment);
                if self.is_ready {
                    let response = FrontMessage::HeartbeatResponse {
                        stamp,
                        plan: self.plan_version,
                        configuration: self.configuration_version,
                    };
                    self.actions.push(Action::Send(from.name.clone(), response));
                }
            }
            FrontMessage::HeartbeatResponse {
                stamp,
                plan,
                configuration,
            } => {
                if stamp <= now {
                    let theirs = (plan, configuration);
                    let mine = (self.plan_version, self.configuration_version);
                    self.quorum_lease
                        .on_response(&from.name, stamp, theirs, mine);
                }
            }
            FrontMessage::SeatRequest {
                stamp,
                incarnation,
                seen_assignment,
                function,
                priorities,
            } => {
                if self.configuration.function_spec(&function).is_some() && priorities.len() <= 256
                {
                    let seat_request = OpenSeatRequest {
                        from: from.clone(),
                        stamp,
                        received_at: now,
                        priorities,
                    };
                    let seen_assignment =
                        self.seen_in_this_incarnation(incarnation, seen_assignment);
                    self.seat_requests
                        .insert(&function, seen_assignment, seat_request);
                    self.dirty.insert(function);
                }
            }
            FrontMessage::SeatAssignment(assignment) => self.on_assignment(now, from, &assignment),
            FrontMessage::Return(returned) => self.on_return(now, from, &returned),
            FrontMessage::Holds {
                stamp,
                incarnation,
                seen_assignment,
                seats,
            } => {
                let seen_assignment = self.seen_in_this_incarnation(incarnation, seen_assignment);
                self.on_holds(from, stamp, seen_assignment, seats);
            }
            FrontMessage::Handover {
                runner,
                epoch,
                leased,
                over_in_ms,
            } => {
                if self.handovers.len() < MAX_LIST_ENTRIES {
                    self.handovers
                        .insert((runner, epoch), (leased, now + over_in_ms));
                    self.apply_handovers(now);
                }
            }
        }
        self.dispatch(now);
    }

    fn on_return(&mut self, now: u64, from: &PeerRef, returned: &Return) {
        let bounds = &self.configuration.bounds;
        let (seat_no, took_ms) = (returned.seat_no, returned.took_ms);
        let entry = self.index.runner(&self.plan, &returned.runner);
        let typical_response_time =
            entry.map_or(0, |entry| self.index.typical_response_time(&entry.function));
        if let Some(owned) = self.owned.get_mut(&returned.runner) {
            if owned.accept_return(from, seat_no, took_ms, typical_response_time) {
                if returned.is_bad {
                    owned.record_fault(now, bounds);
                }
                if returned.is_absent {
                    owned.record_absence(now);
                }
                self.dirty.insert(owned.entry.function.clone());
                return;
            }
        }
        for ((name, _), former) in &mut self.former {
            if *name == returned.runner {
                former
                    .owned
                    .accept_return(from, seat_no, took_ms, typical_response_time);
            }
        }
    }

    /// Seat numbers of another incarnation of this front cannot be compared with this one's, so they count as 0.
    fn seen_in_this_incarnation(&self, incarnation: u64, seen_assignment: u64) -> u64 {
        if incarnation == self.local_peer.incarnation {
            seen_assignment
        } else {
            0
        }
    }

    /// Frees the seats that the front has seen but does not list as held, so that a lost return does not leak a
    /// seat.
    fn on_holds(&mut self, from: &PeerRef, stamp: u64, seen_assignment: u64, seats: Vec<u64>) {
        let newest = self
            .seat_requests
            .holds_stamps
            .entry(from.clone())
            .or_default();
        if stamp < *newest {
            return;
        }
        *newest = stamp;
        self.seat_requests.acknowledge_up_to(from, seen_assignment);
        let seats: BTreeSet<u64> = seats.into_iter().collect();
        let formers = self.former.values_mut().map(|former| &mut former.owned);
        for owned in self.owned.values_mut().chain(formers) {
            let before = owned.leased.len();
            owned.leased.retain(|seat_no, leased| {
                leased.to != *from || *seat_no > seen_assignment || seats.contains(seat_no)
            });
            if owned.leased.len() < before {
                self.dirty.insert(owned.entry.function.clone());
            }
        }
    }
}
