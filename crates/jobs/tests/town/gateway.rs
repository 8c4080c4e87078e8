use super::oracle::is_once;
use super::{Event, Told, Town, FUNCTION, MS};
use jobs::{digest, JobAdmission, JobCoordinator, UnacknowledgedResults};
use protocol::{
    FunctionUpdate, JobResult, LeaseOutcome, LeaseRequest, Message, RequestId, RunnerStage,
    RunnerUpdate, UpdateVersion,
};
use rand::Rng;
use seat_leases::{select_owner, LeaseOwner};
use std::collections::BTreeMap;

const SUSPECT_MS: u64 = 1_500;

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
    pub pass: JobAdmission,
    pub ends_at: u64,
    pub sends: u32,
    pub may_have_run: bool,
}

/// A gateway: gateways requests, keeps functions and jobs.
pub struct Node {
    pub name: String,
    pub life: u64,
    pub is_up: bool,
    pub jobs: JobCoordinator,
    pub keeper: LeaseOwner,
    pub tickets: BTreeMap<u64, Ticket>,
    pub suspects: BTreeMap<String, u64>,
    pub ends: UnacknowledgedResults,
    last: u64,
}

impl Node {
    pub fn new(place: usize) -> Self {
        Self {
            name: format!("g{place}"),
            life: 0,
            is_up: false,
            jobs: JobCoordinator::new(0, 1),
            keeper: LeaseOwner::default(),
            tickets: BTreeMap::new(),
            suspects: BTreeMap::new(),
            ends: UnacknowledgedResults::default(),
            last: 0,
        }
    }
}

fn runners() -> FunctionUpdate {
    let runner = |place: usize| RunnerUpdate {
        id: format!("r{place}"),
        address: format!("r{place}"),
        zone: String::new(),
        quota: 4,
        stage: RunnerStage::Serving,
        starts_in_ms: 0,
    };
    FunctionUpdate {
        function: FUNCTION.into(),
        version: UpdateVersion { term: 1, number: 1 },
        runners: (0..3).map(runner).collect(),
        start_block: None,
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
        fresh.jobs = JobCoordinator::new(life, remembered);
        fresh.keeper.update_runners(now, runners());
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
        node.jobs.advance_clock(now, |gateway, incarnation| {
            let member = roster.iter().find(|member| member.name == gateway);
            member.is_none_or(|member| member.incarnation != incarnation)
        });
        for end in node.ends.take_due(now) {
            if let Some(keeper) = self.keeper_of(place) {
                self.tell_end(place, &keeper, end);
            }
        }
        self.run_actions(place);
        self.later(50 * MS, Event::Tick(place, life));
    }

    pub fn keeper_of(&self, place: usize) -> Option<String> {
        let (node, now) = (&self.nodes[place], self.now_ms());
        let is_suspect = |name: &str| node.suspects.get(name).is_some_and(|until| now < *until);
        let keeper = select_owner(FUNCTION, &self.roster, |member| !is_suspect(&member.name));
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
        let pass = JobAdmission::new(format!("key {job}"), what, is_once(job), node.life);
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
        let bid = LeaseRequest {
            request_id: RequestId(number),
            function: FUNCTION.into(),
            priority: 0,
            timeout_ms: ticket.ends_at.saturating_sub(now) as u32,
            excluded_runners: Vec::new(),
            job: Some(ticket.pass.begin_attempt(&keeper)),
        };
        if keeper == node.name {
            node.jobs.request_arrived(now, &keeper, "", bid);
            return self.run_actions(place);
        }
        let peer = self.place_of(&keeper).unwrap();
        self.send(place, peer, Message::LeaseRequest(bid));
    }

    pub fn rested(&mut self, place: usize, life: u64, number: u64) {
        let node = &self.nodes[place];
        let ticket = node.tickets.get(&number).filter(|_| node.life == life);
        if ticket.is_some_and(|ticket| ticket.stage == Stage::Resting) {
            self.place_bid(place, number);
        }
    }

    /// Takes a bid back, at a keeper that may still think of it.
    pub fn withdraw(&mut self, place: usize, number: u64) {
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
        let end = ticket
            .pass
            .completion(RequestId(number), FUNCTION, JobResult::NotRun);
        ticket.pass.void_attempt();
        if lender == node.name {
            node.keeper.cancel(now, &lender, RequestId(number));
        } else {
            let peer = self.place_of(&lender).unwrap();
            self.send(place, peer, Message::CancelRequest(RequestId(number)));
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
        self.run_actions(place);
    }

    pub fn drop_peer(&mut self, place: usize, peer: usize) {
        let now = self.now_ms();
        let name = self.nodes[peer].name.clone();
        let node = &mut self.nodes[place];
        node.suspects.insert(name.clone(), now + SUSPECT_MS);
        node.keeper.remove_gateway(now, &name);
        node.jobs.gateway_lost(now, &name);
        self.move_waiting(place);
    }

    pub fn withdraw_seat(&mut self, place: usize, number: u64) {
        let ticket = &self.nodes[place].tickets[&number];
        if let Stage::Sent(lender, false, _) = ticket.stage.clone() {
            self.release(place, &lender, number, LeaseOutcome::Unused);
        }
    }

    pub fn time_over(&mut self, place: usize, life: u64, number: u64) {
        let node = &self.nodes[place];
        let Some(ticket) = node.tickets.get(&number).filter(|_| node.life == life) else {
            return;
        };
        if let Stage::Sent(lender, true, _) = ticket.stage.clone() {
            self.release(place, &lender, number, LeaseOutcome::Lost);
            return self.finish(place, number, Told::MayHaveRun, JobResult::Lost);
        }
        let is_unsure = ticket.may_have_run || ticket.pass.may_have_run_elsewhere();
        let told = if is_unsure {
            Told::MayHaveRun
        } else {
            Told::NotRun
        };
        self.withdraw(place, number);
        self.finish(place, number, told, JobResult::NotRun);
        self.run_actions(place);
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
            self.run_actions(place);
        }
    }
}
