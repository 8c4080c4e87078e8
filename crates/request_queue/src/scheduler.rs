use crate::action::{Action, AttemptOutcome, QueuedRequest, Rejection, SeatGrant};
use crate::index::Index;
use crate::message::FrontMessage;
use crate::owned::OwnedRunner;
use crate::queue::{Admission, RequestQueue};
use crate::quorum_lease::QuorumLease;
use crate::retry_budget::RetryBudget;
use crate::seat_requests::SeatRequestTable;
use configuration::{Configuration, PeerRef, Plan, Version};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Number of responses over which a function's response time is averaged.
const RESPONSE_TIME_SAMPLES: f64 = 20.0;
/// Bits of a seat number that count the seats of one incarnation.
const SEAT_NUMBER_BITS: u32 = 32;
/// Number of distinct incarnations in the upper bits of a seat number.
const INCARNATIONS: u64 = 1 << 31;

#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub arrived: u64,
    pub answered: u64,
    pub rejected: u64,
    /// Average response time in milliseconds as measured by this front; the newest responses weigh most.
    pub response_time_ms: f64,
    /// Average absolute deviation from it, in milliseconds.
    pub spread_ms: f64,
}

impl Counts {
    /// Time that must be left of a budget for an attempt: the average response time plus four times the
    /// deviation. With less time left, the attempt would mostly fail and occupy its seat for the whole budget.
    fn needed_ms(&self) -> u64 {
        (self.response_time_ms + 4.0 * self.spread_ms) as u64
    }

    fn record_response(&mut self, took_ms: u64) {
        self.answered += 1;
        let weight = 1.0 / RESPONSE_TIME_SAMPLES.min(self.answered as f64);
        let deviation = took_ms as f64 - self.response_time_ms;
        let is_first = self.answered == 1;
        let spread = if is_first {
            took_ms as f64 / 8.0
        } else {
            deviation.abs()
        };
        self.response_time_ms += weight * deviation;
        self.spread_ms += weight * (spread - self.spread_ms);
    }
}

#[derive(Debug)]
pub(crate) struct HeldSeat {
    pub grant: SeatGrant,
    /// If the response was lost: the time by which the runner must have given up.
    pub lost_until: Option<u64>,
}

/// A runner that this front owned until another front became its owner.
#[derive(Debug)]
pub(crate) struct FormerRunner {
    pub owned: OwnedRunner,
    pub to: PeerRef,
    pub since: u64,
}

/// A front's scheduler: decides about requests, seats and the quorum lease.
pub struct SeatScheduler {
    pub(crate) local_peer: PeerRef,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) configuration_version: Version,
    pub(crate) plan: Arc<Plan>,
    pub(crate) plan_version: Version,
    pub(crate) index: Index,
    pub(crate) is_ready: bool,
    pub(crate) is_draining: bool,
    pub(crate) quorum_lease: QuorumLease,
    pub(crate) queues: BTreeMap<String, RequestQueue>,
    pub(crate) counts: BTreeMap<String, Counts>,
    pub(crate) owned: BTreeMap<String, OwnedRunner>,
    pub(crate) former: BTreeMap<(String, u64), FormerRunner>,
    pub(crate) handovers: BTreeMap<(String, u64), (u32, u64)>,
    pub(crate) seat_requests: SeatRequestTable,
    pub(crate) seats: BTreeMap<(String, u64), HeldSeat>,
    pub(crate) next_seat: u64,
    /// Whether open seat requests are sent again although nothing changed.
    pub(crate) refreshes_seat_requests: bool,
    pub(crate) dirty: BTreeSet<String>,
    pub(crate) actions: Vec<Action>,
    pub(crate) retry_budget: RetryBudget,
    /// Requests whose attempt reached no runner and that wait for retry credit.
    pub(crate) deferred: VecDeque<QueuedRequest>,
    next_heartbeat: u64,
}

impl SeatScheduler {
    /// Creates a scheduler without configuration or plan, which accepts no requests yet.
    pub fn new(local_peer: PeerRef) -> Self {
        // Each incarnation has its own range of seat numbers, so that a seat from before a restart, which may
        // still be leased, is never mistaken for a new one.
        let first_seat = ((local_peer.incarnation % INCARNATIONS) << SEAT_NUMBER_BITS) + 1;
        Self {
            local_peer,
            configuration: Arc::new(Configuration::empty()),
            configuration_version: Version::default(),
            plan: Arc::default(),
            plan_version: Version::default(),
            index: Index::default(),
            is_ready: false,
            is_draining: false,
            quorum_lease: QuorumLease::default(),
            queues: BTreeMap::new(),
            counts: BTreeMap::new(),
            owned: BTreeMap::new(),
            former: BTreeMap::new(),
            handovers: BTreeMap::new(),
            seat_requests: SeatRequestTable::default(),
            seats: BTreeMap::new(),
            next_seat: first_seat,
            refreshes_seat_requests: false,
            dirty: BTreeSet::new(),
            actions: Vec::new(),
            retry_budget: RetryBudget::default(),
            deferred: VecDeque::new(),
            next_heartbeat: 0,
        }
    }

    /// Takes the actions that the front must carry out now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Declares that the configuration was read in a way that cannot miss a newer one held before a restart.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// Whether [`SeatScheduler::set_ready`] was called.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Starts draining: no new requests are accepted from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether no request is queued, no seat is held and no seat is leased.
    pub fn is_idle(&self) -> bool {
        let is_out = |owned: &OwnedRunner| !owned.leased.is_empty();
        self.queues.values().all(RequestQueue::is_empty)
            && self.deferred.is_empty()
            && self.seats.is_empty()
            && !self.owned.values().any(is_out)
            && !self.former.values().any(|former| is_out(&former.owned))
    }

    /// Whether this front has a quorum lease.
    pub fn has_quorum(&self, now: u64) -> bool {
        let lease = self.configuration.bounds.lease_ms();
        self.is_ready
            && self
                .quorum_lease
                .is_held(&self.local_peer.name, &self.plan, now, lease)
    }

    /// Versions of configuration and plan in force here.
    pub fn versions(&self) -> (Version, Version) {
        (self.configuration_version, self.plan_version)
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.configuration.clone()
    }

    /// The plan in force here.
    pub fn plan(&self) -> Arc<Plan> {
        self.plan.clone()
    }

    /// Whether a new request for the function may be queued, or why not.
    pub fn check_admission(&self, now: u64, function: &str) -> Result<(), Rejection> {
        if self.is_draining {
            return Err(Rejection::Draining);
        }
        if !self.has_quorum(now) {
            return Err(Rejection::NoQuorum);
        }
        if self.configuration.function_spec(function).is_none() {
            return Err(Rejection::Unlisted);
        }
        Ok(())
    }

    /// Counts a request that arrived, including one that is rejected before it is queued.
    pub fn count_arrival(&mut self, function: &str) {
        let counts = self.counts.entry(function.to_string()).or_default();
        counts.arrived += 1;
    }

    /// Queues a new request or rejects it.
    pub fn arrive(&mut self, now: u64, queued_request: QueuedRequest) {
        if let Err(rejection) = self.check_admission(now, &queued_request.function) {
            return self.reject(queued_request, rejection);
        }
        self.enqueue(now, queued_request);
        self.dispatch(now);
    }

    pub(crate) fn enqueue(&mut self, now: u64, queued_request: QueuedRequest) {
        if queued_request.budget_end <= now {
            return self.reject(queued_request, Rejection::BudgetOver);
        }
        let function = queued_request.function.clone();
        let limit = self.configuration.bounds.queue_max as usize;
        let queue = self.queues.entry(function.clone()).or_default();
        match queue.admit(queued_request, limit) {
            Admission::Queued => {}
            Admission::QueuedAfterShedding(shed) => self.reject(shed, Rejection::Shed),
            Admission::Full(queued_request) => self.reject(queued_request, Rejection::QueueFull),
        }
        self.dirty.insert(function);
    }

    pub(crate) fn reject(&mut self, queued_request: QueuedRequest, rejection: Rejection) {
        let counts = self
            .counts
            .entry(queued_request.function.clone())
            .or_default();
        counts.rejected += 1;
        self.actions.push(Action::Refuse(queued_request, rejection));
    }

    /// Whether an attempt may be sent. Called right before sending; if false, nothing may be sent.
    pub fn permit(&mut self, now: u64, queued_request: &QueuedRequest, seat: &SeatGrant) -> bool {
        let entry = self.index.runner(&self.plan, &seat.runner);
        let is_current = entry.is_some_and(|entry| {
            entry.owner_epoch == seat.epoch
                && entry.owner == seat.owner
                && entry.address == seat.address
                && self.may_run_on(entry)
                && self.configuration.function_spec(&entry.function).is_some()
        });
        let is_held = self
            .seats
            .contains_key(&(seat.owner.name.clone(), seat.seat_no));
        is_current
            && is_held
            && now < seat.start_by
            && now < queued_request.budget_end
            && self.has_quorum(now)
    }

    /// Records the end of an attempt: its seat is returned, or kept while the request may still be running.
    pub fn attempt_done(&mut self, now: u64, seat: &SeatGrant, outcome: AttemptOutcome) {
        let key = (seat.owner.name.clone(), seat.seat_no);
        if matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::Broken) {
            let rest = match outcome {
                AttemptOutcome::Lost => self.longest_budget(&seat.function),
                _ => 0,
            };
            let until = now + rest + self.configuration.bounds.slack_ms();
            if let Some(held) = self.seats.get_mut(&key) {
                held.lost_until = Some(until);
            }
            return;
        }
        if let AttemptOutcome::Answered(took_ms) = outcome {
            let counts = self.counts.entry(seat.function.clone()).or_default();
            counts.record_response(took_ms);
        }
        if let Some(held) = self.seats.remove(&key) {
            self.return_seat(now, &held.grant, outcome);
        }
        self.dispatch(now);
    }

    pub(crate) fn longest_budget(&self, function: &str) -> u64 {
        self.configuration.function_spec(function).map_or_else(
            || self.configuration.longest_budget_ms(),
            |function_spec| function_spec.budget_ms,
        )
    }

    /// Runs the periodic work: expires budgets, reclaims seats and sends heartbeats.
    pub fn tick(&mut self, now: u64) {
        for function in self.queues.keys().cloned().collect::<Vec<_>>() {
            self.reject_unfinishable(now, &function);
        }
        self.reject_expired_deferred(now);
        if !self.has_quorum(now) {
            self.reject_all(Rejection::NoQuorum);
        }
        self.end_lost_seats(now);
        self.refresh_owned(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.configuration.bounds.heartbeat_ms();
            self.heartbeat(now);
            self.report_holds(now);
            self.send_handovers(now);
            self.dirty.extend(self.queues.keys().cloned());
            self.refreshes_seat_requests = true;
        }
        self.dispatch(now);
        self.refreshes_seat_requests = false;
        self.queues.retain(|_, queue| !queue.is_empty());
    }

    fn end_lost_seats(&mut self, now: u64) {
        let is_over = |held: &HeldSeat| held.lost_until.is_some_and(|until| until <= now);
        let ended: Vec<_> = self
            .seats
            .iter()
            .filter(|(_, held)| is_over(held))
            .map(|(key, _)| key.clone())
            .collect();
        for key in ended {
            if let Some(held) = self.seats.remove(&key) {
                self.return_seat(now, &held.grant, AttemptOutcome::Lost);
            }
        }
    }

    /// Rejects at once the requests that can no longer finish within their budget.
    pub(crate) fn reject_unfinishable(&mut self, now: u64, function: &str) {
        let needed = self.counts.get(function).map_or(0, Counts::needed_ms);
        let Some(queue) = self.queues.get_mut(function) else {
            return;
        };
        let expired = queue.expire(now, needed);
        if !expired.is_empty() {
            self.dirty.insert(function.to_string());
        }
        for queued_request in expired {
            self.reject(queued_request, Rejection::BudgetOver);
        }
    }

    fn reject_all(&mut self, rejection: Rejection) {
        let queues = std::mem::take(&mut self.queues).into_values();
        let queued = queues.flat_map(|mut queue| queue.clear());
        let deferred = std::mem::take(&mut self.deferred);
        for queued_request in queued.chain(deferred) {
            self.reject(queued_request, rejection);
        }
    }

    fn heartbeat(&mut self, now: u64) {
        for name in self.plan.membership.clone() {
            if name == self.local_peer.name {
                continue;
            }
            let heartbeat = FrontMessage::Heartbeat {
                stamp: now,
                plan: self.plan_version,
                configuration: self.configuration_version,
                last_assignment: self.seat_requests.last_assignment(&name),
            };
            self.actions.push(Action::Send(name, heartbeat));
        }
    }
}
