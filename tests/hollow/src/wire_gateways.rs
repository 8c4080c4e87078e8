//! Hollow gateways: many in this process, each with a link to every controller.

use crate::town;
use crate::wire_daemons::CHANGE_MS;
use event_loop::{ConnectionId, Event, EventLoop};
use protocol::{
    frame, Frames, FunctionReport, Member, Message, RunnerReport, UpdateVersion, ZoneArrivals,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const INBOX: usize = 16 << 20;
const ASK_MS: u64 = 250;
const REPORT_MS: u64 = 200;
/// Instances of a function.
const EACH: usize = 10;

#[derive(Default)]
struct Gateway {
    member: Member,
    lines: Vec<Option<ConnectionId>>,
    told_at: u64,
    reported_at: u64,
    asked_until: u64,
    description: u64,
    /// Descriptions that were taken.
    orders: u64,
    roster: UpdateVersion,
    scaler: Option<(u64, usize)>,
    kept: HashMap<String, (u64, Vec<String>)>,
}

/// All hollow gateways.
pub struct Gateways {
    event_loop: EventLoop,
    controllers: Vec<SocketAddr>,
    gateways: Vec<Gateway>,
    lines: HashMap<ConnectionId, (usize, usize)>,
    began: Instant,
    /// Bytes that came, and that were sent.
    pub taken: u64,
    pub sent: u64,
    /// Newest mark of the description that was told.
    pub newest: u64,
    kinds: BTreeMap<&'static str, (u64, u64)>,
    instances: usize,
    /// Functions that have instances, by the gateway that keeps them under the roster of this mark.
    keepers: (UpdateVersion, HashMap<String, Vec<usize>>),
}

impl Gateways {
    pub fn new(count: usize, instances: usize, controllers: Vec<SocketAddr>) -> Self {
        let members = town::members(count).into_iter();
        let gateway = |member| Gateway {
            member,
            lines: vec![None; controllers.len()],
            ..Gateway::default()
        };
        Self {
            event_loop: EventLoop::new(19_000, 4_400).expect("lines can be had"),
            gateways: members.map(gateway).collect(),
            controllers,
            lines: HashMap::new(),
            began: Instant::now(),
            taken: 0,
            sent: 0,
            newest: 0,
            kinds: BTreeMap::new(),
            instances,
            keepers: Default::default(),
        }
    }

    /// A gateway keeps what falls to it under a roster, with the instances that there are.
    fn keep(&mut self, place: usize, mark: UpdateVersion, members: &[Member]) {
        if mark > self.keepers.0 {
            let mut keepers: HashMap<String, Vec<usize>> = HashMap::new();
            for function in 0..self.instances / EACH {
                let name = town::function_name(function);
                if let Some(keeper) = seat_leases::select_owner(&name, members, |_| true) {
                    keepers
                        .entry(keeper.name.clone())
                        .or_default()
                        .push(function);
                }
            }
            self.keepers = (mark, keepers);
        }
        if mark != self.keepers.0 {
            return;
        }
        let gateway = &mut self.gateways[place];
        let functions = self.keepers.1.get(&gateway.member.name);
        let mut before = std::mem::take(&mut gateway.kept);
        for function in functions.into_iter().flatten() {
            let name = town::function_name(*function);
            let places = function * EACH..(function + 1) * EACH;
            let fresh = || (0, places.map(town::instance_id).collect());
            let kept = before.remove(&name).unwrap_or_else(fresh);
            gateway.kept.insert(name, kept);
        }
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Whether each gateway has a link to every controller and the whole roster.
    pub fn are_linked(&self) -> bool {
        let is_linked = |gateway: &Gateway| {
            gateway.lines.iter().all(Option::is_some) && gateway.roster.term > 0
        };
        self.gateways.iter().all(is_linked)
    }

    /// Descriptions that every gateway has taken.
    pub fn orders_held(&self) -> u64 {
        self.gateways
            .iter()
            .map(|gateway| gateway.orders)
            .min()
            .unwrap_or(0)
    }

    /// What came, by kind.
    pub fn tell(&self) -> String {
        let kinds = self.kinds.iter();
        let kinds = kinds.map(|(name, (count, bytes))| format!("{name} {count} ({bytes} B)"));
        kinds.collect::<Vec<_>>().join(", ")
    }

    /// A gateway goes and comes back with another life.
    pub fn restart(&mut self, place: usize) {
        let gateway = &mut self.gateways[place];
        gateway.member.incarnation += 1;
        gateway.roster = UpdateVersion::default();
        gateway.kept.clear();
        for line in std::mem::take(&mut gateway.lines).into_iter().flatten() {
            self.lines.remove(&line);
            self.event_loop.close(line);
        }
        self.gateways[place].lines = vec![None; self.controllers.len()];
    }

    /// Does what is due and waits a little.
    pub fn turn(&mut self) {
        let now = self.now();
        for place in 0..self.gateways.len() {
            self.tend(now, place);
        }
        let mut events = Vec::new();
        self.event_loop.poll(Duration::from_millis(10), &mut events);
        for event in events {
            match event {
                Event::Connected(line) => self.connected(line),
                Event::Readable(line) => self.arrived(line),
                Event::Closed(line, _) => {
                    if let Some((place, controller)) = self.lines.remove(&line) {
                        self.gateways[place].lines[controller] = None;
                    }
                    self.event_loop.close(line);
                }
                Event::Accepted(..) => {}
            }
        }
    }

    fn tend(&mut self, now: u64, place: usize) {
        if now < self.gateways[place].told_at + CHANGE_MS / 10 {
            return self.report(now, place);
        }
        // The first heartbeats are spread over the pause.
        let is_first = self.gateways[place].told_at == 0;
        let early = if is_first {
            place as u64 * 7 % (CHANGE_MS / 10)
        } else {
            0
        };
        self.gateways[place].told_at = now.max(1).saturating_sub(early).max(1);
        for controller in 0..self.controllers.len() {
            let gateway = &self.gateways[place];
            let heartbeat = Message::GatewayHeartbeat {
                configuration_version: gateway.description,
                evacuations_version: 0,
                membership_version: gateway.roster,
            };
            match gateway.lines[controller] {
                Some(line) => self.send(line, &heartbeat),
                None => {
                    if let Ok(line) = self.event_loop.connect(self.controllers[controller], INBOX) {
                        self.gateways[place].lines[controller] = Some(line);
                        self.lines.insert(line, (place, controller));
                    }
                }
            }
        }
    }

    fn send(&mut self, line: ConnectionId, message: &Message) {
        let bytes = frame(message);
        self.sent += bytes.len() as u64;
        self.event_loop.send(line, &bytes);
    }

    /// Tells the scaler of all instances that it gave this gateway, as held.
    fn report(&mut self, now: u64, place: usize) {
        let gateway = &mut self.gateways[place];
        let Some((_, controller)) = gateway.scaler else {
            return;
        };
        if now < gateway.reported_at + REPORT_MS || gateway.kept.is_empty() {
            return;
        }
        gateway.reported_at = now;
        let runner = |id: &String| RunnerReport {
            id: id.clone(),
            in_use: 1,
            succeeded: now / 100,
            total_duration_ms: now * 6 / 10,
            is_up: true,
            ..RunnerReport::default()
        };
        let reports = gateway
            .kept
            .iter()
            .map(|(function, (news, runners))| FunctionReport {
                function: function.clone(),
                update_number: *news,
                arrivals: vec![ZoneArrivals {
                    zone: gateway.member.zone.clone(),
                    count: now / 100 * runners.len() as u64,
                }],
                runners: runners.iter().map(runner).collect(),
                ..FunctionReport::default()
            });
        let message = Message::FunctionReports(reports.collect());
        if let Some(line) = self.gateways[place].lines[controller] {
            self.send(line, &message);
        }
    }

    fn connected(&mut self, line: ConnectionId) {
        if let Some((place, _)) = self.lines.get(&line).copied() {
            let hello = Message::GatewayHello(self.gateways[place].member.clone());
            self.send(line, &hello);
        }
    }

    fn arrived(&mut self, line: ConnectionId) {
        let Some((place, controller)) = self.lines.get(&line).copied() else {
            return;
        };
        let Some(inbox) = self.event_loop.read_buffer(line) else {
            return;
        };
        let bytes = std::mem::take(inbox);
        let mut frames = Frames::new(&bytes);
        let mut before = 0;
        while let Ok(Some(message)) = frames.read::<Message>() {
            let size = (frames.taken() - before) as u64;
            before = frames.taken();
            self.taken += size;
            self.hear(place, controller, message, size);
        }
        if let Some(inbox) = self.event_loop.read_buffer(line) {
            *inbox = bytes[before..].to_vec();
        }
    }

    fn hear(&mut self, place: usize, controller: usize, message: Message, size: u64) {
        let now = self.now();
        let gateway = &mut self.gateways[place];
        let mut ask = None;
        let kind = match message {
            Message::ControllerHeartbeat {
                configuration_version: description,
                term,
                ..
            } => {
                self.newest = self.newest.max(description);
                if term > gateway.scaler.map_or(0, |(known, _)| known) {
                    gateway.scaler = Some((term, controller));
                }
                if description > gateway.description && now >= gateway.asked_until {
                    gateway.asked_until = now + ASK_MS;
                    ask = gateway.lines[controller];
                }
                "ControllerHeartbeat"
            }
            Message::Configuration { version: mark, .. } => {
                if mark > gateway.description {
                    gateway.description = mark;
                    gateway.orders += 1;
                }
                gateway.asked_until = 0;
                "Description"
            }
            Message::ConfigurationChanges {
                base_version: from,
                changes,
            } => {
                if from == gateway.description {
                    gateway.description += changes.len() as u64;
                    gateway.orders += changes.len() as u64;
                }
                gateway.asked_until = 0;
                "Changes"
            }
            Message::GatewayMembership {
                version: mark,
                members,
            } => {
                gateway.roster = mark.max(gateway.roster);
                self.keep(place, mark, &members);
                "Roster"
            }
            Message::FunctionUpdates(news) => {
                for one in news {
                    let ids = one.runners.into_iter().map(|runner| runner.id);
                    gateway
                        .kept
                        .insert(one.function, (one.version.number, ids.collect()));
                }
                "Runners"
            }
            _ => "other",
        };
        let seen = self.kinds.entry(kind).or_default();
        *seen = (seen.0 + 1, seen.1 + size);
        if let Some(line) = ask {
            let message = Message::RequestConfiguration {
                configuration_version: self.gateways[place].description,
                evacuations_version: 0,
            };
            self.send(line, &message);
        }
    }
}
