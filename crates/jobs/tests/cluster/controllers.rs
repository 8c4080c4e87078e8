use super::{Cluster, Event, MS};
use protocol::{Message, RegisterResponse};
use rand::Rng;
use register::{
    Acceptor, Ballot, Change, ChangeOutcome, Proposal, ProposalStep, Record, SetVersion,
    VoterOperation, VoterRef, VoterRequest, VoterResponse, VoterSet,
};
use std::collections::BTreeMap;

/// Milliseconds in which a proposal ends, as in the consensus.
const PROPOSAL_TIMEOUT_MS: u64 = 1_500;

struct PendingProposal {
    proposal: Proposal,
    ask_number: u64,
    from: (usize, u64),
    number: u64,
    until: u64,
}

/// A controller: its voter, and proposals for gateways.
pub struct Controller {
    pub is_up: bool,
    pub incarnation: u64,
    pub acceptor: Acceptor,
    records: Vec<Record>,
    counter: u64,
    pending: BTreeMap<u64, PendingProposal>,
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
    pub fn new(index: usize, count: usize) -> Self {
        let mut acceptor = Acceptor::default();
        let formed = acceptor.bootstrap(voters(count));
        Self {
            is_up: true,
            incarnation: 1 + index as u64,
            acceptor,
            records: formed.into_iter().collect(),
            counter: 0,
            pending: BTreeMap::new(),
            last: 0,
        }
    }
}

fn response_of(outcome: ChangeOutcome, is_write: bool) -> RegisterResponse {
    match outcome {
        ChangeOutcome::Committed(stored) if is_write => RegisterResponse::Written(stored.version),
        ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) => {
            RegisterResponse::Found(stored.version, stored.bytes)
        }
        ChangeOutcome::Indeterminate => RegisterResponse::Indeterminate,
        _ => RegisterResponse::Unavailable,
    }
}

impl Cluster {
    pub fn register_requested(&mut self, index: usize, from: (usize, u64), message: Message) {
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
        let controller = &mut self.controllers[index];
        if !controller.is_up {
            return;
        }
        let change = expected.map_or(Change::Read, |expected| Change::Write { expected, bytes });
        controller.counter += 1;
        let ballot = Ballot {
            counter: controller.counter,
            proposer: controller.incarnation,
        };
        let (proposal, ask) = Proposal::start(&key, change, tag, ballot, 3);
        controller.last += 1;
        let id = controller.last;
        let is_write = expected.is_some();
        let pending = PendingProposal {
            proposal,
            ask_number: 0,
            from,
            number: number << 1 | u64::from(is_write),
            until: now + PROPOSAL_TIMEOUT_MS * MS,
        };
        controller.pending.insert(id, pending);
        let incarnation = controller.incarnation;
        self.send_to_voters(index, id, &ask);
        self.later(
            PROPOSAL_TIMEOUT_MS * MS,
            Event::ProposalDeadline(index, incarnation, id),
        );
    }

    fn send_to_voters(&mut self, index: usize, id: u64, ask: &VoterOperation) {
        let controller = &mut self.controllers[index];
        controller.last += 1;
        let (incarnation, ask_number) = (controller.incarnation, controller.last);
        if let Some(pending) = controller.pending.get_mut(&id) {
            pending.ask_number = ask_number;
        }
        for to in 0..self.controllers.len() {
            let delay = if to == index { 1 } else { self.hop() };
            let message = VoterRequest {
                set_version: SetVersion::new(1, 1),
                operation: ask.clone(),
            };
            self.later(
                delay,
                Event::VoterOperation(to, index, incarnation, (id, ask_number), message),
            );
        }
    }

    pub fn voter_requested(
        &mut self,
        index: usize,
        from: usize,
        incarnation: u64,
        ask: (u64, u64),
        message: VoterRequest,
    ) {
        let controller = &mut self.controllers[index];
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
        let way = if from == index { 1 } else { self.hop() };
        self.later(
            sync + way,
            Event::VoterResponse(from, incarnation, ask, index, reply),
        );
    }

    pub fn voter_responded(
        &mut self,
        index: usize,
        incarnation: u64,
        (id, number): (u64, u64),
        voter: usize,
        reply: VoterResponse,
    ) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        if !controller.is_up || controller.incarnation != incarnation {
            return;
        }
        let Some(pending) = controller.pending.get_mut(&id) else {
            return;
        };
        if pending.ask_number != number {
            return;
        }
        match pending.proposal.on_response(voter, reply) {
            ProposalStep::Wait => {}
            ProposalStep::Send(ask) => self.send_to_voters(index, id, &ask),
            ProposalStep::Retry(above) => {
                pending.ask_number = 0;
                let pause = self.random.random_range(1..=10) * MS;
                self.later(
                    pause,
                    Event::RetryProposal(index, incarnation, id, above.counter),
                );
            }
            ProposalStep::Done(ChangeOutcome::NoQuorum(_) | ChangeOutcome::Indeterminate)
                if now + 100 * MS < pending.until =>
            {
                pending.ask_number = 0;
                self.later(100 * MS, Event::RetryProposal(index, incarnation, id, 0));
            }
            ProposalStep::Done(outcome) => self.controller_done(index, id, outcome),
        }
    }

    pub fn retry_proposal(&mut self, index: usize, incarnation: u64, id: u64, above: u64) {
        let controller = &mut self.controllers[index];
        if !controller.is_up || controller.incarnation != incarnation {
            return;
        }
        controller.counter = controller.counter.max(above) + 1;
        let ballot = Ballot {
            counter: controller.counter,
            proposer: controller.incarnation,
        };
        if let Some(pending) = controller.pending.get_mut(&id) {
            let ask = pending.proposal.retry(ballot);
            self.send_to_voters(index, id, &ask);
        }
    }

    pub fn proposal_deadline(&mut self, index: usize, incarnation: u64, id: u64) {
        let controller = &self.controllers[index];
        if !controller.is_up || controller.incarnation != incarnation {
            return;
        }
        if let Some(pending) = controller.pending.get(&id) {
            let outcome = pending.proposal.abandon();
            self.controller_done(index, id, outcome);
        }
    }

    fn controller_done(&mut self, index: usize, id: u64, outcome: ChangeOutcome) {
        let Some(pending) = self.controllers[index].pending.remove(&id) else {
            return;
        };
        let response = response_of(outcome, pending.number & 1 == 1);
        let (node, incarnation) = pending.from;
        let way = self.hop();
        self.later(
            way,
            Event::RegisterResponded(node, incarnation, pending.number >> 1, response),
        );
    }

    pub fn kill_controller(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        controller.is_up = false;
        controller.pending.clear();
        controller.incarnation += 10;
        controller.counter = 0;
    }

    /// A controller comes back with what its disk holds.
    pub fn boot_controller(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        if controller.is_up {
            return;
        }
        controller.is_up = true;
        controller.acceptor = Acceptor::default();
        for record in controller.records.clone() {
            controller.acceptor.replay(record);
        }
        controller.acceptor.rebuild_indexes();
        let (incarnation, span) = (controller.incarnation, self.fault_rates.retention_ms * MS);
        self.later(span, Event::AdvanceJobWindow(index, incarnation));
    }

    /// A retention period of jobs is over at a controller.
    pub fn advance_job_window(&mut self, index: usize, incarnation: u64) {
        let controller = &mut self.controllers[index];
        if !controller.is_up || controller.incarnation != incarnation {
            return;
        }
        let record = controller.acceptor.advance_job_window();
        controller.records.extend(record);
        let span = self.fault_rates.retention_ms * MS;
        self.later(span, Event::AdvanceJobWindow(index, incarnation));
    }
}
