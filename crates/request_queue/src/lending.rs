use crate::action::{Action, SeatGrant, TryEnd};
use crate::desk::{Desk, HeldSeat};
use crate::kept::Kept;
use crate::message::{Award, DeskMessage, RankCount, Return};
use configuration::{PeerRef, RunnerEntry, RunnerState};
use std::collections::BTreeMap;

/// Who is served next by a keeper: this front's own holding, or another front's bid.
struct Candidate {
    rank: u8,
    since: u64,
    front: Option<String>,
}

impl Desk {
    /// Lends what is free to what waits, and bids at other keepers for the rest.
    pub(crate) fn settle(&mut self, now: u64) {
        let dirty = std::mem::take(&mut self.dirty);
        if !self.has_standing(now) {
            return;
        }
        for function in dirty {
            self.refuse_hopeless(now, &function);
            while self.lend_one(now, &function) {}
            self.send_bids(now, &function);
        }
    }

    fn lend_one(&mut self, now: u64, function: &str) -> bool {
        let Some(candidate) = self.elect_candidate(now, function) else {
            return false;
        };
        let waited_ms = now.saturating_sub(candidate.since);
        let Some(elected_runner) = self.elect_runner(now, function, waited_ms) else {
            return false;
        };
        for kept in self.kept.values_mut() {
            if kept.entry.function == function && kept.entry.id != elected_runner {
                kept.pass_over();
            }
        }
        let seat_no = self.next_seat;
        self.next_seat += 1;
        match candidate.front {
            None => self.lend_own(now, function, &elected_runner, seat_no),
            Some(front) => {
                self.lend_other(
                    now,
                    function,
                    &elected_runner,
                    seat_no,
                    &front,
                    candidate.rank,
                );
            }
        }
        true
    }

    /// The runner of this keeper with the most predicted throughput to spare.
    fn elect_runner(&self, now: u64, function: &str, waited_ms: u64) -> Option<String> {
        let listing = self.blueprint.listing(function)?;
        let last_resort = self.last_resort(function);
        let good_pace = self.index.good_pace(function);
        let spare = |kept: &Kept, free: u32| {
            let may_lend = free > 0
                && self.blueprint.is_open(&kept.entry.district)
                && (!kept.is_slow(good_pace) || kept.may_try_slow(now, waited_ms));
            let spare = (f64::from(free) * 1e6 / kept.pace_ms(good_pace).max(1.0)) as u64;
            let is_trial = kept.is_slow(good_pace) && kept.is_trial_due(now);
            may_lend.then_some(if is_trial { u64::MAX } else { spare })
        };
        let scored = self.kept.iter().filter_map(|(runner, kept)| {
            if kept.entry.function != function {
                return None;
            }
            let is_last = last_resort.as_ref() == Some(runner);
            let free = kept.free(now, listing.concurrency, is_last);
            Some((spare(kept, free)?, runner))
        });
        scored.max().map(|(_, runner)| runner.clone())
    }

    /// One wanted runner of each function is never left out as unfit.
    fn last_resort(&self, function: &str) -> Option<String> {
        let entries = self.index.entries(&self.plan, function);
        let wanted = entries.filter(|entry| self.may_run_on(entry));
        wanted.map(|entry| &entry.id).min().cloned()
    }

    fn elect_candidate(&self, now: u64, function: &str) -> Option<Candidate> {
        let own = self
            .holdings
            .get(function)
            .map(|holding| holding.ranks(now));
        let own = own.into_iter().flatten().map(|count| Candidate {
            rank: count.rank,
            since: now.saturating_sub(count.oldest_ms),
            front: None,
        });
        let heard_since = now.saturating_sub(self.blueprint.bounds.lease_ms());
        let bids = self.bids.of(function, heard_since).flat_map(|bid| {
            bid.ranks.iter().map(|count| Candidate {
                rank: count.rank,
                since: bid.heard_at.saturating_sub(count.oldest_ms),
                front: Some(bid.from.name.clone()),
            })
        });
        let by_age = self.next_seat.is_multiple_of(crate::holding::AGEING_SHARE);
        own.chain(bids).min_by_key(|candidate| {
            let rank = if by_age { 0 } else { candidate.rank };
            (rank, candidate.since)
        })
    }

    /// When a seat that is lent now can surely not be in use any more.
    fn reclaim_at(&self, now: u64, function: &str) -> u64 {
        let bounds = &self.blueprint.bounds;
        now + bounds.seat_window_ms() + self.longest_budget(function) + 2 * bounds.slack_ms()
    }

    fn lend_own(&mut self, now: u64, function: &str, runner: &str, seat_no: u64) {
        let reclaim_at = self.reclaim_at(now, function);
        let Some(ticket) = self.holdings.get_mut(function).and_then(|held| held.take()) else {
            return;
        };
        let me = self.me.clone();
        let Some(kept) = self.kept.get_mut(runner) else {
            return;
        };
        kept.lend(seat_no, me.clone(), reclaim_at);
        let entry = kept.entry.clone();
        let grant = self.grant(now, &entry, me, seat_no);
        self.launch(ticket, grant);
    }

    fn lend_other(
        &mut self,
        now: u64,
        function: &str,
        runner: &str,
        seat_no: u64,
        front: &str,
        rank: u8,
    ) {
        let reclaim_at = self.reclaim_at(now, function);
        let heard_since = now.saturating_sub(self.blueprint.bounds.lease_ms());
        let bidder = self
            .bids
            .of(function, heard_since)
            .find(|bid| bid.from.name == front)
            .map(|bid| bid.from.clone());
        let Some((bidder, stamp)) = bidder.zip(self.bids.serve(function, front, rank)) else {
            return;
        };
        let Some(kept) = self.kept.get_mut(runner) else {
            return;
        };
        kept.lend(seat_no, bidder.clone(), reclaim_at);
        let epoch = kept.entry.keeper_epoch;
        self.bids.note_award(&bidder, seat_no, function);
        let award = DeskMessage::Award(Award {
            stamp,
            function: function.to_string(),
            runner: runner.to_string(),
            epoch,
            seat_no,
        });
        self.actions.push(Action::Send(front.to_string(), award));
    }

    fn grant(&self, start: u64, entry: &RunnerEntry, keeper: PeerRef, seat_no: u64) -> SeatGrant {
        SeatGrant {
            runner: entry.id.clone(),
            function: entry.function.clone(),
            address: entry.address.clone(),
            key: entry.key.clone(),
            keeper,
            epoch: entry.keeper_epoch,
            seat_no,
            start_by: start + self.blueprint.bounds.seat_window_ms(),
        }
    }

    fn launch(&mut self, ticket: crate::Ticket, grant: SeatGrant) {
        let key = (grant.keeper.name.clone(), grant.seat_no);
        let held = HeldSeat {
            grant: grant.clone(),
            lost_until: None,
        };
        self.seats.insert(key, held);
        self.actions.push(Action::Launch(ticket, grant));
    }

    /// A seat was lent to this front: the best waiting ticket takes it, or it goes back.
    pub(crate) fn on_award(&mut self, now: u64, from: &PeerRef, award: &Award) {
        if !self.bids.see(from, award.seat_no) {
            return;
        }
        let entry = self.index.runner(&self.plan, &award.runner);
        let entry = entry.cloned().filter(|entry| {
            entry.keeper == *from
                && entry.keeper_epoch == award.epoch
                && entry.function == award.function
                && self.may_run_on(entry)
        });
        let is_fresh = now < award.stamp + self.blueprint.bounds.seat_window_ms();
        let usable = entry.filter(|_| is_fresh && self.has_standing(now));
        self.refuse_hopeless(now, &award.function);
        let ticket = usable
            .is_some()
            .then(|| self.holdings.get_mut(&award.function)?.take())
            .flatten();
        self.dirty.insert(award.function.clone());
        let Some((entry, ticket)) = usable.zip(ticket) else {
            let give_back = returning(&award.runner, award.seat_no, TryEnd::Unsent);
            self.actions
                .push(Action::Send(from.name.clone(), give_back));
            return;
        };
        let grant = self.grant(award.stamp, &entry, from.clone(), award.seat_no);
        self.launch(ticket, grant);
    }

    /// Whether new work may go to a runner by plan and blueprint.
    pub(crate) fn may_run_on(&self, entry: &RunnerEntry) -> bool {
        entry.state == RunnerState::Wanted && self.blueprint.is_open(&entry.district)
    }

    /// Gives a seat back to its keeper, which may be this front.
    pub(crate) fn give_back(&mut self, now: u64, grant: &SeatGrant, end: TryEnd) {
        let message = returning(&grant.runner, grant.seat_no, end);
        if grant.keeper == self.me {
            self.on_message(now, &self.me.clone(), message);
        } else {
            let keeper = grant.keeper.name.clone();
            self.actions.push(Action::Send(keeper, message));
        }
    }

    /// Bids at other keepers for what waits, shared out by the predicted throughput of their runners.
    fn send_bids(&mut self, now: u64, function: &str) {
        let lease = self.blueprint.bounds.lease_ms();
        let good_pace = self.index.good_pace(function).max(1);
        let mut weights: BTreeMap<String, u64> = BTreeMap::new();
        for entry in self.index.entries(&self.plan, function) {
            let is_candidate = self.may_run_on(entry)
                && (entry.keeper == self.me
                    || self.standing.heard_within(&entry.keeper.name, now, lease));
            if is_candidate {
                let pace = if entry.pace_ms > 0 {
                    entry.pace_ms
                } else {
                    good_pace
                };
                let throughput = u64::from(entry.quota) * 1_000_000 / u64::from(pace);
                *weights.entry(entry.keeper.name.clone()).or_default() += throughput;
            }
        }
        let ranks = self
            .holdings
            .get(function)
            .map_or_else(Vec::new, |holding| holding.ranks(now));
        let waiting: u32 = ranks.iter().map(|count| count.count).sum();
        let total: u64 = weights.values().sum::<u64>().max(1);
        for name in self.bids.sent_to(function) {
            weights.entry(name).or_default();
        }
        weights.remove(&self.me.name);
        for (keeper, weight) in weights {
            let share = (u64::from(waiting) * weight).div_ceil(total);
            let bid = first_of(&ranks, share as u32);
            let (life, seen_award) = self.bids.seen(&keeper);
            if !self.is_news(function, &keeper, &bid, seen_award) {
                continue;
            }
            let message = DeskMessage::Bid {
                stamp: now,
                life,
                seen_award,
                function: function.to_string(),
                ranks: bid,
            };
            self.actions.push(Action::Send(keeper, message));
        }
    }

    /// Whether a bid says anything that the last one to this keeper did not. Bids answer bids, so
    /// that repeating them at once would never end.
    fn is_news(&mut self, function: &str, keeper: &str, bid: &[RankCount], seen: u64) -> bool {
        let place = (function.to_string(), keeper.to_string());
        let counts: Vec<(u8, u32)> = bid.iter().map(|one| (one.rank, one.count)).collect();
        let last = self.bids.sent.get(&place);
        if counts.is_empty() {
            return self.bids.sent.remove(&place).is_some();
        }
        if !self.refreshes_bids && last == Some(&(counts.clone(), seen)) {
            return false;
        }
        self.bids.sent.insert(place, (counts, seen));
        true
    }

    pub(crate) fn report_holds(&mut self, now: u64) {
        let mut held: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for entry in &self.plan.runners {
            if entry.keeper != self.me {
                held.entry(entry.keeper.name.clone()).or_default();
            }
        }
        for (keeper, seat_no) in self.seats.keys() {
            if let Some(seats) = held.get_mut(keeper) {
                seats.push(*seat_no);
            }
        }
        for (keeper, seats) in held {
            let (life, seen_award) = self.bids.seen(&keeper);
            let message = DeskMessage::Holds {
                stamp: now,
                life,
                seen_award,
                seats,
            };
            self.actions.push(Action::Send(keeper, message));
        }
    }
}

fn returning(runner: &str, seat_no: u64, end: TryEnd) -> DeskMessage {
    let took_ms = match end {
        TryEnd::Answered(took_ms) => Some(took_ms),
        _ => None,
    };
    DeskMessage::Return(Return {
        runner: runner.to_string(),
        seat_no,
        took_ms,
        is_bad: matches!(end, TryEnd::Bad | TryEnd::Broken | TryEnd::Lost),
        is_absent: end == TryEnd::Absent,
    })
}

/// The first `share` tickets of what waits.
fn first_of(ranks: &[RankCount], share: u32) -> Vec<RankCount> {
    let mut left = share;
    let mut first = Vec::new();
    for count in ranks {
        let taken = count.count.min(left);
        left -= taken;
        if taken > 0 {
            first.push(RankCount {
                count: taken,
                ..count.clone()
            });
        }
    }
    first
}
