//! The scaler role, which the holder of the role lease performs: it feeds reports and lists to the autoscaler, sends the
//! autoscaler's commands to the platform, and publishes its updates to the gateways that own functions.

mod platform_calls;

use crate::codec::FencingToken;
use crate::committed_configuration::CommittedConfiguration;
use crate::controller_connections::ControllerConnections;
use crate::gateway_table::GatewayTable;
use crate::options::ControllerOptions;
use crate::ownership_publisher::OwnershipPublisher;
use crate::platform_client::{PlatformClient, PlatformEndpoint, PlatformOutcome, RequestPurpose};
use crate::platform_lists::PlatformLists;
use crate::term_check::check_term;
use autoscaler::{Autoscaler, AutoscalerOptions, FunctionStatus, RunnerCommand};
use event_loop::ConnectionId;
use protocol::{FunctionReport, FunctionUpdate, Message, UpdateVersion};
use std::collections::BTreeMap;

/// The first ownership table of a term is built once no gateway has linked for the heartbeat interval divided by this.
const SETTLED_DIVISOR: u64 = 4;

/// The state of the scaler role. It is not replicated: the next holder of the role rebuilds it.
#[derive(Default)]
pub(crate) struct Scaler {
    term: u64,
    term_started_at: u64,
    /// None while this controller does not hold the role.
    autoscaler: Option<Autoscaler>,
    ownership: OwnershipPublisher,
    /// Revision of the gateway table from which the published table was built; none while some gateways are still being
    /// awaited.
    published_revision: Option<u64>,
    /// Incarnation of each gateway that has reported, kept across terms.
    incarnations: BTreeMap<String, u64>,
    platform: PlatformClient,
    lists: PlatformLists,
}

/// The other parts of the controller that the scaler uses.
pub(crate) struct ScalerContext<'a> {
    /// Milliseconds since the start, read immediately before the call.
    pub now: u64,
    /// Term under which this controller holds the role now; none if another controller may hold it.
    pub term: Option<u64>,
    /// Settings.
    pub options: &'a ControllerOptions,
    /// Connections, for requests to the platform.
    pub connections: &'a mut ControllerConnections,
    /// Gateways, which are sent updates.
    pub gateways: &'a mut GatewayTable,
}

impl ScalerContext<'_> {
    fn endpoint(&self) -> PlatformEndpoint {
        PlatformEndpoint {
            address: self.options.platform_address,
            timeout_ms: self.options.platform_timeout_ms(),
        }
    }
}

impl Scaler {
    /// Ends the term, since another controller may hold the role. Drops the autoscaler and all requests to the platform.
    pub fn end_term(&mut self, context: &mut ScalerContext<'_>) {
        if self.autoscaler.is_some() {
            log::info!("scaler: role lost term={}", self.term);
            self.reset(context);
        }
    }

    /// Whether this controller still holds the role under its term; if not, ends the term. After a pause of the process, events
    /// are handled before the next tick, and must not cause commands under a term that has ended.
    fn check_role(&mut self, context: &mut ScalerContext<'_>) -> bool {
        let is_held = context.term == Some(self.term);
        if !is_held {
            self.end_term(context);
        }
        is_held
    }

    fn reset(&mut self, context: &mut ScalerContext<'_>) {
        self.autoscaler = None;
        self.lists.discard_runners();
        self.platform.reset(context.connections);
    }

    /// Starts a term under which this controller holds the role lease, unless it has started already. Returns whether it did.
    pub fn begin_term(
        &mut self,
        term: u64,
        configuration: &CommittedConfiguration,
        context: &mut ScalerContext<'_>,
    ) -> bool {
        if term == self.term && self.autoscaler.is_some() {
            return false;
        }
        check_term(self.term, term);
        self.reset(context);
        let options = AutoscalerOptions {
            policy: context.options.policy.scaling.clone(),
            topology: context.options.topology.clone(),
            list_lag_ms: context.options.list_lag_ms,
            drain_ms: context.options.drain_ms,
            commands_per_s: context.options.platform_commands_per_s,
            nonce_prefix: format!("{term:x}"),
            term,
        };
        self.term = term;
        self.term_started_at = context.now;
        self.autoscaler = Some(Autoscaler::new(options, context.now));
        self.ownership.begin_term(term);
        self.published_revision = None;
        self.lists.begin_term();
        self.apply_configuration(configuration, context);
        self.apply_evacuations(configuration, context);
        true
    }

    /// Applies a changed configuration.
    pub fn apply_configuration(
        &mut self,
        configuration: &CommittedConfiguration,
        context: &ScalerContext<'_>,
    ) {
        let record = configuration.record();
        let Some(autoscaler) = self.autoscaler.as_mut().filter(|_| record.version > 0) else {
            return;
        };
        let documents = context.options.operator_codec.configuration_format();
        match documents.parse(&record.document().unwrap_or_default()) {
            Ok(document) => autoscaler.apply_configuration(context.now, &document),
            Err(error) => log::error!("scaler: configuration unreadable error={error}"),
        }
    }

    /// Applies the evacuated zones, which may have changed.
    pub fn apply_evacuations(
        &mut self,
        configuration: &CommittedConfiguration,
        context: &mut ScalerContext<'_>,
    ) {
        if let Some(autoscaler) = self.autoscaler.as_mut() {
            let zones = configuration.evacuated_zones().iter().cloned().collect();
            autoscaler.set_evacuated_zones(context.now, &zones);
        }
        self.execute_autoscaler_actions(context);
    }

    /// Runs the periodic work.
    pub fn poll(&mut self, context: &mut ScalerContext<'_>) {
        if !self.check_role(context) {
            return;
        }
        self.publish_ownership(context);
        self.poll_lists(context);
        if let Some(autoscaler) = self.autoscaler.as_mut() {
            autoscaler.tick(context.now);
        }
        self.execute_autoscaler_actions(context);
        let endpoint = context.endpoint();
        let failed = self
            .platform
            .expire(context.now, endpoint, context.connections);
        self.handle_failures(failed, context.now);
    }

    /// Handles a gateway that linked and has no ownership table.
    pub fn on_gateway_linked(&mut self, now: u64, name: &str) {
        self.ownership.add_receiver(now, name);
    }

    /// Handles the end of a gateway's link.
    pub fn on_gateway_unlinked(&mut self, name: &str) {
        self.ownership.remove_receiver(name);
        if let Some(autoscaler) = self.autoscaler.as_mut() {
            autoscaler.remove_owner(name);
        }
    }

    fn publish_ownership(&mut self, context: &mut ScalerContext<'_>) {
        let revision = context.gateways.revision();
        if self.published_revision == Some(revision) && !self.ownership.has_updates() {
            return;
        }
        let heartbeat_ms = context.options.heartbeat_ms();
        let declaration_timeout_ms = self.ownership.declaration_timeout_ms(heartbeat_ms);
        let declared = context
            .gateways
            .declared(context.now, declaration_timeout_ms);
        let is_settled = self
            .ownership
            .is_settled(context.now, heartbeat_ms / SETTLED_DIVISOR)
            && declared.len() == context.gateways.len();
        let is_early = context.now < self.term_started_at + heartbeat_ms && !is_settled;
        self.ownership.update(&declared, is_early);
        let is_complete = !is_early && declared.len() == context.gateways.len();
        self.published_revision = is_complete.then_some(revision);
        let gateways = &*context.gateways;
        let understands_changes = |name: &str| gateways.accepts_membership_changes(name);
        for update in self.ownership.take_updates(understands_changes) {
            for name in update.receivers {
                context.gateways.queue_frame(&name, &update.frame);
            }
        }
    }

    /// Handles the reports of a gateway on functions that it owns.
    pub fn handle_reports(
        &mut self,
        owner: &str,
        reports: &[FunctionReport],
        context: &mut ScalerContext<'_>,
    ) {
        if !self.check_role(context) {
            return;
        }
        let incarnation = context.gateways.incarnation(owner).unwrap_or(0);
        let Some(autoscaler) = self.autoscaler.as_mut() else {
            return;
        };
        // An owner's counters restart with each incarnation.
        let previous = self.incarnations.insert(owner.into(), incarnation);
        if previous.is_some_and(|previous| previous != incarnation) {
            autoscaler.remove_owner(owner);
        }
        for report in reports {
            autoscaler.handle_report(context.now, owner, report);
            let UpdateVersion { term, number } = autoscaler.update_version(&report.function);
            if term > 0 && number != report.update_number {
                let update = autoscaler.update_for(&report.function, context.now);
                let message = Message::FunctionUpdates(vec![update]);
                context.gateways.queue(owner, &message);
            }
        }
        self.execute_autoscaler_actions(context);
    }

    /// Handles received data on a connection to the platform.
    pub fn handle_readable(&mut self, connection: ConnectionId, context: &mut ScalerContext<'_>) {
        if !self.check_role(context) {
            return;
        }
        match self.platform.receive(connection, context.connections) {
            None => {}
            Some(PlatformOutcome::Failed(purpose)) => {
                self.handle_failure(purpose, context.now);
                self.send_queued(context);
            }
            Some(PlatformOutcome::Answered(purpose, response)) => {
                self.handle_response(purpose, &response, context);
                self.execute_autoscaler_actions(context);
                self.send_queued(context);
            }
        }
    }

    /// Handles the end of a connection to the platform.
    pub fn handle_closed(&mut self, connection: ConnectionId, context: &mut ScalerContext<'_>) {
        if !self.check_role(context) {
            return;
        }
        if let Some(purpose) = self.platform.remove(connection) {
            self.handle_failure(purpose, context.now);
            self.send_queued(context);
        }
    }

    /// The schedule and age of the platform's lists.
    pub fn lists(&self) -> &PlatformLists {
        &self.lists
    }

    /// The autoscaler's view of each function that has runners or waiting requests.
    pub fn function_statuses(&self) -> Vec<FunctionStatus> {
        let autoscaler = self.autoscaler.as_ref();
        let statuses = autoscaler.map(Autoscaler::function_statuses);
        let mut statuses = statuses.unwrap_or_default();
        statuses.retain(|status| status.runners > 0 || status.waiting > 0);
        statuses
    }

    /// Sends the autoscaler's commands to the platform, and its updates to the owners of the functions.
    fn execute_autoscaler_actions(&mut self, context: &mut ScalerContext<'_>) {
        if !self.check_role(context) {
            return;
        }
        let Some(autoscaler) = self.autoscaler.as_mut() else {
            return;
        };
        let commands = autoscaler.take_commands();
        let updates = autoscaler.take_updates();
        for command in commands {
            self.send_command(command, context);
        }
        self.publish_updates(updates, context.gateways);
    }

    fn send_command(&mut self, command: RunnerCommand, context: &mut ScalerContext<'_>) {
        let fence = FencingToken {
            holder: &context.options.name,
            term: self.term,
        };
        let codec = &context.options.platform_codec;
        let (request, purpose) = match command {
            RunnerCommand::Start {
                function,
                worker,
                nonce,
            } => {
                let request = codec.start(&function, &worker, &nonce, fence);
                (request, RequestPurpose::Start(nonce))
            }
            RunnerCommand::Stop { id } => {
                let request = codec.stop(&id, fence);
                (request, RequestPurpose::Stop(id))
            }
        };
        self.send(request, purpose, context);
    }

    fn publish_updates(&self, updates: Vec<FunctionUpdate>, gateways: &mut GatewayTable) {
        let mut by_owner: BTreeMap<&str, Vec<FunctionUpdate>> = BTreeMap::new();
        for update in updates {
            let owner = self.ownership.table().owner_of(&update.function);
            if let Some(owner) = owner {
                by_owner.entry(&owner.name).or_default().push(update);
            }
        }
        for (owner, updates) in by_owner {
            gateways.queue(owner, &Message::FunctionUpdates(updates));
        }
    }
}
