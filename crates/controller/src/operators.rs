use crate::controller::{Controller, Role};
use crate::options::CommandParseError;
use event_loop::ConnectionId;
use http1::{write_response, MessageLimits, Request};
use operator_commands::CommandKind;
use std::net::{IpAddr, SocketAddr};

const HEAD_MAX: usize = 64 << 10;
const BODY_MAX: usize = 32 << 20;
/// Seconds after which operators come back to a controller that cannot answer now.
pub(crate) const RETRY_AFTER: &[u8] = b"0.3";

/// What an operator is answered.
struct Answer<'a> {
    status: u16,
    body: &'a [u8],
    location: Option<String>,
}

/// Where an operator finds another daemon of the control plane.
pub(crate) fn location_of(ip: IpAddr, port: u16, target: &str) -> String {
    format!("http://{}{target}", SocketAddr::new(ip, port))
}

impl Controller {
    pub fn operator_arrived(&mut self, line: ConnectionId) {
        let bounds = MessageLimits {
            header_bytes: HEAD_MAX,
            body_bytes: BODY_MAX,
        };
        let Some(Role::Operator(reader, is_busy)) = self.roles.get_mut(&line) else {
            return;
        };
        let Some(inbox) = self.event_loop.read_buffer(line).filter(|_| !*is_busy) else {
            return;
        };
        match reader.read(inbox, &bounds) {
            Ok(None) => {
                if reader.expects_continue() {
                    self.event_loop.send(line, http1::CONTINUE);
                }
            }
            Ok(Some(request)) => {
                *is_busy = true;
                self.take_order(line, request);
            }
            Err(fault) => {
                self.reply(line, fault.status(), fault.to_string().as_bytes(), false);
            }
        }
    }

    fn take_order(&mut self, line: ConnectionId, request: Request) {
        let codec = &self.options.operator_codec;
        let parsed = codec.parse_command(&request.method, &request.target);
        let keeps = request.keeps_alive;
        match parsed {
            Err(CommandParseError::UnknownTarget) => {
                self.reply(line, 404, b"there is no such call", keeps)
            }
            Err(CommandParseError::Rejected(status)) => {
                self.reply(line, status, b"not this method", keeps)
            }
            Ok(CommandKind::BeginEvacuation(zone) | CommandKind::FinishEvacuation(zone))
                if !self.options.zones.contains(&zone) =>
            {
                self.reply(line, 404, b"there is no such zone", keeps);
            }
            Ok(_) if !self.consensus.is_in_contact(self.clock()) => {
                self.send_on(line, &request.target, keeps);
            }
            Ok(kind) => {
                let base = self.options.operator_codec.base_version(&request.headers);
                self.begin_change(line, kind, base, request.body, keeps);
            }
        }
    }

    /// Sends an operator on to a controller in contact with a majority, since this one may neither take nor refuse orders.
    fn send_on(&mut self, line: ConnectionId, target: &str, keeps_alive: bool) {
        let members = self.consensus.peers_in_contact(self.now);
        let turn: usize = rand::random::<u32>() as usize;
        let member = members.get(turn % members.len().max(1));
        let port = self.options.operator_address.port();
        let address: Option<SocketAddr> = member.and_then(|member| member.parse().ok());
        let location = address.map(|address| location_of(address.ip(), port, target));
        let answer = match location {
            Some(location) => Answer {
                status: 307,
                body: b"",
                location: Some(location),
            },
            None => Answer {
                status: 503,
                body: b"no majority of controllers is in contact; nothing was done",
                location: None,
            },
        };
        self.answer(line, &answer, keeps_alive);
    }

    /// Answers an operator and goes on with what was sent meanwhile.
    pub fn reply(&mut self, line: ConnectionId, status: u16, body: &[u8], keeps_alive: bool) {
        let answer = Answer {
            status,
            body,
            location: None,
        };
        self.answer(line, &answer, keeps_alive);
    }

    fn answer(&mut self, line: ConnectionId, answer: &Answer<'_>, keeps_alive: bool) {
        let (status, body) = (answer.status, answer.body);
        if !matches!(self.roles.get(&line), Some(Role::Operator(..))) {
            return;
        }
        let mut out = Vec::with_capacity(body.len() + 256);
        let is_json = body.first() == Some(&b'{');
        let kind: &[u8] = if is_json {
            b"application/json"
        } else {
            b"text/plain"
        };
        let mut headers: Vec<(&str, &[u8])> = vec![("Content-Type", kind)];
        if status == 503 {
            headers.push(("Retry-After", RETRY_AFTER));
        }
        if let Some(location) = &answer.location {
            headers.push(("Location", location.as_bytes()));
        }
        write_response(
            &mut out,
            status,
            headers.into_iter(),
            body,
            keeps_alive,
            false,
        );
        self.event_loop.send(line, &out);
        if !keeps_alive {
            self.event_loop.close_after_flush(line);
            self.roles.remove(&line);
            return;
        }
        self.roles
            .insert(line, Role::Operator(Box::default(), false));
        let has_more = self
            .event_loop
            .read_buffer(line)
            .is_some_and(|inbox| !inbox.is_empty());
        if has_more {
            self.operator_arrived(line);
        }
    }
}
