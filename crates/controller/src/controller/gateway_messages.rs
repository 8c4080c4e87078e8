//! Handles messages from gateways: registration, configuration requests, function reports and job register requests.

use super::Controller;
use crate::committed_configuration::KnownVersions;
use crate::job_registers::{JobCaller, JobOperation};
use event_loop::ConnectionId;
use protocol::{take_frames, Message};

impl Controller {
    pub(super) fn handle_gateway_readable(&mut self, connection: ConnectionId) {
        let Some(buffer) = self.connections.read_buffer(connection) else {
            return;
        };
        let (messages, error) = take_frames::<Message>(buffer);
        for message in messages {
            self.handle_gateway_message(connection, message);
        }
        if let Some(error) = error {
            log::warn!("controller: gateway link closed error={error}");
            self.remove_gateway(connection);
            self.connections.close(connection);
        }
    }

    fn handle_gateway_message(&mut self, connection: ConnectionId, message: Message) {
        match message {
            Message::GatewayHello(member) => {
                self.scaler.on_gateway_linked(self.now, &member.name);
                let (gateways, mut context) = self.gateway_parts();
                gateways.register(connection, member, &mut context);
            }
            Message::RequestStatus => {
                let functions = self.scaler.function_statuses();
                let (gateways, mut context) = self.gateway_parts();
                let status = context.status.to_json(gateways.len(), &functions);
                context.reply(connection, &Message::Status(status));
            }
            Message::RequestHeartbeat => {
                let (_, mut context) = self.gateway_parts();
                let addresses = context.status.controller_addresses();
                let heartbeat = context.status.heartbeat(addresses);
                context.reply(connection, &heartbeat);
            }
            message => {
                if let Some(gateway) = self.gateways.record_activity(self.now, connection) {
                    self.handle_registered_gateway(&gateway, message);
                }
            }
        }
    }

    fn handle_registered_gateway(&mut self, gateway: &str, message: Message) {
        match message {
            Message::RequestConfiguration {
                configuration_version,
                evacuations_version,
            } => {
                // A loss of contact is announced before any update that may be stale.
                self.publish_contact();
                let known = KnownVersions {
                    configuration: configuration_version,
                    evacuations: evacuations_version,
                };
                for update in self.configuration.updates_since(known) {
                    self.gateways.queue(gateway, &update);
                }
            }
            Message::JobRegisterRequest {
                number,
                key,
                expected_version,
                value,
            } => {
                let operation = JobOperation {
                    caller: JobCaller::new(gateway, number),
                    key,
                    expected_version,
                    value,
                };
                let (now, consensus) = (self.now, &mut self.consensus);
                self.jobs
                    .begin(now, operation, consensus, &mut self.gateways);
            }
            Message::FunctionReports(reports) => {
                let (scaler, _, mut context) = self.scaler_parts();
                scaler.handle_reports(gateway, &reports, &mut context);
            }
            message => self.handle_ownership_message(gateway, message),
        }
    }

    /// Messages that affect the published ownership table: which messages a gateway supports, which version it has in force,
    /// and which gateways are suspected or about to stop.
    fn handle_ownership_message(&mut self, gateway: &str, message: Message) {
        match message {
            Message::AcceptsMembershipChanges => {
                self.gateways.accept_membership_changes(gateway);
            }
            Message::AcceptsOwnershipTables => {
                self.gateways.accept_ownership_tables(gateway);
            }
            Message::Ping(number) => self.gateways.queue(gateway, &Message::Pong(number)),
            Message::GatewayHeartbeat {
                membership_version, ..
            } => {
                self.gateways
                    .record_ownership_version(gateway, membership_version);
            }
            Message::SuspectedGateway { name, incarnation } => {
                self.gateways.suspect(self.now, &name, incarnation);
            }
            Message::GatewayLeaving => self.gateways.mark_leaving(gateway),
            _ => {}
        }
    }

    pub(super) fn remove_gateway(&mut self, connection: ConnectionId) {
        if let Some(name) = self.gateways.remove(connection) {
            self.scaler.on_gateway_unlinked(&name);
        }
    }
}
