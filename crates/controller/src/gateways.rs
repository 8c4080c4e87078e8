use crate::controller::{Controller, Role};
use event_loop::{ConnectionId, EventLoop};
use protocol::{frame, take_frames, Member, Message};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most bytes of an empty buffer that are kept for the next use.
pub(crate) const OUT_KEPT: usize = 4 << 10;

pub(crate) struct Gateway {
    pub member: Member,
    pub line: ConnectionId,
    pub heard_at: u64,
    out: Vec<u8>,
}

/// Gateways that have a link to this controller.
#[derive(Default)]
pub(crate) struct Gateways {
    pub known: BTreeMap<String, Gateway>,
    next_heartbeat_at: u64,
    /// Whether they were told last that this controller is in contact with a majority.
    was_current: bool,
}

impl Gateways {
    pub fn tell(&mut self, name: &str, message: &Message) {
        self.tell_frame(name, &frame(message));
    }

    /// Tells a message that was framed once for many gateways.
    pub fn tell_frame(&mut self, name: &str, bytes: &[u8]) {
        if let Some(gateway) = self.known.get_mut(name) {
            gateway.out.extend_from_slice(bytes);
        }
    }

    /// Sends what was told since the last turn, in one piece for each gateway.
    pub fn flush(&mut self, event_loop: &mut EventLoop) {
        for gateway in self.known.values_mut() {
            if !gateway.out.is_empty() {
                event_loop.send(gateway.line, &gateway.out);
                gateway.out.clear();
                gateway.out.shrink_to(OUT_KEPT);
            }
        }
    }

    pub fn names(&self) -> Vec<String> {
        self.known.keys().cloned().collect()
    }
}

impl Controller {
    pub fn gateway_arrived(&mut self, line: ConnectionId) {
        let Some(inbox) = self.event_loop.read_buffer(line) else {
            return;
        };
        let (messages, fault) = take_frames::<Message>(inbox);
        for message in messages {
            self.hear_gateway(line, message);
        }
        if let Some(fault) = fault {
            log::warn!("controller: a link to a gateway is closed: {fault}");
            if let Some(Role::Gateway(Some(name))) = self.roles.remove(&line) {
                self.gateway_ended(&name, line);
            }
            self.event_loop.close(line);
        }
    }

    fn hear_gateway(&mut self, line: ConnectionId, message: Message) {
        if let Message::GatewayHello(member) = message {
            self.gateway_came(line, member);
            return;
        }
        if let Message::RequestStatus = message {
            let text = Message::Status(self.status());
            self.event_loop.send(line, &frame(&text));
            return;
        }
        if let Message::RequestHeartbeat = message {
            let heartbeat = frame(&self.controller_heartbeat());
            self.event_loop.send(line, &heartbeat);
            return;
        }
        let Some(Role::Gateway(Some(name))) = self.roles.get(&line) else {
            return;
        };
        let name = name.clone();
        if let Some(gateway) = self.gateways.known.get_mut(&name) {
            gateway.heard_at = self.now;
        }
        match message {
            Message::RequestConfiguration {
                configuration_version: description,
                evacuations_version: closures,
            } => self.answer_ask(&name, description, closures),
            Message::JobRegisterRequest {
                number,
                key,
                expected_version: expected,
                value: bytes,
            } => self.ask_job(&name, number, &key, expected, bytes),
            Message::FunctionReports(reports) => self.take_reports(&name, &reports),
            _ => {}
        }
    }

    fn gateway_came(&mut self, line: ConnectionId, member: Member) {
        let name = member.name.clone();
        self.roles.insert(line, Role::Gateway(Some(name.clone())));
        let gateway = Gateway {
            member,
            line,
            heard_at: self.now,
            out: Vec::new(),
        };
        if let Some(former) = self.gateways.known.insert(name.clone(), gateway) {
            self.roles.remove(&former.line);
            self.event_loop.close(former.line);
        }
        let heartbeat = self.controller_heartbeat();
        self.gateways.tell(&name, &heartbeat);
        self.scaling.tell_roster_to(&name);
    }

    pub fn gateway_ended(&mut self, name: &str, line: ConnectionId) {
        if self
            .gateways
            .known
            .get(name)
            .is_some_and(|gateway| gateway.line == line)
        {
            self.gateways.known.remove(name);
            self.scaling.forget_gateway(name);
        }
    }

    fn answer_ask(&mut self, name: &str, description: u64, closures: u64) {
        // A gateway hears that contact is over before it hears anything that may be old.
        self.tell_contact();
        if self.kept_at > description {
            let steps = self.steps.since(description).filter(|changes| {
                let size: usize = changes.iter().map(Vec::len).sum();
                size < self.kept.packed.len()
            });
            let whole = || Message::Configuration {
                version: self.kept_at,
                document: self.kept.packed.clone(),
            };
            let message = steps.map_or_else(whole, |changes| Message::ConfigurationChanges {
                base_version: description,
                changes,
            });
            self.gateways.tell(name, &message);
        }
        if self.closures_at > closures {
            let message = Message::EvacuatedZones {
                version: self.closures_at,
                zones: self.closures.zones.clone(),
            };
            self.gateways.tell(name, &message);
        }
    }

    fn controller_heartbeat(&self) -> Message {
        let port = self.options.gateway_port;
        let controllers = self.consensus.known_controllers();
        let controllers = controllers.iter().filter_map(|address| {
            let address: SocketAddr = address.parse().ok()?;
            Some(SocketAddr::new(address.ip(), port).to_string())
        });
        Message::ControllerHeartbeat {
            configuration_version: self.kept_at,
            evacuations_version: self.closures_at,
            term: self.consensus.role_term(self.now).unwrap_or(0),
            controllers: controllers.collect(),
            zone: self.options.zone.clone(),
            is_current: self.consensus.is_current(self.now),
        }
    }

    /// Tells all gateways at once where contact with a majority has begun or ended.
    pub fn tell_contact(&mut self) {
        self.now = self.clock();
        if self.consensus.is_current(self.now) != self.gateways.was_current {
            self.heartbeat_gateways(true);
        }
    }

    /// Heartbeats to all gateways when it is time, or at once where there is news.
    pub fn heartbeat_gateways(&mut self, has_news: bool) {
        let pause = self.options.heartbeat_ms() * 2;
        if !has_news && self.now < self.gateways.next_heartbeat_at + pause {
            return;
        }
        self.gateways.next_heartbeat_at = self.now;
        self.gateways.was_current = self.consensus.is_current(self.now);
        let heartbeat = frame(&self.controller_heartbeat());
        let silence = self.options.silence_ms();
        for name in self.gateways.names() {
            let is_silent = self
                .gateways
                .known
                .get(&name)
                .is_some_and(|gateway| self.now > gateway.heard_at + silence);
            if !is_silent {
                self.gateways.tell_frame(&name, &heartbeat);
                continue;
            }
            if let Some(gateway) = self.gateways.known.remove(&name) {
                log::info!("controller: gateway {name} is silent");
                self.roles.remove(&gateway.line);
                self.event_loop.close(gateway.line);
                self.scaling.forget_gateway(&name);
            }
        }
    }

    /// This daemon's state as JSON text, for operators; with what the scaler thinks of each function that is called.
    pub fn status(&self) -> String {
        let autoscaler = self.scaling.autoscaler.as_ref();
        let notes = autoscaler
            .map(autoscaler::Autoscaler::function_statuses)
            .unwrap_or_default();
        let notes = notes
            .iter()
            .filter(|note| note.runners > 0 || note.waiting > 0);
        let functions: Vec<serde_json::Value> = notes
            .map(|note| {
                serde_json::json!({
                    "function": note.function, "measured": note.measured, "forecast": note.forecast,
                    "waiting": note.waiting, "demand": note.demand, "capacity": note.capacity,
                    "pace_ms": note.pace_ms, "runners": note.runners, "seats": note.seats,
                    "reason": note.reason,
                })
            })
            .collect();
        serde_json::json!({
            "name": self.options.name, "version": self.kept.version,
            "marks": [self.kept_at, self.closures_at],
            "term": self.consensus.role_term(self.now).unwrap_or(0),
            "consensus": self.consensus.status(),
            "controllers": self.consensus.known_controllers(), "current": self.consensus.is_current(self.now),
            "gateways": self.gateways.known.len(), "closed": self.closures.zones,
            "functions": functions,
        })
        .to_string()
    }
}
