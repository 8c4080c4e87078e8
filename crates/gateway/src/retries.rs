use crate::gateway::{Due, Gateway};
use crate::tickets::Stage;
use protocol::{LeaseOutcome, LeaseRelease, LeaseRequest, Message};
use seat_leases::{select_owner, RetryBudget};
use std::collections::BTreeSet;

/// Milliseconds before a request looks again for a keeper, or for credit.
const REST_MS: u64 = 30;

impl Gateway {
    /// Notes a first try of a request's function.
    pub fn earn_credit(&mut self, number: u64) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        let gateways = self.control.members().len().max(1) as f64;
        // Half of the allowance, so that daemons which start anew do not exceed the whole.
        let cap = (self.options.retry_slack * 0.5 / gateways).max(1.0);
        let share = self.options.retry_ratio * 0.75;
        let credit = self.credits.entry(ticket.function.clone());
        let credit = credit.or_insert_with(|| RetryBudget::new(share, cap));
        credit.set_capacity(cap);
        credit.deposit();
    }

    /// Who keeps a function, as far as this daemon knows.
    pub fn keeper_of(&self, function: &str) -> Option<String> {
        let suspects = &self.links;
        let now = self.now;
        let passes = |member: &protocol::Member| !suspects.is_suspect(&member.name, now);
        select_owner(function, self.control.members(), passes).map(|member| member.name.clone())
    }

    /// Bids at the function's keeper.
    pub fn place_bid(&mut self, number: u64) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        let function = ticket.function.clone();
        let mut bid = LeaseRequest {
            request_id: number,
            function: function.clone(),
            priority: ticket.rank,
            timeout_ms: ticket.ends_at.saturating_sub(self.now) as u32,
            excluded_runners: ticket.avoid.clone(),
            job: None,
        };
        let Some(keeper) = self.keeper_of(&function) else {
            self.rest(number);
            return;
        };
        let now = self.now;
        if let Some(ticket) = self.tickets.get(number) {
            ticket.stage = Stage::Waiting {
                lender: keeper.clone(),
                since: now,
            };
            bid.job = ticket.job.as_mut().map(|pass| pass.bid(&keeper));
        }
        if keeper == self.options.name {
            let district = self.options.zone.clone();
            self.take_bid(&keeper, &district, bid);
            return;
        }
        self.introduce(&keeper, &function);
        self.tell(&keeper, &Message::LeaseRequest(bid));
    }

    /// Tells a function's new keeper what this daemon has at its runners.
    pub fn introduce(&mut self, keeper: &str, function: &str) {
        if !self.links.is_new_keeper(function, keeper) {
            return;
        }
        let runners = self.runners_in_use(function);
        if !runners.is_empty() {
            let known = Message::LeasesInUse {
                function: function.into(),
                runners,
            };
            self.tell(keeper, &known);
        }
    }

    /// Functions at whose runners this daemon has requests now.
    pub fn functions_at_runners(&mut self) -> BTreeSet<String> {
        let is_sent = |ticket: &crate::tickets::Ticket| matches!(ticket.stage, Stage::Sent(_));
        let numbers = self.tickets.numbers(is_sent).into_iter();
        numbers
            .filter_map(|number| Some(self.tickets.get(number)?.function.clone()))
            .collect()
    }

    /// Runners of a function at which this daemon has requests now.
    fn runners_in_use(&mut self, function: &str) -> Vec<(String, String, String, Vec<u64>)> {
        let at_runners = |ticket: &crate::tickets::Ticket| {
            ticket.function == function && matches!(ticket.stage, Stage::Sent(_))
        };
        let mut runners: Vec<(String, String, String, Vec<u64>)> = Vec::new();
        for number in self.tickets.numbers(at_runners) {
            let Some(ticket) = self.tickets.get(number) else {
                continue;
            };
            let Stage::Sent(sent) = &ticket.stage else {
                continue;
            };
            match runners.iter_mut().find(|known| known.0 == sent.runner) {
                Some(known) => known.3.push(number),
                None => runners.push((
                    sent.runner.clone(),
                    sent.address.clone(),
                    sent.district.clone(),
                    vec![number],
                )),
            }
        }
        runners
    }

    fn rest(&mut self, number: u64) {
        if let Some(ticket) = self.tickets.get(number) {
            ticket.stage = Stage::Resting;
            self.timers.schedule(self.now + REST_MS, Due::Rest(number));
        }
    }

    /// A request that rested bids again.
    pub fn bid_again(&mut self, number: u64) {
        let ticket = self.tickets.get(number);
        if ticket.is_some_and(|ticket| matches!(ticket.stage, Stage::Resting)) {
            self.place_bid(number);
        }
    }

    /// Takes a waiting request's bid back.
    pub fn withdraw(&mut self, number: u64) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        let Stage::Waiting { lender, .. } = &ticket.stage else {
            return;
        };
        let lender = lender.clone();
        ticket.stage = Stage::Resting;
        if lender == self.options.name {
            self.keeper.cancel(self.now, &lender, number);
        } else {
            self.tell(&lender, &Message::CancelRequest(number));
        }
        self.void_bid(&lender, number);
    }

    /// Gives a seat back to who lent it, and tells the function's keeper where that is another by now.
    pub fn give_back(
        &mut self,
        lender: &str,
        function: &str,
        number: u64,
        outcome: LeaseOutcome,
        took_ms: u64,
    ) {
        let release = LeaseRelease {
            request_id: number,
            outcome,
            duration_ms: took_ms as u32,
        };
        let keeper = self.keeper_of(function);
        let other = keeper.filter(|keeper| keeper != lender);
        for name in std::iter::once(lender.to_string()).chain(other) {
            self.release_at(&name, &release);
        }
    }

    /// Gives a seat back at one keeper, which may be this daemon.
    pub fn release_at(&mut self, keeper: &str, release: &LeaseRelease) {
        if keeper == self.options.name {
            self.keeper.release(self.now, keeper, release);
        } else if self.links.has_link(keeper) {
            self.tell(keeper, &Message::LeaseRelease(release.clone()));
        }
    }

    /// Sends a request again at another runner, where that is allowed. `counts` says that the runner got it.
    pub fn try_again(&mut self, number: u64, counts: bool) -> bool {
        let Some(ticket) = self.tickets.get(number) else {
            return false;
        };
        let has_time = ticket.ends_at > self.now + 5;
        if ticket.client.is_none() || !has_time || ticket.unreached > 8 {
            return false;
        }
        if ticket.may_have_run && ticket.is_once {
            return false;
        }
        if counts {
            if ticket.sends >= ticket.tries {
                return false;
            }
            let function = ticket.function.clone();
            let credit = self.credits.get_mut(&function);
            if !credit.is_some_and(RetryBudget::try_withdraw) {
                return false;
            }
        }
        self.place_bid(number);
        true
    }
}
