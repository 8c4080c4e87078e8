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

/// Answers over which a function's pace is taken.
const RESPONSE_TIME_SPAN: f64 = 20.0;
/// Seats that one incarnation may number, in bits, and incarnations that number them apart.
const SEATS_BITS: u32 = 32;
const LIVES: u64 = 1 << 31;

#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub arrived: u64,
    pub answered: u64,
    pub refused: u64,
    /// Milliseconds that an answer takes, as seen from here; the newest answers weigh most.
    pub response_time_ms: f64,
    /// How far answers are off that, in milliseconds.
    pub spread_ms: f64,
}

impl Counts {
    /// Time that must be left for a try to be worth its seat: what an answer takes, and four times
    /// the spread. Work that is sent with less is mostly lost, and holds its seat for the whole budget.
    fn needed_ms(&self) -> u64 {
        (self.response_time_ms + 4.0 * self.spread_ms) as u64
    }

    fn learn(&mut self, took_ms: u64) {
        self.answered += 1;
        let weight = 1.0 / RESPONSE_TIME_SPAN.min(self.answered as f64);
        let off = took_ms as f64 - self.response_time_ms;
        let is_first = self.answered == 1;
        let spread = if is_first {
            took_ms as f64 / 8.0
        } else {
            off.abs()
        };
        self.response_time_ms += weight * off;
        self.spread_ms += weight * (spread - self.spread_ms);
    }
}

#[derive(Debug)]
pub(crate) struct HeldSeat {
    pub grant: SeatGrant,
    /// Where the answer was lost: when the runner has surely given up.
    pub lost_until: Option<u64>,
}

/// A runner that this front kept until another front became its owner.
#[derive(Debug)]
pub(crate) struct Former {
    pub owned: OwnedRunner,
    pub to: PeerRef,
    pub since: u64,
}

/// A front's scheduler: all that it decides about requests, seats and its quorum lease.
pub struct SeatScheduler {
    pub(crate) me: PeerRef,
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
    pub(crate) former: BTreeMap<(String, u64), Former>,
    pub(crate) handovers: BTreeMap<(String, u64), (u32, u64)>,
    pub(crate) seat_requests: SeatRequestTable,
    pub(crate) seats: BTreeMap<(String, u64), HeldSeat>,
    pub(crate) next_seat: u64,
    /// Whether open seat requests are sent again though nothing changed.
    pub(crate) refreshes_seat_requests: bool,
    pub(crate) dirty: BTreeSet<String>,
    pub(crate) actions: Vec<Action>,
    pub(crate) retry_budget: RetryBudget,
    /// Requests whose try reached no runner, and that wait for credit to be sent again.
    pub(crate) deferred: VecDeque<QueuedRequest>,
    next_heartbeat: u64,
}

impl SeatScheduler {
    /// A scheduler that knows nothing yet and takes no work.
    pub fn new(me: PeerRef) -> Self {
        // Seats are numbered apart in each incarnation, so that one from before a restart, which may still
        // be out, is never taken for a new one.
        let first_seat = ((me.incarnation % LIVES) << SEATS_BITS) + 1;
        Self {
            me,
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

    /// What the front must do now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The newest configuration was learnt in a way that cannot miss a newer one held before a restart.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// Whether [`SeatScheduler::set_ready`] was called.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// No new requests are taken from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether nothing waits, no seat is held and no seat is lent.
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
                .holds(&self.me.name, &self.plan, now, lease)
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

    /// Whether a new request for the function would be taken at all.
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

    /// Counts a request that came in, also one that is refused before it is held.
    pub fn count_arrival(&mut self, function: &str) {
        let counts = self.counts.entry(function.to_string()).or_default();
        counts.arrived += 1;
    }

    /// Takes a request in.
    pub fn arrive(&mut self, now: u64, queued_request: QueuedRequest) {
        if let Err(rejection) = self.check_admission(now, &queued_request.function) {
            return self.refuse(queued_request, rejection);
        }
        self.hold(now, queued_request);
        self.settle(now);
    }

    pub(crate) fn hold(&mut self, now: u64, queued_request: QueuedRequest) {
        if queued_request.budget_end <= now {
            return self.refuse(queued_request, Rejection::BudgetOver);
        }
        let function = queued_request.function.clone();
        let most = self.configuration.bounds.queue_max as usize;
        let queue = self.queues.entry(function.clone()).or_default();
        match queue.admit(queued_request, most) {
            Admission::Held => {}
            Admission::HeldAfterShedding(shed) => self.refuse(shed, Rejection::Shed),
            Admission::Full(queued_request) => self.refuse(queued_request, Rejection::QueueFull),
        }
        self.dirty.insert(function);
    }

    pub(crate) fn refuse(&mut self, queued_request: QueuedRequest, rejection: Rejection) {
        let counts = self
            .counts
            .entry(queued_request.function.clone())
            .or_default();
        counts.refused += 1;
        self.actions.push(Action::Refuse(queued_request, rejection));
    }

    /// Asked right before the bytes of a try leave. Without leave nothing may be sent.
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

    /// A try ended: its seat goes back, or stays taken while the work may still run.
    pub fn attempt_done(&mut self, now: u64, seat: &SeatGrant, end: AttemptOutcome) {
        let key = (seat.owner.name.clone(), seat.seat_no);
        if matches!(end, AttemptOutcome::Lost | AttemptOutcome::Broken) {
            let rest = match end {
                AttemptOutcome::Lost => self.longest_budget(&seat.function),
                _ => 0,
            };
            let until = now + rest + self.configuration.bounds.slack_ms();
            if let Some(held) = self.seats.get_mut(&key) {
                held.lost_until = Some(until);
            }
            return;
        }
        if let AttemptOutcome::Answered(took_ms) = end {
            let counts = self.counts.entry(seat.function.clone()).or_default();
            counts.learn(took_ms);
        }
        if let Some(held) = self.seats.remove(&key) {
            self.give_back(now, &held.grant, end);
        }
        self.settle(now);
    }

    pub(crate) fn longest_budget(&self, function: &str) -> u64 {
        self.configuration.function_spec(function).map_or_else(
            || self.configuration.longest_budget_ms(),
            |function_spec| function_spec.budget_ms,
        )
    }

    /// Time goes on: budgets end, seats are reclaimed, heartbeats leave.
    pub fn tick(&mut self, now: u64) {
        for function in self.queues.keys().cloned().collect::<Vec<_>>() {
            self.refuse_hopeless(now, &function);
        }
        self.refuse_late_deferred(now);
        if !self.has_quorum(now) {
            self.refuse_all(Rejection::NoQuorum);
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
        self.settle(now);
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
                self.give_back(now, &held.grant, AttemptOutcome::Lost);
            }
        }
    }

    /// Refuses at once what cannot be answered within its budget any more.
    pub(crate) fn refuse_hopeless(&mut self, now: u64, function: &str) {
        let needed = self.counts.get(function).map_or(0, Counts::needed_ms);
        let Some(queue) = self.queues.get_mut(function) else {
            return;
        };
        let expired = queue.expire(now, needed);
        if !expired.is_empty() {
            self.dirty.insert(function.to_string());
        }
        for queued_request in expired {
            self.refuse(queued_request, Rejection::BudgetOver);
        }
    }

    fn refuse_all(&mut self, rejection: Rejection) {
        let queues = std::mem::take(&mut self.queues).into_values();
        let held = queues.flat_map(|mut queue| queue.clear());
        let deferred = std::mem::take(&mut self.deferred);
        for queued_request in held.chain(deferred) {
            self.refuse(queued_request, rejection);
        }
    }

    fn heartbeat(&mut self, now: u64) {
        for name in self.plan.membership.clone() {
            if name == self.me.name {
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
