use configuration::PeerRef;
use rand::rngs::StdRng;
use rand::Rng;
use register::{VoterOperation, VoterRequest, VoterSet};
use request_queue::{SeatGrant, Ticket, TryEnd};
use scaler::{Order, OrderResult};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use transport::Message;

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

/// Wall time at the start of a simulation, in milliseconds since 1970.
const WALL_START: u64 = 1_000_000_000;

/// A machine's clocks: the one since boot began earlier and runs a little fast or slow, the wall
/// clock may be set to another time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    pub booted_before: u64,
    pub ppm: i64,
    pub wall_jump: i64,
}

impl Clock {
    pub fn now(&self, time: u64) -> u64 {
        (self.booted_before + time).saturating_add_signed(time as i64 * self.ppm / 1_000_000)
    }
}

/// The order of events, and the network between nodes.
pub(crate) struct Net {
    /// Time as whoever acts now sees it.
    pub now: u64,
    /// Wall time as whoever acts now sees it.
    pub wall: u64,
    time: u64,
    clock: Clock,
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
            wall: WALL_START,
            time: 0,
            clock: Clock::default(),
            random,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            cuts: BTreeSet::new(),
            loss: 0.005,
        }
    }

    /// Looks at time as a machine with this clock does, until the next event.
    pub fn look_by(&mut self, clock: Clock) {
        self.clock = clock;
        self.now = clock.now(self.time);
        let wall = (WALL_START + self.time) as i64 + clock.wall_jump;
        self.wall = wall.max(0) as u64;
    }

    /// Something happens at a time, told by the clock of whoever acts now.
    pub fn at(&mut self, time: u64, happening: Happening) {
        let after = time.saturating_sub(self.now);
        let after = after * 1_000_000 / 1_000_000_u64.saturating_add_signed(self.clock.ppm);
        let time = self.time + after;
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
        self.time = self.time.max(time);
        self.look_by(Clock::default());
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
    pub fn ask_voters(
        &mut self,
        from: &PeerRef,
        set: &VoterSet,
        number: u64,
        ask: &VoterOperation,
    ) {
        for voter in &set.voters {
            let message = VoterRequest {
                set_version: set.version(),
                operation: ask.clone(),
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
