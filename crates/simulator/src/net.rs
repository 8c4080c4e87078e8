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

/// A message in transit.
#[derive(Clone, Debug)]
pub(crate) struct Packet {
    pub from: PeerRef,
    pub number: u64,
    pub body: PeerMessage,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub call: u64,
    pub function: String,
    pub kind: String,
    pub idempotency_key: Option<u64>,
}

/// An event that a node handles.
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
    BudgetExpired(u64),
    ProbeDone(String, bool),
    CommandDone(PlatformCommand, CommandResult),
    PendingPut,
}

#[derive(Debug)]
pub(crate) enum ScheduledEvent {
    /// At a node, in one of its incarnations; 0 means any incarnation.
    AtNode(String, u64, Box<Event>),
    /// The bytes of an attempt reach an address.
    RunnerRequest(Box<crate::platform::RunnerRequest>),
    /// A front probes whether a runner is reachable.
    Probe(String, String, String),
    /// A run on a runner ends.
    RunDone(u64),
    /// A command reaches the platform.
    Platform(String, u64, Box<(PlatformCommand, u64)>),
    /// The platform records a snapshot of its lists.
    PlatformTick,
    /// A fault starts or ends.
    Fault(Fault),
    /// The next caller request arrives.
    Caller,
}

/// Wall-clock time at the start of a simulation, in milliseconds since 1970.
const WALL_START: u64 = 1_000_000_000;

/// A machine's clocks. Its boot-time clock has a starting offset and drifts by `drift_ppm`; its wall clock
/// may be offset from true time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    pub boot_offset_ms: u64,
    pub drift_ppm: i64,
    pub wall_offset_ms: i64,
}

impl Clock {
    pub fn now(&self, time: u64) -> u64 {
        (self.boot_offset_ms + time).saturating_add_signed(time as i64 * self.drift_ppm / 1_000_000)
    }
}

/// The event queue and the network between nodes.
pub(crate) struct Net {
    /// Boot-time clock of the node that handles the current event.
    pub now: u64,
    /// Wall clock of the node that handles the current event.
    pub wall: u64,
    time: u64,
    clock: Clock,
    pub random: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, ScheduledEvent>,
    next: u64,
    /// Pairs (from, to) whose messages are dropped.
    pub blocked_links: BTreeSet<(String, String)>,
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
            blocked_links: BTreeSet::new(),
            loss: 0.005,
        }
    }

    /// Reads time from this machine's clocks until the next event.
    pub fn set_local_clock(&mut self, clock: Clock) {
        self.clock = clock;
        self.now = clock.now(self.time);
        let wall = (WALL_START + self.time) as i64 + clock.wall_offset_ms;
        self.wall = wall.max(0) as u64;
    }

    /// Schedules an event for a time on the current node's clock.
    pub fn schedule(&mut self, time: u64, scheduled_event: ScheduledEvent) {
        let after = time.saturating_sub(self.now);
        let after = after * 1_000_000 / 1_000_000_u64.saturating_add_signed(self.clock.drift_ppm);
        let time = self.time + after;
        let number = self.next;
        self.next += 1;
        self.events.insert(number, scheduled_event);
        self.queue.push(Reverse((time, number)));
    }

    /// Reschedules an event for a later time, keeping its order among events of the same time.
    pub fn reschedule(&mut self, time: u64, number: u64, scheduled_event: ScheduledEvent) {
        self.events.insert(number, scheduled_event);
        self.queue.push(Reverse((time, number)));
    }

    pub fn pop(&mut self) -> Option<(u64, ScheduledEvent)> {
        let Reverse((time, number)) = self.queue.pop()?;
        self.time = self.time.max(time);
        self.set_local_clock(Clock::default());
        let scheduled_event = self.events.remove(&number)?;
        Some((number, scheduled_event))
    }

    pub fn random_time_within(&mut self, max_delay_ms: u64) -> u64 {
        self.now + self.random.random_range(1..=max_delay_ms)
    }

    pub fn schedule_at_node(&mut self, time: u64, node: &str, incarnation: u64, event: Event) {
        let scheduled_event =
            ScheduledEvent::AtNode(node.to_string(), incarnation, Box::new(event));
        self.schedule(time, scheduled_event);
    }

    /// Sends an operation to every voter of a set.
    pub fn send_to_voters(
        &mut self,
        from: &PeerRef,
        set: &VoterSet,
        number: u64,
        operation: &VoterOperation,
    ) {
        for voter in &set.voters {
            let message = VoterRequest {
                set_version: set.version(),
                operation: operation.clone(),
            };
            let packet = Packet {
                from: from.clone(),
                number,
                body: PeerMessage::Voter(message),
            };
            self.send(&from.name, &voter.address, packet);
        }
    }

    /// Sends a message, which may be lost, duplicated or reordered.
    pub fn send(&mut self, from: &str, to: &str, packet: Packet) {
        if self
            .blocked_links
            .contains(&(from.to_string(), to.to_string()))
        {
            return;
        }
        if self.random.random_bool(self.loss) {
            return;
        }
        if self.random.random_bool(0.01) {
            let duplicate_time = self.random_time_within(80);
            self.schedule_at_node(duplicate_time, to, 0, Event::Deliver(packet.clone()));
        }
        let max_delay_ms = if self.random.random_bool(0.02) { 60 } else { 8 };
        let time = self.random_time_within(max_delay_ms);
        self.schedule_at_node(time, to, 0, Event::Deliver(packet));
    }
}
