use crate::changes::Changes;
use crate::controllers::ControllerLinks;
use crate::disk::{self, Disk};
use crate::gateways::Gateways;
use crate::jobs::JobAsks;
use crate::options::{ControllerError, ControllerOptions};
use crate::recent_changes::RecentChanges;
use crate::scaling::Scaling;
use consensus::{Consensus, ConsensusAction, ConsensusOptions, CONFIGURATION_KEY, EVACUATIONS_KEY};
use event_loop::{ConnectionId, Event, EventLoop, ListenerId};
use http1::RequestReader;
use operator_commands::{ConfigurationRecord, Evacuations};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a line is for.
pub(crate) enum Role {
    /// An operator's connection; whether its request is being worked on.
    Operator(Box<RequestReader>, bool),
    /// A gateway, by name once it told it.
    Gateway(Option<String>),
    /// Another controller, by consensus address once it is known.
    Controller(Option<String>),
    /// The platform.
    Platform,
}

/// All state of the daemon, on one thread beside the disk's.
pub(crate) struct Controller {
    pub options: ControllerOptions,
    pub event_loop: EventLoop,
    pub roles: HashMap<ConnectionId, Role>,
    pub consensus: Consensus,
    pub disk: Disk,
    pub controllers: ControllerLinks,
    pub gateways: Gateways,
    pub changes: Changes,
    pub jobs: JobAsks,
    pub scaling: Scaling,
    pub kept: Arc<ConfigurationRecord>,
    pub kept_at: u64,
    pub steps: RecentChanges,
    pub closures: Evacuations,
    pub closures_at: u64,
    pub now: u64,
    began: Instant,
    ticked_at: u64,
    listeners: [ListenerId; 3],
}

const TICK_MS: u64 = 50;
const LINK_INBOX: usize = 16 << 20;
const OPERATOR_INBOX: usize = 40 << 20;

/// Runs until it is told to stop.
pub fn run(options: ControllerOptions) -> Result<(), ControllerError> {
    let term = Arc::new(AtomicBool::new(false));
    let hup = Arc::new(AtomicBool::new(false));
    let watch = |signal, flag: &Arc<AtomicBool>| {
        signal_hook::flag::register(signal, Arc::clone(flag)).map_err(ControllerError::System)
    };
    watch(signal_hook::consts::SIGTERM, &term)?;
    watch(signal_hook::consts::SIGINT, &term)?;
    watch(signal_hook::consts::SIGHUP, &hup)?;
    let mut controller = Controller::open(options)?;
    let mut events = Vec::new();
    let mut stops_at = None;
    loop {
        controller.now = controller.clock();
        if term.load(Ordering::Relaxed) && stops_at.is_none() {
            log::info!("controller: told to stop");
            controller.consensus.resign(controller.now);
            stops_at = Some(controller.now + controller.options.grace_period_ms / 4);
        }
        if stops_at.is_some_and(|at| controller.now >= at) {
            return Ok(());
        }
        if hup.swap(false, Ordering::Relaxed) {
            controller.reload();
        }
        if controller.now >= controller.ticked_at + TICK_MS {
            controller.ticked_at = controller.now;
            controller.tick();
        }
        controller.act();
        controller.controllers.flush(&mut controller.event_loop);
        controller.gateways.flush(&mut controller.event_loop);
        let next = controller.ticked_at + TICK_MS;
        let patience = Duration::from_millis(next.saturating_sub(controller.now).max(1));
        controller.event_loop.poll(patience, &mut events);
        controller.now = controller.clock();
        for event in events.drain(..) {
            controller.handle(event);
        }
        for done in controller.disk.done() {
            controller.consensus.on_disk(controller.now, done);
        }
        controller.act();
        controller.controllers.flush(&mut controller.event_loop);
        controller.gateways.flush(&mut controller.event_loop);
    }
}

impl Controller {
    fn open(options: ControllerOptions) -> Result<Self, ControllerError> {
        let silence = options.lease_ms() as u32;
        let mut event_loop =
            EventLoop::new(options.connections_max, silence).map_err(ControllerError::System)?;
        let mut listen = |address, inbox_max| {
            let listener = event_loop.listen(address, inbox_max);
            listener.map_err(|error| ControllerError::Listen(address, error))
        };
        let operators = listen(options.operator_address, OPERATOR_INBOX)?;
        let gateways = listen(options.gateway_address, LINK_INBOX)?;
        let consensus_hatch = listen(options.consensus_address, LINK_INBOX)?;
        let voter_disk = disk::open(&options.data_dir).map_err(ControllerError::Data)?;
        let held = consensus::VoterSnapshot::of(voter_disk.voter());
        let consensus = Consensus::new(
            ConsensusOptions {
                name: options.name.clone(),
                address: options.consensus_address.to_string(),
                seeds: options.seeds.iter().map(ToString::to_string).collect(),
                is_first_start: options.is_first_start,
                disk_id: voter_disk.identity(),
                lease_ms: options.lease_ms(),
                heartbeat_interval_ms: options.heartbeat_ms(),
                replacement_timeout_ms: options.resync_ms * 3 / 5,
                seed: rand::random(),
                target_voter_count: options.voters_wanted,
            },
            0,
            held,
        );
        let waker = event_loop.waker().map_err(ControllerError::System)?;
        let disk = Disk::start(voter_disk, waker);
        Ok(Self {
            controllers: ControllerLinks::new(options.consensus_address.to_string()),
            gateways: Gateways::default(),
            changes: Changes::default(),
            jobs: JobAsks::default(),
            scaling: Scaling::default(),
            kept: Arc::default(),
            kept_at: 0,
            steps: RecentChanges::default(),
            closures: Evacuations::default(),
            closures_at: 0,
            event_loop,
            roles: HashMap::new(),
            consensus,
            disk,
            now: 0,
            began: Instant::now(),
            ticked_at: 0,
            listeners: [operators, gateways, consensus_hatch],
            options,
        })
    }

    /// Milliseconds since the start, at this very moment.
    pub fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn tick(&mut self) {
        self.consensus.tick(self.now);
        self.tell_contact();
        self.heartbeat_gateways(false);
        self.tend_scaling();
        self.tend_changes();
        self.tend_jobs();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Accepted(listener, line) => {
                let [operators, gateways, _] = self.listeners;
                let role = if listener == operators {
                    Role::Operator(Box::default(), false)
                } else if listener == gateways {
                    Role::Gateway(None)
                } else {
                    Role::Controller(None)
                };
                self.roles.insert(line, role);
            }
            Event::Connected(_) => {}
            Event::Readable(line) => match self.roles.get(&line) {
                Some(Role::Operator(..)) => self.operator_arrived(line),
                Some(Role::Gateway(_)) => self.gateway_arrived(line),
                Some(Role::Controller(_)) => self.controller_arrived(line),
                Some(Role::Platform) => self.platform_arrived(line),
                None => {}
            },
            Event::Closed(line, _) => {
                match self.roles.remove(&line) {
                    Some(Role::Gateway(Some(name))) => self.gateway_ended(&name, line),
                    Some(Role::Controller(Some(address))) => self.controllers.ended(&address, line),
                    Some(Role::Platform) => self.platform_ended(line),
                    Some(Role::Operator(..)) => self.changes.caller_left(line),
                    _ => {}
                }
                self.event_loop.close(line);
            }
        }
    }

    /// Takes other controllers' addresses from settings that have changed.
    fn reload(&mut self) {
        let Some(seeds) = (self.options.reload_seeds)() else {
            return;
        };
        log::info!(
            "controller: settings read anew, {} controllers named",
            seeds.len()
        );
        let seeds = seeds.iter().map(ToString::to_string).collect();
        self.consensus.update_seeds(seeds);
    }

    /// Does what the consensus machine wants done.
    fn act(&mut self) {
        loop {
            let actions = self.consensus.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    ConsensusAction::Send { to, message } => self.send_controller(&to, message),
                    ConsensusAction::Disk(work) => self.disk.ask(work),
                    ConsensusAction::RequestCompleted { token, outcome } => {
                        if !self.job_done(token, &outcome) {
                            self.change_done(token, outcome);
                        }
                    }
                    ConsensusAction::ValueCommitted { .. } => {}
                    ConsensusAction::RoleAcquired { term } => {
                        log::info!("controller: scales under term {term}");
                    }
                    ConsensusAction::RoleLost => log::info!("controller: scales no more"),
                }
            }
            self.take_settled();
        }
    }

    /// Takes newer settled values and tells the gateways of them.
    fn take_settled(&mut self) {
        let mut has_news = false;
        let mut is_described = false;
        if let Some((version, bytes)) = self.consensus.committed(CONFIGURATION_KEY) {
            if version > self.kept_at {
                if let Some(kept) = ConfigurationRecord::read(bytes) {
                    self.steps.note(version, &kept);
                    self.kept = Arc::new(kept);
                    self.kept_at = version;
                    has_news = true;
                    is_described = true;
                } else {
                    log::error!("controller: settled description {version} cannot be read");
                }
            }
        }
        if let Some((version, bytes)) = self.consensus.committed(EVACUATIONS_KEY) {
            if version > self.closures_at {
                if let Some(closures) = Evacuations::read(bytes) {
                    self.closures = closures;
                    self.closures_at = version;
                    has_news = true;
                }
            }
        }
        if has_news {
            log::info!(
                "controller: description {} and closures {:?} are settled",
                self.kept.version,
                self.closures.zones
            );
            if is_described {
                self.describe_scaling();
            }
            self.close_scaling();
            self.heartbeat_gateways(true);
        }
    }
}
