use crate::gateway::{Gateway, Role};
use crate::links::{LINK_INBOX, PING_MS};
use dispatch::{frame, Message};

impl Gateway {
    pub fn tell_core(&mut self, address: &str, message: &Message) {
        let core = self.links.cores.get(address);
        if let Some(line) = core.and_then(|core| core.line) {
            self.courier.send(line, &frame(message));
        }
    }

    pub fn hear_core(&mut self, address: &str, message: Message) {
        let now = self.now;
        let Some(core) = self.links.cores.get_mut(address) else {
            return;
        };
        core.heard_at = now;
        // A daemon that serves may move forward by what any core holds; one that starts waits for a current core.
        let is_trusted = core.is_current || self.control.is_ready();
        match message {
            Message::CoreBeat {
                description,
                closures,
                term,
                cores,
                district,
                is_current,
            } => {
                core.description = description;
                core.closures = closures;
                core.term = term;
                core.district = district;
                core.is_current = is_current;
                self.links.learn_cores(cores.into_iter());
                self.ask_for_news();
            }
            Message::Description { .. } | Message::Changes { .. } | Message::Closures { .. }
                if !is_trusted =>
            {
                log::info!("gateway: {address} is out of contact; its configuration is not taken");
            }
            Message::Description { mark, document } => {
                self.take_description(mark, &document);
                self.ask_for_news();
            }
            Message::Changes { from, changes } => {
                self.take_changes(from, &changes);
                self.ask_for_news();
            }
            Message::Closures { mark, districts } => self.take_closures(mark, districts),
            Message::Roster { mark, members } => self.take_roster(mark, members),
            Message::JobSaid { number, said } => self.jobs.said(now, number, said),
            Message::Runners(news) => {
                for one in news {
                    self.keeper.news(now, one);
                }
            }
            _ => {}
        }
    }

    /// Asks a core that has news, one at a time: one in contact with a majority and near by first. Before this daemon
    /// serves it asks none that is out of contact.
    fn ask_for_news(&mut self) {
        let (description, closures) = self.control.marks();
        if self.now < self.links.asked_until {
            return;
        }
        let serves = self.control.is_ready();
        let newer = self.links.cores.iter().filter(|(_, core)| {
            let has_news = core.description > description || core.closures > closures;
            core.line.is_some() && has_news && (core.is_current || serves)
        });
        let district = &self.options.district;
        let elected = newer.min_by_key(|(_, core)| (!core.is_current, core.district != *district));
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
        let ask = Message::Ask {
            description: known,
            closures,
        };
        self.tell_core(&address, &ask);
    }

    /// Beats to cores, and opens links to those that have none.
    pub fn tend_cores(&mut self) {
        let (beat, silence) = (self.options.beat_ms(), self.options.silence_ms());
        let (description, closures) = self.control.marks();
        let roster = self.control.roster();
        let now = self.now;
        let addresses: Vec<String> = self.links.cores.keys().cloned().collect();
        for address in addresses {
            let Some(core) = self.links.cores.get_mut(&address) else {
                continue;
            };
            if let Some(line) = core.line {
                if now > core.heard_at + silence {
                    core.end_link();
                    self.roles.remove(&line);
                    self.courier.close(line);
                } else if now >= core.told_at + beat {
                    core.told_at = now;
                    let message = Message::FrontBeat {
                        description,
                        closures,
                        roster,
                    };
                    self.courier.send(line, &frame(&message));
                }
                continue;
            }
            // A core that starts together with this daemon is there in a moment.
            let pause = if now < beat * 8 { beat / 6 } else { beat };
            if now < core.tried_at + pause && core.tried_at > 0 {
                continue;
            }
            core.tried_at = now.max(1);
            let parsed = address.parse().ok();
            let line = parsed.and_then(|parsed| self.courier.connect(parsed, LINK_INBOX).ok());
            let Some(line) = line else {
                continue;
            };
            core.line = Some(line);
            core.heard_at = now;
            core.told_at = now;
            self.roles.insert(line, Role::Core(address));
            let hello = frame(&Message::Front(self.links.me.clone()));
            self.courier.send(line, &hello);
        }
        self.ask_for_news();
    }
}
