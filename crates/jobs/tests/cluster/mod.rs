//! A simulated cluster: gateways and controllers as state machines in virtual time, and an oracle that records all runs.

mod controllers;
mod faults;
mod gateway;
mod messages;
mod oracle;
mod runner_attempts;
#[path = "../sign_request/mod.rs"]
mod sign_request;

pub use gateway::GatewayNode;
pub use oracle::{ClientOutcome, Oracle};

use controllers::Controller;
use protocol::{JobCompletion, Member, Message, RegisterResponse};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{VoterRequest, VoterResponse};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Microseconds in a millisecond; simulated time is in microseconds.
pub const MS: u64 = 1_000;
pub const FUNCTION: &str = "sign";
const CONTROLLERS: usize = 3;

pub enum Event {
    Tick(usize, u64),
    Receive(usize, u64, usize, Message),
    LinkEnded(usize, u64, usize),
    RegisterRequest(usize, (usize, u64), Message),
    RegisterResponded(usize, u64, u64, RegisterResponse),
    VoterOperation(usize, usize, u64, (u64, u64), VoterRequest),
    VoterResponse(usize, u64, (u64, u64), usize, VoterResponse),
    RetryProposal(usize, u64, u64, u64),
    ProposalDeadline(usize, u64, u64),
    ControllerBoot(usize),
    AdvanceJobWindow(usize, u64),
    Boot(usize),
    MembershipChanged,
    Request(usize, usize),
    Connected(usize, u64, u64, u32),
    Run(usize, (usize, u64), u64, u32),
    Reply(usize, u64, u64, u32, Reply),
    Deadline(usize, u64, u64),
    BackoffOver(usize, u64, u64),
    ClientLeft(usize, u64, u64),
}

#[derive(Clone)]
pub enum Reply {
    Answer(Vec<u8>),
    Rejected,
    ConnectionLost,
}

/// Fault probabilities, and the message delay and retention time.
#[derive(Clone, Copy)]
pub struct FaultRates {
    /// Probability that a runner rejects a request.
    pub rejected: f64,
    /// Probability that the response of a run is lost.
    pub connection_lost: f64,
    /// Probability that a client disconnects, at a random time within the timeout of its request.
    pub client_left: f64,
    /// Upper bound of a message's delay, in microseconds.
    pub hop_us: u64,
    /// Retention time of jobs, in milliseconds.
    pub retention_ms: u64,
}

pub const NO_FAULTS: FaultRates = FaultRates {
    rejected: 0.0,
    connection_lost: 0.0,
    client_left: 0.0,
    hop_us: 800,
    retention_ms: 600_000,
};

pub struct Cluster {
    pub now: u64,
    pub random: StdRng,
    pub fault_rates: FaultRates,
    pub nodes: Vec<GatewayNode>,
    pub controllers: Vec<Controller>,
    pub membership: Vec<Member>,
    pub oracle: Oracle,
    pub last_incarnation: u64,
    /// Number of times that each link was broken.
    links: BTreeMap<(usize, usize), u64>,
    /// Arrival time of the last message sent in each direction of a link.
    arrivals: BTreeMap<(usize, usize), u64>,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    last_event: u64,
}

impl Cluster {
    pub fn new(seed: u64, count: usize, fault_rates: FaultRates) -> Self {
        let mut cluster = Self {
            now: 0,
            random: StdRng::seed_from_u64(seed),
            fault_rates,
            nodes: Vec::new(),
            controllers: Vec::new(),
            membership: Vec::new(),
            oracle: Oracle::default(),
            last_incarnation: 0,
            links: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            last_event: 0,
        };
        for index in 0..CONTROLLERS {
            cluster
                .controllers
                .push(Controller::new(index, CONTROLLERS));
        }
        for index in 0..count {
            cluster.nodes.push(GatewayNode::new(index));
            cluster.boot(index);
        }
        cluster.update_membership();
        cluster.run(200);
        cluster
    }

    pub fn now_ms(&self) -> u64 {
        self.now / MS
    }

    pub fn schedule(&mut self, delay: u64, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue
            .push(Reverse((self.now + delay, self.last_event)));
    }

    /// Advances the clock, and handles all events that are due until then.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms * MS;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    pub fn hop(&mut self) -> u64 {
        let max = self.fault_rates.hop_us;
        self.random.random_range(max / 4..max)
    }

    /// Sends a message from one node to another. Messages of one direction arrive in order, unless their link breaks.
    pub fn send(&mut self, from: usize, to: usize, message: Message) {
        let at = self.now + self.hop();
        let last = self.arrivals.entry((from, to)).or_insert(0);
        *last = (*last + 1).max(at);
        let delay = *last - self.now;
        let link = self.link(from, to);
        self.schedule(delay, Event::Receive(to, link, from, message));
    }

    pub fn link(&self, one: usize, other: usize) -> u64 {
        let key = (one.min(other), one.max(other));
        self.links.get(&key).copied().unwrap_or(0)
    }

    /// Breaks a link. Messages in flight may still arrive afterwards.
    pub fn end_link(&mut self, one: usize, other: usize) {
        let key = (one.min(other), one.max(other));
        *self.links.entry(key).or_insert(0) += 1;
        self.arrivals.remove(&(one, other));
        self.arrivals.remove(&(other, one));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Receive(to, link, from, message) => {
                if link != self.link(from, to) && self.random.random_bool(0.5) {
                    return;
                }
                self.receive(to, from, message);
            }
            Event::LinkEnded(index, incarnation, peer) => {
                if self.nodes[index].incarnation == incarnation && self.nodes[index].is_up {
                    self.peer_lost(index, peer);
                }
            }
            Event::RegisterResponded(index, incarnation, number, response) => {
                if self.nodes[index].incarnation == incarnation && self.nodes[index].is_up {
                    let now = self.now_ms();
                    self.nodes[index]
                        .jobs
                        .register_responded(now, number, response);
                    self.run_actions(index);
                }
            }
            event => self.handle_controller_event(event),
        }
    }

    fn handle_controller_event(&mut self, event: Event) {
        match event {
            Event::RegisterRequest(controller, from, message) => {
                self.register_requested(controller, from, message)
            }
            Event::VoterOperation(to, from, incarnation, operation_id, message) => {
                self.voter_requested(to, from, incarnation, operation_id, message);
            }
            Event::VoterResponse(controller, incarnation, operation_id, voter, response) => {
                self.voter_responded(controller, incarnation, operation_id, voter, response);
            }
            Event::RetryProposal(controller, incarnation, id, above) => {
                self.retry_proposal(controller, incarnation, id, above)
            }
            Event::ProposalDeadline(controller, incarnation, id) => {
                self.proposal_deadline(controller, incarnation, id)
            }
            Event::ControllerBoot(controller) => self.boot_controller(controller),
            Event::AdvanceJobWindow(controller, incarnation) => {
                self.advance_job_window(controller, incarnation)
            }
            event => self.handle_gateway_event(event),
        }
    }

    fn handle_gateway_event(&mut self, event: Event) {
        match event {
            Event::Tick(index, incarnation) => self.tick(index, incarnation),
            Event::Boot(index) => self.boot(index),
            Event::MembershipChanged => self.update_membership(),
            Event::Request(index, job) => self.client_request(index, job),
            Event::Connected(index, incarnation, request, attempt) => {
                self.connection_opened(index, incarnation, request, attempt);
            }
            Event::Run(client_request, from, request, send) => {
                self.run_at_runner(client_request, from, request, send)
            }
            Event::Reply(index, incarnation, request, send, reply) => {
                self.runner_replied(index, incarnation, request, send, reply);
            }
            Event::Deadline(index, incarnation, request) => {
                self.deadline_passed(index, incarnation, request)
            }
            Event::BackoffOver(index, incarnation, request) => {
                self.backoff_over(index, incarnation, request)
            }
            Event::ClientLeft(index, incarnation, request) => {
                self.client_left(index, incarnation, request)
            }
            _ => unreachable!("handled before"),
        }
    }

    fn update_membership(&mut self) {
        let up = self.nodes.iter().filter(|node| node.is_up);
        self.membership = up
            .map(|node| Member {
                name: node.name.clone(),
                incarnation: node.incarnation,
                ..Member::default()
            })
            .collect();
        for index in 0..self.nodes.len() {
            self.nodes[index].suspects.clear();
            self.move_waiting(index);
        }
    }

    pub fn send_completion(&mut self, index: usize, to: &str, completion: JobCompletion) {
        if to == self.nodes[index].name {
            let now = self.now_ms();
            self.nodes[index]
                .jobs
                .attempt_completed(now, to, completion);
            self.run_actions(index);
        } else if let Some(peer) = self.index_of(to) {
            self.send(index, peer, Message::JobCompletion(completion));
        }
    }

    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }
}
