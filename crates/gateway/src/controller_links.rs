//! Links to controllers: decides when to connect, send heartbeats and time out, and which controller to send a
//! request to.

use crate::applied_configuration::ConfigurationVersions;
use event_loop::{ConnectBackoff, ConnectionId};
use process_pause::ProcessPause;
use protocol::SentMessages;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of known controllers.
const CONTROLLERS_MAX: usize = 64;
/// Timeout of a configuration request, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 250;
/// Time without a message from the scaler after which functions are no longer reported to it, in milliseconds.
const SCALER_SILENCE_MS: u64 = 3_000;
/// Interval between evictions of functions that other gateways own, in milliseconds.
const EVICTION_INTERVAL_MS: u64 = 1_500;
/// Heartbeat intervals between two heartbeats to a controller that is not the scaler. Its silence is detected by its
/// own heartbeats.
const NON_SCALER_HEARTBEAT_INTERVALS: u64 = 2;
/// Number of heartbeat intervals after startup in which connecting is retried more often, because controllers may be
/// starting too.
const STARTUP_HEARTBEATS: u64 = 8;
/// Connection attempts per heartbeat interval during startup.
const STARTUP_ATTEMPTS_PER_HEARTBEAT: u64 = 6;

/// The timeout of a first connection attempt is the heartbeat interval divided by this number.
const CONNECT_TIMEOUT_DIVISOR: u64 = 2;

/// A controller and the state of the link to it. What the controller announced is valid only while the link lasts.
#[derive(Default)]
struct ControllerLink {
    connection: Option<ConnectionId>,
    heard_at: u64,
    connect_attempted_at: u64,
    /// Whether the connection is established.
    is_established: bool,
    /// Whether the controller was notified that this gateway accepts incremental membership changes.
    accepts_changes: bool,
    /// Whether the controller supports agreed ownership tables.
    understands_ownership: bool,
    /// Whether the controller was notified that this gateway is about to stop.
    leaving_announced: bool,
    connect_backoff: ConnectBackoff,
    heartbeat_sent_at: u64,
    versions: ConfigurationVersions,
    /// Term in which it is the scaler; 0 if it is not.
    term: u64,
    zone: String,
    /// Whether its last heartbeat reported contact with a majority.
    is_current: bool,
}

impl ControllerLink {
    fn reset(&mut self) {
        self.connection = None;
        self.is_established = false;
        self.accepts_changes = false;
        self.understands_ownership = false;
        self.leaving_announced = false;
        self.term = 0;
        self.is_current = false;
    }

    /// Whether a connection attempt has exceeded its timeout.
    fn has_connect_timed_out(&self, now: u64, interval_ms: u64) -> bool {
        let timeout_ms = self
            .connect_backoff
            .timeout_ms(interval_ms / CONNECT_TIMEOUT_DIVISOR);
        !self.is_established && now >= self.connect_attempted_at + timeout_ms
    }
}

/// The state that a controller announces in its heartbeat.
pub(crate) struct ControllerState {
    pub versions: ConfigurationVersions,
    pub term: u64,
    pub zone: String,
    pub is_current: bool,
}

/// Interval of heartbeats and the silence after which a controller is considered dead, in milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct HeartbeatTiming {
    pub interval_ms: u64,
    pub silence_ms: u64,
}

/// Work that is due for the link to one controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkTask {
    None,
    /// The controller was silent for too long, or the connection attempt timed out.
    Close(ConnectionId),
    SendHeartbeat(ConnectionId),
    Connect,
}

/// The controller that runs the scaler.
pub(crate) struct Scaler {
    pub address: String,
    /// Whether the scaler, its term or the link to it has changed since the last report. In that case it knows
    /// nothing yet, or the latest messages in either direction may have been lost.
    pub is_new: bool,
}

/// Links to the controllers, by address.
pub(crate) struct ControllerLinks {
    links: BTreeMap<String, ControllerLink>,
    scaler_term: u64,
    /// The connection used for the latest report to the scaler.
    scaler_connection: Option<ConnectionId>,
    evicted_at: u64,
    request_pending_until: u64,
    sent: SentMessages,
}

impl ControllerLinks {
    /// Creates unconnected links to the controllers named in the settings.
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

    /// Adds controllers named in the settings or by another controller.
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

    /// Number of connected controllers.
    pub fn linked(&self) -> usize {
        let links = self.links.values();
        links.filter(|link| link.connection.is_some()).count()
    }

    /// The connection to a controller.
    pub fn connection(&self, address: &str) -> Option<ConnectionId> {
        self.links.get(address).and_then(|link| link.connection)
    }

    /// Addresses of the connected controllers.
    pub fn linked_addresses(&self) -> Vec<String> {
        let links = self.links.iter();
        let linked = links.filter(|(_, link)| link.connection.is_some());
        linked.map(|(address, _)| address.clone()).collect()
    }

    /// Term in which a controller is the scaler, according to its last heartbeat; 0 if it is not.
    pub fn term(&self, address: &str) -> u64 {
        self.links.get(address).map_or(0, |link| link.term)
    }

    /// Restarts the timeouts of all links after a process pause: messages that were received during the pause are not
    /// read yet, and a connection may have been established.
    pub fn process_paused(&mut self, pause: ProcessPause) {
        for link in self.links.values_mut() {
            if link.connection.is_some() {
                link.heard_at = pause.restart_wait(link.heard_at);
                link.connect_attempted_at = pause.restart_wait(link.connect_attempted_at);
            }
        }
    }

    /// Counts a frame sent to a controller.
    pub fn record_sent(&mut self, frame: &[u8]) {
        self.sent.record(frame);
    }

    /// Counts of the messages sent to controllers.
    pub fn sent(&self) -> &SentMessages {
        &self.sent
    }

    /// Records a message from a controller. Returns false if the controller is unknown.
    pub fn record_heard(&mut self, address: &str, now: u64) -> bool {
        let Some(link) = self.links.get_mut(address) else {
            return false;
        };
        link.heard_at = now;
        true
    }

    /// Records a controller's heartbeat.
    pub fn record_heartbeat(&mut self, address: &str, state: ControllerState) {
        if let Some(link) = self.links.get_mut(address) {
            link.versions = state.versions;
            link.term = state.term;
            link.zone = state.zone;
            link.is_current = state.is_current;
        }
    }

    /// Records that a controller supports incremental membership changes, which a heartbeat without addresses shows.
    /// Returns whether it has yet to be notified that this gateway accepts them.
    pub fn accept_membership_changes(&mut self, address: &str) -> bool {
        let link = self.links.get_mut(address);
        link.is_some_and(|link| !std::mem::replace(&mut link.accepts_changes, true))
    }

    /// Records that a controller supports agreed ownership tables. Returns whether this was not known before.
    pub fn record_understands_ownership(&mut self, address: &str) -> bool {
        let link = self.links.get_mut(address);
        link.is_some_and(|link| !std::mem::replace(&mut link.understands_ownership, true))
    }

    /// Returns the controllers that were not notified that this gateway is about to stop, and marks them as notified.
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

    /// Address of the scaler, if it supports agreed ownership tables and was heard from within `within_ms`.
    pub fn reachable_scaler(&self, now: u64, within_ms: u64) -> Option<String> {
        let (address, _) = self.newest_scaler(now, within_ms, |link| link.understands_ownership)?;
        Some(address.clone())
    }

    /// Whether the scaler was heard from within `within_ms`.
    pub fn is_scaler_reachable(&self, now: u64, within_ms: u64) -> bool {
        self.newest_scaler(now, within_ms, |_| true).is_some()
    }

    /// The eligible controller with the highest scaler term that was heard from within `within_ms`.
    fn newest_scaler(
        &self,
        now: u64,
        within_ms: u64,
        is_eligible: impl Fn(&ControllerLink) -> bool,
    ) -> Option<(&String, &ControllerLink)> {
        let links = self.links.iter();
        let scaling = links.filter(|(_, link)| {
            let is_recent = link.connection.is_some() && now < link.heard_at + within_ms;
            is_recent && link.term > 0 && is_eligible(link)
        });
        scaling.max_by_key(|(_, link)| link.term)
    }

    /// Whether a controller's last heartbeat reported contact with a majority.
    pub fn is_current(&self, address: &str) -> bool {
        self.links.get(address).is_some_and(|link| link.is_current)
    }

    /// Returns the work that is due for the link to a controller, and marks it as done.
    pub fn next_task(&mut self, address: &str, now: u64, timing: HeartbeatTiming) -> LinkTask {
        let Some(link) = self.links.get_mut(address) else {
            return LinkTask::None;
        };
        if let Some(connection) = link.connection {
            if link.has_connect_timed_out(now, timing.interval_ms) {
                link.connect_backoff.record_timeout();
                link.reset();
                return LinkTask::Close(connection);
            }
            if now > link.heard_at + timing.silence_ms {
                link.reset();
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

    /// Records a connection that was opened to a controller.
    pub fn opened(&mut self, address: &str, connection: ConnectionId, now: u64) {
        if let Some(link) = self.links.get_mut(address) {
            link.connection = Some(connection);
            link.heard_at = now;
            link.heartbeat_sent_at = now;
        }
    }

    /// Records that the connection to a controller is established.
    pub fn established(&mut self, address: &str) {
        if let Some(link) = self.links.get_mut(address) {
            link.is_established = true;
            link.connect_backoff.reset();
        }
    }

    /// Records that the connection to a controller has ended.
    pub fn ended(&mut self, address: &str) {
        if let Some(link) = self.links.get_mut(address) {
            link.reset();
        }
    }

    /// Selects the controller for a job register request after `attempts` attempts. Controllers in contact with a
    /// majority are used if there are any, those in this zone first.
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

    /// The scaler: the controller with the highest term among those heard from recently.
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

    /// Whether the next eviction of functions that other gateways own is due.
    pub fn is_eviction_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.evicted_at + EVICTION_INTERVAL_MS;
        if is_due {
            self.evicted_at = now;
        }
        is_due
    }

    /// Selects the controller to request newer configuration from, unless a request is pending: preferably one in
    /// contact with a majority, then one in this zone. A gateway that is not ready ignores controllers without
    /// contact to a majority.
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

    /// Records the response to a configuration request.
    pub fn request_answered(&mut self) {
        self.request_pending_until = 0;
    }
}
