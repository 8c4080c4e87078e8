use blueprint::PeerRef;
use holding::{SeatGrant, Ticket, TryEnd};
use rand::rngs::StdRng;
use rand::Rng;
use register::{VoterAsk, VoterMessage, VoterSet};
use scaler::{Order, OrderResult};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use wire::Message;

use crate::faults::Fault;
use crate::yard::Answer;

/// A message on its way.
#[derive(Clone, Debug)]
pub(crate) struct Parcel {
    pub from: PeerRef,
    pub number: u64,
    pub body: Message,
}

/// What a caller wants.
#[derive(Clone, Debug)]
pub(crate) struct Wish {
    pub call: u64,
    pub function: String,
    pub kind: String,
    pub once_key: Option<u64>,
}

/// What happens at one moment.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Deliver(Parcel),
    Tick(u64),
    Wish(Wish),
    TryStart(Ticket, SeatGrant),
    TryEnd(Ticket, SeatGrant, TryEnd, Option<Answer>),
    BudgetOver(u64),
    Probed(String, bool),
    Ordered(Order, OrderResult),
    Put,
}

#[derive(Debug)]
pub(crate) enum Happening {
    /// At a node, in one of its lives; 0 is any life.
    At(String, u64, Box<Event>),
    /// Bytes of a try reach an address.
    Request(Box<crate::yard::Request>),
    /// A front looks whether a runner is there.
    Probe(String, String, String),
    /// A run ends.
    RunEnd(u64),
    /// A call reaches the platform.
    Platform(String, u64, Box<(Order, u64)>),
    /// The platform notes its lists.
    PlatformTick,
    /// A failure begins or ends.
    Fault(Fault),
    /// A caller comes.
    Caller,
}

/// The order of events, and the network between nodes.
pub(crate) struct Net {
    pub now: u64,
    pub random: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Happening>,
    next: u64,
    /// Pairs (from, to) between which nothing passes.
    pub cuts: BTreeSet<(String, String)>,
    pub loss: f64,
}

impl Net {
    pub fn new(random: StdRng) -> Self {
        Self {
            now: 0,
            random,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            cuts: BTreeSet::new(),
            loss: 0.005,
        }
    }

    pub fn at(&mut self, time: u64, happening: Happening) {
        let number = self.next;
        self.next += 1;
        self.events.insert(number, happening);
        self.queue.push(Reverse((time, number)));
    }

    /// Puts an event back for a later time, in its old place among others.
    pub fn put_back(&mut self, time: u64, number: u64, happening: Happening) {
        self.events.insert(number, happening);
        self.queue.push(Reverse((time, number)));
    }

    pub fn pop(&mut self) -> Option<(u64, Happening)> {
        let Reverse((time, number)) = self.queue.pop()?;
        self.now = self.now.max(time);
        let happening = self.events.remove(&number)?;
        Some((number, happening))
    }

    pub fn soon(&mut self, most: u64) -> u64 {
        self.now + self.random.random_range(1..=most)
    }

    pub fn event(&mut self, time: u64, node: &str, life: u64, event: Event) {
        let happening = Happening::At(node.to_string(), life, Box::new(event));
        self.at(time, happening);
    }

    /// Asks every voter of a set.
    pub fn ask_voters(&mut self, from: &PeerRef, set: &VoterSet, number: u64, ask: &VoterAsk) {
        for voter in &set.voters {
            let message = VoterMessage {
                mark: set.mark(),
                ask: ask.clone(),
            };
            let parcel = Parcel {
                from: from.clone(),
                number,
                body: Message::Voter(message),
            };
            self.send(&from.name, &voter.address, parcel);
        }
    }

    /// Sends a message; it may be lost, doubled or overtaken.
    pub fn send(&mut self, from: &str, to: &str, parcel: Parcel) {
        if self.cuts.contains(&(from.to_string(), to.to_string())) {
            return;
        }
        if self.random.random_bool(self.loss) {
            return;
        }
        if self.random.random_bool(0.01) {
            let late = self.soon(80);
            self.event(late, to, 0, Event::Deliver(parcel.clone()));
        }
        let most = if self.random.random_bool(0.02) { 60 } else { 8 };
        let time = self.soon(most);
        self.event(time, to, 0, Event::Deliver(parcel));
    }
}
