use crate::clients::Client;
use crate::control::Control;
use crate::links::Links;
use crate::options::{GatewayError, GatewayOptions};
use crate::pool::Pool;
use crate::runners::RunnerLine;
use crate::tickets::Tickets;
use event_loop::{ConnectionId, Event, EventLoop, ListenerId, Timers};
use http1::RequestReader;
use jobs::{Ends, Jobs};
use seat_leases::{LeaseAction, LeaseOwner, RetryBudget};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a line is for.
pub(crate) enum Role {
    Client(Client),
    Readiness(RequestReader),
    Runner(RunnerLine),
    /// A link to another daemon; its name once it is known.
    Link(Option<String>),
    /// A link to a controller, by address.
    Controller(String),
    /// A look whether a runner takes connections.
    Probe {
        function: String,
        runner: String,
    },
}

/// What is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    Tick,
    Ticket(u64),
    Rest(u64),
    Connect(ConnectionId),
    /// A request, and how often it had been sent.
    Overdue(u64, u32),
    Client(ConnectionId),
}

/// All state of the daemon, on one thread.
pub(crate) struct Gateway {
    pub options: GatewayOptions,
    pub event_loop: EventLoop,
    pub roles: HashMap<ConnectionId, Role>,
    pub tickets: Tickets,
    pub keeper: LeaseOwner,
    pub jobs: Jobs,
    pub ends: Ends,
    pub pool: Pool,
    pub links: Links,
    pub control: Control,
    pub credits: HashMap<String, RetryBudget>,
    /// Milliseconds of a function's answer, the newest weighing most.
    pub paces: HashMap<String, f64>,
    pub timers: Timers<Due>,
    pub now: u64,
    pub drains_since: Option<u64>,
    pub refusals: u64,
    /// Clients of whom more requests have arrived.
    pub unread: Vec<ConnectionId>,
    reloaded_at: u64,
    began: Instant,
    listeners: Listeners,
}

struct Listeners {
    public: ListenerId,
    readiness: ListenerId,
}

const CLIENT_INBOX: usize = 1 << 20;
const LINK_INBOX: usize = 16 << 20;
const TICK_MS: u64 = 50;
/// Milliseconds between looks whether the settings have changed.
const RELOAD_MS: u64 = 2_000;

/// Runs until it is told to stop and all requests have been answered, or the grace period is nearly over.
pub fn run(options: GatewayOptions) -> Result<(), GatewayError> {
    let (term, hup) = signals().map_err(GatewayError::System)?;
    let mut gateway = Gateway::open(options)?;
    let mut events = Vec::new();
    loop {
        gateway.now = gateway.began.elapsed().as_millis() as u64;
        if term.load(Ordering::Relaxed) && gateway.drains_since.is_none() {
            gateway.begin_drain();
        }
        if hup.swap(false, Ordering::Relaxed) {
            gateway.reload();
        }
        if gateway.is_drained() {
            log::info!("gateway: drained, {} requests left", gateway.tickets.len());
            return Ok(());
        }
        gateway.see_to_due();
        gateway.read_on();
        gateway.run_actions();
        let patience = gateway.patience();
        gateway.event_loop.poll(patience, &mut events);
        gateway.now = gateway.began.elapsed().as_millis() as u64;
        for event in events.drain(..) {
            gateway.handle(event);
        }
        gateway.run_actions();
        gateway.flush_links();
    }
}

fn signals() -> std::io::Result<(Arc<AtomicBool>, Arc<AtomicBool>)> {
    let (term, hup) = (Arc::default(), Arc::default());
    signal_hook::flag::register(signal_hook::consts::SIGTERM, Arc::clone(&term))?;
    signal_hook::flag::register(signal_hook::consts::SIGINT, Arc::clone(&term))?;
    signal_hook::flag::register(signal_hook::consts::SIGHUP, Arc::clone(&hup))?;
    Ok((term, hup))
}

impl Gateway {
    fn open(options: GatewayOptions) -> Result<Self, GatewayError> {
        let silence = options.silence_ms() as u32;
        let mut event_loop =
            EventLoop::new(options.max_connections, silence).map_err(GatewayError::System)?;
        let mut listen = |address, inbox_max| {
            let listener = event_loop.listen(address, inbox_max);
            listener.map_err(|error| GatewayError::Listen(address, error))
        };
        let public = listen(options.client_address, CLIENT_INBOX)?;
        let readiness = listen(options.readiness_address, 1 << 14)?;
        listen(options.peer_address, LINK_INBOX)?;
        let links = Links::new(&options);
        let mut gateway = Self {
            jobs: Jobs::new(links.incarnation(), options.job_retention_ms),
            ends: Ends::default(),
            links,
            control: Control::default(),
            event_loop,
            roles: HashMap::new(),
            tickets: Tickets::default(),
            keeper: LeaseOwner::default(),
            pool: Pool::default(),
            credits: HashMap::new(),
            paces: HashMap::new(),
            timers: Timers::default(),
            now: 0,
            drains_since: None,
            refusals: 0,
            unread: Vec::new(),
            reloaded_at: 0,
            began: Instant::now(),
            listeners: Listeners { public, readiness },
            options,
        };
        gateway.timers.schedule(0, Due::Tick);
        Ok(gateway)
    }

    fn patience(&self) -> Duration {
        if !self.unread.is_empty() {
            return Duration::ZERO;
        }
        let mut next = self.timers.next_deadline().unwrap_or(self.now + TICK_MS);
        if let Some(at) = self.keeper.next_probe_at() {
            next = next.min(at);
        }
        Duration::from_millis(next.saturating_sub(self.now).min(TICK_MS * 4))
    }

    fn see_to_due(&mut self) {
        while let Some(due) = self.timers.pop_due(self.now) {
            match due {
                Due::Tick => {
                    self.timers.schedule(self.now + TICK_MS, Due::Tick);
                    self.tick();
                }
                Due::Ticket(number) => self.ticket_is_over(number),
                Due::Rest(number) => self.bid_again(number),
                Due::Connect(line) => self.connect_is_over(line),
                Due::Overdue(number, sends) => self.answer_is_overdue(number, sends),
                Due::Client(line) => self.client_is_late(line),
            }
        }
        if self.keeper.next_probe_at().is_some_and(|at| at <= self.now) {
            self.keeper.tick(self.now);
        }
        self.run_actions();
        self.flush_links();
    }

    fn tick(&mut self) {
        // The settings may change without a signal.
        if self.now >= self.reloaded_at + RELOAD_MS {
            self.reloaded_at = self.now;
            self.reload();
        }
        self.keeper.tick(self.now);
        self.tend_jobs();
        self.tend_controllers();
        self.tend_links();
        self.report();
        self.pool
            .expire(&mut self.event_loop, &mut self.roles, self.now);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Accepted(listener, line) if listener == self.listeners.public => {
                self.client_opened(line)
            }
            Event::Accepted(listener, line) if listener == self.listeners.readiness => {
                let role = Role::Readiness(RequestReader::new());
                self.roles.insert(line, role);
            }
            Event::Accepted(_, line) => {
                self.roles.insert(line, Role::Link(None));
            }
            Event::Connected(line) => self.connected(line),
            Event::Readable(line) => self.arrived(line),
            Event::Closed(line, end) => self.ended(line, end),
        }
    }

    fn connected(&mut self, line: ConnectionId) {
        match self.roles.get(&line) {
            Some(Role::Probe { function, runner }) => {
                let (function, runner) = (function.clone(), runner.clone());
                self.pool_probe(line, &runner);
                self.keeper.record_probe(self.now, &function, &runner, true);
            }
            Some(Role::Runner(_)) => self.runner_connected(line),
            _ => {}
        }
    }

    fn arrived(&mut self, line: ConnectionId) {
        match self.roles.get(&line) {
            Some(Role::Client(_)) => self.client_arrived(line),
            Some(Role::Readiness(_)) => self.readiness_arrived(line),
            Some(Role::Runner(_)) => self.runner_arrived(line),
            Some(Role::Link(_) | Role::Controller(_)) => self.link_arrived(line),
            Some(Role::Probe { .. }) | None => {}
        }
    }

    fn ended(&mut self, line: ConnectionId, end: event_loop::CloseReason) {
        match self.roles.get(&line) {
            Some(Role::Client(_)) => self.client_ended(line),
            Some(Role::Runner(_)) => self.runner_ended(line, end),
            Some(Role::Link(_) | Role::Controller(_)) => self.link_ended(line),
            Some(Role::Probe { function, runner }) => {
                let (function, runner) = (function.clone(), runner.clone());
                self.keeper
                    .record_probe(self.now, &function, &runner, false);
            }
            Some(Role::Readiness(_)) | None => {}
        }
        self.roles.remove(&line);
        self.event_loop.close(line);
    }

    /// Does what the keeper wants done; grants to this daemon go straight to their tickets.
    pub fn run_actions(&mut self) {
        loop {
            let actions = self.keeper.take_actions();
            if actions.is_empty() && !self.run_job_actions() {
                return;
            }
            for action in actions {
                match action {
                    LeaseAction::Grant {
                        gateway,
                        lease: grant,
                    } if gateway == self.options.name => {
                        self.granted(&gateway, grant);
                    }
                    LeaseAction::Grant {
                        gateway,
                        lease: grant,
                    } => {
                        self.tell(&gateway, &protocol::Message::SeatLease(grant));
                    }
                    LeaseAction::Reject {
                        gateway,
                        request: ticket,
                        retry_after_ms: after,
                    } if self.jobs.refused(self.now, &gateway, ticket, after) => {}
                    LeaseAction::Reject {
                        gateway,
                        request: ticket,
                        retry_after_ms: after,
                    } if gateway == self.options.name => {
                        self.refused(ticket, after);
                    }
                    LeaseAction::Reject {
                        gateway,
                        request: ticket,
                        retry_after_ms,
                    } => {
                        let refusal = protocol::Message::Reject {
                            request_id: ticket,
                            retry_after_ms,
                        };
                        self.tell(&gateway, &refusal);
                    }
                    LeaseAction::Probe {
                        function,
                        runner,
                        address,
                    } => {
                        self.probe(function, runner, &address);
                    }
                }
            }
        }
    }

    fn begin_drain(&mut self) {
        log::info!(
            "gateway: told to stop; {} requests are here",
            self.tickets.len()
        );
        self.drains_since = Some(self.now);
    }

    fn is_drained(&mut self) -> bool {
        let Some(since) = self.drains_since else {
            return false;
        };
        // Clients learn within two looks, a second apart, that this daemon takes no more; some come all the same.
        let spent = self.now - since;
        if spent >= self.options.shutdown_grace_ms / 2 {
            self.event_loop.stop_listening(self.listeners.public);
            self.close_idle_clients();
            let is_done = self.tickets.len() == 0 && self.ends.is_empty() && !self.has_clients();
            if is_done && !self.event_loop.is_flushing() {
                return true;
            }
        }
        spent >= self.options.shutdown_grace_ms * 11 / 12
    }

    fn reload(&mut self) {
        let Some(controllers) = (self.options.reload_controllers)() else {
            return;
        };
        log::info!(
            "gateway: settings read anew, {} controllers named",
            controllers.len()
        );
        self.links
            .learn_controllers(controllers.iter().map(ToString::to_string));
    }
}
