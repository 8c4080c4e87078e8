//! Links to controllers: when to connect, to send a heartbeat and to give up, and which controller to ask for what.

use crate::applied_configuration::ConfigurationVersions;
use event_loop::{ConnectionId, HungAttempts};
use process_pause::ProcessPause;
use protocol::SentMessages;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most controllers that are known.
const CONTROLLERS_MAX: usize = 64;
/// Milliseconds for which the response to a request for configuration is waited for.
const REQUEST_TIMEOUT_MS: u64 = 250;
/// Milliseconds of silence after which the scaler is no longer reported to.
const SCALER_SILENCE_MS: u64 = 3_000;
/// Milliseconds between evictions of functions that other gateways own.
const EVICTION_INTERVAL_MS: u64 = 1_500;
/// Intervals between two heartbeats to a controller that does not scale. Its silence is noticed by its own heartbeats.
const NON_SCALER_HEARTBEAT_INTERVALS: u64 = 2;
/// Heartbeats after the start within which connections are tried more often, since controllers may be starting too.
const STARTUP_HEARTBEATS: u64 = 8;
/// Attempts to connect per heartbeat within that time.
const STARTUP_ATTEMPTS_PER_HEARTBEAT: u64 = 6;

/// A first attempt to connect must succeed within a heartbeat's interval divided by this.
const CONNECT_TIMEOUT_DIVISOR: u64 = 2;

/// One controller and the state of the link to it. What it said of itself holds while the link lasts.
#[derive(Default)]
struct ControllerLink {
    connection: Option<ConnectionId>,
    heard_at: u64,
    connect_attempted_at: u64,
    /// Whether the connection has been established.
    is_established: bool,
    /// Whether the controller was told that this gateway understands changes of the membership.
    accepts_changes: bool,
    /// Whether the controller understands agreed tables of owners.
    understands_ownership: bool,
    /// Whether it was told that this gateway is about to stop.
    leaving_announced: bool,
    hung_attempts: HungAttempts,
    heartbeat_sent_at: u64,
    versions: ConfigurationVersions,
    /// Term in which it scales; 0 where it does not.
    term: u64,
    zone: String,
    /// Whether it said last that it is in contact with a majority.
    is_current: bool,
}

impl ControllerLink {
    fn end(&mut self) {
        self.connection = None;
        self.is_established = false;
        self.accepts_changes = false;
        self.understands_ownership = false;
        self.leaving_announced = false;
        self.term = 0;
        self.is_current = false;
    }

    /// Whether an attempt to connect has hung for too long.
    fn has_connect_timed_out(&self, now: u64, interval_ms: u64) -> bool {
        let timeout_ms = self
            .hung_attempts
            .timeout_ms(interval_ms / CONNECT_TIMEOUT_DIVISOR);
        !self.is_established && now >= self.connect_attempted_at + timeout_ms
    }
}

/// What a controller's heartbeat says of it.
pub(crate) struct ControllerState {
    pub versions: ConfigurationVersions,
    pub term: u64,
    pub zone: String,
    pub is_current: bool,
}

/// How often a heartbeat is sent, and after which silence a controller is taken for dead, in milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct HeartbeatTiming {
    pub interval_ms: u64,
    pub silence_ms: u64,
}

/// What is to be done for the link to one controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkTask {
    None,
    /// The controller was silent for too long.
    Close(ConnectionId),
    SendHeartbeat(ConnectionId),
    Connect,
}

/// The controller that scales.
pub(crate) struct Scaler {
    pub address: String,
    /// Whether it is another one, in another term or over another link than last time, so that it knows nothing yet, or what it told and
    /// was told last may have been lost.
    pub is_new: bool,
}

/// Links to the controllers, by address.
pub(crate) struct ControllerLinks {
    links: BTreeMap<String, ControllerLink>,
    scaler_term: u64,
    /// The link over which the scaler was reported to last.
    scaler_connection: Option<ConnectionId>,
    evicted_at: u64,
    request_pending_until: u64,
    sent: SentMessages,
}

impl ControllerLinks {
    /// Links to be opened to the controllers that the settings name.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let addresses = addresses.iter();
        Self {
            links: addresses
                .map(|address| (address.to_string(), ControllerLink::default()))
                .collect(),
            scaler_term: 0,
            scaler_connection: None,
            evicted_at: 0,
            request_pending_until: 0,
            sent: SentMessages::default(),
        }
    }

    /// Adds controllers that the settings or another controller name.
    pub fn add(&mut self, addresses: impl Iterator<Item = String>) {
        for address in addresses.take(CONTROLLERS_MAX) {
            let is_address = address.parse::<SocketAddr>().is_ok();
            if is_address && self.links.len() < CONTROLLERS_MAX {
                self.links.entry(address).or_default();
            }
        }
    }

    /// Addresses of all controllers.
    pub fn addresses(&self) -> Vec<String> {
        self.links.keys().cloned().collect()
    }

    /// Number of controllers to which there is a link.
    pub fn linked(&self) -> usize {
        let links = self.links.values();
        links.filter(|link| link.connection.is_some()).count()
    }

    /// The connection to a controller.
    pub fn connection(&self, address: &str) -> Option<ConnectionId> {
        self.links.get(address).and_then(|link| link.connection)
    }

    /// Addresses of the controllers to which there is a link.
    pub fn linked_addresses(&self) -> Vec<String> {
        let links = self.links.iter();
        let linked = links.filter(|(_, link)| link.connection.is_some());
        linked.map(|(address, _)| address.clone()).collect()
    }

    /// Term in which a controller said last that it scales; 0 where it does not.
    pub fn term(&self, address: &str) -> u64 {
        self.links.get(address).map_or(0, |link| link.term)
    }

    /// The process stood still: what controllers sent meanwhile is not read yet, and a connection may have come up.
    pub fn process_paused(&mut self, pause: ProcessPause) {
        for link in self.links.values_mut() {
            if link.connection.is_some() {
                link.heard_at = pause.restart(link.heard_at);
                link.connect_attempted_at = pause.restart(link.connect_attempted_at);
            }
        }
    }

    /// A frame leaves for a controller.
    pub fn record_sent(&mut self, frame: &[u8]) {
        self.sent.record(frame);
    }

    /// What was sent to controllers.
    pub fn sent(&self) -> &SentMessages {
        &self.sent
    }

    /// A message came from a controller; false where the controller is not known.
    pub fn record_heard(&mut self, address: &str, now: u64) -> bool {
        let Some(link) = self.links.get_mut(address) else {
            return false;
        };
        link.heard_at = now;
        true
    }

    /// A heartbeat came from a controller.
    pub fn record_heartbeat(&mut self, address: &str, state: ControllerState) {
        if let Some(link) = self.links.get_mut(address) {
            link.versions = state.versions;
            link.term = state.term;
            link.zone = state.zone;
            link.is_current = state.is_current;
        }
    }

    /// A heartbeat without addresses shows that a controller understands that changes of the membership are accepted; whether it is to
    /// be told so now.
    pub fn accept_membership_changes(&mut self, address: &str) -> bool {
        let link = self.links.get_mut(address);
        link.is_some_and(|link| !std::mem::replace(&mut link.accepts_changes, true))
    }

    /// A controller understands agreed tables of owners; whether that is new.
    pub fn record_understands_ownership(&mut self, address: &str) -> bool {
        let link = self.links.get_mut(address);
        link.is_some_and(|link| !std::mem::replace(&mut link.understands_ownership, true))
    }

    /// Controllers that have not been told that this gateway is about to stop. They are taken as told.
    pub fn take_unnotified_of_leaving(&mut self) -> Vec<String> {
        let links = self.links.iter_mut();
        let unnotified =
            links.filter(|(_, link)| link.understands_ownership && !link.leaving_announced);
        unnotified
            .map(|(address, link)| {
                link.leaving_announced = true;
                address.clone()
            })
            .collect()
    }

    /// The controller that scales, where it understands agreed tables of owners and was heard within so many milliseconds.
    pub fn heard_scaler(&self, now: u64, within_ms: u64) -> Option<String> {
        let (address, _) = self.newest_scaler(now, within_ms, |link| link.understands_ownership)?;
        Some(address.clone())
    }

    /// Whether a controller that scales was heard within so many milliseconds.
    pub fn is_scaler_heard(&self, now: u64, within_ms: u64) -> bool {
        self.newest_scaler(now, within_ms, |_| true).is_some()
    }

    /// The controller with the highest term of the suited ones that were heard within so many milliseconds.
    fn newest_scaler(
        &self,
        now: u64,
        within_ms: u64,
        is_eligible: impl Fn(&ControllerLink) -> bool,
    ) -> Option<(&String, &ControllerLink)> {
        let links = self.links.iter();
        let scaling = links.filter(|(_, link)| {
            let is_heard = link.connection.is_some() && now < link.heard_at + within_ms;
            is_heard && link.term > 0 && is_eligible(link)
        });
        scaling.max_by_key(|(_, link)| link.term)
    }

    /// Whether a controller said last that it is in contact with a majority.
    pub fn is_current(&self, address: &str) -> bool {
        self.links.get(address).is_some_and(|link| link.is_current)
    }

    /// What is due for the link to a controller. It is taken as done.
    pub fn next_task(&mut self, address: &str, now: u64, timing: HeartbeatTiming) -> LinkTask {
        let Some(link) = self.links.get_mut(address) else {
            return LinkTask::None;
        };
        if let Some(connection) = link.connection {
            if link.has_connect_timed_out(now, timing.interval_ms) {
                link.hung_attempts.record();
                link.end();
                return LinkTask::Close(connection);
            }
            if now > link.heard_at + timing.silence_ms {
                link.end();
                return LinkTask::Close(connection);
            }
            let interval_ms = match link.term {
                0 => timing.interval_ms * NON_SCALER_HEARTBEAT_INTERVALS,
                _ => timing.interval_ms,
            };
            if now >= link.heartbeat_sent_at + interval_ms {
                link.heartbeat_sent_at = now;
                return LinkTask::SendHeartbeat(connection);
            }
            return LinkTask::None;
        }
        let is_starting = now < timing.interval_ms * STARTUP_HEARTBEATS;
        let pause = if is_starting {
            timing.interval_ms / STARTUP_ATTEMPTS_PER_HEARTBEAT
        } else {
            timing.interval_ms
        };
        let has_attempted = link.connect_attempted_at > 0;
        if has_attempted && now < link.connect_attempted_at + pause {
            return LinkTask::None;
        }
        link.connect_attempted_at = now.max(1);
        LinkTask::Connect
    }

    /// A connection to a controller was opened.
    pub fn begin(&mut self, address: &str, connection: ConnectionId, now: u64) {
        if let Some(link) = self.links.get_mut(address) {
            link.connection = Some(connection);
            link.heard_at = now;
            link.heartbeat_sent_at = now;
        }
    }

    /// The connection to a controller has been established.
    pub fn established(&mut self, address: &str) {
        if let Some(link) = self.links.get_mut(address) {
            link.is_established = true;
            link.hung_attempts.reset();
        }
    }

    /// The connection to a controller has ended.
    pub fn end(&mut self, address: &str) {
        if let Some(link) = self.links.get_mut(address) {
            link.end();
        }
    }

    /// The controller to send an idempotency-key request to after so many attempts: near ones first, and where any is in
    /// contact with a majority, one of these.
    pub fn for_job_register(&self, zone: &str, attempts: u32) -> Option<String> {
        let links = self.links.iter();
        let mut linked: Vec<_> = links
            .filter(|(_, link)| link.connection.is_some())
            .collect();
        if linked.iter().any(|(_, link)| link.is_current) {
            linked.retain(|(_, link)| link.is_current);
        }
        linked.sort_by_key(|(_, link)| link.zone != zone);
        let place = attempts as usize % linked.len().max(1);
        linked.get(place).map(|(address, _)| (*address).clone())
    }

    /// The controller that scales, by the highest term of those that were heard lately.
    pub fn scaler(&mut self, now: u64) -> Option<Scaler> {
        let (address, link) = self.newest_scaler(now, SCALER_SILENCE_MS, |_| true)?;
        let (address, term, connection) = (address.clone(), link.term, link.connection);
        if term != self.scaler_term {
            log::info!("gateway: scaler changed controller={address} term={term}");
        }
        let is_new = term != self.scaler_term || connection != self.scaler_connection;
        self.scaler_term = term;
        self.scaler_connection = connection;
        Some(Scaler { address, is_new })
    }

    /// Whether it is time again to evict functions that other gateways own.
    pub fn is_eviction_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.evicted_at + EVICTION_INTERVAL_MS;
        if is_due {
            self.evicted_at = now;
        }
        is_due
    }

    /// The controller to request newer configuration from, one at a time: in contact with a majority and near first. A
    /// gateway that is not ready requests none from a controller that is out of contact.
    pub fn source_of_newer_configuration(
        &mut self,
        held: ConfigurationVersions,
        is_ready: bool,
        zone: &str,
        now: u64,
    ) -> Option<String> {
        if now < self.request_pending_until {
            return None;
        }
        let links = self.links.iter();
        let newer = links.filter(|(_, link)| {
            let is_trusted = link.is_current || is_ready;
            link.connection.is_some() && link.versions.has_newer_than(held) && is_trusted
        });
        let (address, _) =
            newer.min_by_key(|(_, link)| (!link.is_current, link.zone.as_str() != zone))?;
        self.request_pending_until = now + REQUEST_TIMEOUT_MS;
        Some(address.clone())
    }

    /// The response to a request for configuration has come.
    pub fn request_answered(&mut self) {
        self.request_pending_until = 0;
    }
}
