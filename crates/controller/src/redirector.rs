//! A control plane daemon without a disk: it stores nothing, and redirects operators to controllers that are alive and in
//! contact with a majority.

use crate::clock::Clock;
use crate::codec::{CommandParseError, OperatorCodec};
use crate::connections::{ConnectionKind, Connections};
use crate::controller_connections::OPERATOR_INBOX_MAX;
use crate::daemon_loop::{run_loop, start_watchdog, Daemon};
use crate::error::ControllerError;
use crate::member_directory::MemberDirectory;
use crate::metrics_service::{MetricsService, METRICS_INBOX_MAX};
use crate::operator_inbox::{OperatorInbox, OperatorInput};
use crate::operator_response::{OperatorResponse, SERVICE_UNAVAILABLE, TEMPORARY_REDIRECT};
use crate::options::SeedReloader;
use event_loop::{ConnectionId, Event};
use http1::Request;
use metrics::Snapshot;
use process_pause::ProcessPause;
use protocol::{frame, take_frames, Message};
use signals::{ReloadSignal, Signals};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time from the stop signal to the forced exit. A redirector has no state to save and nothing to wait for.
const SHUTDOWN_DEADLINE: Duration = Duration::from_secs(1);
/// Maximum unread bytes on a connection to a controller; heartbeats are small.
const MEMBER_INBOX_MAX: usize = 1 << 20;
const NOT_FOUND: u16 = 404;

/// Settings of a redirector.
pub struct RedirectorOptions {
    /// Address on which it listens for operators.
    pub operator_address: SocketAddr,
    /// Address on which this machine would listen for gateways if it ran a controller.
    pub gateway_address: SocketAddr,
    /// Address of the metrics endpoint; none disables it.
    pub metrics_address: Option<SocketAddr>,
    /// Gateway addresses of the daemons that are known at the start and may be controllers.
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds within which an acknowledged change must be in force everywhere: the propagation bound.
    pub propagation_timeout_ms: u64,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of open connections.
    pub connections_max: usize,
    /// Format of the operators' API.
    pub operator_codec: Box<dyn OperatorCodec>,
    /// Rereads the seeds.
    pub reload_seeds: SeedReloader,
}

impl RedirectorOptions {
    /// Milliseconds between requests for a member's heartbeat: a tenth of the propagation bound.
    fn poll_interval_ms(&self) -> u64 {
        self.propagation_timeout_ms / 10
    }

    /// Milliseconds for which a member's heartbeat is valid: three tenths of the propagation bound.
    fn freshness_ms(&self) -> u64 {
        self.propagation_timeout_ms * 3 / 10
    }
}

/// The purpose of a redirector's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RedirectorConnection {
    /// An operator that sends a request.
    Operator,
    /// The controller at this address, which reports whether it is in contact with a majority.
    Member(SocketAddr),
    /// A client of the metrics endpoint.
    Metrics,
}

impl ConnectionKind for RedirectorConnection {
    fn inbox_max(self) -> usize {
        match self {
            Self::Operator => OPERATOR_INBOX_MAX,
            Self::Member(_) => MEMBER_INBOX_MAX,
            Self::Metrics => METRICS_INBOX_MAX,
        }
    }
}

struct Redirector {
    options: RedirectorOptions,
    clock: Clock,
    now: u64,
    is_stopping: bool,
    connections: Connections<RedirectorConnection>,
    operators: OperatorInbox,
    metrics: MetricsService,
    links: HashMap<SocketAddr, ConnectionId>,
    directory: MemberDirectory,
    /// Number of redirects; also selects the next member in rotation.
    redirects: usize,
}

/// Runs a redirector on a machine without a disk, until it receives a stop signal.
///
/// # Errors
/// If the address for operators cannot be bound, or the system denies a required resource.
pub fn run_redirector(
    options: RedirectorOptions,
    reload: ReloadSignal,
) -> Result<(), ControllerError> {
    let signals = Signals::register(reload).map_err(ControllerError::System)?;
    let turns = start_watchdog(SHUTDOWN_DEADLINE, &signals).map_err(ControllerError::System)?;
    let mut redirector = Redirector::open(options)?;
    run_loop(&mut redirector, &signals, &turns);
    Ok(())
}

impl Daemon for Redirector {
    fn update_clock(&mut self) {
        self.now = self.clock.now();
    }

    fn now(&self) -> u64 {
        self.now
    }

    /// Does nothing: a redirector never takes over for another daemon.
    fn process_paused(&mut self, _: ProcessPause) {}

    fn begin_shutdown(&mut self) -> Duration {
        self.is_stopping = true;
        SHUTDOWN_DEADLINE
    }

    fn is_shut_down(&self) -> bool {
        self.is_stopping
    }

    fn reload(&mut self) {
        let Some(seeds) = (self.options.reload_seeds)() else {
            return;
        };
        let count = seeds.len();
        log::info!("controller: settings reloaded seeds={count}");
        self.directory.set_seeds(self.now, seeds);
    }

    fn advance(&mut self) -> Duration {
        if self.clock.take_tick(self.now) {
            self.tick();
        }
        Clock::tick_interval()
    }

    fn poll(&mut self, timeout: Duration, events: &mut Vec<Event>) {
        self.connections.poll(timeout, events);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Accepted(listener, connection) => {
                match self.connections.accept(listener, connection) {
                    Some(RedirectorConnection::Operator) => self.operators.accept(connection),
                    Some(RedirectorConnection::Metrics) => self.metrics.accept(connection),
                    _ => {}
                }
            }
            Event::Connected(_) | Event::Drained(_) => {}
            Event::Readable(connection) => self.handle_readable(connection),
            Event::Closed(connection, _) => self.handle_closed(connection),
        }
    }

    fn finish_turn(&mut self) {}
}

impl Redirector {
    fn open(options: RedirectorOptions) -> Result<Self, ControllerError> {
        let mut connections = Connections::new(options.connections_max, options.freshness_ms())?;
        connections.listen(options.operator_address, RedirectorConnection::Operator)?;
        connections.listen_for_metrics(options.metrics_address, RedirectorConnection::Metrics);
        let seeds = options.seeds.clone();
        log::info!("controller: redirecting without a disk seeds={seeds:?}");
        let directory = MemberDirectory::new(
            options.gateway_address,
            seeds,
            options.poll_interval_ms(),
            options.freshness_ms(),
        );
        Ok(Self {
            options,
            clock: Clock::start(),
            now: 0,
            is_stopping: false,
            connections,
            operators: OperatorInbox::default(),
            metrics: MetricsService::default(),
            links: HashMap::new(),
            directory,
            redirects: 0,
        })
    }

    fn tick(&mut self) {
        self.bound_operator_memory();
        for address in self.directory.remove_gone(self.now) {
            log::info!("controller: member forgotten member={address}");
            self.close_link(address);
        }
        for address in self.directory.take_due_polls(self.now) {
            self.request_heartbeat(address);
        }
    }

    fn bound_operator_memory(&mut self) {
        let memory_bytes = self.options.memory_bytes;
        let closed = self
            .connections
            .bound_operator_memory(RedirectorConnection::Operator, memory_bytes);
        for connection in closed {
            self.operators.remove(connection);
        }
    }

    fn handle_readable(&mut self, connection: ConnectionId) {
        match self.connections.kind(connection) {
            Some(RedirectorConnection::Operator) => self.handle_operator_readable(connection),
            Some(RedirectorConnection::Member(address)) => {
                self.handle_member_readable(connection, address);
            }
            Some(RedirectorConnection::Metrics) => self.handle_metrics_readable(connection),
            None => {}
        }
    }

    fn handle_metrics_readable(&mut self, connection: ConnectionId) {
        let connections = &mut self.connections;
        if let Some(request) = self.metrics.take_request(connection, connections) {
            let response = metrics::respond(&request, || self.exported_metrics());
            let connections = &mut self.connections;
            self.metrics
                .respond(connection, connections, &response, request.keeps_alive);
        }
    }

    fn handle_closed(&mut self, connection: ConnectionId) {
        match self.connections.forget(connection) {
            Some(RedirectorConnection::Operator) => self.operators.remove(connection),
            Some(RedirectorConnection::Metrics) => self.metrics.remove(connection),
            Some(RedirectorConnection::Member(address)) => {
                self.links.remove(&address);
                self.directory.on_link_ended(address);
            }
            None => {}
        }
        self.connections.close(connection);
    }

    fn exported_metrics(&self) -> Snapshot {
        let mut snapshot = Snapshot::new();
        let redirects = self.redirects as u64;
        snapshot.counter(
            "redirects",
            "Requests that were redirected or turned down",
            redirects,
        );
        let members = self.links.len() as u64;
        snapshot.gauge("member_links", "Links to controllers", members);
        let connections = self.connections.len() as u64;
        snapshot.gauge("connections", "Open connections", connections);
        snapshot
    }

    fn close_link(&mut self, address: SocketAddr) {
        if let Some(connection) = self.links.remove(&address) {
            self.connections.close(connection);
        }
    }

    fn request_heartbeat(&mut self, address: SocketAddr) {
        let Some(connection) = self.link_to(address) else {
            return;
        };
        let request = frame(&Message::RequestHeartbeat);
        self.connections.send(connection, &request);
    }

    fn link_to(&mut self, address: SocketAddr) -> Option<ConnectionId> {
        if let Some(connection) = self.links.get(&address) {
            return Some(*connection);
        }
        let kind = RedirectorConnection::Member(address);
        let connection = self.connections.connect(address, kind)?;
        self.links.insert(address, connection);
        Some(connection)
    }

    fn handle_member_readable(&mut self, connection: ConnectionId, address: SocketAddr) {
        let Some(buffer) = self.connections.read_buffer(connection) else {
            return;
        };
        let (messages, error) = take_frames::<Message>(buffer);
        for message in messages {
            self.handle_member_message(address, message);
        }
        if let Some(error) = error {
            log::warn!("controller: member link closed member={address} error={error}");
            self.directory.on_link_ended(address);
            self.close_link(address);
        }
    }

    fn handle_member_message(&mut self, from: SocketAddr, message: Message) {
        let Message::ControllerHeartbeat {
            controllers,
            is_current,
            ..
        } = message
        else {
            return;
        };
        let members = controllers.iter();
        let members = members.filter_map(|controller| controller.parse().ok());
        self.directory
            .on_heartbeat(self.now, from, is_current, members);
    }

    fn handle_operator_readable(&mut self, connection: ConnectionId) {
        let Some(buffer) = self.connections.read_buffer(connection) else {
            return;
        };
        let response = match self.operators.read(connection, buffer) {
            None | Some(OperatorInput::Incomplete | OperatorInput::ExpectsContinue) => return,
            Some(OperatorInput::Request(request)) => self.respond_to(&request),
            Some(OperatorInput::Malformed(error)) => {
                OperatorResponse::bare(error.status().code(), error.to_string())
            }
        };
        let keeps_alive = false;
        self.connections
            .send(connection, &response.encode(keeps_alive));
        self.connections.close_after_flush(connection);
        self.operators.remove(connection);
    }

    /// Redirects a request to a member in contact with a majority. If none is known, the operator is asked to retry.
    fn respond_to(&mut self, request: &Request) -> OperatorResponse {
        let codec = &self.options.operator_codec;
        match codec.parse_command(&request.method, &request.target) {
            Err(CommandParseError::UnknownTarget) => OperatorResponse::bare(NOT_FOUND, b""),
            Err(CommandParseError::Rejected(status)) => OperatorResponse::bare(status, b""),
            Ok(_) => self.redirect(&request.target),
        }
    }

    fn redirect(&mut self, target: &str) -> OperatorResponse {
        let Some(member) = self.next_member() else {
            return OperatorResponse::bare(SERVICE_UNAVAILABLE, b"").with_retry_after();
        };
        let port = self.options.operator_address.port();
        OperatorResponse::bare(TEMPORARY_REDIRECT, b"").with_location(member.ip(), port, target)
    }

    fn next_member(&mut self) -> Option<SocketAddr> {
        let in_contact = self.directory.members_in_contact(self.clock.now());
        self.redirects = self.redirects.wrapping_add(1);
        in_contact
            .get(self.redirects % in_contact.len().max(1))
            .copied()
    }
}
