use crate::action::Action;
use crate::bids::StandingBid;
use crate::desk::{Desk, Former};
use crate::index::Index;
use crate::kept::Kept;
use crate::message::{DeskMessage, Return, DESK_LISTS_MAX};
use configuration::{Blueprint, PeerRef, Plan, RunnerState, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Desk {
    /// A newer blueprint is in force; an older one is ignored.
    pub fn set_blueprint(&mut self, now: u64, blueprint: Arc<Blueprint>, version: Version) {
        if version <= self.blueprint_version {
            return;
        }
        self.blueprint = blueprint;
        self.blueprint_version = version;
        let unlisted: Vec<String> = self
            .holdings
            .keys()
            .filter(|function| self.blueprint.listing(function).is_none())
            .cloned()
            .collect();
        for function in unlisted {
            let holding = self.holdings.remove(&function);
            for ticket in holding.into_iter().flat_map(|mut held| held.clear()) {
                self.refuse(ticket, crate::Refusal::Unlisted);
            }
        }
        let listed = &self.blueprint;
        self.counts
            .retain(|function, _| listed.listing(function).is_some());
        self.dirty.extend(self.holdings.keys().cloned());
        self.settle(now);
    }

    /// A newer plan is in force; an older one is ignored.
    pub fn set_plan(&mut self, now: u64, plan: Arc<Plan>, version: Version) {
        if version <= self.plan_version {
            return;
        }
        self.plan = plan;
        self.plan_version = version;
        self.index = Index::of(&self.plan);
        self.standing.keep_only(&self.plan);
        self.bids.keep_only(&self.plan.roster);
        let mut kept_before = std::mem::take(&mut self.kept);
        for entry in &self.plan.runners {
            let is_mine = entry.keeper == self.me
                && matches!(entry.state, RunnerState::Wanted | RunnerState::Draining);
            if !is_mine {
                continue;
            }
            let same = kept_before
                .remove(&entry.id)
                .filter(|kept| kept.entry.keeper_epoch == entry.keeper_epoch);
            let mut kept = same.unwrap_or_else(|| Kept::new(entry.clone(), now));
            kept.entry = entry.clone();
            self.kept.insert(entry.id.clone(), kept);
            self.dirty.insert(entry.function.clone());
        }
        self.part_with(now, kept_before);
        self.take_handovers(now);
        self.dirty.extend(self.holdings.keys().cloned());
        self.settle(now);
    }

    /// Runners that have another keeper now are handed over; what is out still comes back here.
    fn part_with(&mut self, now: u64, parted: BTreeMap<String, Kept>) {
        for (runner, kept) in parted {
            let next = self.plan.runner(&runner).map(|entry| entry.keeper.clone());
            let to = next.unwrap_or_else(|| self.me.clone());
            if kept.is_active(now) {
                let key = (runner, kept.entry.keeper_epoch);
                let since = now;
                self.former.insert(key, Former { kept, to, since });
            }
        }
        self.send_handovers(now);
    }

    pub(crate) fn send_handovers(&mut self, now: u64) {
        for ((runner, epoch), former) in &self.former {
            if former.to == self.me {
                continue;
            }
            let ends = former.kept.lent.values().map(|lent| lent.reclaim_at);
            let message = DeskMessage::Handover {
                runner: runner.clone(),
                epoch: *epoch,
                lent: former.kept.out(now),
                over_in_ms: ends.max().unwrap_or(now).saturating_sub(now),
            };
            let next_keeper = former.to.name.clone();
            self.actions.push(Action::Send(next_keeper, message));
        }
    }

    fn take_handovers(&mut self, now: u64) {
        for (runner, kept) in &mut self.kept {
            let key = (runner.clone(), kept.entry.keeper_epoch.wrapping_sub(1));
            let Some((lent, until)) = self.handovers.get(&key) else {
                continue;
            };
            kept.block(*lent, *until);
            kept.active_at = Some(kept.active_at.map_or(now, |time| time.min(now)));
        }
        let plan = &self.plan;
        self.handovers
            .retain(|(runner, _), _| plan.runner(runner).is_some());
    }

    pub(crate) fn tend_kept(&mut self, now: u64) {
        let bounds = self.blueprint.bounds.clone();
        let lease = bounds.lease_ms();
        let wait = lease * 11 / 10 + bounds.seat_window_ms() + 2 * bounds.slack_ms();
        let longest = self.blueprint.longest_budget_ms();
        let may_lend = self.has_standing(now);
        for (runner, kept) in &mut self.kept {
            kept.reclaim(now);
            if kept.active_at.is_none()
                && may_lend
                && self
                    .standing
                    .majority_holds(&self.me.name, &self.plan, kept.entry.keeper_since)
            {
                let listing = self.blueprint.listing(&kept.entry.function);
                let budget = listing.map_or(longest, |listing| listing.budget_ms);
                kept.active_at = Some(now + wait + budget);
            }
            if kept.wants_probe(now, &bounds) {
                self.actions.push(Action::Probe {
                    runner: runner.clone(),
                    address: kept.entry.address.clone(),
                });
            }
        }
        self.former.retain(|_, former| {
            former.kept.reclaim(now);
            !former.kept.lent.is_empty() || now < former.since + 2 * lease
        });
        self.bids.forget_old(now.saturating_sub(lease));
        self.dirty.extend(self.bids.functions());
    }

    /// Whether the runner took a connection when it was looked at.
    pub fn probed(&mut self, now: u64, runner: &str, is_there: bool) {
        if let Some(kept) = self.kept.get_mut(runner) {
            kept.probed(is_there);
            self.dirty.insert(kept.entry.function.clone());
        }
        self.settle(now);
    }

    /// Takes a message from another front.
    pub fn on_message(&mut self, now: u64, from: &PeerRef, message: DeskMessage) {
        match message {
            DeskMessage::Beat {
                stamp, last_award, ..
            } => {
                self.bids.see(from, last_award);
                if self.is_ready {
                    let answer = DeskMessage::BeatAnswer {
                        stamp,
                        plan: self.plan_version,
                        blueprint: self.blueprint_version,
                    };
                    self.actions.push(Action::Send(from.name.clone(), answer));
                }
            }
            DeskMessage::BeatAnswer {
                stamp,
                plan,
                blueprint,
            } => {
                if stamp <= now {
                    let theirs = (plan, blueprint);
                    let mine = (self.plan_version, self.blueprint_version);
                    self.standing.on_answer(&from.name, stamp, theirs, mine);
                }
            }
            DeskMessage::Bid {
                stamp,
                life,
                seen_award,
                function,
                ranks,
            } => {
                if self.blueprint.listing(&function).is_some() && ranks.len() <= 256 {
                    let bid = StandingBid {
                        from: from.clone(),
                        stamp,
                        heard_at: now,
                        ranks,
                    };
                    let seen_award = self.own_seats(life, seen_award);
                    self.bids.take_in(&function, seen_award, bid);
                    self.dirty.insert(function);
                }
            }
            DeskMessage::Award(award) => self.on_award(now, from, &award),
            DeskMessage::Return(given_back) => self.on_return(now, from, &given_back),
            DeskMessage::Holds {
                stamp,
                life,
                seen_award,
                seats,
            } => {
                let seen_award = self.own_seats(life, seen_award);
                self.on_holds(from, stamp, seen_award, seats);
            }
            DeskMessage::Handover {
                runner,
                epoch,
                lent,
                over_in_ms,
            } => {
                if self.handovers.len() < DESK_LISTS_MAX {
                    self.handovers
                        .insert((runner, epoch), (lent, now + over_in_ms));
                    self.take_handovers(now);
                }
            }
        }
        self.settle(now);
    }

    fn on_return(&mut self, now: u64, from: &PeerRef, given_back: &Return) {
        let bounds = &self.blueprint.bounds;
        let (seat_no, took_ms) = (given_back.seat_no, given_back.took_ms);
        let entry = self.index.runner(&self.plan, &given_back.runner);
        let good_pace = entry.map_or(0, |entry| self.index.good_pace(&entry.function));
        if let Some(kept) = self.kept.get_mut(&given_back.runner) {
            if kept.take_back(from, seat_no, took_ms, good_pace) {
                if given_back.is_bad {
                    kept.fault(now, bounds);
                }
                if given_back.is_absent {
                    kept.absent(now);
                }
                self.dirty.insert(kept.entry.function.clone());
                return;
            }
        }
        for ((name, _), former) in &mut self.former {
            if *name == given_back.runner {
                former.kept.take_back(from, seat_no, took_ms, good_pace);
            }
        }
    }

    /// Numbers of seats of another life of this front say nothing of this one's.
    fn own_seats(&self, life: u64, seen_award: u64) -> u64 {
        if life == self.me.incarnation {
            seen_award
        } else {
            0
        }
    }

    /// Seats that the front has seen and does not list are back, also where a return was lost.
    fn on_holds(&mut self, from: &PeerRef, stamp: u64, seen_award: u64, seats: Vec<u64>) {
        let newest = self.bids.holds_stamps.entry(from.clone()).or_default();
        if stamp < *newest {
            return;
        }
        *newest = stamp;
        self.bids.note_seen(from, seen_award);
        let seats: BTreeSet<u64> = seats.into_iter().collect();
        let formers = self.former.values_mut().map(|former| &mut former.kept);
        for kept in self.kept.values_mut().chain(formers) {
            let before = kept.lent.len();
            kept.lent.retain(|seat_no, lent| {
                lent.to != *from || *seat_no > seen_award || seats.contains(seat_no)
            });
            if kept.lent.len() < before {
                self.dirty.insert(kept.entry.function.clone());
            }
        }
    }
}
