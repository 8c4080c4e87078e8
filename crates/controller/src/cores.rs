use crate::controller::{Controller, Role};
use crate::fronts::OUT_KEPT;
use council::CouncilMessage;
use courier::{Courier, LineId};
use dispatch::{frame, take_frames};
use speedy::{Readable, Writable};
use std::collections::HashMap;

const LINK_INBOX: usize = 16 << 20;
/// Most milliseconds between tries to reach a core.
const RETRY_MS: u64 = 100;

/// What goes between two cores.
#[derive(Debug, Readable, Writable)]
pub(crate) enum CoreFrame {
    /// Who opened the link: its council address.
    Hello(String),
    /// The council's own.
    Council(CouncilMessage),
}

struct CoreLink {
    line: LineId,
    out: Vec<u8>,
}

/// Links to the other cores, by council address.
pub(crate) struct CoreLinks {
    own: String,
    links: HashMap<String, CoreLink>,
    tried: HashMap<String, u64>,
}

impl CoreLinks {
    pub fn new(own: String) -> Self {
        Self {
            own,
            links: HashMap::new(),
            tried: HashMap::new(),
        }
    }

    pub fn ended(&mut self, address: &str, line: LineId) {
        if self
            .links
            .get(address)
            .is_some_and(|link| link.line == line)
        {
            self.links.remove(address);
        }
    }

    /// Sends what was told since the last turn, in one piece for each core.
    pub fn flush(&mut self, courier: &mut Courier) {
        for link in self.links.values_mut() {
            if !link.out.is_empty() {
                courier.send(link.line, &link.out);
                link.out.clear();
                link.out.shrink_to(OUT_KEPT);
            }
        }
    }
}

impl Controller {
    pub fn send_core(&mut self, to: &str, message: CouncilMessage) {
        if !self.cores.links.contains_key(to) {
            let tried_at = self.cores.tried.get(to).copied();
            if tried_at.is_some_and(|at| self.now < at + RETRY_MS) {
                return;
            }
            self.cores.tried.insert(to.into(), self.now);
            let parsed = to.parse().ok();
            let line = parsed.and_then(|address| self.courier.connect(address, LINK_INBOX).ok());
            let Some(line) = line else {
                return;
            };
            self.roles.insert(line, Role::Core(Some(to.into())));
            let out = frame(&CoreFrame::Hello(self.cores.own.clone()));
            self.cores.links.insert(to.into(), CoreLink { line, out });
        }
        if let Some(link) = self.cores.links.get_mut(to) {
            link.out.extend(frame(&CoreFrame::Council(message)));
        }
    }

    pub fn core_arrived(&mut self, line: LineId) {
        let Some(inbox) = self.courier.inbox(line) else {
            return;
        };
        let (messages, fault) = take_frames::<CoreFrame>(inbox);
        for message in messages {
            self.hear_core(line, message);
        }
        if let Some(fault) = fault {
            log::warn!("controller: a link to a core is closed: {fault}");
            if let Some(Role::Core(Some(address))) = self.roles.remove(&line) {
                self.cores.ended(&address, line);
            }
            self.courier.close(line);
        }
    }

    fn hear_core(&mut self, line: LineId, message: CoreFrame) {
        match message {
            CoreFrame::Hello(address) => {
                self.roles.insert(line, Role::Core(Some(address.clone())));
                let link = CoreLink {
                    line,
                    out: Vec::new(),
                };
                self.cores.links.entry(address).or_insert(link);
            }
            CoreFrame::Council(message) => {
                let Some(Role::Core(Some(from))) = self.roles.get(&line) else {
                    return;
                };
                let from = from.clone();
                self.council.on_message(self.now, &from, message);
            }
        }
    }
}
