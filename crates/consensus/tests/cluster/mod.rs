//! A simulated network of controllers in virtual time. An oracle checks every step.

mod client;
mod faults;
mod machines;
mod network;
mod node;
mod oracle;

pub use node::Node;

use consensus::{ConsensusAction, ConsensusMessage};
use oracle::Oracle;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use speedy::{LittleEndian, Writable};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const LEASE_MS: u64 = 1_000;
pub const HEARTBEAT_INTERVAL_MS: u64 = 200;
pub const REPLACEMENT_TIMEOUT_MS: u64 = 2_000;
const TICK_MS: u64 = 50;
/// 2 Mbit/s.
const SLOW_BITS_PER_MS: u64 = 2_000;
/// Maximum number of recorded messages.
const MAX_PAST_MESSAGES: usize = 4_000;

pub enum Event {
    Deliver(usize, String, ConsensusMessage),
    Tick(usize, u64),
    Disk(usize, u64),
    Client(usize),
    Boot(usize),
    Thaw(usize),
}

/// Size of a message on the wire, in bytes.
pub fn size(message: &ConsensusMessage) -> usize {
    4 + Writable::<LittleEndian>::bytes_needed(message).unwrap()
}

pub struct SimulatedCluster {
    pub now: u64,
    pub random: StdRng,
    pub nodes: Vec<Node>,
    pub oracle: Oracle,
    pub wanted: usize,
    /// Links that are cut, by direction.
    pub cuts: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub is_writing: bool,
    pub sent: u64,
    pub bytes: u64,
    /// Bytes sent towards each controller.
    pub received: BTreeMap<usize, u64>,
    /// Controllers behind a slow link, with the time until which the link is busy with incoming messages.
    pub slow_lines: BTreeMap<usize, u64>,
    /// Recorded messages, if they are kept for replay.
    pub past: Option<Vec<(usize, String, ConsensusMessage)>>,
    /// Times of proposals of voter sets, with the proposing controllers.
    pub set_proposals: Vec<(u64, usize)>,
    /// Machines whose disks were moved to other machines.
    pub moved: BTreeSet<usize>,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    number: u64,
}

impl SimulatedCluster {
    /// Controllers that start for the first time. The first three are seeds.
    pub fn first_start(seed: u64, count: usize, wanted: usize) -> Self {
        let mut cluster = Self {
            now: 0,
            random: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            oracle: Oracle::default(),
            wanted,
            cuts: BTreeSet::new(),
            loss: 0.0,
            is_writing: true,
            sent: 0,
            bytes: 0,
            received: BTreeMap::new(),
            slow_lines: BTreeMap::new(),
            past: None,
            set_proposals: Vec::new(),
            moved: BTreeSet::new(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            number: 0,
        };
        let seeds: Vec<String> = (0..count.min(3))
            .map(|place| format!("at-{place}"))
            .collect();
        for _ in 0..count {
            cluster.add(seeds.clone(), true);
        }
        cluster
    }

    /// Started controllers without client writes. The first three vote.
    pub fn idle(seed: u64, count: usize) -> Self {
        let mut cluster = Self::first_start(seed, count, 3);
        cluster.is_writing = false;
        cluster.run(1_500);
        cluster
    }

    /// Adds a controller at a new address.
    pub fn add(&mut self, seeds: Vec<String>, is_first_start: bool) -> usize {
        let place = self.nodes.len();
        let offset = self.random.random_range(0..1_000_000);
        let node = Node::new(place, seeds, is_first_start, offset, &mut self.random);
        self.nodes.push(node);
        let delay = self.random.random_range(0..300);
        self.later(delay, Event::Boot(place));
        let delay = self.random.random_range(0..100);
        self.later(delay, Event::Client(place));
        place
    }

    pub fn later(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.events.insert(self.number, event);
        self.queue.push(Reverse((self.now + delay, self.number)));
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.take(event);
            }
            self.oracle.check(self.now, &self.nodes);
        }
        self.now = end;
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Boot(place) => self.boot(place),
            Event::Thaw(place) => self.thaw(place),
            Event::Client(place) => self.client(place),
            Event::Tick(place, incarnation) => self.tick(place, incarnation),
            Event::Disk(place, incarnation) => self.disk(place, incarnation),
            Event::Deliver(place, from, message) => self.deliver(place, from, message),
        }
    }

    fn tick(&mut self, place: usize, incarnation: u64) {
        let now = self.now;
        let node = &mut self.nodes[place];
        if node.incarnation != incarnation || node.consensus.is_none() {
            return;
        }
        if node.is_frozen {
            node.frozen.push(Event::Tick(place, incarnation));
            return;
        }
        let local = node.clock(now);
        let mut pause = TICK_MS;
        if let Some(consensus) = node.consensus.as_mut() {
            consensus.tick(local);
            let due = consensus
                .next_deadline()
                .map(|at| at.saturating_sub(local).max(1));
            pause = pause.min(due.unwrap_or(pause));
        }
        self.drain(place);
        self.later(pause, Event::Tick(place, incarnation));
    }

    fn disk(&mut self, place: usize, incarnation: u64) {
        let now = self.now;
        let node = &mut self.nodes[place];
        if node.incarnation != incarnation || node.consensus.is_none() {
            return;
        }
        if node.is_frozen {
            node.frozen.push(Event::Disk(place, incarnation));
            return;
        }
        node.perform(now);
        self.drain(place);
    }

    fn deliver(&mut self, place: usize, from: String, message: ConsensusMessage) {
        let now = self.now;
        let node = &mut self.nodes[place];
        if node.is_frozen {
            node.frozen.push(Event::Deliver(place, from, message));
            return;
        }
        let local = node.clock(now);
        if let Some(consensus) = node.consensus.as_mut() {
            consensus.on_message(local, &from, message);
            self.drain(place);
        }
    }

    /// Carries out the actions of a consensus.
    pub fn drain(&mut self, place: usize) {
        let Some(consensus) = self.nodes[place].consensus.as_mut() else {
            return;
        };
        for action in consensus.take_actions() {
            match action {
                ConsensusAction::Send { to, message } => self.send(place, &to, message),
                ConsensusAction::Disk(work) => {
                    self.nodes[place].disk_work.push(work);
                    if self.nodes[place].disk_work.len() == 1 {
                        let (delay, incarnation) = (
                            self.random.random_range(1..6),
                            self.nodes[place].incarnation,
                        );
                        self.later(delay, Event::Disk(place, incarnation));
                    }
                }
                ConsensusAction::RequestCompleted { token, outcome } => {
                    self.oracle.end_request(self.now, token, &outcome);
                }
                ConsensusAction::ValueCommitted { key, version } => {
                    let committed = self.nodes[place].consensus.as_ref();
                    let committed = committed.and_then(|consensus| consensus.committed(&key));
                    if let Some((newest, bytes)) = committed {
                        assert!(newest >= version);
                        self.oracle.record_committed(&key, newest, bytes);
                    }
                }
                ConsensusAction::RoleAcquired { term } => {
                    self.oracle
                        .record_term(self.now, term, place, self.nodes[place].incarnation);
                }
                ConsensusAction::RoleLost => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, message: ConsensusMessage) {
        let Some(place) = self.nodes.iter().position(|node| node.address == to) else {
            return;
        };
        self.record_proposal(from, &message);
        self.sent += 1;
        self.bytes += size(&message) as u64;
        let is_lost = self.random.random_bool(self.loss);
        if is_lost || self.cuts.contains(&(from, place)) {
            return;
        }
        let line = self.transfer(place, size(&message) as u64);
        let address = self.nodes[from].address.clone();
        self.remember(place, &address, &message);
        let is_doubled = self.loss > 0.0 && self.random.random_bool(0.02);
        let is_late = self.loss > 0.0 && self.random.random_bool(0.02);
        if is_doubled {
            let delay = self.random.random_range(0..800);
            let event = Event::Deliver(place, address.clone(), message.clone());
            self.later(delay, event);
        }
        let delay = self.random.random_range(0..if is_late { 1_500 } else { 6 });
        self.later(line + delay, Event::Deliver(place, address, message));
    }

    /// Time until a message has passed a controller's link.
    fn transfer(&mut self, place: usize, bytes: u64) -> u64 {
        *self.received.entry(place).or_default() += bytes;
        let Some(busy_until) = self.slow_lines.get_mut(&place) else {
            return 0;
        };
        *busy_until = self.now.max(*busy_until) + bytes * 8 / SLOW_BITS_PER_MS;
        *busy_until - self.now
    }

    fn remember(&mut self, place: usize, from: &str, message: &ConsensusMessage) {
        let Some(past) = self.past.as_mut() else {
            return;
        };
        let sent = (place, from.to_string(), message.clone());
        if past.len() < MAX_PAST_MESSAGES {
            past.push(sent);
        } else {
            let old = self.random.random_range(0..MAX_PAST_MESSAGES);
            past[old] = sent;
        }
    }

    /// Delivers a random recorded message again, possibly one from an earlier incarnation.
    pub fn replay(&mut self) {
        let past = self.past.iter().flatten();
        let count = past.count();
        if count == 0 {
            return;
        }
        let old = self.random.random_range(0..count);
        let sent = self.past.as_ref().and_then(|past| past.get(old)).cloned();
        if let Some((place, from, message)) = sent {
            self.later(0, Event::Deliver(place, from, message));
        }
    }
}
