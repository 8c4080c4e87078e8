use super::oracle::is_once;
use super::{Event, Reply, Told, Town, FUNCTION, MS};
use dispatch::{
    Bid, FunctionNews, Grant, JobResult, JobVerdict, Message, Outcome, Release, RunnerNews,
    RunnerStage,
};
use jobs::{digest, Ends, JobErrand, Jobs, Pass};
use rand::Rng;
use seating::{elect, Errand, Keeper};
use std::collections::BTreeMap;

const SUSPECT_MS: u64 = 1_500;
const SENDS_MAX: u32 = 3;

#[derive(Clone, PartialEq)]
pub enum Stage {
    Waiting(String),
    /// At a runner, or on the way: lender, whether it has left, when the line was open.
    Sent(String, bool, u64),
    Resting,
}

pub struct Ticket {
    pub asked: usize,
    pub has_client: bool,
    pub stage: Stage,
    pass: Pass,
    ends_at: u64,
    sends: u32,
    may_have_run: bool,
}

/// A gateway: fronts requests, keeps functions and jobs.
pub struct Node {
    pub name: String,
    pub life: u64,
    pub is_up: bool,
    pub jobs: Jobs,
    pub keeper: Keeper,
    pub tickets: BTreeMap<u64, Ticket>,
    pub suspects: BTreeMap<String, u64>,
    pub ends: Ends,
    last: u64,
}

impl Node {
    pub fn new(place: usize) -> Self {
        Self {
            name: format!("g{place}"),
            life: 0,
            is_up: false,
            jobs: Jobs::new(0, 1),
            keeper: Keeper::default(),
            tickets: BTreeMap::new(),
            suspects: BTreeMap::new(),
            ends: Ends::default(),
            last: 0,
        }
    }
}

fn runners() -> FunctionNews {
    let runner = |place: usize| RunnerNews {
        id: format!("r{place}"),
        address: format!("r{place}"),
        district: String::new(),
        quota: 4,
        stage: RunnerStage::Serving,
        starts_in_ms: 0,
    };
    FunctionNews {
        function: FUNCTION.into(),
        mark: (1, 1),
        runners: (0..3).map(runner).collect(),
    }
}

impl Town {
    pub fn boot(&mut self, place: usize) {
        if self.nodes[place].is_up {
            return;
        }
        self.lives += 1;
        let (life, remembered) = (self.lives, self.weather.remembered_ms);
        let now = self.now_ms();
        let mut fresh = Node::new(place);
        fresh.life = life;
        fresh.is_up = true;
        fresh.jobs = Jobs::new(life, remembered);
        fresh.keeper.news(now, runners());
        self.nodes[place] = fresh;
        self.later(300 * MS, Event::Roster);
        self.later(50 * MS, Event::Tick(place, life));
    }

    pub fn tick(&mut self, place: usize, life: u64) {
        if self.nodes[place].life != life || !self.nodes[place].is_up {
            return;
        }
        let now = self.now_ms();
        let roster = &self.roster;
        let node = &mut self.nodes[place];
        node.keeper.tick(now);
        node.jobs.tick(now, |front, incarnation| {
            let member = roster.iter().find(|member| member.name == front);
            member.is_none_or(|member| member.incarnation != incarnation)
        });
        for end in node.ends.due(now) {
            if let Some(keeper) = self.keeper_of(place) {
                self.tell_end(place, &keeper, end);
            }
        }
        self.run_errands(place);
        self.later(50 * MS, Event::Tick(place, life));
    }

    fn keeper_of(&self, place: usize) -> Option<String> {
        let (node, now) = (&self.nodes[place], self.now_ms());
        let is_suspect = |name: &str| node.suspects.get(name).is_some_and(|until| now < *until);
        let keeper = elect(FUNCTION, &self.roster, |member| !is_suspect(&member.name));
        keeper.map(|member| member.name.clone())
    }

    /// A client's request of a job comes in.
    pub fn request(&mut self, place: usize, job: usize) {
        if !self.nodes[place].is_up {
            return;
        }
        let asked = self.oracle.ask(job);
        let budget = self.random.random_range(800..4_000);
        let now = self.now_ms();
        let node = &mut self.nodes[place];
        node.last += 1;
        let number = node.last;
        let what = digest("POST", "/sign", format!("body {job}").as_bytes());
        let pass = Pass::new(format!("key {job}"), what, is_once(job), node.life);
        let ticket = Ticket {
            asked,
            has_client: true,
            stage: Stage::Resting,
            pass,
            ends_at: now + budget,
            sends: 0,
            may_have_run: false,
        };
        node.tickets.insert(number, ticket);
        let life = node.life;
        self.later(budget * MS, Event::TimeOver(place, life, number));
        if self.random.random_bool(self.weather.leaves) {
            let patience = self.random.random_range(0..budget * MS);
            self.later(patience, Event::Leave(place, life, number));
        }
        self.place_bid(place, number);
    }

    pub fn place_bid(&mut self, place: usize, number: u64) {
        let Some(keeper) = self.keeper_of(place) else {
            let life = self.nodes[place].life;
            return self.later(30 * MS, Event::Rest(place, life, number));
        };
        let now = self.now_ms();
        let node = &mut self.nodes[place];
        let Some(ticket) = node.tickets.get_mut(&number) else {
            return;
        };
        ticket.stage = Stage::Waiting(keeper.clone());
        let bid = Bid {
            ticket: number,
            function: FUNCTION.into(),
            rank: 0,
            budget_ms: ticket.ends_at.saturating_sub(now) as u32,
            avoid: Vec::new(),
            job: Some(ticket.pass.bid(&keeper)),
        };
        if keeper == node.name {
            node.jobs.arrive(now, &keeper, "", bid);
            return self.run_errands(place);
        }
        let peer = self.place_of(&keeper).unwrap();
        self.send(place, peer, Message::Bid(bid));
    }

    pub fn rested(&mut self, place: usize, life: u64, number: u64) {
        let node = &self.nodes[place];
        let ticket = node.tickets.get(&number).filter(|_| node.life == life);
        if ticket.is_some_and(|ticket| ticket.stage == Stage::Resting) {
            self.place_bid(place, number);
        }
    }

    /// Takes a bid back, at a keeper that may still think of it.
    fn withdraw(&mut self, place: usize, number: u64) {
        let now = self.now_ms();
        let node = &mut self.nodes[place];
        let Some(ticket) = node.tickets.get_mut(&number) else {
            return;
        };
        let lender = match &ticket.stage {
            Stage::Waiting(lender) | Stage::Sent(lender, false, _) => lender.clone(),
            _ => return,
        };
        ticket.stage = Stage::Resting;
        let end = ticket.pass.end(number, FUNCTION, JobResult::NotRun);
        ticket.pass.void();
        if lender == node.name {
            node.keeper.withdraw(now, &lender, number);
        } else {
            let peer = self.place_of(&lender).unwrap();
            self.send(place, peer, Message::Withdraw(number));
        }
        self.tell_end(place, &lender, end);
    }

    pub fn move_waiting(&mut self, place: usize) {
        if !self.nodes[place].is_up {
            return;
        }
        let keeper = self.keeper_of(place);
        let moved = self.nodes[place].tickets.iter().filter(|(_, ticket)| {
            let lender = match &ticket.stage {
                Stage::Waiting(lender) | Stage::Sent(lender, false, _) => lender,
                _ => return false,
            };
            keeper.as_ref() != Some(lender)
        });
        let moved: Vec<u64> = moved.map(|(number, _)| *number).collect();
        for number in moved {
            self.withdraw(place, number);
            self.place_bid(place, number);
        }
        self.run_errands(place);
    }

    pub fn drop_peer(&mut self, place: usize, peer: usize) {
        let now = self.now_ms();
        let name = self.nodes[peer].name.clone();
        let node = &mut self.nodes[place];
        node.suspects.insert(name.clone(), now + SUSPECT_MS);
        node.keeper.forget_front(now, &name);
        node.jobs.forget_front(now, &name);
        self.move_waiting(place);
    }

    pub fn hear(&mut self, place: usize, from: usize, message: Message) {
        if !self.nodes[place].is_up {
            return;
        }
        let now = self.now_ms();
        let name = self.nodes[from].name.clone();
        let node = &mut self.nodes[place];
        node.suspects.remove(&name);
        match message {
            Message::Bid(bid) => node.jobs.arrive(now, &name, "", bid),
            Message::Withdraw(ticket) => node.keeper.withdraw(now, &name, ticket),
            Message::Release(release) => node.keeper.release(now, &name, &release),
            Message::JobEnd(end) => node.jobs.ended(now, &name, end),
            Message::Grant(grant) => self.granted(place, &name, grant),
            Message::Claimed {
                ticket,
                attempt,
                version,
            } => self.claimed(place, &name, ticket, attempt, version),
            Message::Joined { ticket, attempt } => self.joined(place, &name, ticket, attempt),
            Message::JobTold {
                ticket,
                attempt,
                verdict,
            } => self.told(place, &name, ticket, attempt, verdict),
            Message::JobKept(ticket) => node.ends.kept(ticket),
            _ => {}
        }
        self.run_errands(place);
    }

    pub fn run_errands(&mut self, place: usize) {
        loop {
            let node = &mut self.nodes[place];
            let (seats, jobs) = (node.keeper.errands(), node.jobs.errands());
            if seats.is_empty() && jobs.is_empty() {
                return;
            }
            for errand in seats {
                self.seat_errand(place, errand);
            }
            for errand in jobs {
                self.job_errand(place, errand);
            }
        }
    }

    fn seat_errand(&mut self, place: usize, errand: Errand) {
        let now = self.now_ms();
        match errand {
            Errand::Grant(front, grant) => self.deliver(place, &front, Message::Grant(grant)),
            Errand::Refuse(front, ticket, after) => {
                self.nodes[place].jobs.refused(now, &front, ticket, after);
            }
            Errand::Probe(..) => {}
        }
    }

    /// Gives word to a front, which may be this node itself.
    fn deliver(&mut self, place: usize, front: &str, message: Message) {
        if front == self.nodes[place].name {
            self.hear(place, place, message);
        } else if let Some(peer) = self.place_of(front) {
            self.send(place, peer, message);
        }
    }

    fn job_errand(&mut self, place: usize, errand: JobErrand) {
        let now = self.now_ms();
        let node = &mut self.nodes[place];
        match errand {
            JobErrand::Seat(front, district, bid) => node.keeper.bid(now, &front, &district, bid),
            JobErrand::Withdraw(front, ticket) => node.keeper.withdraw(now, &front, ticket),
            JobErrand::Claimed {
                front,
                ticket,
                attempt,
                version,
            } => {
                let message = Message::Claimed {
                    ticket,
                    attempt,
                    version,
                };
                self.deliver(place, &front, message);
            }
            JobErrand::Joined(front, ticket, attempt) => {
                self.deliver(place, &front, Message::Joined { ticket, attempt });
            }
            JobErrand::Tell(front, ticket, attempt, verdict) => {
                let message = Message::JobTold {
                    ticket,
                    attempt,
                    verdict,
                };
                self.deliver(place, &front, message);
            }
            JobErrand::Kept(front, ticket) => {
                self.deliver(place, &front, Message::JobKept(ticket));
            }
            JobErrand::Ask {
                number,
                key,
                expected,
                bytes,
                tries,
            } => {
                let from = (place, node.life);
                let core = (place + tries as usize) % self.cores.len();
                let way = self.hop();
                let message = Message::JobAsk {
                    number,
                    key,
                    expected,
                    bytes,
                };
                self.later(way, Event::CoreAsk(core, from, message));
            }
        }
    }

    fn granted(&mut self, place: usize, lender: &str, grant: Grant) {
        let number = grant.ticket;
        let way = self.hop();
        let node = &mut self.nodes[place];
        let ticket = node.tickets.get_mut(&number);
        let is_waiting = ticket
            .as_ref()
            .is_some_and(|ticket| ticket.stage == Stage::Waiting(lender.into()));
        let Some(ticket) = ticket.filter(|_| is_waiting) else {
            return self.release(place, lender, number, Outcome::Unused);
        };
        ticket.stage = Stage::Sent(lender.into(), false, 0);
        let (life, attempt) = (node.life, ticket.pass.mark().attempt);
        self.later(way, Event::Line(place, life, number, attempt));
    }

    fn release(&mut self, place: usize, lender: &str, ticket: u64, outcome: Outcome) {
        let now = self.now_ms();
        let release = Release {
            ticket,
            outcome,
            took_ms: 20,
        };
        if lender == self.nodes[place].name {
            self.nodes[place].keeper.release(now, lender, &release);
        } else if let Some(peer) = self.place_of(lender) {
            self.send(place, peer, Message::Release(release));
        }
    }

    pub fn line_open(&mut self, place: usize, life: u64, number: u64, attempt: u32) {
        let now = self.now;
        let node = &mut self.nodes[place];
        if node.life != life {
            return;
        }
        let Some(ticket) = node.tickets.get_mut(&number) else {
            return;
        };
        let is_same = ticket.pass.mark().attempt == attempt;
        if let Stage::Sent(_, false, opened) = &mut ticket.stage {
            if is_same {
                *opened = now;
                ticket.pass.is_ready = true;
                self.leave(place, number);
            }
        }
    }

    /// The last step: bytes leave for the runner, where the claim is there.
    fn leave(&mut self, place: usize, number: u64) {
        let now = self.now;
        let way = self.hop();
        let node = &mut self.nodes[place];
        let Some(ticket) = node.tickets.get_mut(&number) else {
            return;
        };
        let Stage::Sent(_, has_left, opened) = &mut ticket.stage else {
            return;
        };
        if *has_left || !ticket.pass.is_ready || !ticket.pass.may_leave() {
            return;
        }
        *has_left = true;
        ticket.sends += 1;
        let (from, send, waited) = ((place, node.life), ticket.sends, now - *opened);
        let asked = ticket.asked;
        if ticket.pass.mark().is_once {
            self.oracle.waits.push(waited);
        }
        self.later(way, Event::Run(asked, from, number, send));
    }

    pub fn run_at_runner(&mut self, asked: usize, from: (usize, u64), number: u64, send: u32) {
        let weather = self.weather;
        let took = self.random.random_range(5..300) * MS;
        let reply = if self.random.random_bool(weather.turns_away) {
            Reply::TurnedAway
        } else {
            let answer = self.oracle.run(asked);
            match self.random.random_bool(weather.breaks_off) {
                true => Reply::BrokeOff,
                false => Reply::Answer(answer),
            }
        };
        let took = if matches!(reply, Reply::TurnedAway) {
            MS
        } else {
            took
        };
        self.later(took, Event::Reply(from.0, from.1, number, send, reply));
    }

    pub fn replied(&mut self, place: usize, life: u64, number: u64, send: u32, reply: Reply) {
        let node = &mut self.nodes[place];
        if node.life != life || !node.is_up {
            return;
        }
        let Some(ticket) = node.tickets.get_mut(&number) else {
            return;
        };
        let Stage::Sent(lender, true, _) = ticket.stage.clone() else {
            return;
        };
        if ticket.sends != send {
            return;
        }
        let is_once = ticket.pass.mark().is_once;
        match reply {
            Reply::Answer(answer) => {
                self.release(place, &lender, number, Outcome::Answered);
                let result = JobResult::Answer(answer.clone());
                self.finish(place, number, Told::Answer(answer), result);
            }
            Reply::TurnedAway => {
                self.release(place, &lender, number, Outcome::TurnedAway);
                if !self.try_again(place, number) {
                    self.finish(place, number, Told::NotRun, JobResult::NotRun);
                }
            }
            Reply::BrokeOff => {
                ticket.may_have_run = true;
                self.release(place, &lender, number, Outcome::Lost);
                if is_once || !self.try_again(place, number) {
                    self.finish(place, number, Told::MayHaveRun, JobResult::Lost);
                }
            }
        }
        self.run_errands(place);
    }

    fn try_again(&mut self, place: usize, number: u64) -> bool {
        let now = self.now_ms();
        let ticket = &self.nodes[place].tickets[&number];
        if ticket.sends >= SENDS_MAX || ticket.ends_at <= now + 5 || !ticket.has_client {
            return false;
        }
        self.place_bid(place, number);
        true
    }

    /// A request ends: its client is told, and the keepers that may think of it.
    fn finish(&mut self, place: usize, number: u64, told: Told, result: JobResult) {
        let Some(ticket) = self.nodes[place].tickets.remove(&number) else {
            return;
        };
        if ticket.has_client {
            self.oracle.tell(ticket.asked, self.now, told);
        }
        let end = ticket.pass.end(number, FUNCTION, result);
        self.nodes[place].ends.note(self.now / MS, &end);
        let lender = match &ticket.stage {
            Stage::Waiting(lender) | Stage::Sent(lender, ..) => Some(lender.clone()),
            Stage::Resting => None,
        };
        let keeper = self
            .keeper_of(place)
            .filter(|keeper| lender.as_ref() != Some(keeper));
        for name in lender.into_iter().chain(keeper) {
            self.tell_end(place, &name, end.clone());
        }
    }

    fn claimed(&mut self, place: usize, from: &str, number: u64, attempt: u32, version: u64) {
        let ticket = self.nodes[place].tickets.get_mut(&number);
        let Some(ticket) = ticket.filter(|ticket| ticket.pass.is_meant(from, attempt)) else {
            return;
        };
        ticket.pass.claimed(version);
        self.leave(place, number);
    }

    fn joined(&mut self, place: usize, from: &str, number: u64, attempt: u32) {
        let ticket = self.nodes[place].tickets.get_mut(&number);
        let Some(ticket) = ticket.filter(|ticket| ticket.pass.is_meant(from, attempt)) else {
            return;
        };
        if !matches!(ticket.stage, Stage::Sent(_, true, _)) {
            ticket.pass.joined();
            ticket.stage = Stage::Waiting(from.into());
        }
    }

    fn told(&mut self, place: usize, from: &str, number: u64, attempt: u32, verdict: JobVerdict) {
        let ticket = self.nodes[place].tickets.get_mut(&number);
        let Some(ticket) = ticket.filter(|ticket| ticket.pass.is_meant(from, attempt)) else {
            return;
        };
        if matches!(ticket.stage, Stage::Sent(_, true, _)) {
            return;
        }
        let told = match verdict {
            JobVerdict::Answer(answer) => Told::Answer(answer),
            JobVerdict::TooLarge | JobVerdict::MayHaveRun => Told::MayHaveRun,
            JobVerdict::OtherRequest => Told::Other,
            JobVerdict::NotRun(_) if ticket.may_have_run => Told::MayHaveRun,
            JobVerdict::NotRun(_) => Told::NotRun,
        };
        self.withdraw_seat(place, number);
        self.finish(place, number, told, JobResult::NotRun);
    }

    fn withdraw_seat(&mut self, place: usize, number: u64) {
        let ticket = &self.nodes[place].tickets[&number];
        if let Stage::Sent(lender, false, _) = ticket.stage.clone() {
            self.release(place, &lender, number, Outcome::Unused);
        }
    }

    pub fn time_over(&mut self, place: usize, life: u64, number: u64) {
        let node = &self.nodes[place];
        let Some(ticket) = node.tickets.get(&number).filter(|_| node.life == life) else {
            return;
        };
        if let Stage::Sent(lender, true, _) = ticket.stage.clone() {
            self.release(place, &lender, number, Outcome::Lost);
            return self.finish(place, number, Told::MayHaveRun, JobResult::Lost);
        }
        let is_unsure = ticket.may_have_run || ticket.pass.is_unsure();
        let told = if is_unsure {
            Told::MayHaveRun
        } else {
            Told::NotRun
        };
        self.withdraw(place, number);
        self.finish(place, number, told, JobResult::NotRun);
        self.run_errands(place);
    }

    pub fn client_left(&mut self, place: usize, life: u64, number: u64) {
        let now = self.now;
        let node = &mut self.nodes[place];
        if node.life != life {
            return;
        }
        let Some(ticket) = node.tickets.get_mut(&number).filter(|one| one.has_client) else {
            return;
        };
        ticket.has_client = false;
        self.oracle.tell(ticket.asked, now, Told::Silence);
        if matches!(ticket.stage, Stage::Waiting(_) | Stage::Resting) {
            self.withdraw(place, number);
            self.nodes[place].tickets.remove(&number);
            self.run_errands(place);
        }
    }
}
