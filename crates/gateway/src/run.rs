//! Wiring: events of connections, timers and the actions of the state machines are given to the phases of a request.

use crate::connections::{ConnectionRole, ProbedRunner};
use crate::gateway::{Gateway, TimerEvent};
use crate::options::{GatewayError, GatewayOptions};
use event_loop::{CloseReason, ConnectionId, Event};
use loop_watchdog::WatchdogOptions;
use protocol::{Message, RequestId, SeatLease};
use seat_leases::LeaseAction;
use signals::{ReloadSignal, Signals};
use std::time::{Duration, Instant};

/// Milliseconds between two turns of periodic work.
const TICK_MS: u64 = 50;
/// Most milliseconds of waiting for events, for the case that no timer is set.
const POLL_TIMEOUT_MAX_MS: u64 = TICK_MS * 4;
/// Milliseconds between checks whether the settings have changed.
const SETTINGS_CHECK_INTERVAL_MS: u64 = 2_000;

/// Most timers that run in one turn, so that signals and events come between however many there are.
const TIMERS_PER_TURN_MAX: usize = 4_096;

/// Name of what a timer does, for the watchdog.
fn timer_step(event: &TimerEvent) -> &'static str {
    match event {
        TimerEvent::Tick => "tick",
        TimerEvent::RequestDeadline(_) => "request deadline",
        TimerEvent::BackoffOver(_) => "backoff over",
        TimerEvent::ConnectTimeout(_) => "connect timeout",
        TimerEvent::ResponseOverdue(..) => "response overdue",
        TimerEvent::DownstreamTimeout(_) => "downstream timeout",
    }
}

/// Name of an event of a connection, for the watchdog.
fn event_step(event: &Event) -> &'static str {
    match event {
        Event::Accepted(..) => "accepted",
        Event::Connected(_) => "connected",
        Event::Readable(_) => "readable",
        Event::Drained(_) => "drained",
        Event::Closed(..) => "closed",
    }
}

/// Whose events are handled first in a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventOrder {
    Controller,
    Peer,
    Other,
}

/// Runs a gateway until SIGTERM or SIGINT has come and all requests have been answered, or the grace period is nearly
/// over. Errors are those of the start alone: a listening socket, the poller or a signal handler.
pub fn run(options: GatewayOptions, reload: ReloadSignal) -> Result<(), GatewayError> {
    let signals = Signals::register(reload).map_err(GatewayError::System)?;
    let watchdog = WatchdogOptions {
        daemon: "gateway",
        grace_period: Duration::from_millis(options.shutdown_grace_ms),
        stop_requested: Box::new(signals.stop_probe()),
    };
    let turns = loop_watchdog::start(watchdog).map_err(GatewayError::System)?;
    let mut gateway = Gateway::open(options)?;
    gateway.turns = turns;
    let started = Instant::now();
    gateway.timers.schedule(0, TimerEvent::Tick);
    let mut events = Vec::new();
    loop {
        gateway.turns.begin_turn(gateway.requests.len());
        gateway.read_clock(started.elapsed().as_millis() as u64);
        if signals.stop_requested() && !gateway.is_draining() {
            gateway.begin_draining();
        }
        if signals.take_reload_request() {
            gateway.turns.begin_step("settings");
            gateway.reload_settings();
        }
        if gateway.is_drained() {
            log::info!("gateway: drained in_flight={}", gateway.requests.len());
            gateway.turns.end_loop();
            return Ok(());
        }
        gateway.take_turn(&mut events, || started.elapsed().as_millis() as u64);
    }
}

impl Gateway {
    /// Does what is due, waits for events and handles them. `clock` tells the time after the wait.
    pub fn take_turn(&mut self, events: &mut Vec<Event>, clock: impl FnOnce() -> u64) {
        let mut timeout = Duration::ZERO;
        if !self.pauses.takes_events_first() {
            self.handle_due_timers();
            self.turns.begin_step("pipelined requests");
            self.read_pipelined();
            self.run_actions();
            timeout = self.poll_timeout();
        }
        self.turns.wait();
        self.connections.poll(timeout, events);
        self.read_clock(clock());
        self.order_events(events);
        for event in events.drain(..) {
            self.turns.begin_step(event_step(&event));
            self.handle_event(event);
        }
        self.run_actions();
        self.turns.begin_step("flush");
        self.flush_peers();
    }

    fn poll_timeout(&self) -> Duration {
        if !self.pipelined_connections.is_empty() {
            return Duration::ZERO;
        }
        let timer = self.timers.next_deadline();
        let mut next = timer.unwrap_or(self.now + TICK_MS);
        if let Some(at) = self.lease_owner.next_probe_at() {
            next = next.min(at);
        }
        let wait_ms = next.saturating_sub(self.now);
        Duration::from_millis(wait_ms.min(POLL_TIMEOUT_MAX_MS))
    }

    fn handle_due_timers(&mut self) {
        // What is left of more timers than that is due in the next turn.
        for _ in 0..TIMERS_PER_TURN_MAX {
            let Some(event) = self.timers.pop_due(self.now) else {
                break;
            };
            self.turns.begin_step(timer_step(&event));
            match event {
                TimerEvent::Tick => {
                    self.timers.schedule(self.now + TICK_MS, TimerEvent::Tick);
                    self.tick();
                }
                TimerEvent::RequestDeadline(id) => self.request_timed_out(id),
                TimerEvent::BackoffOver(id) => self.backoff_over(id),
                TimerEvent::ConnectTimeout(id) => self.connect_timeout(id),
                TimerEvent::ResponseOverdue(id, attempt) => self.response_overdue(id, attempt),
                TimerEvent::DownstreamTimeout(id) => self.downstream_timeout(id),
            }
        }
        let probe_at = self.lease_owner.next_probe_at();
        if probe_at.is_some_and(|at| at <= self.now) {
            self.lease_owner.tick(self.now);
        }
        self.run_actions();
        self.flush_peers();
    }

    /// Periodic work.
    fn tick(&mut self) {
        // The settings may change without a signal.
        if self.now >= self.settings_checked_at + SETTINGS_CHECK_INTERVAL_MS {
            self.settings_checked_at = self.now;
            self.turns.begin_step("settings");
            self.reload_settings();
            self.turns.begin_step("tick");
        }
        self.bound_client_memory();
        self.resume_large_responses();
        self.lease_owner.tick(self.now);
        self.advance_jobs();
        self.maintain_controller_links();
        self.check_awaited_owners();
        self.maintain_ownership();
        self.report_to_scaler();
        self.upstream_pool.expire(&mut self.connections, self.now);
        self.check_invariants();
    }

    /// What controllers say comes before what gateways ask, and that before what clients ask: after a pause a gateway hears that it owns
    /// a function no more before it leases a seat of it.
    fn order_events(&self, events: &mut [Event]) {
        events.sort_by_key(|event| {
            let (Event::Readable(id) | Event::Closed(id, _)) = event else {
                return EventOrder::Other;
            };
            match self.connections.role(*id) {
                Some(ConnectionRole::Controller(_)) => EventOrder::Controller,
                Some(ConnectionRole::Peer(_)) => EventOrder::Peer,
                _ => EventOrder::Other,
            }
        });
    }

    /// Gives an event of a connection to the phase that it concerns.
    pub fn handle_event(&mut self, event: Event) {
        match event {
            Event::Accepted(listener, id) if listener == self.listeners.downstream => {
                self.downstream_accepted(id);
            }
            Event::Accepted(listener, id) if listener == self.listeners.readiness => {
                self.readiness_accepted(id);
            }
            Event::Accepted(listener, id) if Some(listener) == self.listeners.metrics => {
                self.metrics_accepted(id);
            }
            Event::Accepted(_, id) => self.connections.set_role(id, ConnectionRole::Peer(None)),
            Event::Connected(id) => self.connected(id),
            Event::Drained(id) => self.drained(id),
            Event::Readable(id) => self.readable(id),
            Event::Closed(id, reason) => self.closed(id, reason),
        }
    }

    fn connected(&mut self, id: ConnectionId) {
        match self.connections.role(id) {
            Some(ConnectionRole::Probe(probed)) => {
                let probed = probed.clone();
                self.probe_connected(id, &probed);
            }
            Some(ConnectionRole::Upstream(_)) => self.send_upstream_request(id),
            Some(ConnectionRole::Controller(address)) => self.controllers.established(address),
            _ => {}
        }
    }

    fn readable(&mut self, id: ConnectionId) {
        match self.connections.role(id) {
            Some(ConnectionRole::Downstream(_)) => self.downstream_readable(id),
            Some(ConnectionRole::Readiness(_)) => self.readiness_readable(id),
            Some(ConnectionRole::Metrics(_)) => self.metrics_readable(id),
            Some(ConnectionRole::Upstream(_)) => self.upstream_readable(id),
            Some(ConnectionRole::Peer(_) | ConnectionRole::Controller(_)) => {
                self.link_readable(id);
            }
            Some(ConnectionRole::Probe(_)) | None => {}
        }
    }

    /// All that was sent on a connection has left. A client that has read its response may have sent its next request.
    fn drained(&mut self, id: ConnectionId) {
        if matches!(
            self.connections.role(id),
            Some(ConnectionRole::Downstream(_))
        ) {
            self.read_next_turn(id);
        }
    }

    fn closed(&mut self, id: ConnectionId, reason: CloseReason) {
        match self.connections.role(id) {
            Some(ConnectionRole::Downstream(_)) => self.downstream_closed(id),
            Some(ConnectionRole::Upstream(_)) => self.upstream_closed(id, reason),
            Some(ConnectionRole::Peer(_) | ConnectionRole::Controller(_)) => self.link_closed(id),
            Some(ConnectionRole::Probe(probed)) => {
                let probed = probed.clone();
                self.probe_finished(&probed, false);
            }
            Some(ConnectionRole::Readiness(_) | ConnectionRole::Metrics(_)) | None => {}
        }
        self.connections.close(id);
    }

    /// Does what the owner of seats and the coordination of jobs ask for, until they ask for nothing more.
    pub fn run_actions(&mut self) {
        loop {
            self.turns.begin_step("actions");
            let actions = self.lease_owner.take_actions();
            if actions.is_empty() && !self.run_job_actions() {
                return;
            }
            for action in actions {
                self.run_lease_action(action);
            }
        }
    }

    fn run_lease_action(&mut self, action: LeaseAction) {
        match action {
            LeaseAction::Lease { gateway, lease } => self.deliver_lease(&gateway, lease),
            LeaseAction::Reject {
                gateway,
                request_id,
                retry_after_ms,
            } => self.reject_lease_request(&gateway, request_id, retry_after_ms),
            LeaseAction::ConfirmLeases { gateway, requests } => {
                self.confirm_leases(&gateway, requests);
            }
            LeaseAction::Probe {
                function,
                runner,
                address,
            } => self.probe_runner(ProbedRunner { function, runner }, &address),
            action => {
                if let Some((gateway, message)) = action.into_message() {
                    self.send_to_peer(&gateway, &message);
                }
            }
        }
    }

    /// Leases for this gateway go straight to their requests.
    pub fn deliver_lease(&mut self, gateway: &str, lease: SeatLease) {
        if gateway == self.options.name {
            self.lease_granted(gateway, lease);
        } else {
            self.send_to_peer(gateway, &Message::SeatLease(lease));
        }
    }

    /// Tells a gateway that its request gets no seat in time.
    pub fn reject_lease_request(
        &mut self,
        gateway: &str,
        request_id: RequestId,
        retry_after_ms: u32,
    ) {
        let now = self.now;
        if self
            .jobs
            .lease_rejected(now, gateway, request_id, retry_after_ms)
        {
            return;
        }
        if gateway == self.options.name {
            self.lease_rejected(request_id, retry_after_ms);
            return;
        }
        let rejection = Message::Reject {
            request_id,
            retry_after_ms,
        };
        self.send_to_peer(gateway, &rejection);
    }

    fn begin_draining(&mut self) {
        let requests = self.requests.len();
        log::info!("gateway: draining in_flight={requests}");
        self.draining_since = Some(self.now);
    }

    /// Whether the gateway may stop: its requests are answered, or the grace period is nearly over.
    pub fn is_drained(&mut self) -> bool {
        let Some(since) = self.draining_since else {
            return false;
        };
        // Clients learn within two readiness checks, a second apart, that this gateway serves no more; some come all the
        // same.
        let spent_ms = self.now - since;
        if spent_ms >= self.options.shutdown_grace_ms / 2 {
            self.connections.stop_listening(self.listeners.downstream);
            self.close_idle_downstream();
            if self.has_nothing_in_flight() {
                return true;
            }
        }
        if spent_ms >= self.options.shutdown_grace_ms * 10 / 12 {
            self.end_unsent_requests();
        }
        spent_ms >= self.options.shutdown_grace_ms * 11 / 12
    }

    /// Answers the requests that no runner has yet, so that none of them is cut off without a word when the gateway stops.
    fn end_unsent_requests(&mut self) {
        for id in self.requests.ids(|request| !request.is_sent()) {
            self.request_timed_out(id);
        }
    }

    fn has_nothing_in_flight(&self) -> bool {
        self.requests.len() == 0
            && self.unacknowledged_results.is_empty()
            && !self.connections.has_downstream()
            && !self.connections.is_flushing()
    }

    fn reload_settings(&mut self) {
        let Some(controllers) = (self.options.reload_controllers)() else {
            return;
        };
        log::info!("gateway: settings reloaded seeds={}", controllers.len());
        self.controllers
            .add(controllers.iter().map(ToString::to_string));
    }
}
