//! Hollow gateways: many in this process, each with a link to every controller.

use crate::synthetic_site;
use crate::wire_daemons::CHANGE_MS;
use event_loop::{ConnectionId, Event, EventLoop};
use protocol::{
    frame, FrameReader, FunctionReport, Member, Message, RunnerReport, UpdateVersion, ZoneArrivals,
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
    connections: Vec<Option<ConnectionId>>,
    notified_at: u64,
    reported_at: u64,
    asked_until: u64,
    configuration_of: u64,
    /// Descriptions that were taken.
    commands: u64,
    roster: UpdateVersion,
    scaler: Option<(u64, usize)>,
    subscribed: HashMap<String, (u64, Vec<String>)>,
}

/// All hollow gateways.
pub struct Gateways {
    event_loop: EventLoop,
    controllers: Vec<SocketAddr>,
    gateways: Vec<Gateway>,
    connections: HashMap<ConnectionId, (usize, usize)>,
    began: Instant,
    /// Bytes that came, and that were sent.
    pub taken: u64,
    pub sent: u64,
    /// Newest mark of the configuration that was told.
    pub newest: u64,
    kinds: BTreeMap<&'static str, (u64, u64)>,
    instances: usize,
    /// Functions that have instances, by the gateway that keeps them under the roster of this mark.
    owners: (UpdateVersion, HashMap<String, Vec<usize>>),
}

impl Gateways {
    pub fn new(count: usize, instances: usize, controllers: Vec<SocketAddr>) -> Self {
        let members = synthetic_site::members(count).into_iter();
        let gateway = |member| Gateway {
            member,
            connections: vec![None; controllers.len()],
            ..Gateway::default()
        };
        Self {
            event_loop: EventLoop::new(19_000, 4_400).expect("lines can be had"),
            gateways: members.map(gateway).collect(),
            controllers,
            connections: HashMap::new(),
            began: Instant::now(),
            taken: 0,
            sent: 0,
            newest: 0,
            kinds: BTreeMap::new(),
            instances,
            owners: Default::default(),
        }
    }

    /// A gateway keeps what falls to it under a roster, with the instances that there are.
    fn keep(&mut self, place: usize, version_number: UpdateVersion, members: &[Member]) {
        if version_number > self.owners.0 {
            let mut owners: HashMap<String, Vec<usize>> = HashMap::new();
            for function in 0..self.instances / EACH {
                let name = synthetic_site::function_name(function);
                if let Some(owner) = seat_leases::select_owner(&name, members, |_| true) {
                    owners.entry(owner.name.clone()).or_default().push(function);
                }
            }
            self.owners = (version_number, owners);
        }
        if version_number != self.owners.0 {
            return;
        }
        let gateway = &mut self.gateways[place];
        let functions = self.owners.1.get(&gateway.member.name);
        let mut before = std::mem::take(&mut gateway.subscribed);
        for function in functions.into_iter().flatten() {
            let name = synthetic_site::function_name(*function);
            let places = function * EACH..(function + 1) * EACH;
            let fresh = || (0, places.map(synthetic_site::instance_id).collect());
            let subscribed = before.remove(&name).unwrap_or_else(fresh);
            gateway.subscribed.insert(name, subscribed);
        }
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Whether each gateway has a link to every controller and the whole roster.
    pub fn are_linked(&self) -> bool {
        let is_linked = |gateway: &Gateway| {
            gateway.connections.iter().all(Option::is_some) && gateway.roster.term > 0
        };
        self.gateways.iter().all(is_linked)
    }

    /// Descriptions that every gateway has taken.
    pub fn commands_held(&self) -> u64 {
        self.gateways
            .iter()
            .map(|gateway| gateway.commands)
            .min()
            .unwrap_or(0)
    }

    /// What came, by kind.
    pub fn print_figures(&self) -> String {
        let kinds = self.kinds.iter();
        let kinds = kinds.map(|(name, (count, bytes))| format!("{name} {count} ({bytes} B)"));
        kinds.collect::<Vec<_>>().join(", ")
    }

    /// A gateway goes and comes back with another life.
    pub fn restart(&mut self, place: usize) {
        let gateway = &mut self.gateways[place];
        gateway.member.incarnation += 1;
        gateway.roster = UpdateVersion::default();
        gateway.subscribed.clear();
        for connection in std::mem::take(&mut gateway.connections)
            .into_iter()
            .flatten()
        {
            self.connections.remove(&connection);
            self.event_loop.close(connection);
        }
        self.gateways[place].connections = vec![None; self.controllers.len()];
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
                Event::Connected(connection) => self.connected(connection),
                Event::Readable(connection) => self.arrived(connection),
                Event::Closed(connection, _) => {
                    if let Some((place, controller)) = self.connections.remove(&connection) {
                        self.gateways[place].connections[controller] = None;
                    }
                    self.event_loop.close(connection);
                }
                Event::Accepted(..) | Event::Drained(_) => {}
            }
        }
    }

    fn tend(&mut self, now: u64, place: usize) {
        if now < self.gateways[place].notified_at + CHANGE_MS / 10 {
            return self.report(now, place);
        }
        // The first heartbeats are spread over the pause.
        let is_first = self.gateways[place].notified_at == 0;
        let early = if is_first {
            place as u64 * 7 % (CHANGE_MS / 10)
        } else {
            0
        };
        self.gateways[place].notified_at = now.max(1).saturating_sub(early).max(1);
        for controller in 0..self.controllers.len() {
            let gateway = &self.gateways[place];
            let heartbeat = Message::GatewayHeartbeat {
                configuration_version: gateway.configuration_of,
                evacuations_version: 0,
                membership_version: gateway.roster,
            };
            match gateway.connections[controller] {
                Some(connection) => self.send(connection, &heartbeat),
                None => {
                    if let Ok(connection) =
                        self.event_loop.connect(self.controllers[controller], INBOX)
                    {
                        self.gateways[place].connections[controller] = Some(connection);
                        self.connections.insert(connection, (place, controller));
                    }
                }
            }
        }
    }

    fn send(&mut self, connection: ConnectionId, message: &Message) {
        let bytes = frame(message);
        self.sent += bytes.len() as u64;
        self.event_loop.send(connection, &bytes);
    }

    /// Tells the scaler of all instances that it gave this gateway, as held.
    fn report(&mut self, now: u64, place: usize) {
        let gateway = &mut self.gateways[place];
        let Some((_, controller)) = gateway.scaler else {
            return;
        };
        if now < gateway.reported_at + REPORT_MS || gateway.subscribed.is_empty() {
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
            .subscribed
            .iter()
            .map(|(function, (update, runners))| FunctionReport {
                function: function.clone(),
                update_number: *update,
                arrivals: vec![ZoneArrivals {
                    zone: gateway.member.zone.clone(),
                    count: now / 100 * runners.len() as u64,
                }],
                runners: runners.iter().map(runner).collect(),
                ..FunctionReport::default()
            });
        let message = Message::FunctionReports(reports.collect());
        if let Some(connection) = self.gateways[place].connections[controller] {
            self.send(connection, &message);
        }
    }

    fn connected(&mut self, connection: ConnectionId) {
        if let Some((place, _)) = self.connections.get(&connection).copied() {
            let hello = Message::GatewayHello(self.gateways[place].member.clone());
            self.send(connection, &hello);
        }
    }

    fn arrived(&mut self, connection: ConnectionId) {
        let Some((place, controller)) = self.connections.get(&connection).copied() else {
            return;
        };
        let Some(inbox) = self.event_loop.read_buffer(connection) else {
            return;
        };
        let bytes = std::mem::take(inbox);
        let mut frames = FrameReader::new(&bytes);
        let mut before = 0;
        while let Ok(Some(message)) = frames.read::<Message>() {
            let size = (frames.consumed() - before) as u64;
            before = frames.consumed();
            self.taken += size;
            self.receive(place, controller, message, size);
        }
        if let Some(inbox) = self.event_loop.read_buffer(connection) {
            *inbox = bytes[before..].to_vec();
        }
    }

    fn receive(&mut self, place: usize, controller: usize, message: Message, size: u64) {
        let now = self.now();
        let gateway = &mut self.gateways[place];
        let mut ask = None;
        let kind = match message {
            Message::ControllerHeartbeat {
                configuration_version: configuration_of,
                term,
                ..
            } => {
                self.newest = self.newest.max(configuration_of);
                if term > gateway.scaler.map_or(0, |(known, _)| known) {
                    gateway.scaler = Some((term, controller));
                }
                if configuration_of > gateway.configuration_of && now >= gateway.asked_until {
                    gateway.asked_until = now + ASK_MS;
                    ask = gateway.connections[controller];
                }
                "ControllerHeartbeat"
            }
            Message::Configuration {
                version: version_number,
                ..
            } => {
                if version_number > gateway.configuration_of {
                    gateway.configuration_of = version_number;
                    gateway.commands += 1;
                }
                gateway.asked_until = 0;
                "Description"
            }
            Message::ConfigurationChanges {
                base_version: from,
                changes,
            } => {
                if from == gateway.configuration_of {
                    gateway.configuration_of += changes.len() as u64;
                    gateway.commands += changes.len() as u64;
                }
                gateway.asked_until = 0;
                "Changes"
            }
            Message::GatewayMembership {
                version: version_number,
                members,
            } => {
                gateway.roster = version_number.max(gateway.roster);
                self.keep(place, version_number, &members);
                "Roster"
            }
            Message::FunctionUpdates(update) => {
                for one in update {
                    let ids = one.runners.into_iter().map(|runner| runner.id);
                    gateway
                        .subscribed
                        .insert(one.function, (one.version.number, ids.collect()));
                }
                "Runners"
            }
            _ => "other",
        };
        let seen = self.kinds.entry(kind).or_default();
        *seen = (seen.0 + 1, seen.1 + size);
        if let Some(connection) = ask {
            let message = Message::RequestConfiguration {
                configuration_version: self.gateways[place].configuration_of,
                evacuations_version: 0,
            };
            self.send(connection, &message);
        }
    }
}
