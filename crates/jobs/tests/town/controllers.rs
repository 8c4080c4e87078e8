use super::{Event, Town, MS};
use protocol::{Message, RegisterResponse};
use rand::Rng;
use register::{
    Acceptor, Ballot, Change, ChangeOutcome, Proposal, ProposalStep, Record, SetVersion,
    VoterOperation, VoterRef, VoterRequest, VoterResponse, VoterSet,
};
use std::collections::BTreeMap;

/// Milliseconds in which a proposal ends, as in the consensus.
const BUDGET_MS: u64 = 1_500;

struct Asked {
    proposal: Proposal,
    ask_number: u64,
    from: (usize, u64),
    number: u64,
    until: u64,
}

/// A controller: its voter, and proposals for gateways.
pub struct Controller {
    pub is_up: bool,
    pub life: u64,
    pub acceptor: Acceptor,
    records: Vec<Record>,
    counter: u64,
    asked: BTreeMap<u64, Asked>,
    last: u64,
}

fn voters(count: usize) -> VoterSet {
    let voters = (0..count as u64).map(|disk| VoterRef {
        disk,
        address: String::new(),
    });
    VoterSet {
        epoch: 1,
        number: 1,
        voters: voters.collect(),
    }
}

impl Controller {
    pub fn new(place: usize, count: usize) -> Self {
        let mut acceptor = Acceptor::default();
        let formed = acceptor.bootstrap(voters(count));
        Self {
            is_up: true,
            life: 1 + place as u64,
            acceptor,
            records: formed.into_iter().collect(),
            counter: 0,
            asked: BTreeMap::new(),
            last: 0,
        }
    }
}

fn said_of(outcome: ChangeOutcome, is_write: bool) -> RegisterResponse {
    match outcome {
        ChangeOutcome::Committed(stored) if is_write => RegisterResponse::Written(stored.version),
        ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) => {
            RegisterResponse::Found(stored.version, stored.bytes)
        }
        ChangeOutcome::Indeterminate => RegisterResponse::Indeterminate,
        _ => RegisterResponse::Unavailable,
    }
}

impl Town {
    pub fn controller_asked(&mut self, place: usize, from: (usize, u64), message: Message) {
        let Message::JobRegisterRequest {
            number,
            key,
            expected_version: expected,
            value: bytes,
        } = message
        else {
            return;
        };
        let (now, tag) = (self.now, self.random.random::<u64>() | 1);
        let controller = &mut self.controllers[place];
        if !controller.is_up {
            return;
        }
        let change = expected.map_or(Change::Read, |expected| Change::Write { expected, bytes });
        controller.counter += 1;
        let ballot = Ballot {
            counter: controller.counter,
            proposer: controller.life,
        };
        let (proposal, ask) = Proposal::start(&key, change, tag, ballot, 3);
        controller.last += 1;
        let id = controller.last;
        let is_write = expected.is_some();
        let asked = Asked {
            proposal,
            ask_number: 0,
            from,
            number: number << 1 | u64::from(is_write),
            until: now + BUDGET_MS * MS,
        };
        controller.asked.insert(id, asked);
        let life = controller.life;
        self.ask_all(place, id, &ask);
        self.later(BUDGET_MS * MS, Event::Over(place, life, id));
    }

    fn ask_all(&mut self, place: usize, id: u64, ask: &VoterOperation) {
        let controller = &mut self.controllers[place];
        controller.last += 1;
        let (life, ask_number) = (controller.life, controller.last);
        if let Some(asked) = controller.asked.get_mut(&id) {
            asked.ask_number = ask_number;
        }
        for to in 0..self.controllers.len() {
            let delay = if to == place { 1 } else { self.hop() };
            let message = VoterRequest {
                set_version: SetVersion::new(1, 1),
                operation: ask.clone(),
            };
            self.later(
                delay,
                Event::VoterOperation(to, place, life, (id, ask_number), message),
            );
        }
    }

    pub fn voter_asked(
        &mut self,
        place: usize,
        from: usize,
        life: u64,
        ask: (u64, u64),
        message: VoterRequest,
    ) {
        let controller = &mut self.controllers[place];
        if !controller.is_up {
            return;
        }
        let (record, reply) = controller.acceptor.handle(message);
        let syncs = record.is_some();
        controller.records.extend(record);
        let sync = if syncs {
            self.random.random_range(300..1_500)
        } else {
            10
        };
        let way = if from == place { 1 } else { self.hop() };
        self.later(
            sync + way,
            Event::VoterResponse(from, life, ask, place, reply),
        );
    }

    pub fn voter_replied(
        &mut self,
        place: usize,
        life: u64,
        (id, number): (u64, u64),
        voter: usize,
        reply: VoterResponse,
    ) {
        let now = self.now;
        let controller = &mut self.controllers[place];
        if !controller.is_up || controller.life != life {
            return;
        }
        let Some(asked) = controller.asked.get_mut(&id) else {
            return;
        };
        if asked.ask_number != number {
            return;
        }
        match asked.proposal.on_response(voter, reply) {
            ProposalStep::Wait => {}
            ProposalStep::Send(ask) => self.ask_all(place, id, &ask),
            ProposalStep::Retry(above) => {
                asked.ask_number = 0;
                let pause = self.random.random_range(1..=10) * MS;
                self.later(pause, Event::Again(place, life, id, above.counter));
            }
            ProposalStep::Done(ChangeOutcome::NoQuorum(_) | ChangeOutcome::Indeterminate)
                if now + 100 * MS < asked.until =>
            {
                asked.ask_number = 0;
                self.later(100 * MS, Event::Again(place, life, id, 0));
            }
            ProposalStep::Done(outcome) => self.controller_done(place, id, outcome),
        }
    }

    pub fn propose_again(&mut self, place: usize, life: u64, id: u64, above: u64) {
        let controller = &mut self.controllers[place];
        if !controller.is_up || controller.life != life {
            return;
        }
        controller.counter = controller.counter.max(above) + 1;
        let ballot = Ballot {
            counter: controller.counter,
            proposer: controller.life,
        };
        if let Some(asked) = controller.asked.get_mut(&id) {
            let ask = asked.proposal.retry(ballot);
            self.ask_all(place, id, &ask);
        }
    }

    pub fn proposal_over(&mut self, place: usize, life: u64, id: u64) {
        let controller = &self.controllers[place];
        if !controller.is_up || controller.life != life {
            return;
        }
        if let Some(asked) = controller.asked.get(&id) {
            let outcome = asked.proposal.abandon();
            self.controller_done(place, id, outcome);
        }
    }

    fn controller_done(&mut self, place: usize, id: u64, outcome: ChangeOutcome) {
        let Some(asked) = self.controllers[place].asked.remove(&id) else {
            return;
        };
        let said = said_of(outcome, asked.number & 1 == 1);
        let (node, life) = asked.from;
        let way = self.hop();
        self.later(
            way,
            Event::ControllerSaid(node, life, asked.number >> 1, said),
        );
    }

    pub fn kill_controller(&mut self, place: usize) {
        let controller = &mut self.controllers[place];
        controller.is_up = false;
        controller.asked.clear();
        controller.life += 10;
        controller.counter = 0;
    }

    /// A controller comes back with what its disk holds.
    pub fn boot_controller(&mut self, place: usize) {
        let controller = &mut self.controllers[place];
        if controller.is_up {
            return;
        }
        controller.is_up = true;
        controller.acceptor = Acceptor::default();
        for record in controller.records.clone() {
            controller.acceptor.replay(record);
        }
        controller.acceptor.rebuild_indexes();
        let (life, span) = (controller.life, self.weather.remembered_ms * MS);
        self.later(span, Event::TurnJobs(place, life));
    }

    /// One span of remembering is over at a controller.
    pub fn turn_jobs(&mut self, place: usize, life: u64) {
        let controller = &mut self.controllers[place];
        if !controller.is_up || controller.life != life {
            return;
        }
        let record = controller.acceptor.advance_job_window();
        controller.records.extend(record);
        let span = self.weather.remembered_ms * MS;
        self.later(span, Event::TurnJobs(place, life));
    }
}
