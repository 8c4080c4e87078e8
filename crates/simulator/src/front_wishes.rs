use crate::front_node::{FrontNode, Open, Purpose};
use crate::net::{Event, Net, Wish};
use crate::oracle::Oracle;
use idempotency_keys::{Claim, OnceKey};
use request_queue::Ticket;

impl FrontNode {
    pub fn wish(&mut self, net: &mut Net, oracle: &mut Oracle, wish: Wish) {
        let now = net.now;
        if self.desk.may_take(now, &wish.function).is_err() {
            oracle.tell(wish.call, "not-run", &wish.function);
            return;
        }
        let register = match wish.once_key.map(|key| self.register_of(net, &wish, key)) {
            None => None,
            Some(Some(register)) => Some(register),
            Some(None) => {
                oracle.look("keys refused by their time");
                oracle.tell(wish.call, "not-run", &wish.function);
                return;
            }
        };
        self.next_slot += 1;
        let slot = self.next_slot;
        let open = Open {
            wish,
            sent: 0,
            claimed: None,
            register: register.clone().unwrap_or_default(),
        };
        self.open.insert(slot, open);
        match register {
            None => self.arrive(net, slot),
            Some(register) => {
                let claim = Claim::Taken {
                    by: self.peer.clone(),
                    slot,
                    digest: String::new(),
                };
                self.propose(net, &register, 0, &claim, Purpose::Claim(slot));
            }
        }
    }

    /// The register of a once-key; none where its time is out of bounds by this front's clock.
    fn register_of(&self, net: &Net, wish: &Wish, key: u64) -> Option<String> {
        let bounds = &self.desk.blueprint().bounds;
        let text = format!("{}-{key}", key / 1_000);
        let read = OnceKey::read(
            &text,
            &wish.function,
            net.wall,
            bounds.claim_ms,
            bounds.change_ms,
        );
        read.ok().map(|key| key.register)
    }

    pub fn arrive(&mut self, net: &mut Net, slot: u64) {
        let now = net.now;
        let Some(open) = self.open.get(&slot) else {
            return;
        };
        let blueprint = self.desk.blueprint();
        let budget = blueprint
            .listing(&open.wish.function)
            .map_or(1, |listing| listing.budget_ms);
        let rank = blueprint.kind(&open.wish.kind).map_or(0, |(rank, _)| rank);
        let ticket = Ticket {
            slot,
            function: open.wish.function.clone(),
            rank,
            arrived: now,
            budget_end: now + budget,
            unsent: 0,
        };
        self.desk.count_arrival(&ticket.function);
        self.desk.arrive(now, ticket);
        let life = self.peer.incarnation;
        net.event(now + budget, &self.peer.name, life, Event::BudgetOver(slot));
    }

    pub fn tell(&mut self, oracle: &mut Oracle, slot: u64, outcome: &'static str) {
        if let Some(open) = self.open.remove(&slot) {
            oracle.tell(open.wish.call, outcome, &open.wish.function);
        }
    }

    pub fn budget_over(&mut self, oracle: &mut Oracle, slot: u64) {
        let is_sent = self.open.get(&slot).is_some_and(|open| open.sent > 0);
        let outcome = if is_sent { "unknown" } else { "not-run" };
        self.tell(oracle, slot, outcome);
    }
}
