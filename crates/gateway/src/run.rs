//! The event loop: dispatches connection events, timers and state machine actions to the phases of a request.

use crate::connections::{ConnectionRole, ProbedRunner};
use crate::gateway::{Gateway, TimerEvent};
use crate::options::{GatewayError, GatewayOptions};
use event_loop::{CloseReason, ConnectionId, Event};
use loop_watchdog::WatchdogOptions;
use protocol::{Message, RequestId, SeatLease};
use seat_leases::LeaseAction;
use signals::{ReloadSignal, Signals};
use std::time::{Duration, Instant};

/// Interval of the periodic work in [`Gateway::tick`], in milliseconds.
const TICK_MS: u64 = 50;
/// Longest wait for events, in milliseconds, which applies when no timer is due earlier.
const POLL_TIMEOUT_MAX_MS: u64 = TICK_MS * 4;
/// Interval between checks for changed settings, in milliseconds.
const SETTINGS_CHECK_INTERVAL_MS: u64 = 2_000;

/// Maximum number of timers handled per turn, so that any number of due timers cannot delay signals and events.
const TIMERS_PER_TURN_MAX: usize = 4_096;

/// Step name that the watchdog reports for a timer.
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

/// Step name that the watchdog reports for a connection event.
fn event_step(event: &Event) -> &'static str {
    match event {
        Event::Accepted(..) => "accepted",
        Event::Connected(_) => "connected",
        Event::Readable(_) => "readable",
        Event::Drained(_) => "drained",
        Event::Closed(..) => "closed",
    }
}

/// Order in which the events of one turn are handled, by the peer of their connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventOrder {
    Controller,
    Peer,
    Other,
}

/// Runs a gateway until SIGTERM or SIGINT was received and all requests are answered, or until the grace period is
/// nearly over. Only the startup can fail: binding a listening socket, creating the poller or registering a signal
/// handler.
pub fn run(options: GatewayOptions, reload: ReloadSignal) -> Result<(), GatewayError> {
    let signals = Signals::register(reload).map_err(GatewayError::System)?;
    let watchdog = WatchdogOptions {
        daemon: "gateway",
        grace_period: Duration::from_millis(options.shutdown_grace_ms),
        stop_requested: Box::new(signals.stop_requested_fn()),
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
    /// Runs one turn of the loop: handles due timers, waits for events and handles them. `clock` returns the time
    /// after the wait.
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
        // Timers beyond the limit are handled in the next turn.
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

    /// Runs the periodic work.
    fn tick(&mut self) {
        // Settings are also checked without a reload signal.
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

    /// Sorts events so that controllers are handled before other gateways, and those before clients. After a process
    /// pause, a gateway thereby learns that it no longer owns a function before it leases a seat of that function.
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

    /// Dispatches a connection event to the phase that handles it.
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

    /// Handles an emptied send buffer. A client that has read its response may already have sent its next request.
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

    /// Runs the actions of the lease owner and the job coordinator until neither has any left.
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

    /// Delivers a lease to the gateway that requested it. A lease for this gateway goes directly to its request.
    pub fn deliver_lease(&mut self, gateway: &str, lease: SeatLease) {
        if gateway == self.options.name {
            self.lease_granted(gateway, lease);
        } else {
            self.send_to_peer(gateway, &Message::SeatLease(lease));
        }
    }

    /// Rejects a gateway's lease request that gets no seat before its timeout.
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

    /// Whether the gateway may stop: all requests are answered, or the grace period is nearly over.
    pub fn is_drained(&mut self) -> bool {
        let Some(since) = self.draining_since else {
            return false;
        };
        // Clients notice the drain after up to two readiness checks, one second apart. Some still connect after that,
        // so the listener stays open for the first half of the grace period.
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

    /// Answers the requests that were not sent to a runner, so that the gateway does not stop without responding to
    /// them.
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
