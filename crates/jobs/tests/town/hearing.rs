use super::front::Stage;
use super::{Event, Told, Town};
use dispatch::{JobResult, JobVerdict, Message};
use jobs::JobErrand;
use seating::Errand;

impl Town {
    pub fn hear(&mut self, place: usize, from: usize, message: Message) {
        if !self.nodes[place].is_up {
            return;
        }
        let now = self.now_ms();
        let name = self.nodes[from].name.clone();
        let node = &mut self.nodes[place];
        node.suspects.remove(&name);
        match message {
            Message::Bid(bid) => node.jobs.arrive(now, &name, "", bid),
            Message::Withdraw(ticket) => node.keeper.withdraw(now, &name, ticket),
            Message::Release(release) => node.keeper.release(now, &name, &release),
            Message::JobEnd(end) => node.jobs.ended(now, &name, end),
            Message::Grant(grant) => self.granted(place, &name, grant),
            Message::Claimed {
                ticket,
                attempt,
                version,
            } => self.claimed(place, &name, ticket, attempt, version),
            Message::Joined { ticket, attempt } => self.joined(place, &name, ticket, attempt),
            Message::JobTold {
                ticket,
                attempt,
                verdict,
            } => self.told(place, &name, ticket, attempt, verdict),
            Message::JobKept(ticket) => node.ends.kept(ticket),
            _ => {}
        }
        self.run_errands(place);
    }

    pub fn run_errands(&mut self, place: usize) {
        loop {
            let node = &mut self.nodes[place];
            let (seats, jobs) = (node.keeper.errands(), node.jobs.errands());
            if seats.is_empty() && jobs.is_empty() {
                return;
            }
            for errand in seats {
                self.seat_errand(place, errand);
            }
            for errand in jobs {
                self.job_errand(place, errand);
            }
        }
    }

    pub fn seat_errand(&mut self, place: usize, errand: Errand) {
        let now = self.now_ms();
        match errand {
            Errand::Grant(front, grant) => self.deliver(place, &front, Message::Grant(grant)),
            Errand::Refuse(front, ticket, after) => {
                self.nodes[place].jobs.refused(now, &front, ticket, after);
            }
            Errand::Probe(..) => {}
        }
    }

    /// Gives word to a front, which may be this node itself.
    pub fn deliver(&mut self, place: usize, front: &str, message: Message) {
        if front == self.nodes[place].name {
            self.hear(place, place, message);
        } else if let Some(peer) = self.place_of(front) {
            self.send(place, peer, message);
        }
    }

    pub fn job_errand(&mut self, place: usize, errand: JobErrand) {
        let now = self.now_ms();
        let node = &mut self.nodes[place];
        match errand {
            JobErrand::Seat(front, district, bid) => node.keeper.bid(now, &front, &district, bid),
            JobErrand::Withdraw(front, ticket) => node.keeper.withdraw(now, &front, ticket),
            JobErrand::Claimed {
                front,
                ticket,
                attempt,
                version,
            } => {
                let message = Message::Claimed {
                    ticket,
                    attempt,
                    version,
                };
                self.deliver(place, &front, message);
            }
            JobErrand::Joined(front, ticket, attempt) => {
                self.deliver(place, &front, Message::Joined { ticket, attempt });
            }
            JobErrand::Tell(front, ticket, attempt, verdict) => {
                let message = Message::JobTold {
                    ticket,
                    attempt,
                    verdict,
                };
                self.deliver(place, &front, message);
            }
            JobErrand::Kept(front, ticket) => {
                self.deliver(place, &front, Message::JobKept(ticket));
            }
            JobErrand::Ask {
                number,
                key,
                expected,
                bytes,
                tries,
            } => {
                let from = (place, node.life);
                let core = (place + tries as usize) % self.cores.len();
                let way = self.hop();
                let message = Message::JobAsk {
                    number,
                    key,
                    expected,
                    bytes,
                };
                self.later(way, Event::CoreAsk(core, from, message));
            }
        }
    }

    pub fn claimed(&mut self, place: usize, from: &str, number: u64, attempt: u32, version: u64) {
        let ticket = self.nodes[place].tickets.get_mut(&number);
        let Some(ticket) = ticket.filter(|ticket| ticket.pass.is_meant(from, attempt)) else {
            return;
        };
        ticket.pass.claimed(version);
        self.leave(place, number);
    }

    pub fn joined(&mut self, place: usize, from: &str, number: u64, attempt: u32) {
        let ticket = self.nodes[place].tickets.get_mut(&number);
        let Some(ticket) = ticket.filter(|ticket| ticket.pass.is_meant(from, attempt)) else {
            return;
        };
        if !matches!(ticket.stage, Stage::Sent(_, true, _)) {
            ticket.pass.joined();
            ticket.stage = Stage::Waiting(from.into());
        }
    }

    pub fn told(
        &mut self,
        place: usize,
        from: &str,
        number: u64,
        attempt: u32,
        verdict: JobVerdict,
    ) {
        let ticket = self.nodes[place].tickets.get_mut(&number);
        let Some(ticket) = ticket.filter(|ticket| ticket.pass.is_meant(from, attempt)) else {
            return;
        };
        if matches!(ticket.stage, Stage::Sent(_, true, _)) {
            return;
        }
        let told = match verdict {
            JobVerdict::Answer(answer) => Told::Answer(answer),
            JobVerdict::TooLarge | JobVerdict::MayHaveRun => Told::MayHaveRun,
            JobVerdict::OtherRequest => Told::Other,
            JobVerdict::NotRun(_) if ticket.may_have_run => Told::MayHaveRun,
            JobVerdict::NotRun(_) => Told::NotRun,
        };
        self.withdraw_seat(place, number);
        self.finish(place, number, told, JobResult::NotRun);
    }
}
