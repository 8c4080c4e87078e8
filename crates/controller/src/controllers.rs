use crate::controller::{Controller, Role};
use crate::gateways::OUT_KEPT;
use consensus::ConsensusMessage;
use event_loop::{ConnectionId, EventLoop};
use protocol::{frame, take_frames};
use speedy::{Readable, Writable};
use std::collections::HashMap;

const LINK_INBOX: usize = 16 << 20;
/// Most milliseconds between tries to reach a controller.
const RETRY_MS: u64 = 100;

/// What goes between two controllers.
#[derive(Debug, Readable, Writable)]
pub(crate) enum ControllerFrame {
    /// Who opened the link: its consensus address.
    Hello(String),
    /// A message of the consensus machine.
    Consensus(ConsensusMessage),
}

struct ControllerLink {
    line: ConnectionId,
    out: Vec<u8>,
}

/// Links to the other controllers, by consensus address.
pub(crate) struct ControllerLinks {
    own: String,
    links: HashMap<String, ControllerLink>,
    tried: HashMap<String, u64>,
}

impl ControllerLinks {
    pub fn new(own: String) -> Self {
        Self {
            own,
            links: HashMap::new(),
            tried: HashMap::new(),
        }
    }

    pub fn ended(&mut self, address: &str, line: ConnectionId) {
        if self
            .links
            .get(address)
            .is_some_and(|link| link.line == line)
        {
            self.links.remove(address);
        }
    }

    /// Sends what was told since the last turn, in one piece for each controller.
    pub fn flush(&mut self, event_loop: &mut EventLoop) {
        for link in self.links.values_mut() {
            if !link.out.is_empty() {
                event_loop.send(link.line, &link.out);
                link.out.clear();
                link.out.shrink_to(OUT_KEPT);
            }
        }
    }
}

impl Controller {
    pub fn send_controller(&mut self, to: &str, message: ConsensusMessage) {
        if !self.controllers.links.contains_key(to) {
            let tried_at = self.controllers.tried.get(to).copied();
            if tried_at.is_some_and(|at| self.now < at + RETRY_MS) {
                return;
            }
            self.controllers.tried.insert(to.into(), self.now);
            let parsed = to.parse().ok();
            let line = parsed.and_then(|address| self.event_loop.connect(address, LINK_INBOX).ok());
            let Some(line) = line else {
                return;
            };
            self.roles.insert(line, Role::Controller(Some(to.into())));
            let out = frame(&ControllerFrame::Hello(self.controllers.own.clone()));
            self.controllers
                .links
                .insert(to.into(), ControllerLink { line, out });
        }
        if let Some(link) = self.controllers.links.get_mut(to) {
            link.out.extend(frame(&ControllerFrame::Consensus(message)));
        }
    }

    pub fn controller_arrived(&mut self, line: ConnectionId) {
        let Some(inbox) = self.event_loop.read_buffer(line) else {
            return;
        };
        let (messages, fault) = take_frames::<ControllerFrame>(inbox);
        for message in messages {
            self.hear_controller(line, message);
        }
        if let Some(fault) = fault {
            log::warn!("controller: a link to a controller is closed: {fault}");
            if let Some(Role::Controller(Some(address))) = self.roles.remove(&line) {
                self.controllers.ended(&address, line);
            }
            self.event_loop.close(line);
        }
    }

    fn hear_controller(&mut self, line: ConnectionId, message: ControllerFrame) {
        match message {
            ControllerFrame::Hello(address) => {
                self.roles
                    .insert(line, Role::Controller(Some(address.clone())));
                let link = ControllerLink {
                    line,
                    out: Vec::new(),
                };
                self.controllers.links.entry(address).or_insert(link);
            }
            ControllerFrame::Consensus(message) => {
                let Some(Role::Controller(Some(from))) = self.roles.get(&line) else {
                    return;
                };
                let from = from.clone();
                self.consensus.on_message(self.now, &from, message);
            }
        }
    }
}
