use crate::gateway::{Gateway, Role};
use crate::links::{LINK_INBOX, PING_MS};
use protocol::{frame, Message};

impl Gateway {
    pub fn tell_controller(&mut self, address: &str, message: &Message) {
        let controller = self.links.controllers.get(address);
        if let Some(line) = controller.and_then(|controller| controller.line) {
            self.event_loop.send(line, &frame(message));
        }
    }

    pub fn hear_controller(&mut self, address: &str, message: Message) {
        let now = self.now;
        let Some(controller) = self.links.controllers.get_mut(address) else {
            return;
        };
        controller.heard_at = now;
        // A daemon that serves may move forward by what any controller holds; one that starts waits for a current controller.
        let is_trusted = controller.is_current || self.control.is_ready();
        match message {
            Message::ControllerHeartbeat {
                configuration_version: description,
                evacuations_version: closures,
                term,
                controllers,
                zone: district,
                is_current,
            } => {
                controller.description = description;
                controller.closures = closures;
                controller.term = term;
                controller.district = district;
                controller.is_current = is_current;
                self.links.learn_controllers(controllers.into_iter());
                self.ask_for_news();
            }
            Message::Configuration { .. }
            | Message::ConfigurationChanges { .. }
            | Message::EvacuatedZones { .. }
                if !is_trusted =>
            {
                log::info!("gateway: {address} is out of contact; its configuration is not taken");
            }
            Message::Configuration {
                version: mark,
                document,
            } => {
                self.take_description(mark, &document);
                self.ask_for_news();
            }
            Message::ConfigurationChanges {
                base_version: from,
                changes,
            } => {
                self.take_changes(from, &changes);
                self.ask_for_news();
            }
            Message::EvacuatedZones {
                version: mark,
                zones: districts,
            } => self.take_closures(mark, districts),
            Message::GatewayMembership {
                version: mark,
                members,
            } => self.take_roster(mark, members),
            Message::JobRegisterResponse {
                number,
                response: said,
            } => self.jobs.said(now, number, said),
            Message::FunctionUpdates(news) => {
                for one in news {
                    self.keeper.update_runners(now, one);
                }
            }
            _ => {}
        }
    }

    /// Asks a controller that has news, one at a time: one in contact with a majority and near by first. Before this daemon
    /// serves it asks none that is out of contact.
    fn ask_for_news(&mut self) {
        let (description, closures) = self.control.marks();
        if self.now < self.links.asked_until {
            return;
        }
        let serves = self.control.is_ready();
        let newer = self.links.controllers.iter().filter(|(_, controller)| {
            let has_news = controller.description > description || controller.closures > closures;
            controller.line.is_some() && has_news && (controller.is_current || serves)
        });
        let district = &self.options.zone;
        let elected = newer.min_by_key(|(_, controller)| {
            (!controller.is_current, controller.district != *district)
        });
        let Some((address, _)) = elected else {
            return;
        };
        let address = address.clone();
        self.links.asked_until = self.now + PING_MS;
        let known = if self.control.wants_whole {
            0
        } else {
            description
        };
        let ask = Message::RequestConfiguration {
            configuration_version: known,
            evacuations_version: closures,
        };
        self.tell_controller(&address, &ask);
    }

    /// Heartbeats to controllers, and opens links to those that have none.
    pub fn tend_controllers(&mut self) {
        let (heartbeat, silence) = (self.options.heartbeat_ms(), self.options.silence_ms());
        let (description, closures) = self.control.marks();
        let roster = self.control.roster();
        let now = self.now;
        let addresses: Vec<String> = self.links.controllers.keys().cloned().collect();
        for address in addresses {
            let Some(controller) = self.links.controllers.get_mut(&address) else {
                continue;
            };
            if let Some(line) = controller.line {
                if now > controller.heard_at + silence {
                    controller.end_link();
                    self.roles.remove(&line);
                    self.event_loop.close(line);
                } else if now >= controller.told_at + heartbeat {
                    controller.told_at = now;
                    let message = Message::GatewayHeartbeat {
                        configuration_version: description,
                        evacuations_version: closures,
                        membership_version: roster,
                    };
                    self.event_loop.send(line, &frame(&message));
                }
                continue;
            }
            // A controller that starts together with this daemon is there in a moment.
            let pause = if now < heartbeat * 8 {
                heartbeat / 6
            } else {
                heartbeat
            };
            if now < controller.tried_at + pause && controller.tried_at > 0 {
                continue;
            }
            controller.tried_at = now.max(1);
            let parsed = address.parse().ok();
            let line = parsed.and_then(|parsed| self.event_loop.connect(parsed, LINK_INBOX).ok());
            let Some(line) = line else {
                continue;
            };
            controller.line = Some(line);
            controller.heard_at = now;
            controller.told_at = now;
            self.roles.insert(line, Role::Controller(address));
            let hello = frame(&Message::GatewayHello(self.links.me.clone()));
            self.event_loop.send(line, &hello);
        }
        self.ask_for_news();
    }
}
