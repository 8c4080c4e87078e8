use crate::net::{Event, Happening, Net, Parcel, Wish};
use crate::oracle::Oracle;
use crate::yard::{ticket_id, Answer, Request};
use configuration::{parse, Blueprint, PeerRef, Version};
use idempotency_keys::Claim;
use register::{Proposal, VoterSet};
use request_queue::{Action, Desk, DeskMessage, SeatGrant, Ticket, TryEnd};
use std::collections::BTreeMap;
use std::sync::Arc;
use transport::{BlueprintNews, Message, News, PlanNews};

pub(crate) struct Open {
    pub wish: Wish,
    /// Tries whose bytes may have reached a runner.
    pub sent: u32,
    pub claimed: Option<u64>,
    pub register: String,
}

pub(crate) struct Claiming {
    pub proposal: Proposal,
    pub set: VoterSet,
    pub number: u64,
    pub deadline: u64,
    pub purpose: Purpose,
}

pub(crate) enum Purpose {
    Claim(u64),
    Note,
}

/// A front in the simulation: the desk with the least glue around it.
pub(crate) struct FrontNode {
    pub peer: PeerRef,
    pub district: String,
    pub desk: Desk,
    pub cores: Vec<String>,
    pub set: VoterSet,
    pub open: BTreeMap<u64, Open>,
    pub claiming: BTreeMap<u64, Claiming>,
    pub next_slot: u64,
    pub counter: u64,
}

impl FrontNode {
    pub fn new(peer: PeerRef, district: &str, cores: Vec<String>) -> Self {
        Self {
            desk: Desk::new(peer.clone()),
            district: district.to_string(),
            peer,
            cores,
            set: VoterSet::default(),
            open: BTreeMap::new(),
            claiming: BTreeMap::new(),
            next_slot: 0,
            counter: 0,
        }
    }

    pub fn parcel(&self, number: u64, body: Message) -> Parcel {
        Parcel {
            from: self.peer.clone(),
            number,
            body,
        }
    }

    pub fn handle(&mut self, net: &mut Net, oracle: &mut Oracle, event: Event) {
        let now = net.now;
        match event {
            Event::Tick(_) => self.tick(net, oracle),
            Event::Deliver(parcel) => self.deliver(net, oracle, parcel),
            Event::Wish(wish) => self.wish(net, oracle, wish),
            Event::TryStart(ticket, seat) => self.try_start(net, &ticket, &seat),
            Event::TryEnd(ticket, seat, end, answer) => {
                self.try_end(net, oracle, ticket, &seat, end, answer);
            }
            Event::BudgetOver(slot) => self.budget_over(oracle, slot),
            Event::Probed(runner, is_there) => self.desk.probed(now, &runner, is_there),
            _ => {}
        }
        self.carry_out(net, oracle);
    }

    fn tick(&mut self, net: &mut Net, oracle: &mut Oracle) {
        let now = net.now;
        self.desk.tick(now);
        let (blueprint, plan) = self.desk.versions();
        let wants_certain = !self.desk.is_ready();
        let mut report = self.desk.report(now, &self.district);
        report.wall_ms = net.wall;
        for core in self.cores.clone() {
            let ask = Message::Ask {
                blueprint,
                plan,
                wants_certain,
            };
            let parcel = self.parcel(1, ask);
            net.send(&self.peer.name, &core, parcel);
            let parcel = self.parcel(0, Message::Report(report.clone()));
            net.send(&self.peer.name, &core, parcel);
        }
        if self.desk.has_standing(now) {
            oracle.serves(&self.peer.name, blueprint);
            oracle.works(&self.peer.name, blueprint);
        }
        let over = self.claiming.iter();
        let over: Vec<u64> = over
            .filter(|(_, claiming)| claiming.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            if let Some(claiming) = self.claiming.remove(&id) {
                let outcome = claiming.proposal.abandon();
                self.claim_ended(net, oracle, claiming.purpose, outcome);
            }
        }
    }

    fn deliver(&mut self, net: &mut Net, oracle: &mut Oracle, parcel: Parcel) {
        let now = net.now;
        match parcel.body.clone() {
            Message::Desk(message) => {
                self.ask_if_newer(net, &parcel.from.name, &message);
                self.desk.on_message(now, &parcel.from, message);
            }
            Message::News(news) => self.news(now, oracle, news),
            Message::Ask {
                blueprint, plan, ..
            } => {
                let news = self.news_for(blueprint, plan);
                let answer = self.parcel(parcel.number, Message::News(news));
                net.send(&self.peer.name, &parcel.from.name, answer);
            }
            Message::VoterAnswer(reply) => self.voter_answer(net, oracle, &parcel, reply),
            _ => {}
        }
    }

    /// A heartbeat tells of newer versions: whoever has them is asked.
    fn ask_if_newer(&mut self, net: &mut Net, from: &str, message: &DeskMessage) {
        let Some((blueprint, plan)) = message.versions() else {
            return;
        };
        let own = self.desk.versions();
        if blueprint > own.0 || plan > own.1 {
            let ask = Message::Ask {
                blueprint: own.0,
                plan: own.1,
                wants_certain: false,
            };
            let parcel = self.parcel(1, ask);
            net.send(&self.peer.name, from, parcel);
        }
    }

    fn news(&mut self, now: u64, oracle: &mut Oracle, news: News) {
        if let Some(newer) = news.blueprint {
            if let Ok(blueprint) = parse(&newer.text) {
                oracle.holds_text(&self.peer.name, &newer.text);
                self.desk
                    .set_blueprint(now, Arc::new(blueprint), newer.version);
            }
        }
        if let Some(newer) = news.plan {
            self.desk.set_plan(now, Arc::new(newer.plan), newer.version);
        }
        if news.set.version() > self.set.version() {
            self.set = news.set;
        }
        if news.is_certain {
            self.desk.set_ready();
        }
    }

    fn news_for(&self, blueprint: Version, plan: Version) -> News {
        let (own_blueprint, own_plan) = self.desk.versions();
        let text = |blueprint: &Blueprint| serde_json::to_string(blueprint).unwrap_or_default();
        News {
            blueprint: (own_blueprint > blueprint).then(|| BlueprintNews {
                version: own_blueprint,
                text: text(&self.desk.blueprint()),
            }),
            plan: (own_plan > plan).then(|| PlanNews {
                version: own_plan,
                plan: (*self.desk.plan()).clone(),
            }),
            ..News::default()
        }
    }

    fn try_start(&mut self, net: &mut Net, ticket: &Ticket, seat: &SeatGrant) {
        let now = net.now;
        let may_send = self.desk.permit(now, ticket, seat);
        let Some(open) = self.open.get_mut(&ticket.slot) else {
            return self.desk.try_done(now, seat, TryEnd::Unsent);
        };
        if !may_send {
            self.desk.try_done(now, seat, TryEnd::Unsent);
            return self.desk.hold_again(now, ticket.clone());
        }
        if open.sent == 0 {
            self.desk.count_first(now);
        }
        open.sent += 1;
        let request = Request {
            front: self.peer.name.clone(),
            life: self.peer.incarnation,
            ticket: ticket.clone(),
            seat: seat.clone(),
            call: open.wish.call,
            once_key: open.wish.once_key,
            budget_ms: ticket.budget_end.saturating_sub(now).max(1),
        };
        let time = net.soon(4);
        net.at(time, Happening::Request(Box::new(request)));
    }

    fn try_end(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        ticket: Ticket,
        seat: &SeatGrant,
        end: TryEnd,
        answer: Option<Answer>,
    ) {
        let now = net.now;
        let call = self.open.get(&ticket.slot).map(|open| open.wish.call);
        let end = match answer.as_ref().zip(call) {
            Some((answer, call)) if !is_sealed(answer, call, seat) => TryEnd::Bad,
            _ => end,
        };
        self.desk.try_done(now, seat, end);
        let slot = ticket.slot;
        let Some(open) = self.open.get_mut(&slot) else {
            return;
        };
        let (key, claimed) = (open.wish.once_key, open.claimed);
        let register = open.register.clone();
        match end {
            TryEnd::Answered(_) => {
                if let Some(answer) = &answer {
                    oracle.answer(open.wish.call, answer.call, answer.took_ms);
                }
                self.tell(oracle, slot, "answered");
                if let Some(version) = claimed {
                    let digest = String::new();
                    let claim = Claim::Unknown { digest };
                    self.propose(net, &register, version, &claim, Purpose::Note);
                }
            }
            TryEnd::Absent => {
                open.sent -= 1;
                self.desk.send_again(now, ticket);
            }
            TryEnd::Unsent => self.desk.hold_again(now, ticket),
            TryEnd::Lost | TryEnd::Broken | TryEnd::Bad => {
                if key.is_some() || !self.desk.retry(now, ticket) {
                    self.tell(oracle, slot, "unknown");
                }
            }
        }
    }

    fn carry_out(&mut self, net: &mut Net, oracle: &mut Oracle) {
        loop {
            let actions = self.desk.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out_one(net, oracle, action);
            }
        }
    }

    fn carry_out_one(&mut self, net: &mut Net, oracle: &mut Oracle, action: Action) {
        match action {
            Action::Send(to, message) => {
                if let DeskMessage::Award(award) = &message {
                    oracle.lends(&award.runner, award.epoch);
                }
                let parcel = self.parcel(0, Message::Desk(message));
                net.send(&self.peer.name.clone(), &to, parcel);
            }
            Action::Launch(ticket, seat) => {
                if seat.keeper == self.peer {
                    oracle.lends(&seat.runner, seat.epoch);
                }
                let time = net.soon(3);
                let life = self.peer.incarnation;
                let event = Event::TryStart(ticket, seat);
                net.event(time, &self.peer.name, life, event);
            }
            Action::Refuse(ticket, _) => {
                let is_sent = self
                    .open
                    .get(&ticket.slot)
                    .is_some_and(|open| open.sent > 0);
                let outcome = if is_sent { "unknown" } else { "not-run" };
                self.tell(oracle, ticket.slot, outcome);
            }
            Action::Probe { runner, address } => {
                let time = net.soon(5);
                let probe = Happening::Probe(self.peer.name.clone(), runner, address);
                net.at(time, probe);
            }
        }
    }
}

/// Looks at the seal as a front does, over what came back.
fn is_sealed(answer: &Answer, call: u64, seat: &SeatGrant) -> bool {
    let (name, body) = (ticket_id(call, seat), answer.call.to_le_bytes());
    idempotency_keys::seal(&seat.key, &name, &seat.runner, 200, "", &body) == answer.seal
}
