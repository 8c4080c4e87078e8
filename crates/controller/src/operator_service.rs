//! The operators' API of a controller: reads requests, executes their commands through the consensus, and sends responses.

use crate::clock::Clock;
use crate::controller_connections::ControllerConnections;
use crate::operator_inbox::{OperatorInbox, OperatorInput};
use crate::operator_requests::{OperatorCaller, OperatorRequests, RequestProgress};
use crate::operator_response::{OperatorResponse, SERVICE_UNAVAILABLE, TEMPORARY_REDIRECT};
use crate::operator_routing::{route, RequestRoute};
use crate::options::ControllerOptions;
use crate::regional_configuration::RegionalConfigurationFormat;
use consensus::Consensus;
use event_loop::ConnectionId;
use http1::Request;
use operator_commands::Command;
use register::ChangeOutcome;
use std::net::SocketAddr;

/// Operators' connections and their commands in progress.
#[derive(Default)]
pub(crate) struct OperatorService {
    inbox: OperatorInbox,
    requests: OperatorRequests,
}

/// The other parts of the controller that operators' requests use.
pub(crate) struct OperatorContext<'a> {
    /// Milliseconds since the start, as of this loop iteration.
    pub now: u64,
    /// Gives the exact current time.
    pub clock: &'a Clock,
    /// Settings.
    pub options: &'a ControllerOptions,
    /// Connections, for the responses.
    pub connections: &'a mut ControllerConnections,
    /// The consensus, through which commands are executed.
    pub consensus: &'a mut Consensus,
}

impl OperatorService {
    /// Number of commands in progress.
    pub fn commands_in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Registers a connection that an operator opened.
    pub fn accept(&mut self, connection: ConnectionId) {
        self.inbox.accept(connection);
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.inbox.remove(connection);
        self.requests.remove_caller(connection);
    }

    /// Handles received data on a connection.
    pub fn handle_readable(&mut self, connection: ConnectionId, context: &mut OperatorContext<'_>) {
        let Some(buffer) = context.connections.read_buffer(connection) else {
            return;
        };
        match self.inbox.read(connection, buffer) {
            None | Some(OperatorInput::Incomplete) => {}
            Some(OperatorInput::ExpectsContinue) => {
                context.connections.send(connection, http1::CONTINUE);
            }
            Some(OperatorInput::Request(request)) => {
                self.handle_request(connection, *request, context);
            }
            Some(OperatorInput::Malformed(error)) => {
                let caller = OperatorCaller {
                    connection,
                    keeps_alive: false,
                };
                let response = OperatorResponse::new(error.status().code(), error.to_string());
                self.respond(caller, &response, context);
            }
        }
    }

    fn handle_request(
        &mut self,
        connection: ConnectionId,
        request: Request,
        context: &mut OperatorContext<'_>,
    ) {
        let caller = OperatorCaller {
            connection,
            keeps_alive: request.keeps_alive,
        };
        let target = request.target.clone();
        let codec = context.options.operator_codec.as_ref();
        // Contact is checked against the exact time, since the loop iteration may have taken long.
        let is_in_contact = || context.consensus.is_in_contact(context.clock.now());
        match route(request, codec, &context.options.zones, is_in_contact) {
            RequestRoute::Respond(response) => self.respond(caller, &response, context),
            RequestRoute::Redirect => {
                let response = redirect(&target, context);
                self.respond(caller, &response, context);
            }
            RequestRoute::Execute(command) => self.begin_command(caller, command, context),
        }
    }

    fn begin_command(
        &mut self,
        caller: OperatorCaller,
        command: Command,
        context: &mut OperatorContext<'_>,
    ) {
        if self.requests.is_full() {
            let response = OperatorResponse::new(SERVICE_UNAVAILABLE, "too many changes at once");
            self.respond(caller, &response, context);
            return;
        }
        let timeout_max_ms = context.options.propagation_timeout_ms;
        let read = self
            .requests
            .begin(context.now, caller, command, timeout_max_ms);
        context.consensus.read(context.now, read.token, read.key);
    }

    /// Handles a command's read or write that the consensus has completed.
    pub fn handle_outcome(
        &mut self,
        token: u64,
        outcome: ChangeOutcome,
        context: &mut OperatorContext<'_>,
    ) {
        let format = context.options.operator_codec.configuration_format();
        let configuration_format =
            &RegionalConfigurationFormat::new(format, &context.options.topology);
        match self
            .requests
            .handle_outcome(token, outcome, configuration_format)
        {
            None => {}
            Some(RequestProgress::Reply { caller, reply }) => {
                self.respond(caller, &reply.into(), context);
            }
            Some(RequestProgress::Write {
                key,
                expected,
                bytes,
            }) => {
                let now = context.now;
                context.consensus.write(now, token, key, expected, bytes);
            }
        }
    }

    /// Responds to commands that have timed out, or to all if contact with a majority was lost meanwhile.
    pub fn expire_requests(&mut self, context: &mut OperatorContext<'_>) {
        let has_contact = context.consensus.is_in_contact(context.now);
        for token in self.requests.expired(context.now, has_contact) {
            if let Some(caller) = self.requests.remove(token) {
                let reason = "it is not known whether it was taken: no majority of controllers answered in time";
                let response = OperatorResponse::new(SERVICE_UNAVAILABLE, reason);
                self.respond(caller, &response, context);
            }
        }
    }

    /// Responds to an operator, and continues with data that has arrived on the connection meanwhile.
    fn respond(
        &mut self,
        caller: OperatorCaller,
        response: &OperatorResponse,
        context: &mut OperatorContext<'_>,
    ) {
        let connection = caller.connection;
        if !self.inbox.contains(connection) {
            return;
        }
        let bytes = response.encode(caller.keeps_alive);
        context.connections.send(connection, &bytes);
        if !caller.keeps_alive {
            context.connections.close_after_flush(connection);
            self.inbox.remove(connection);
            return;
        }
        self.inbox.finish_request(connection);
        let buffer = context.connections.read_buffer(connection);
        if buffer.is_some_and(|buffer| !buffer.is_empty()) {
            self.handle_readable(connection, context);
        }
    }
}

/// Redirects an operator to a random controller in contact with a majority.
fn redirect(target: &str, context: &OperatorContext<'_>) -> OperatorResponse {
    let peers = context.consensus.peers_in_contact(context.now);
    let index = rand::random::<u32>() as usize % peers.len().max(1);
    let peer: Option<SocketAddr> = peers.get(index).and_then(|peer| peer.parse().ok());
    let Some(peer) = peer else {
        let reason = "no majority of controllers is in contact; nothing was done";
        return OperatorResponse::new(SERVICE_UNAVAILABLE, reason);
    };
    let port = context.options.operator_address.port();
    OperatorResponse::new(TEMPORARY_REDIRECT, b"").with_location(peer.ip(), port, target)
}
