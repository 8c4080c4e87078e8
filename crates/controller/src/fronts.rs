use crate::controller::{Controller, Role};
use courier::{Courier, LineId};
use dispatch::{frame, take_frames, Member, Message};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most bytes of an empty buffer that are kept for the next use.
pub(crate) const OUT_KEPT: usize = 4 << 10;

pub(crate) struct Front {
    pub member: Member,
    pub line: LineId,
    pub heard_at: u64,
    out: Vec<u8>,
}

/// Fronts that have a link to this core.
#[derive(Default)]
pub(crate) struct Fronts {
    pub known: BTreeMap<String, Front>,
    beat_at: u64,
    /// Whether they were told last that this core is in contact with a majority.
    was_current: bool,
}

impl Fronts {
    pub fn tell(&mut self, name: &str, message: &Message) {
        self.tell_frame(name, &frame(message));
    }

    /// Tells a message that was framed once for many fronts.
    pub fn tell_frame(&mut self, name: &str, bytes: &[u8]) {
        if let Some(front) = self.known.get_mut(name) {
            front.out.extend_from_slice(bytes);
        }
    }

    /// Sends what was told since the last turn, in one piece for each front.
    pub fn flush(&mut self, courier: &mut Courier) {
        for front in self.known.values_mut() {
            if !front.out.is_empty() {
                courier.send(front.line, &front.out);
                front.out.clear();
                front.out.shrink_to(OUT_KEPT);
            }
        }
    }

    pub fn names(&self) -> Vec<String> {
        self.known.keys().cloned().collect()
    }
}

impl Controller {
    pub fn front_arrived(&mut self, line: LineId) {
        let Some(inbox) = self.courier.inbox(line) else {
            return;
        };
        let (messages, fault) = take_frames::<Message>(inbox);
        for message in messages {
            self.hear_front(line, message);
        }
        if let Some(fault) = fault {
            log::warn!("controller: a link to a front is closed: {fault}");
            if let Some(Role::Front(Some(name))) = self.roles.remove(&line) {
                self.front_ended(&name, line);
            }
            self.courier.close(line);
        }
    }

    fn hear_front(&mut self, line: LineId, message: Message) {
        if let Message::Front(member) = message {
            self.front_came(line, member);
            return;
        }
        if let Message::Status = message {
            let text = Message::StatusText(self.status());
            self.courier.send(line, &frame(&text));
            return;
        }
        if let Message::AskHeartbeat = message {
            let heartbeat = frame(&self.core_beat());
            self.courier.send(line, &heartbeat);
            return;
        }
        let Some(Role::Front(Some(name))) = self.roles.get(&line) else {
            return;
        };
        let name = name.clone();
        if let Some(front) = self.fronts.known.get_mut(&name) {
            front.heard_at = self.now;
        }
        match message {
            Message::Ask {
                description,
                closures,
            } => self.answer_ask(&name, description, closures),
            Message::JobAsk {
                number,
                key,
                expected,
                bytes,
            } => self.ask_job(&name, number, &key, expected, bytes),
            Message::Report(reports) => self.take_reports(&name, &reports),
            _ => {}
        }
    }

    fn front_came(&mut self, line: LineId, member: Member) {
        let name = member.name.clone();
        self.roles.insert(line, Role::Front(Some(name.clone())));
        let front = Front {
            member,
            line,
            heard_at: self.now,
            out: Vec::new(),
        };
        if let Some(former) = self.fronts.known.insert(name.clone(), front) {
            self.roles.remove(&former.line);
            self.courier.close(former.line);
        }
        let beat = self.core_beat();
        self.fronts.tell(&name, &beat);
        self.scaling.tell_roster_to(&name);
    }

    pub fn front_ended(&mut self, name: &str, line: LineId) {
        if self
            .fronts
            .known
            .get(name)
            .is_some_and(|front| front.line == line)
        {
            self.fronts.known.remove(name);
            self.scaling.forget_front(name);
        }
    }

    fn answer_ask(&mut self, name: &str, description: u64, closures: u64) {
        // A front hears that contact is over before it hears anything that may be old.
        self.tell_contact();
        if self.kept_at > description {
            let steps = self.steps.since(description).filter(|changes| {
                let size: usize = changes.iter().map(Vec::len).sum();
                size < self.kept.packed.len()
            });
            let whole = || Message::Description {
                mark: self.kept_at,
                document: self.kept.packed.clone(),
            };
            let message = steps.map_or_else(whole, |changes| Message::Changes {
                from: description,
                changes,
            });
            self.fronts.tell(name, &message);
        }
        if self.closures_at > closures {
            let message = Message::Closures {
                mark: self.closures_at,
                districts: self.closures.zones.clone(),
            };
            self.fronts.tell(name, &message);
        }
    }

    fn core_beat(&self) -> Message {
        let port = self.options.fronts_port;
        let cores = self.council.cores();
        let cores = cores.iter().filter_map(|address| {
            let address: SocketAddr = address.parse().ok()?;
            Some(SocketAddr::new(address.ip(), port).to_string())
        });
        Message::CoreBeat {
            description: self.kept_at,
            closures: self.closures_at,
            term: self.council.term(self.now).unwrap_or(0),
            cores: cores.collect(),
            district: self.options.district.clone(),
            is_current: self.council.is_current(self.now),
        }
    }

    /// Tells all fronts at once where contact with a majority has begun or ended.
    pub fn tell_contact(&mut self) {
        self.now = self.clock();
        if self.council.is_current(self.now) != self.fronts.was_current {
            self.beat_fronts(true);
        }
    }

    /// Beats to all fronts when it is time, or at once where there is news.
    pub fn beat_fronts(&mut self, has_news: bool) {
        let pause = self.options.beat_ms() * 2;
        if !has_news && self.now < self.fronts.beat_at + pause {
            return;
        }
        self.fronts.beat_at = self.now;
        self.fronts.was_current = self.council.is_current(self.now);
        let beat = frame(&self.core_beat());
        let silence = self.options.silence_ms();
        for name in self.fronts.names() {
            let is_silent = self
                .fronts
                .known
                .get(&name)
                .is_some_and(|front| self.now > front.heard_at + silence);
            if !is_silent {
                self.fronts.tell_frame(&name, &beat);
                continue;
            }
            if let Some(front) = self.fronts.known.remove(&name) {
                log::info!("controller: front {name} is silent");
                self.roles.remove(&front.line);
                self.courier.close(front.line);
                self.scaling.forget_front(&name);
            }
        }
    }

    /// This daemon's state as JSON text, for operators; with what the scaler thinks of each function that is called.
    pub fn status(&self) -> String {
        let launcher = self.scaling.launcher.as_ref();
        let notes = launcher.map(launching::Launcher::notes).unwrap_or_default();
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
            "term": self.council.term(self.now).unwrap_or(0),
            "council": self.council.reason(),
            "cores": self.council.cores(), "current": self.council.is_current(self.now),
            "fronts": self.fronts.known.len(), "closed": self.closures.zones,
            "functions": functions,
        })
        .to_string()
    }
}
