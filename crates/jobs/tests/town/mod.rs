//! Gateways, keepers and controllers as pure machines in virtual time, with an oracle that counts runs.

mod controllers;
mod faults;
mod gateway;
mod hearing;
mod oracle;
mod sending;

pub use gateway::Node;
pub use oracle::{Oracle, Told};

use controllers::Controller;
use protocol::{JobCompletion, Member, Message, RegisterResponse};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{VoterRequest, VoterResponse};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Microseconds in a millisecond; the town's own time is in microseconds.
pub const MS: u64 = 1_000;
pub const FUNCTION: &str = "sign";
const CONTROLLERS: usize = 3;

pub enum Event {
    Tick(usize, u64),
    Hear(usize, u64, usize, Message),
    LinkEnded(usize, u64, usize),
    ControllerAsk(usize, (usize, u64), Message),
    ControllerSaid(usize, u64, u64, RegisterResponse),
    VoterOperation(usize, usize, u64, (u64, u64), VoterRequest),
    VoterResponse(usize, u64, (u64, u64), usize, VoterResponse),
    Again(usize, u64, u64, u64),
    Over(usize, u64, u64),
    ControllerBoot(usize),
    TurnJobs(usize, u64),
    Boot(usize),
    Roster,
    Request(usize, usize),
    Line(usize, u64, u64, u32),
    Run(usize, (usize, u64), u64, u32),
    Reply(usize, u64, u64, u32, Reply),
    TimeOver(usize, u64, u64),
    Rest(usize, u64, u64),
    Leave(usize, u64, u64),
}

#[derive(Clone)]
pub enum Reply {
    Answer(Vec<u8>),
    TurnedAway,
    BrokeOff,
}

/// What a seed's town is like.
#[derive(Clone, Copy)]
pub struct Weather {
    /// Share of requests that runners turn away.
    pub turns_away: f64,
    /// Share of runs whose answer is lost.
    pub breaks_off: f64,
    /// Share of clients that leave before they are answered.
    pub leaves: f64,
    /// Microseconds between two nodes, at most.
    pub hop_us: u64,
    /// Milliseconds for which jobs are remembered.
    pub remembered_ms: u64,
}

pub const CALM: Weather = Weather {
    turns_away: 0.0,
    breaks_off: 0.0,
    leaves: 0.0,
    hop_us: 800,
    remembered_ms: 600_000,
};

pub struct Town {
    pub now: u64,
    pub random: StdRng,
    pub weather: Weather,
    pub nodes: Vec<Node>,
    pub controllers: Vec<Controller>,
    pub roster: Vec<Member>,
    pub oracle: Oracle,
    pub lives: u64,
    /// Number of each link's life, and when its last message arrives.
    links: BTreeMap<(usize, usize), u64>,
    arrivals: BTreeMap<(usize, usize), u64>,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    number: u64,
}

impl Town {
    pub fn new(seed: u64, count: usize, weather: Weather) -> Self {
        let mut town = Self {
            now: 0,
            random: StdRng::seed_from_u64(seed),
            weather,
            nodes: Vec::new(),
            controllers: Vec::new(),
            roster: Vec::new(),
            oracle: Oracle::default(),
            lives: 0,
            links: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            number: 0,
        };
        for place in 0..CONTROLLERS {
            town.controllers.push(Controller::new(place, CONTROLLERS));
        }
        for place in 0..count {
            town.nodes.push(Node::new(place));
            town.boot(place);
        }
        town.take_roster();
        town.run(200);
        town
    }

    pub fn now_ms(&self) -> u64 {
        self.now / MS
    }

    pub fn later(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.events.insert(self.number, event);
        self.queue.push(Reverse((self.now + delay, self.number)));
    }

    /// Lets so many milliseconds pass.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms * MS;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.take(event);
            }
        }
        self.now = end;
    }

    pub fn hop(&mut self) -> u64 {
        let most = self.weather.hop_us;
        self.random.random_range(most / 4..most)
    }

    /// Sends a message between two nodes, in order as long as their link lives.
    pub fn send(&mut self, from: usize, to: usize, message: Message) {
        let at = self.now + self.hop();
        let last = self.arrivals.entry((from, to)).or_insert(0);
        *last = (*last + 1).max(at);
        let delay = *last - self.now;
        let link = self.link(from, to);
        self.later(delay, Event::Hear(to, link, from, message));
    }

    pub fn link(&self, one: usize, other: usize) -> u64 {
        let key = (one.min(other), one.max(other));
        self.links.get(&key).copied().unwrap_or(0)
    }

    /// Ends a link's life. What is on its way may still come, and late.
    pub fn end_link(&mut self, one: usize, other: usize) {
        let key = (one.min(other), one.max(other));
        *self.links.entry(key).or_insert(0) += 1;
        self.arrivals.remove(&(one, other));
        self.arrivals.remove(&(other, one));
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Tick(place, life) => self.tick(place, life),
            Event::Hear(to, link, from, message) => {
                if link != self.link(from, to) && self.random.random_bool(0.5) {
                    return;
                }
                self.hear(to, from, message);
            }
            Event::LinkEnded(place, life, peer) => {
                if self.nodes[place].life == life && self.nodes[place].is_up {
                    self.drop_peer(place, peer);
                }
            }
            Event::ControllerAsk(controller, from, message) => {
                self.controller_asked(controller, from, message)
            }
            Event::ControllerSaid(place, life, number, said) => {
                if self.nodes[place].life == life && self.nodes[place].is_up {
                    let now = self.now_ms();
                    self.nodes[place].jobs.register_responded(now, number, said);
                    self.run_actions(place);
                }
            }
            Event::VoterOperation(to, from, life, ask, message) => {
                self.voter_asked(to, from, life, ask, message);
            }
            Event::VoterResponse(controller, life, ask, voter, reply) => {
                self.voter_replied(controller, life, ask, voter, reply);
            }
            Event::Again(controller, life, id, above) => {
                self.propose_again(controller, life, id, above)
            }
            Event::Over(controller, life, id) => self.proposal_over(controller, life, id),
            Event::ControllerBoot(controller) => self.boot_controller(controller),
            Event::TurnJobs(controller, life) => self.turn_jobs(controller, life),
            Event::Boot(place) => self.boot(place),
            Event::Roster => self.take_roster(),
            Event::Request(place, job) => self.request(place, job),
            Event::Line(place, life, ticket, attempt) => {
                self.line_open(place, life, ticket, attempt);
            }
            Event::Run(asked, from, ticket, send) => self.run_at_runner(asked, from, ticket, send),
            Event::Reply(place, life, ticket, send, reply) => {
                self.replied(place, life, ticket, send, reply);
            }
            Event::TimeOver(place, life, ticket) => self.time_over(place, life, ticket),
            Event::Rest(place, life, ticket) => self.rested(place, life, ticket),
            Event::Leave(place, life, ticket) => self.client_left(place, life, ticket),
        }
    }

    fn take_roster(&mut self) {
        let up = self.nodes.iter().filter(|node| node.is_up);
        self.roster = up
            .map(|node| Member {
                name: node.name.clone(),
                incarnation: node.life,
                ..Member::default()
            })
            .collect();
        for place in 0..self.nodes.len() {
            self.nodes[place].suspects.clear();
            self.move_waiting(place);
        }
    }

    pub fn tell_end(&mut self, place: usize, to: &str, end: JobCompletion) {
        if to == self.nodes[place].name {
            let now = self.now_ms();
            self.nodes[place].jobs.attempt_completed(now, to, end);
            self.run_actions(place);
        } else if let Some(peer) = self.place_of(to) {
            self.send(place, peer, Message::JobCompletion(end));
        }
    }

    pub fn place_of(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }
}
