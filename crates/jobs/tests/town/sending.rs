use super::gateway::Stage;
use super::{Event, Reply, Told, Town, FUNCTION, MS};
use protocol::{JobResult, LeaseOutcome, LeaseRelease, Message, RequestId, SeatLease};
use rand::Rng;

const SENDS_MAX: u32 = 3;

impl Town {
    pub fn granted(&mut self, place: usize, lender: &str, grant: SeatLease) {
        let number = grant.request_id.0;
        let way = self.hop();
        let node = &mut self.nodes[place];
        let ticket = node.tickets.get_mut(&number);
        let is_waiting = ticket
            .as_ref()
            .is_some_and(|ticket| ticket.stage == Stage::Waiting(lender.into()));
        let Some(ticket) = ticket.filter(|_| is_waiting) else {
            return self.release(place, lender, number, LeaseOutcome::Unused);
        };
        ticket.stage = Stage::Sent(lender.into(), false, 0);
        let (life, attempt) = (node.life, ticket.pass.attempt().number);
        self.later(way, Event::Line(place, life, number, attempt));
    }

    pub fn release(&mut self, place: usize, lender: &str, ticket: u64, outcome: LeaseOutcome) {
        let now = self.now_ms();
        let release = LeaseRelease {
            request_id: RequestId(ticket),
            outcome,
            duration_ms: 20,
        };
        if lender == self.nodes[place].name {
            self.nodes[place].keeper.release(now, lender, &release);
        } else if let Some(peer) = self.place_of(lender) {
            self.send(place, peer, Message::LeaseRelease(release));
        }
    }

    pub fn line_open(&mut self, place: usize, life: u64, number: u64, attempt: u32) {
        let now = self.now;
        let node = &mut self.nodes[place];
        if node.life != life {
            return;
        }
        let Some(ticket) = node.tickets.get_mut(&number) else {
            return;
        };
        let is_same = ticket.pass.attempt().number == attempt;
        if let Stage::Sent(_, false, opened) = &mut ticket.stage {
            if is_same {
                *opened = now;
                ticket.pass.connected();
                self.leave(place, number);
            }
        }
    }

    /// The last step: bytes leave for the runner, where the claim is there.
    pub fn leave(&mut self, place: usize, number: u64) {
        let now = self.now;
        let way = self.hop();
        let node = &mut self.nodes[place];
        let Some(ticket) = node.tickets.get_mut(&number) else {
            return;
        };
        let Stage::Sent(_, has_left, opened) = &mut ticket.stage else {
            return;
        };
        if *has_left || !ticket.pass.is_connected() || !ticket.pass.may_be_sent() {
            return;
        }
        *has_left = true;
        ticket.sends += 1;
        let (from, send, waited) = ((place, node.life), ticket.sends, now - *opened);
        let asked = ticket.asked;
        if ticket.pass.attempt().at_most_once {
            self.oracle.waits.push(waited);
        }
        self.later(way, Event::Run(asked, from, number, send));
    }

    pub fn run_at_runner(&mut self, asked: usize, from: (usize, u64), number: u64, send: u32) {
        let weather = self.weather;
        let took = self.random.random_range(5..300) * MS;
        let reply = if self.random.random_bool(weather.turns_away) {
            Reply::TurnedAway
        } else {
            let answer = self.oracle.run(asked, self.now);
            match self.random.random_bool(weather.breaks_off) {
                true => Reply::BrokeOff,
                false => Reply::Answer(answer),
            }
        };
        let took = if matches!(reply, Reply::TurnedAway) {
            MS
        } else {
            took
        };
        self.later(took, Event::Reply(from.0, from.1, number, send, reply));
    }

    pub fn replied(&mut self, place: usize, life: u64, number: u64, send: u32, reply: Reply) {
        let node = &mut self.nodes[place];
        if node.life != life || !node.is_up {
            return;
        }
        let Some(ticket) = node.tickets.get_mut(&number) else {
            return;
        };
        let Stage::Sent(lender, true, _) = ticket.stage.clone() else {
            return;
        };
        if ticket.sends != send {
            return;
        }
        let is_once = ticket.pass.attempt().at_most_once;
        match reply {
            Reply::Answer(answer) => {
                self.release(place, &lender, number, LeaseOutcome::Succeeded);
                let result = JobResult::Answer(answer.clone());
                self.finish(place, number, Told::Answer(answer), result);
            }
            Reply::TurnedAway => {
                self.release(place, &lender, number, LeaseOutcome::Rejected);
                if !self.try_again(place, number) {
                    self.finish(place, number, Told::NotRun, JobResult::NotRun);
                }
            }
            Reply::BrokeOff => {
                ticket.may_have_run = true;
                self.release(place, &lender, number, LeaseOutcome::Lost);
                if is_once || !self.try_again(place, number) {
                    self.finish(place, number, Told::MayHaveRun, JobResult::Lost);
                }
            }
        }
        self.run_actions(place);
    }

    pub fn try_again(&mut self, place: usize, number: u64) -> bool {
        let now = self.now_ms();
        let ticket = &self.nodes[place].tickets[&number];
        if ticket.sends >= SENDS_MAX || ticket.ends_at <= now + 5 || !ticket.has_client {
            return false;
        }
        self.place_bid(place, number);
        true
    }

    /// A request ends: its client is told, and the keepers that may think of it.
    pub fn finish(&mut self, place: usize, number: u64, told: Told, result: JobResult) {
        let Some(ticket) = self.nodes[place].tickets.remove(&number) else {
            return;
        };
        if ticket.has_client {
            self.oracle.tell(ticket.asked, self.now, told);
        }
        let end = ticket.pass.completion(RequestId(number), FUNCTION, result);
        self.nodes[place].ends.record(self.now / MS, &end);
        let lender = match &ticket.stage {
            Stage::Waiting(lender) | Stage::Sent(lender, ..) => Some(lender.clone()),
            Stage::Resting => None,
        };
        let keeper = self
            .keeper_of(place)
            .filter(|keeper| lender.as_ref() != Some(keeper));
        for name in lender.into_iter().chain(keeper) {
            self.tell_end(place, &name, end.clone());
        }
    }
}
