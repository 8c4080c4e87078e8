use configuration::PeerRef;
use rand::rngs::StdRng;
use rand::Rng;
use register::{VoterOperation, VoterRequest, VoterSet};
use request_queue::{AttemptOutcome, QueuedRequest, SeatGrant};
use scaler::{CommandResult, PlatformCommand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use transport::PeerMessage;

use crate::faults::Fault;
use crate::platform::RunnerResponse;

/// A message on its way.
#[derive(Clone, Debug)]
pub(crate) struct Packet {
    pub from: PeerRef,
    pub number: u64,
    pub body: PeerMessage,
}

/// What a caller wants.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub call: u64,
    pub function: String,
    pub kind: String,
    pub idempotency_key: Option<u64>,
}

/// What happens at one moment.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Deliver(Packet),
    Tick(u64),
    CallerRequest(CallerRequest),
    AttemptStart(QueuedRequest, SeatGrant),
    AttemptOutcome(
        QueuedRequest,
        SeatGrant,
        AttemptOutcome,
        Option<RunnerResponse>,
    ),
    BudgetOver(u64),
    Probed(String, bool),
    Ordered(PlatformCommand, CommandResult),
    PendingPut,
}

#[derive(Debug)]
pub(crate) enum ScheduledEvent {
    /// At a node, in one of its incarnations; 0 is any incarnation.
    At(String, u64, Box<Event>),
    /// Bytes of a try reach an address.
    RunnerRequest(Box<crate::platform::RunnerRequest>),
    /// A front looks whether a runner is there.
    Probe(String, String, String),
    /// A run ends.
    RunEnd(u64),
    /// A call reaches the platform.
    Platform(String, u64, Box<(PlatformCommand, u64)>),
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
    events: BTreeMap<u64, ScheduledEvent>,
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

    /// Something happens at a time, by the clock of whoever acts now.
    pub fn at(&mut self, time: u64, scheduled_event: ScheduledEvent) {
        let after = time.saturating_sub(self.now);
        let after = after * 1_000_000 / 1_000_000_u64.saturating_add_signed(self.clock.ppm);
        let time = self.time + after;
        let number = self.next;
        self.next += 1;
        self.events.insert(number, scheduled_event);
        self.queue.push(Reverse((time, number)));
    }

    /// Puts an event back for a later time, in its old place among others.
    pub fn put_back(&mut self, time: u64, number: u64, scheduled_event: ScheduledEvent) {
        self.events.insert(number, scheduled_event);
        self.queue.push(Reverse((time, number)));
    }

    pub fn pop(&mut self) -> Option<(u64, ScheduledEvent)> {
        let Reverse((time, number)) = self.queue.pop()?;
        self.time = self.time.max(time);
        self.look_by(Clock::default());
        let scheduled_event = self.events.remove(&number)?;
        Some((number, scheduled_event))
    }

    pub fn soon(&mut self, most: u64) -> u64 {
        self.now + self.random.random_range(1..=most)
    }

    pub fn event(&mut self, time: u64, node: &str, incarnation: u64, event: Event) {
        let scheduled_event = ScheduledEvent::At(node.to_string(), incarnation, Box::new(event));
        self.at(time, scheduled_event);
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
            let packet = Packet {
                from: from.clone(),
                number,
                body: PeerMessage::Voter(message),
            };
            self.send(&from.name, &voter.address, packet);
        }
    }

    /// Sends a message; it may be lost, doubled or overtaken.
    pub fn send(&mut self, from: &str, to: &str, packet: Packet) {
        if self.cuts.contains(&(from.to_string(), to.to_string())) {
            return;
        }
        if self.random.random_bool(self.loss) {
            return;
        }
        if self.random.random_bool(0.01) {
            let late = self.soon(80);
            self.event(late, to, 0, Event::Deliver(packet.clone()));
        }
        let most = if self.random.random_bool(0.02) { 60 } else { 8 };
        let time = self.soon(most);
        self.event(time, to, 0, Event::Deliver(packet));
    }
}
