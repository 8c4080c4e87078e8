//! Messages to and from controllers.

use crate::applied_configuration::ConfigurationVersions;
use crate::connections::ConnectionRole;
use crate::controller_links::{ControllerState, HeartbeatTiming, LinkTask};
use crate::gateway::{Gateway, LINK_BUFFER_MAX};
use protocol::{frame, Message};
use seat_leases::OwnershipTable;

impl Gateway {
    /// Sends a message to a controller. Without a link it is dropped.
    pub fn send_to_controller(&mut self, address: &str, message: &Message) {
        if let Some(connection) = self.controllers.connection(address) {
            let bytes = frame(message);
            self.controllers.record_sent(&bytes);
            self.connections.send(connection, &bytes);
        }
    }

    /// Handles a message from a controller.
    pub fn controller_message(&mut self, address: &str, message: Message) {
        if !self.controllers.record_heard(address, self.now) {
            return;
        }
        match message {
            Message::ControllerHeartbeat { .. } => self.controller_heartbeat(address, message),
            Message::Configuration { .. }
            | Message::ConfigurationChanges { .. }
            | Message::EvacuatedZones { .. } => self.configuration_message(address, message),
            Message::GatewayMembership { .. }
            | Message::GatewayMembershipChange { .. }
            | Message::OwnershipTable(_)
            | Message::OwnershipChange(_) => self.table_message(address, message),
            Message::Ping(number) => self.send_to_controller(address, &Message::Pong(number)),
            Message::Pong(number) => {
                self.controller_understands_ownership(address);
                self.controller_answered_ping(address, number);
            }
            Message::JobRegisterResponse { number, response } => {
                self.jobs.register_responded(self.now, number, response);
            }
            Message::FunctionUpdates(updates) => {
                let age = self.pauses.confirmation.age_of_messages(address);
                for update in updates {
                    self.lease_owner.receive_update(self.now, update, age);
                }
            }
            _ => {}
        }
    }

    /// Applies an ownership table or membership published by the scaler.
    fn table_message(&mut self, address: &str, message: Message) {
        let version = match message {
            Message::GatewayMembership { version, members } => {
                self.membership_received(version, members);
                version
            }
            Message::GatewayMembershipChange {
                base,
                version,
                joined,
                left,
            } => {
                self.membership_changed(base, version, &joined, &left);
                version
            }
            Message::OwnershipTable(table) => {
                let version = table.version;
                self.ownership_received(OwnershipTable::agreed(table));
                version
            }
            Message::OwnershipChange(change) => {
                self.ownership_changed(&change);
                change.version
            }
            _ => return,
        };
        self.table_published(address, version);
    }

    fn controller_heartbeat(&mut self, address: &str, heartbeat: Message) {
        let Message::ControllerHeartbeat {
            configuration_version,
            evacuations_version,
            term,
            controllers,
            zone,
            is_current,
        } = heartbeat
        else {
            return;
        };
        let state = ControllerState {
            versions: ConfigurationVersions {
                configuration: configuration_version,
                evacuations: evacuations_version,
            },
            term,
            zone,
            is_current,
        };
        self.controllers.record_heartbeat(address, state);
        if controllers.is_empty() && self.controllers.accept_membership_changes(address) {
            self.send_to_controller(address, &Message::AcceptsMembershipChanges);
        }
        self.controllers.add(controllers.into_iter());
        self.request_configuration();
    }

    /// Applies configuration from a controller. A gateway that is ready accepts newer versions from any controller;
    /// one that is starting accepts them only from a controller in contact with a majority.
    fn configuration_message(&mut self, address: &str, message: Message) {
        let is_trusted = self.controllers.is_current(address) || self.configuration.is_ready();
        if !is_trusted {
            log::info!("gateway: controller not current controller={address}");
            return;
        }
        match message {
            Message::Configuration { version, document } => {
                self.configuration_received(version, &document);
                self.request_configuration();
            }
            Message::ConfigurationChanges {
                base_version,
                changes,
            } => {
                self.changes_received(base_version, &changes);
                self.request_configuration();
            }
            Message::EvacuatedZones { version, zones } => {
                self.evacuations_received(version, zones);
            }
            _ => {}
        }
    }

    /// Requests newer configuration if a controller has it.
    fn request_configuration(&mut self) {
        let versions = self.configuration.versions();
        let is_ready = self.configuration.is_ready();
        let zone = &self.options.zone;
        let controller = self
            .controllers
            .source_of_newer_configuration(versions, is_ready, zone, self.now);
        let Some(controller) = controller else {
            return;
        };
        let message = Message::RequestConfiguration {
            configuration_version: self.configuration.base_version(),
            evacuations_version: versions.evacuations,
        };
        self.send_to_controller(&controller, &message);
    }

    /// Sends heartbeats to controllers, connects to those without a link and closes links that are silent.
    pub fn maintain_controller_links(&mut self) {
        let timing = HeartbeatTiming {
            interval_ms: self.options.heartbeat_ms(),
            silence_ms: self.options.silence_ms(),
        };
        for address in self.controllers.addresses() {
            match self.controllers.next_task(&address, self.now, timing) {
                LinkTask::None => {}
                LinkTask::Close(connection) => self.connections.close(connection),
                LinkTask::SendHeartbeat(connection) => {
                    let heartbeat = frame(&self.heartbeat());
                    self.controllers.record_sent(&heartbeat);
                    self.connections.send(connection, &heartbeat);
                }
                LinkTask::Connect => self.connect_to_controller(&address),
            }
        }
        self.request_configuration();
    }

    fn heartbeat(&self) -> Message {
        let versions = self.configuration.versions();
        Message::GatewayHeartbeat {
            configuration_version: versions.configuration,
            evacuations_version: versions.evacuations,
            membership_version: self.configuration.ownership_version(),
        }
    }

    fn connect_to_controller(&mut self, address: &str) {
        let role = ConnectionRole::Controller(address.into());
        let connection = self.connections.connect(address, LINK_BUFFER_MAX, role);
        let Some(connection) = connection else {
            return;
        };
        self.controllers.opened(address, connection, self.now);
        self.pauses.confirmation.link_opened(address);
        let hello = frame(&Message::GatewayHello(self.identity.clone()));
        self.connections.send(connection, &hello);
        // Controllers that do not support agreed ownership tables do not answer the ping.
        let ping = frame(&Message::Ping(self.now));
        self.connections.send(connection, &ping);
    }

    /// Handles a pong, which shows that the controller supports agreed ownership tables.
    fn controller_understands_ownership(&mut self, address: &str) {
        if self.controllers.record_understands_ownership(address) {
            self.send_to_controller(address, &Message::AcceptsOwnershipTables);
        }
    }

    /// Notifies controllers that this gateway is about to stop, so that its functions are reassigned while it can
    /// still hand them over.
    pub fn announce_leaving(&mut self) {
        for address in self.controllers.take_unnotified_of_leaving() {
            self.send_to_controller(&address, &Message::GatewayLeaving);
        }
    }
}
