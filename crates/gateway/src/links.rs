use crate::gateway::{Gateway, Role};
use crate::options::GatewayOptions;
use event_loop::ConnectionId;
use protocol::{frame, take_frames, Member, Message};
use std::collections::{BTreeMap, HashMap};

pub(crate) const LINK_INBOX: usize = 16 << 20;
/// Milliseconds for which a daemon that was silent keeps nothing.
const SUSPECT_MS: u64 = 1_500;
/// Milliseconds of silence after which a keeper with waiting bids is asked whether it lives.
pub(crate) const PING_MS: u64 = 250;
/// Milliseconds of silence after which such a keeper is taken for gone.
const SILENT_MS: u64 = 650;
/// Functions whose keeper is remembered.
const KEPT_MAX: usize = 65_536;

struct Link {
    line: ConnectionId,
    heard_at: u64,
    pinged_at: u64,
    out: Vec<u8>,
}

#[derive(Default)]
pub(crate) struct Controller {
    pub line: Option<ConnectionId>,
    pub heard_at: u64,
    pub tried_at: u64,
    pub told_at: u64,
    pub description: u64,
    pub closures: u64,
    pub term: u64,
    pub district: String,
    /// Whether it said last that it is in contact with a majority.
    pub is_current: bool,
}

impl Controller {
    /// The link is gone, and with it what the controller said of itself.
    pub fn end_link(&mut self) {
        self.line = None;
        self.term = 0;
        self.is_current = false;
    }
}

/// Links to the other daemons.
pub(crate) struct Links {
    pub me: Member,
    peers: HashMap<String, Link>,
    suspects: HashMap<String, u64>,
    pub controllers: BTreeMap<String, Controller>,
    kept: HashMap<String, String>,
    scaler_term: u64,
    forgot_at: u64,
    /// Until when news that was asked for is waited for.
    pub asked_until: u64,
}

impl Links {
    pub fn new(options: &GatewayOptions) -> Self {
        let me = Member {
            name: options.name.clone(),
            incarnation: rand::random(),
            address: options.peer_address.to_string(),
            zone: options.zone.clone(),
        };
        let controllers = options.controller_addresses.iter();
        Self {
            me,
            peers: HashMap::new(),
            suspects: HashMap::new(),
            controllers: controllers
                .map(|address| (address.to_string(), Controller::default()))
                .collect(),
            kept: HashMap::new(),
            scaler_term: 0,
            forgot_at: 0,
            asked_until: 0,
        }
    }

    pub fn learn_controllers(&mut self, addresses: impl Iterator<Item = String>) {
        for address in addresses.take(64) {
            if address.parse::<std::net::SocketAddr>().is_ok() && self.controllers.len() < 64 {
                self.controllers.entry(address).or_default();
            }
        }
    }

    /// Random number of this daemon's life.
    pub fn incarnation(&self) -> u64 {
        self.me.incarnation
    }

    /// A controller to ask something after so many tries, a near one first; where any is in contact with a majority, one
    /// of these.
    pub fn controller_for(&self, district: &str, tries: u32) -> Option<String> {
        let linked = self
            .controllers
            .iter()
            .filter(|(_, controller)| controller.line.is_some());
        let mut linked: Vec<_> = linked.collect();
        if linked.iter().any(|(_, controller)| controller.is_current) {
            linked.retain(|(_, controller)| controller.is_current);
        }
        linked.sort_by_key(|(_, controller)| controller.district != district);
        let place = tries as usize % linked.len().max(1);
        linked.get(place).map(|(address, _)| (*address).clone())
    }

    pub fn is_suspect(&self, name: &str, now: u64) -> bool {
        self.suspects.get(name).is_some_and(|until| now < *until)
    }

    pub fn forgive(&mut self) {
        self.suspects.clear();
    }

    pub fn has_link(&self, name: &str) -> bool {
        self.peers.contains_key(name)
    }

    /// Whether a function's keeper is another one than last time.
    pub fn is_new_keeper(&mut self, function: &str, keeper: &str) -> bool {
        if self.kept.get(function).is_some_and(|known| known == keeper) {
            return false;
        }
        if self.kept.len() >= KEPT_MAX {
            self.kept.clear();
        }
        let former = self.kept.insert(function.into(), keeper.into());
        former.is_some()
    }

    /// The controller that scales, and whether it is another one, or in another term, than last time.
    pub fn scaler(&mut self, now: u64) -> Option<(String, bool)> {
        let controllers = self.controllers.iter();
        let alive = controllers.filter(|(_, controller)| {
            controller.line.is_some()
                && controller.term > 0
                && now < controller.heard_at + 2 * SUSPECT_MS
        });
        let (address, controller) = alive.max_by_key(|(_, controller)| controller.term)?;
        let is_new = controller.term != self.scaler_term;
        self.scaler_term = controller.term;
        Some((address.clone(), is_new))
    }

    pub fn is_due_to_forget(&mut self, now: u64) -> bool {
        let is_due = now >= self.forgot_at + SUSPECT_MS;
        if is_due {
            self.forgot_at = now;
        }
        is_due
    }
}

impl Gateway {
    /// Tells another gateway something; the link is opened where there is none.
    pub fn tell(&mut self, name: &str, message: &Message) {
        if !self.links.peers.contains_key(name) && !self.open_link(name) {
            return;
        }
        if let Some(link) = self.links.peers.get_mut(name) {
            link.out.extend_from_slice(&frame(message));
        }
    }

    fn open_link(&mut self, name: &str) -> bool {
        let member = self.control.members().iter().find(|one| one.name == name);
        let address = member.and_then(|member| member.address.parse().ok());
        let line = address.and_then(|address| self.event_loop.connect(address, LINK_INBOX).ok());
        let Some(line) = line else {
            return false;
        };
        self.roles.insert(line, Role::Link(Some(name.into())));
        let hello = frame(&Message::GatewayHello(self.links.me.clone()));
        self.event_loop.send(line, &hello);
        self.add_link(name, line);
        true
    }

    fn add_link(&mut self, name: &str, line: ConnectionId) {
        let link = Link {
            line,
            heard_at: self.now,
            pinged_at: 0,
            out: Vec::new(),
        };
        self.links.peers.insert(name.into(), link);
    }

    /// Sends what was told since the last turn, in one piece for each daemon.
    pub fn flush_links(&mut self) {
        for link in self.links.peers.values_mut() {
            if !link.out.is_empty() {
                self.event_loop.send(link.line, &link.out);
                link.out.clear();
            }
        }
    }

    pub fn link_arrived(&mut self, line: ConnectionId) {
        let Some(inbox) = self.event_loop.read_buffer(line) else {
            return;
        };
        let (messages, fault) = take_frames::<Message>(inbox);
        for message in messages {
            self.hear(line, message);
        }
        if let Some(fault) = fault {
            log::warn!("gateway: a link is closed: {fault}");
            self.link_ended(line);
            self.roles.remove(&line);
            self.event_loop.close(line);
        }
    }

    fn hear(&mut self, line: ConnectionId, message: Message) {
        match self.roles.get(&line) {
            Some(Role::Controller(address)) => {
                let address = address.clone();
                self.hear_controller(&address, message);
            }
            Some(Role::Link(Some(name))) => {
                let name = name.clone();
                self.hear_gateway(&name, message);
            }
            Some(Role::Link(None)) => self.hear_stranger(line, message),
            _ => {}
        }
    }

    fn hear_stranger(&mut self, line: ConnectionId, message: Message) {
        match message {
            Message::GatewayHello(member) => {
                self.roles
                    .insert(line, Role::Link(Some(member.name.clone())));
                if !self.links.peers.contains_key(&member.name) {
                    self.add_link(&member.name, line);
                }
            }
            Message::RequestStatus => {
                let text = Message::Status(self.status());
                self.event_loop.send(line, &frame(&text));
            }
            _ => {}
        }
    }

    fn hear_gateway(&mut self, name: &str, message: Message) {
        self.links.suspects.remove(name);
        if let Some(link) = self.links.peers.get_mut(name) {
            link.heard_at = self.now;
        }
        match message {
            Message::LeaseRequest(bid) => {
                let members = self.control.members().iter();
                let district = members
                    .clone()
                    .find(|one| one.name == name)
                    .map_or_else(String::new, |one| one.zone.clone());
                self.take_bid(name, &district, bid);
            }
            Message::CancelRequest(ticket) => self.keeper.cancel(self.now, name, ticket),
            Message::LeaseRelease(release) => self.keeper.release(self.now, name, &release),
            Message::LeasesInUse { function, runners } => {
                self.keeper
                    .adopt_leases(self.now, name, &function, &runners);
            }
            Message::SeatLease(grant) => self.granted(name, grant),
            Message::Reject {
                request_id: ticket,
                retry_after_ms,
            } => self.refused(ticket, retry_after_ms),
            Message::Ping(number) => self.tell(name, &Message::Pong(number)),
            other => self.hear_job(name, other),
        }
    }

    /// Looks whether keepers that requests wait for are alive.
    pub fn tend_links(&mut self) {
        let mut awaited: Vec<String> = Vec::new();
        let waiting = |ticket: &crate::tickets::Ticket| ticket.awaits().is_some();
        for number in self.tickets.numbers(waiting) {
            if let Some(ticket) = self.tickets.get(number) {
                if let Some((lender, since)) = ticket.awaits() {
                    let is_old = since + PING_MS <= self.now;
                    if is_old && *lender != self.options.name && !awaited.contains(lender) {
                        awaited.push(lender.clone());
                    }
                }
            }
        }
        for name in awaited {
            let Some(link) = self.links.peers.get_mut(&name) else {
                self.drop_peer(&name);
                continue;
            };
            if self.now > link.heard_at.max(link.pinged_at) + PING_MS {
                let is_first = link.pinged_at <= link.heard_at;
                if is_first {
                    link.pinged_at = self.now;
                    link.out.extend_from_slice(&frame(&Message::Ping(self.now)));
                    continue;
                }
            }
            let is_silent =
                link.pinged_at > link.heard_at && self.now > link.pinged_at + (SILENT_MS - PING_MS);
            if is_silent {
                log::warn!("gateway: {name} is silent");
                self.drop_peer(&name);
            }
        }
    }

    /// Takes another gateway for gone: its seats are free, and what waits there bids elsewhere.
    fn drop_peer(&mut self, name: &str) {
        self.links.peers.remove(name);
        let until = self.now + SUSPECT_MS;
        self.links.suspects.insert(name.into(), until);
        let lines: Vec<ConnectionId> = self
            .roles
            .iter()
            .filter(|(_, role)| matches!(role, Role::Link(Some(known)) if known == name))
            .map(|(line, _)| *line)
            .collect();
        for line in lines {
            self.roles.remove(&line);
            self.event_loop.close(line);
        }
        self.keeper.remove_gateway(self.now, name);
        self.jobs.forget_gateway(self.now, name);
        self.move_waiting();
    }

    pub fn link_ended(&mut self, line: ConnectionId) {
        match self.roles.get(&line) {
            Some(Role::Controller(address)) => {
                if let Some(controller) = self.links.controllers.get_mut(address) {
                    controller.end_link();
                }
            }
            Some(Role::Link(Some(name))) => {
                let name = name.clone();
                self.drop_peer(&name);
            }
            _ => {}
        }
    }

    /// This daemon's state as JSON text, for operators.
    pub fn status(&self) -> String {
        let (description, closures) = self.control.marks();
        serde_json::json!({
            "name": self.options.name, "ready": self.control.is_ready(),
            "version": self.control.version(), "marks": [description, closures],
            "members": self.control.members().len(), "functions_kept": self.keeper.len(),
            "jobs": self.jobs.len(), "owed": self.ends.len(), "requests": self.tickets.len(),
            "lines": self.event_loop.len(), "refused": self.refusals,
        })
        .to_string()
    }
}
