use super::{Cluster, Event, MS};
use protocol::{Message, RegisterResponse};
use rand::Rng;
use register::{
    Acceptor, Ballot, Change, ChangeOutcome, Proposal, ProposalStep, Record, SetVersion,
    VoterOperation, VoterRef, VoterRequest, VoterResponse, VoterSet,
};
use std::collections::BTreeMap;

/// Timeout of a proposal in milliseconds, the same as in the consensus crate.
const PROPOSAL_TIMEOUT_MS: u64 = 1_500;

struct PendingProposal {
    proposal: Proposal,
    operation_number: u64,
    from: (usize, u64),
    /// Number of the register request, shifted left by one bit; the lowest bit is set for a write.
    number: u64,
    deadline: u64,
}

/// A controller: its voter, and the proposals that it makes on behalf of gateways.
pub struct Controller {
    pub is_up: bool,
    pub incarnation: u64,
    pub acceptor: Acceptor,
    records: Vec<Record>,
    counter: u64,
    pending: BTreeMap<u64, PendingProposal>,
    last_id: u64,
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
        let first_record = acceptor.bootstrap(voters(count));
        Self {
            is_up: true,
            incarnation: 1 + index as u64,
            acceptor,
            records: first_record.into_iter().collect(),
            counter: 0,
            pending: BTreeMap::new(),
            last_id: 0,
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
        let (proposal, operation) = Proposal::start(&key, change, tag, ballot, 3);
        controller.last_id += 1;
        let id = controller.last_id;
        let is_write = expected.is_some();
        let pending = PendingProposal {
            proposal,
            operation_number: 0,
            from,
            number: number << 1 | u64::from(is_write),
            deadline: now + PROPOSAL_TIMEOUT_MS * MS,
        };
        controller.pending.insert(id, pending);
        let incarnation = controller.incarnation;
        self.send_to_voters(index, id, &operation);
        self.schedule(
            PROPOSAL_TIMEOUT_MS * MS,
            Event::ProposalDeadline(index, incarnation, id),
        );
    }

    fn send_to_voters(&mut self, index: usize, id: u64, operation: &VoterOperation) {
        let controller = &mut self.controllers[index];
        controller.last_id += 1;
        let (incarnation, operation_number) = (controller.incarnation, controller.last_id);
        if let Some(pending) = controller.pending.get_mut(&id) {
            pending.operation_number = operation_number;
        }
        for to in 0..self.controllers.len() {
            let delay = if to == index { 1 } else { self.hop() };
            let message = VoterRequest {
                set_version: SetVersion::new(1, 1),
                operation: operation.clone(),
            };
            self.schedule(
                delay,
                Event::VoterOperation(to, index, incarnation, (id, operation_number), message),
            );
        }
    }

    pub fn voter_requested(
        &mut self,
        index: usize,
        from: usize,
        incarnation: u64,
        operation_id: (u64, u64),
        message: VoterRequest,
    ) {
        let controller = &mut self.controllers[index];
        if !controller.is_up {
            return;
        }
        let (record, response) = controller.acceptor.handle(message);
        let needs_sync = record.is_some();
        controller.records.extend(record);
        let sync_delay = if needs_sync {
            self.random.random_range(300..1_500)
        } else {
            10
        };
        let delay = if from == index { 1 } else { self.hop() };
        self.schedule(
            sync_delay + delay,
            Event::VoterResponse(from, incarnation, operation_id, index, response),
        );
    }

    pub fn voter_responded(
        &mut self,
        index: usize,
        incarnation: u64,
        (id, number): (u64, u64),
        voter: usize,
        response: VoterResponse,
    ) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        if !controller.is_up || controller.incarnation != incarnation {
            return;
        }
        let Some(pending) = controller.pending.get_mut(&id) else {
            return;
        };
        if pending.operation_number != number {
            return;
        }
        match pending.proposal.on_response(voter, response) {
            ProposalStep::Wait => {}
            ProposalStep::Send(operation) => self.send_to_voters(index, id, &operation),
            ProposalStep::Retry(above) => {
                pending.operation_number = 0;
                let backoff = self.random.random_range(1..=10) * MS;
                self.schedule(
                    backoff,
                    Event::RetryProposal(index, incarnation, id, above.counter),
                );
            }
            ProposalStep::Done(ChangeOutcome::NoQuorum(_) | ChangeOutcome::Indeterminate)
                if now + 100 * MS < pending.deadline =>
            {
                pending.operation_number = 0;
                self.schedule(100 * MS, Event::RetryProposal(index, incarnation, id, 0));
            }
            ProposalStep::Done(outcome) => self.proposal_done(index, id, outcome),
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
            let operation = pending.proposal.retry(ballot);
            self.send_to_voters(index, id, &operation);
        }
    }

    pub fn proposal_deadline(&mut self, index: usize, incarnation: u64, id: u64) {
        let controller = &self.controllers[index];
        if !controller.is_up || controller.incarnation != incarnation {
            return;
        }
        if let Some(pending) = controller.pending.get(&id) {
            let outcome = pending.proposal.abandon();
            self.proposal_done(index, id, outcome);
        }
    }

    fn proposal_done(&mut self, index: usize, id: u64, outcome: ChangeOutcome) {
        let Some(pending) = self.controllers[index].pending.remove(&id) else {
            return;
        };
        let response = response_of(outcome, pending.number & 1 == 1);
        let (node, incarnation) = pending.from;
        let delay = self.hop();
        self.schedule(
            delay,
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

    /// Restarts a controller with the contents of its disk.
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
        self.schedule(span, Event::AdvanceJobWindow(index, incarnation));
    }

    /// Handles the end of a job retention period at a controller.
    pub fn advance_job_window(&mut self, index: usize, incarnation: u64) {
        let controller = &mut self.controllers[index];
        if !controller.is_up || controller.incarnation != incarnation {
            return;
        }
        let record = controller.acceptor.advance_job_window();
        controller.records.extend(record);
        let span = self.fault_rates.retention_ms * MS;
        self.schedule(span, Event::AdvanceJobWindow(index, incarnation));
    }
}
