use crate::action::{Action, Refusal, SeatGrant, Ticket, TryEnd};
use crate::allowance::Allowance;
use crate::bids::BidTable;
use crate::holding::{Admission, Holding};
use crate::index::Index;
use crate::kept::Kept;
use crate::message::DeskMessage;
use crate::standing::Standing;
use configuration::{Blueprint, PeerRef, Plan, Version};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Answers over which a function's pace is taken.
const PACE_SPAN: f64 = 20.0;
/// Seats that one life may number, in bits, and lives that number them apart.
const SEATS_BITS: u32 = 32;
const LIVES: u64 = 1 << 31;

#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub arrived: u64,
    pub answered: u64,
    pub refused: u64,
    /// Milliseconds that an answer takes, as seen from here; the newest answers weigh most.
    pub pace_ms: f64,
    /// How far answers are off that, in milliseconds.
    pub spread_ms: f64,
}

impl Counts {
    /// Time that must be left for a try to be worth its seat: what an answer takes, and four times
    /// the spread. Work that is sent with less is mostly lost, and holds its seat for the whole budget.
    fn needed_ms(&self) -> u64 {
        (self.pace_ms + 4.0 * self.spread_ms) as u64
    }

    fn learn(&mut self, took_ms: u64) {
        self.answered += 1;
        let weight = 1.0 / PACE_SPAN.min(self.answered as f64);
        let off = took_ms as f64 - self.pace_ms;
        let is_first = self.answered == 1;
        let spread = if is_first {
            took_ms as f64 / 8.0
        } else {
            off.abs()
        };
        self.pace_ms += weight * off;
        self.spread_ms += weight * (spread - self.spread_ms);
    }
}

#[derive(Debug)]
pub(crate) struct HeldSeat {
    pub grant: SeatGrant,
    /// Where the answer was lost: when the runner has surely given up.
    pub lost_until: Option<u64>,
}

/// A runner that this front kept until another front became its keeper.
#[derive(Debug)]
pub(crate) struct Former {
    pub kept: Kept,
    pub to: PeerRef,
    pub since: u64,
}

/// A front's desk: all that it decides about tickets, seats and standing.
pub struct Desk {
    pub(crate) me: PeerRef,
    pub(crate) blueprint: Arc<Blueprint>,
    pub(crate) blueprint_version: Version,
    pub(crate) plan: Arc<Plan>,
    pub(crate) plan_version: Version,
    pub(crate) index: Index,
    pub(crate) is_ready: bool,
    pub(crate) is_draining: bool,
    pub(crate) standing: Standing,
    pub(crate) holdings: BTreeMap<String, Holding>,
    pub(crate) counts: BTreeMap<String, Counts>,
    pub(crate) kept: BTreeMap<String, Kept>,
    pub(crate) former: BTreeMap<(String, u64), Former>,
    pub(crate) handovers: BTreeMap<(String, u64), (u32, u64)>,
    pub(crate) bids: BidTable,
    pub(crate) seats: BTreeMap<(String, u64), HeldSeat>,
    pub(crate) next_seat: u64,
    /// Whether standing bids are sent again though nothing changed.
    pub(crate) refreshes_bids: bool,
    pub(crate) dirty: BTreeSet<String>,
    pub(crate) actions: Vec<Action>,
    pub(crate) allowance: Allowance,
    /// Tickets whose try reached no runner, and that wait for credit to be sent again.
    pub(crate) deferred: VecDeque<Ticket>,
    next_beat: u64,
}

impl Desk {
    /// A desk that knows nothing yet and takes no work.
    pub fn new(me: PeerRef) -> Self {
        // Seats are numbered apart in each life, so that one from before a restart, which may still
        // be out, is never taken for a new one.
        let first_seat = ((me.incarnation % LIVES) << SEATS_BITS) + 1;
        Self {
            me,
            blueprint: Arc::new(Blueprint::empty()),
            blueprint_version: Version::default(),
            plan: Arc::default(),
            plan_version: Version::default(),
            index: Index::default(),
            is_ready: false,
            is_draining: false,
            standing: Standing::default(),
            holdings: BTreeMap::new(),
            counts: BTreeMap::new(),
            kept: BTreeMap::new(),
            former: BTreeMap::new(),
            handovers: BTreeMap::new(),
            bids: BidTable::default(),
            seats: BTreeMap::new(),
            next_seat: first_seat,
            refreshes_bids: false,
            dirty: BTreeSet::new(),
            actions: Vec::new(),
            allowance: Allowance::default(),
            deferred: VecDeque::new(),
            next_beat: 0,
        }
    }

    /// What the front must do now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The newest blueprint was learnt in a way that cannot miss a newer one held before a restart.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// Whether [`Desk::set_ready`] was called.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// No new tickets are taken from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether nothing waits, no seat is held and no seat is lent.
    pub fn is_idle(&self) -> bool {
        let is_out = |kept: &Kept| !kept.lent.is_empty();
        self.holdings.values().all(Holding::is_empty)
            && self.deferred.is_empty()
            && self.seats.is_empty()
            && !self.kept.values().any(is_out)
            && !self.former.values().any(|former| is_out(&former.kept))
    }

    /// Whether this front has standing.
    pub fn has_standing(&self, now: u64) -> bool {
        let lease = self.blueprint.bounds.lease_ms();
        self.is_ready && self.standing.holds(&self.me.name, &self.plan, now, lease)
    }

    /// Versions of blueprint and plan in force here.
    pub fn versions(&self) -> (Version, Version) {
        (self.blueprint_version, self.plan_version)
    }

    /// The blueprint in force here.
    pub fn blueprint(&self) -> Arc<Blueprint> {
        self.blueprint.clone()
    }

    /// The plan in force here.
    pub fn plan(&self) -> Arc<Plan> {
        self.plan.clone()
    }

    /// Whether a new ticket for the function would be taken at all.
    pub fn may_take(&self, now: u64, function: &str) -> Result<(), Refusal> {
        if self.is_draining {
            return Err(Refusal::Draining);
        }
        if !self.has_standing(now) {
            return Err(Refusal::NoStanding);
        }
        if self.blueprint.listing(function).is_none() {
            return Err(Refusal::Unlisted);
        }
        Ok(())
    }

    /// Counts a ticket that came in, also one that is refused before it is held.
    pub fn count_arrival(&mut self, function: &str) {
        let counts = self.counts.entry(function.to_string()).or_default();
        counts.arrived += 1;
    }

    /// Takes a ticket in.
    pub fn arrive(&mut self, now: u64, ticket: Ticket) {
        if let Err(refusal) = self.may_take(now, &ticket.function) {
            return self.refuse(ticket, refusal);
        }
        self.hold(now, ticket);
        self.settle(now);
    }

    pub(crate) fn hold(&mut self, now: u64, ticket: Ticket) {
        if ticket.budget_end <= now {
            return self.refuse(ticket, Refusal::BudgetOver);
        }
        let function = ticket.function.clone();
        let most = self.blueprint.bounds.holding_max as usize;
        let holding = self.holdings.entry(function.clone()).or_default();
        match holding.admit(ticket, most) {
            Admission::Held => {}
            Admission::HeldFor(shed) => self.refuse(shed, Refusal::Shed),
            Admission::Full(ticket) => self.refuse(ticket, Refusal::HoldingFull),
        }
        self.dirty.insert(function);
    }

    pub(crate) fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        let counts = self.counts.entry(ticket.function.clone()).or_default();
        counts.refused += 1;
        self.actions.push(Action::Refuse(ticket, refusal));
    }

    /// Asked right before the bytes of a try leave. Without leave nothing may be sent.
    pub fn permit(&mut self, now: u64, ticket: &Ticket, seat: &SeatGrant) -> bool {
        let entry = self.index.runner(&self.plan, &seat.runner);
        let is_current = entry.is_some_and(|entry| {
            entry.keeper_epoch == seat.epoch
                && entry.keeper == seat.keeper
                && entry.address == seat.address
                && self.may_run_on(entry)
                && self.blueprint.listing(&entry.function).is_some()
        });
        let is_held = self
            .seats
            .contains_key(&(seat.keeper.name.clone(), seat.seat_no));
        is_current
            && is_held
            && now < seat.start_by
            && now < ticket.budget_end
            && self.has_standing(now)
    }

    /// A try ended: its seat goes back, or stays taken while the work may still run.
    pub fn try_done(&mut self, now: u64, seat: &SeatGrant, end: TryEnd) {
        let key = (seat.keeper.name.clone(), seat.seat_no);
        if matches!(end, TryEnd::Lost | TryEnd::Broken) {
            let rest = match end {
                TryEnd::Lost => self.longest_budget(&seat.function),
                _ => 0,
            };
            let until = now + rest + self.blueprint.bounds.slack_ms();
            if let Some(held) = self.seats.get_mut(&key) {
                held.lost_until = Some(until);
            }
            return;
        }
        if let TryEnd::Answered(took_ms) = end {
            let counts = self.counts.entry(seat.function.clone()).or_default();
            counts.learn(took_ms);
        }
        if let Some(held) = self.seats.remove(&key) {
            self.give_back(now, &held.grant, end);
        }
        self.settle(now);
    }

    pub(crate) fn longest_budget(&self, function: &str) -> u64 {
        self.blueprint.listing(function).map_or_else(
            || self.blueprint.longest_budget_ms(),
            |listing| listing.budget_ms,
        )
    }

    /// Time goes on: budgets end, seats are reclaimed, heartbeats leave.
    pub fn tick(&mut self, now: u64) {
        for function in self.holdings.keys().cloned().collect::<Vec<_>>() {
            self.refuse_hopeless(now, &function);
        }
        self.refuse_late_deferred(now);
        if !self.has_standing(now) {
            self.refuse_all(Refusal::NoStanding);
        }
        self.end_lost_seats(now);
        self.tend_kept(now);
        if now >= self.next_beat {
            self.next_beat = now + self.blueprint.bounds.beat_ms();
            self.beat(now);
            self.report_holds(now);
            self.send_handovers(now);
            self.dirty.extend(self.holdings.keys().cloned());
            self.refreshes_bids = true;
        }
        self.settle(now);
        self.refreshes_bids = false;
        self.holdings.retain(|_, holding| !holding.is_empty());
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
                self.give_back(now, &held.grant, TryEnd::Lost);
            }
        }
    }

    /// Refuses at once what cannot be answered within its budget any more.
    pub(crate) fn refuse_hopeless(&mut self, now: u64, function: &str) {
        let needed = self.counts.get(function).map_or(0, Counts::needed_ms);
        let Some(holding) = self.holdings.get_mut(function) else {
            return;
        };
        let expired = holding.expire(now, needed);
        if !expired.is_empty() {
            self.dirty.insert(function.to_string());
        }
        for ticket in expired {
            self.refuse(ticket, Refusal::BudgetOver);
        }
    }

    fn refuse_all(&mut self, refusal: Refusal) {
        let holdings = std::mem::take(&mut self.holdings).into_values();
        let held = holdings.flat_map(|mut holding| holding.clear());
        let deferred = std::mem::take(&mut self.deferred);
        for ticket in held.chain(deferred) {
            self.refuse(ticket, refusal);
        }
    }

    fn beat(&mut self, now: u64) {
        for name in self.plan.roster.clone() {
            if name == self.me.name {
                continue;
            }
            let beat = DeskMessage::Beat {
                stamp: now,
                plan: self.plan_version,
                blueprint: self.blueprint_version,
                last_award: self.bids.last_award(&name),
            };
            self.actions.push(Action::Send(name, beat));
        }
    }
}
