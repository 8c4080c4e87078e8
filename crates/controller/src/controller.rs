//! The top level of a controller: dispatches events, completions and ticks to its parts, and executes the actions they return.

mod exported_metrics;
mod gateway_messages;

use crate::clock::Clock;
use crate::committed_configuration::{CommittedChange, CommittedConfiguration};
use crate::controller_connections::{ControllerConnection, ControllerConnections};
use crate::daemon_loop::{run_loop, start_watchdog, Daemon};
use crate::disk_thread::{self, DiskThread};
use crate::error::ControllerError;
use crate::gateway_table::{GatewayContext, GatewayTable};
use crate::job_registers::JobRegisters;
use crate::metrics_service::MetricsService;
use crate::operator_service::{OperatorContext, OperatorService};
use crate::options::ControllerOptions;
use crate::peer_links::PeerLinks;
use crate::scaler::{Scaler, ScalerContext};
use crate::shutdown_deadline;
use crate::status::ControllerStatus;
use consensus::{
    Consensus, ConsensusAction, DiskWork, MembershipState, ShutdownTimes, VoterSnapshot,
};
use event_loop::{ConnectionId, Event};
use process_pause::ProcessPause;
use signals::{ReloadSignal, Signals};
use std::time::Duration;

/// A stopping controller keeps serving for the grace period divided by this, while another one takes over its role.
const SERVING_GRACE_DIVISOR: u64 = 4;
/// Twelfths of the grace period for which a stopping controller waits at most until another one has taken over its place
/// in the voter set. The forced exit follows them.
const HANDOVER_GRACE_TWELFTHS: u64 = 5;

/// All state of a controller that lives on its main thread; the disk has a thread of its own. Each part owns the state that its
/// module documents, and does not depend on this type.
struct Controller {
    options: ControllerOptions,
    clock: Clock,
    /// Milliseconds since the start; updated at least once per loop iteration.
    now: u64,
    connections: ControllerConnections,
    consensus: Consensus,
    disk: DiskThread,
    peers: PeerLinks,
    gateways: GatewayTable,
    operators: OperatorService,
    metrics: MetricsService,
    jobs: JobRegisters,
    configuration: CommittedConfiguration,
    scaler: Scaler,
}

/// Runs a controller until it receives a stop signal.
///
/// # Errors
/// If an address cannot be bound, the data folder cannot be used, or the system denies a required resource.
pub fn run(options: ControllerOptions, reload: ReloadSignal) -> Result<(), ControllerError> {
    let signals = Signals::register(reload).map_err(ControllerError::System)?;
    let grace_period = Duration::from_millis(options.grace_period_ms);
    let turns = start_watchdog(grace_period, &signals).map_err(ControllerError::System)?;
    let mut controller = Controller::open(options)?;
    run_loop(&mut controller, &signals, &turns);
    controller.report_unfinished_disk_work();
    controller.report_kept_place();
    Ok(())
}

impl Controller {
    /// Logs pending disk work: the system ends a process only after its disk calls have returned, so a stalled disk delays the
    /// exit.
    fn report_unfinished_disk_work(&self) {
        let bytes = self.disk.unfinished_bytes();
        if bytes > 0 {
            log::warn!("controller: disk busy at the end bytes={bytes}");
        }
    }

    /// Logs that no other controller has taken over this one's place in the voter set.
    fn report_kept_place(&self) {
        let set = self.consensus.voter_set().version();
        let state = self.consensus.membership_state();
        if matches!(state, MembershipState::Voting | MembershipState::Installing) {
            log::info!("controller: ended as a member of the voter set set={set}");
        }
    }
}

impl Daemon for Controller {
    fn update_clock(&mut self) {
        self.now = self.clock.now();
    }

    fn now(&self) -> u64 {
        self.now
    }

    /// Restarts the timeouts of gateways only. Promises and leases between controllers keep running through a pause: they are
    /// judged by the time that has actually elapsed.
    fn process_paused(&mut self, pause: ProcessPause) {
        self.gateways.process_paused(pause);
    }

    fn begin_shutdown(&mut self) -> Duration {
        log::info!("controller: shutting down");
        let grace_period_ms = self.options.grace_period_ms;
        let times = ShutdownTimes {
            serves_until: self.now + grace_period_ms / SERVING_GRACE_DIVISOR,
            waits_until: self.now + grace_period_ms * HANDOVER_GRACE_TWELFTHS / 12,
        };
        self.consensus.begin_shutdown(self.now, times);
        shutdown_deadline::for_grace_period(grace_period_ms)
    }

    fn is_shut_down(&self) -> bool {
        self.consensus.may_end(self.now)
    }

    /// Rereads the other controllers' addresses if the settings have changed.
    fn reload(&mut self) {
        let Some(seeds) = (self.options.reload_seeds)() else {
            return;
        };
        let count = seeds.len();
        log::info!("controller: settings reloaded seeds={count}");
        let seeds = seeds.iter().map(ToString::to_string).collect();
        self.consensus.update_seeds(seeds);
    }

    fn advance(&mut self) -> Duration {
        if self.clock.take_tick(self.now) {
            self.tick();
        }
        self.execute_consensus_actions();
        self.flush();
        self.clock.until_tick(self.now)
    }

    fn poll(&mut self, timeout: Duration, events: &mut Vec<Event>) {
        self.connections.poll(timeout, events);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Accepted(listener, connection) => {
                match self.connections.accept(listener, connection) {
                    Some(ControllerConnection::Operator) => self.operators.accept(connection),
                    Some(ControllerConnection::Metrics) => self.metrics.accept(connection),
                    _ => {}
                }
            }
            Event::Connected(connection) => self.peers.mark_established(connection),
            Event::Drained(_) => {}
            Event::Readable(connection) => self.handle_readable(connection),
            Event::Closed(connection, _) => self.handle_closed(connection),
        }
    }

    fn finish_turn(&mut self) {
        for completion in self.disk.take_completions() {
            self.consensus.on_disk(self.now, completion);
        }
        self.execute_consensus_actions();
        self.flush();
    }
}

impl Controller {
    fn open(options: ControllerOptions) -> Result<Self, ControllerError> {
        let connections = ControllerConnections::open(&options)?;
        let voter_disk = disk_thread::open(&options.data_dir).map_err(ControllerError::Data)?;
        let snapshot = VoterSnapshot::of(voter_disk.voter());
        let consensus_options = options.consensus_options(voter_disk.identity());
        let consensus = Consensus::new(consensus_options, 0, snapshot);
        let disk = DiskThread::start(voter_disk, connections.waker()?);
        Ok(Self {
            clock: Clock::start(),
            now: 0,
            connections,
            consensus,
            disk,
            peers: PeerLinks::new(options.consensus_address.to_string()),
            gateways: GatewayTable::default(),
            operators: OperatorService::default(),
            metrics: MetricsService::default(),
            jobs: JobRegisters::default(),
            configuration: CommittedConfiguration::default(),
            scaler: Scaler::default(),
            options,
        })
    }

    fn tick(&mut self) {
        self.peers.close_hung(self.now, &mut self.connections);
        self.consensus.tick(self.now);
        self.publish_contact();
        let interval_ms = match self.consensus.role_term(self.now) {
            Some(_) => self.options.gateway_heartbeat_ms(),
            None => self.options.idle_heartbeat_ms(),
        };
        if self.gateways.is_heartbeat_due(self.now, interval_ms) {
            self.heartbeat_gateways();
        }
        let suspects = self
            .gateways
            .close_suspects(self.now, &mut self.connections);
        for name in suspects {
            self.scaler.on_gateway_unlinked(&name);
        }
        self.poll_scaler();
        self.bound_operator_memory();
        let (operators, mut context) = self.operator_parts();
        operators.expire_requests(&mut context);
        let retention_ms = self.options.job_retention_ms;
        if self.jobs.take_rotation_due(self.now, retention_ms) {
            self.disk.submit(DiskWork::RotateJobWindow);
        }
    }

    /// Limits the memory that all operators' connections may hold together. Requests that have arrived completely are not
    /// counted: they belong to the commands in progress, whose number is bounded.
    fn bound_operator_memory(&mut self) {
        let memory_bytes = self.options.memory_bytes;
        let closed = self
            .connections
            .bound_operator_memory(ControllerConnection::Operator, memory_bytes);
        for connection in closed {
            self.operators.remove(connection);
        }
    }

    fn flush(&mut self) {
        self.peers.flush(&mut self.connections);
        self.gateways.flush(&mut self.connections);
    }

    fn handle_readable(&mut self, connection: ConnectionId) {
        match self.connections.kind(connection) {
            Some(ControllerConnection::Operator) => {
                let (operators, mut context) = self.operator_parts();
                operators.handle_readable(connection, &mut context);
            }
            Some(ControllerConnection::Gateway) => self.handle_gateway_readable(connection),
            Some(ControllerConnection::Peer) => {
                let (now, consensus) = (self.now, &mut self.consensus);
                self.peers
                    .handle_readable(now, connection, consensus, &mut self.connections);
            }
            Some(ControllerConnection::Platform) => {
                let (scaler, _, mut context) = self.scaler_parts();
                scaler.handle_readable(connection, &mut context);
            }
            Some(ControllerConnection::Metrics) => self.handle_metrics_readable(connection),
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
            Some(ControllerConnection::Operator) => self.operators.remove(connection),
            Some(ControllerConnection::Gateway) => self.remove_gateway(connection),
            Some(ControllerConnection::Peer) => self.peers.remove(connection),
            Some(ControllerConnection::Metrics) => self.metrics.remove(connection),
            Some(ControllerConnection::Platform) => {
                let (scaler, _, mut context) = self.scaler_parts();
                scaler.handle_closed(connection, &mut context);
            }
            None => {}
        }
        self.connections.close(connection);
    }

    fn execute_consensus_actions(&mut self) {
        loop {
            let actions = self.consensus.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute_consensus_action(action);
            }
            self.apply_committed_values();
        }
    }

    fn execute_consensus_action(&mut self, action: ConsensusAction) {
        match action {
            ConsensusAction::Send { to, message } => {
                self.peers
                    .queue(self.now, &to, message, &mut self.connections);
            }
            ConsensusAction::Disk(work) => self.disk.submit(work),
            ConsensusAction::RequestCompleted { token, outcome } => {
                if JobRegisters::owns_token(token) {
                    self.jobs.finish(token, &outcome, &mut self.gateways);
                } else {
                    let (operators, mut context) = self.operator_parts();
                    operators.handle_outcome(token, outcome, &mut context);
                }
            }
            ConsensusAction::ValueCommitted { .. } => {}
            ConsensusAction::RoleAcquired { term } => {
                log::info!("controller: scaling term={term}");
            }
            ConsensusAction::RoleLost => log::info!("controller: scaling ended"),
        }
    }

    /// Applies newly committed values, and notifies the gateways.
    fn apply_committed_values(&mut self) {
        let Some(change) = self.configuration.update(&self.consensus) else {
            return;
        };
        let (scaler, configuration, mut context) = self.scaler_parts();
        if change == CommittedChange::Configuration {
            scaler.apply_configuration(configuration, &context);
        }
        scaler.apply_evacuations(configuration, &mut context);
        self.heartbeat_gateways();
    }

    /// Sends a heartbeat immediately if contact with a majority has been gained or lost.
    fn publish_contact(&mut self) {
        self.update_clock();
        let is_current = self.consensus.is_current(self.now);
        if self.gateways.has_contact_changed(is_current) {
            self.heartbeat_gateways();
        }
    }

    fn heartbeat_gateways(&mut self) {
        let (gateways, mut context) = self.gateway_parts();
        for name in gateways.heartbeat(&mut context) {
            self.scaler.on_gateway_unlinked(&name);
        }
    }

    fn poll_scaler(&mut self) {
        let term = self.consensus.role_term(self.now);
        let (scaler, configuration, mut context) = self.scaler_parts();
        let Some(term) = term else {
            scaler.end_term(&mut context);
            return;
        };
        if scaler.begin_term(term, configuration, &mut context) {
            self.heartbeat_gateways();
        }
        let (scaler, _, mut context) = self.scaler_parts();
        scaler.poll(&mut context);
    }

    /// Borrows the scaler together with the configuration and the context that it needs.
    fn scaler_parts(&mut self) -> (&mut Scaler, &CommittedConfiguration, ScalerContext<'_>) {
        self.update_clock();
        let context = ScalerContext {
            now: self.now,
            term: self.consensus.role_term(self.now),
            options: &self.options,
            connections: &mut self.connections,
            gateways: &mut self.gateways,
        };
        (&mut self.scaler, &self.configuration, context)
    }

    /// Borrows the operator service together with its context.
    fn operator_parts(&mut self) -> (&mut OperatorService, OperatorContext<'_>) {
        let context = OperatorContext {
            now: self.now,
            clock: &self.clock,
            options: &self.options,
            connections: &mut self.connections,
            consensus: &mut self.consensus,
        };
        (&mut self.operators, context)
    }

    /// Borrows the gateway table together with its context.
    fn gateway_parts(&mut self) -> (&mut GatewayTable, GatewayContext<'_>) {
        let context = GatewayContext {
            status: ControllerStatus {
                now: self.now,
                options: &self.options,
                consensus: &self.consensus,
                configuration: &self.configuration,
            },
            connections: &mut self.connections,
        };
        (&mut self.gateways, context)
    }
}
