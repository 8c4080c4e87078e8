//! A daemon of the control plane without a disk: it keeps nothing, and sends operators on to members of the consensus
//! group that are alive and in contact with a majority.

use crate::directory::MemberDirectory;
use crate::operators::{location_of, RETRY_AFTER};
use crate::options::{CommandParseError, ControllerError, OperatorCodec, SeedReloader};
use event_loop::{ConnectionId, Event, EventLoop};
use http1::{write_response, MessageLimits, Request, RequestReader};
use protocol::{frame, take_frames, Message};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const OPERATOR_INBOX: usize = 40 << 20;
const MEMBER_INBOX: usize = 1 << 20;
const TICK_MS: u64 = 50;
const BOUNDS: MessageLimits = MessageLimits {
    header_bytes: 64 << 10,
    body_bytes: 32 << 20,
};

/// Settings of a daemon of the control plane without a disk.
pub struct RedirectorOptions {
    /// Address at which it listens for operators.
    pub operator_address: SocketAddr,
    /// Address at which this daemon would listen for gateways, if it had a disk.
    pub gateway_address: SocketAddr,
    /// Such addresses of daemons that may have a disk, as far as they are known at the start.
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds within which an acknowledged change holds everywhere.
    pub propagation_timeout_ms: u64,
    /// Most open connections.
    pub connections_max: usize,
    /// Forms of the operators' API.
    pub operator_codec: Box<dyn OperatorCodec>,
    /// Reads the seeds anew.
    pub reload_seeds: SeedReloader,
}

impl RedirectorOptions {
    /// Milliseconds between questions to a member: a tenth of the bound on changes.
    fn ask_ms(&self) -> u64 {
        self.propagation_timeout_ms / 10
    }

    /// Milliseconds for which a member's word counts: three tenths of the bound on changes.
    fn fresh_ms(&self) -> u64 {
        self.propagation_timeout_ms * 3 / 10
    }
}

/// What a line is for.
enum Role {
    Operator(Box<RequestReader>),
    Member(SocketAddr),
}

struct Redirector {
    options: RedirectorOptions,
    event_loop: EventLoop,
    roles: HashMap<ConnectionId, Role>,
    links: HashMap<SocketAddr, ConnectionId>,
    directory: MemberDirectory,
    began: Instant,
    now: u64,
    ticked_at: u64,
    turn: usize,
}

/// Serves operators on a machine without a disk: nothing is kept here, so each call is sent on to another daemon.
pub fn run_redirector(options: RedirectorOptions) -> Result<(), ControllerError> {
    let (term, hup) = (Arc::default(), Arc::default());
    let watch = |signal, flag: &Arc<AtomicBool>| {
        signal_hook::flag::register(signal, Arc::clone(flag)).map_err(ControllerError::System)
    };
    watch(signal_hook::consts::SIGTERM, &term)?;
    watch(signal_hook::consts::SIGINT, &term)?;
    watch(signal_hook::consts::SIGHUP, &hup)?;
    let mut redirector = Redirector::open(options)?;
    let mut events = Vec::new();
    while !term.load(Ordering::Relaxed) {
        if hup.swap(false, Ordering::Relaxed) {
            redirector.reload();
        }
        redirector.now = redirector.clock();
        if redirector.now >= redirector.ticked_at + TICK_MS {
            redirector.ticked_at = redirector.now;
            redirector.tick();
        }
        let patience = Duration::from_millis(TICK_MS);
        redirector.event_loop.poll(patience, &mut events);
        redirector.now = redirector.clock();
        for event in events.drain(..) {
            redirector.handle(event);
        }
    }
    Ok(())
}

impl Redirector {
    fn open(options: RedirectorOptions) -> Result<Self, ControllerError> {
        let silence = options.fresh_ms() as u32;
        let mut event_loop =
            EventLoop::new(options.connections_max, silence).map_err(ControllerError::System)?;
        let listening = event_loop.listen(options.operator_address, OPERATOR_INBOX);
        listening.map_err(|error| ControllerError::Listen(options.operator_address, error))?;
        let seeds = options.seeds.clone();
        let (ask, fresh) = (options.ask_ms(), options.fresh_ms());
        log::info!(
            "controller: no disk here; calls are sent on, members are learnt from {seeds:?}"
        );
        Ok(Self {
            directory: MemberDirectory::new(options.gateway_address, seeds, ask, fresh),
            event_loop,
            roles: HashMap::new(),
            links: HashMap::new(),
            began: Instant::now(),
            now: 0,
            ticked_at: 0,
            turn: 0,
            options,
        })
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn reload(&mut self) {
        let Some(seeds) = (self.options.reload_seeds)() else {
            return;
        };
        log::info!(
            "controller: settings read anew, {} seeds named",
            seeds.len()
        );
        self.directory.set_seeds(self.now, seeds);
    }

    fn tick(&mut self) {
        for address in self.directory.forget(self.now) {
            log::info!("controller: member {address} is forgotten");
            self.close_link(address);
        }
        for address in self.directory.due(self.now) {
            self.ask_member(address);
        }
    }

    fn close_link(&mut self, address: SocketAddr) {
        if let Some(line) = self.links.remove(&address) {
            self.roles.remove(&line);
            self.event_loop.close(line);
        }
    }

    fn ask_member(&mut self, address: SocketAddr) {
        if !self.links.contains_key(&address) {
            let Ok(line) = self.event_loop.connect(address, MEMBER_INBOX) else {
                return;
            };
            self.roles.insert(line, Role::Member(address));
            self.links.insert(address, line);
        }
        if let Some(line) = self.links.get(&address) {
            self.event_loop
                .send(*line, &frame(&Message::RequestHeartbeat));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Accepted(_, line) => {
                let role = Role::Operator(Box::default());
                self.roles.insert(line, role);
            }
            Event::Connected(_) => {}
            Event::Readable(line) => match self.roles.get(&line) {
                Some(Role::Operator(_)) => self.operator_arrived(line),
                Some(Role::Member(address)) => self.member_arrived(line, *address),
                None => {}
            },
            Event::Closed(line, _) => {
                if let Some(Role::Member(address)) = self.roles.remove(&line) {
                    self.links.remove(&address);
                    self.directory.on_link_ended(address);
                }
                self.event_loop.close(line);
            }
        }
    }

    fn member_arrived(&mut self, line: ConnectionId, address: SocketAddr) {
        let Some(inbox) = self.event_loop.read_buffer(line) else {
            return;
        };
        let (messages, fault) = take_frames::<Message>(inbox);
        for message in messages {
            if let Message::ControllerHeartbeat {
                controllers,
                is_current,
                ..
            } = message
            {
                let members = controllers
                    .iter()
                    .filter_map(|controller| controller.parse().ok());
                self.directory
                    .on_heartbeat(self.now, address, is_current, members);
            }
        }
        if let Some(fault) = fault {
            log::warn!("controller: the link to member {address} is closed: {fault}");
            self.directory.on_link_ended(address);
            self.close_link(address);
        }
    }

    fn operator_arrived(&mut self, line: ConnectionId) {
        let Some(Role::Operator(reader)) = self.roles.get_mut(&line) else {
            return;
        };
        let Some(inbox) = self.event_loop.read_buffer(line) else {
            return;
        };
        let mut out = Vec::new();
        match reader.read(inbox, &BOUNDS) {
            Ok(None) => return,
            Ok(Some(request)) => self.send_on(&request, &mut out),
            Err(fault) => {
                let text = fault.to_string();
                let none = std::iter::empty();
                write_response(
                    &mut out,
                    fault.status(),
                    none,
                    text.as_bytes(),
                    false,
                    false,
                );
            }
        }
        self.event_loop.send(line, &out);
        self.event_loop.close_after_flush(line);
        self.roles.remove(&line);
    }

    /// Sends a call on to a member in contact with a majority; where none is known the caller comes again.
    fn send_on(&mut self, request: &Request, out: &mut Vec<u8>) {
        let codec = &self.options.operator_codec;
        let parsed = codec.parse_command(&request.method, &request.target);
        let mut header: Vec<(&str, String)> = Vec::new();
        let status = match parsed {
            Err(CommandParseError::UnknownTarget) => 404,
            Err(CommandParseError::Rejected(status)) => status,
            Ok(_) => match self.next_member() {
                Some(member) => {
                    let port = self.options.operator_address.port();
                    let location = location_of(member.ip(), port, &request.target);
                    header.push(("Location", location));
                    307
                }
                None => {
                    let after = String::from_utf8_lossy(RETRY_AFTER).into_owned();
                    header.push(("Retry-After", after));
                    503
                }
            },
        };
        let headers = header.iter().map(|(name, value)| (*name, value.as_bytes()));
        write_response(out, status, headers, b"", false, false);
    }

    fn next_member(&mut self) -> Option<SocketAddr> {
        let now = self.clock();
        let current = self.directory.current(now);
        self.turn = self.turn.wrapping_add(1);
        current.get(self.turn % current.len().max(1)).copied()
    }
}
