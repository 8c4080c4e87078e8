//! Members of the simulated cluster. Each executes operators' commands with proposals to the voters.

use super::documents::{version_of, TestFormat};
use super::{Cluster, CommandAttempt, Envelope, CONFIGURATION, EVACUATIONS};
use operator_commands::{CommandExecution, CommandReply, ExecutionStep};
use rand::Rng;
use register::{
    Ballot, Change, ChangeOutcome, Proposal, ProposalStep, SetVersion, VoterOperation,
    VoterRequest, VoterResponse,
};
use std::collections::BTreeMap;

/// Steps after which an unfinished proposal is abandoned.
const PROPOSAL_TIMEOUT_STEPS: u64 = 40;

pub struct RunningCommand {
    attempt: CommandAttempt,
    execution: CommandExecution,
    proposal: Proposal,
    request: u64,
    started_at: u64,
    /// Version of the voter set in which the proposal started; voters with another set version reject its requests.
    set_version: SetVersion,
}

pub struct Member {
    pub incarnation: u64,
    counter: u64,
    last_request: u64,
    pub running: BTreeMap<u64, RunningCommand>,
}

impl Member {
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            counter: 0,
            last_request: 0,
            running: BTreeMap::new(),
        }
    }

    fn next_ballot(&mut self, above: Ballot) -> Ballot {
        self.counter = self.counter.max(above.counter) + 1;
        Ballot {
            counter: self.counter,
            proposer: self.incarnation,
        }
    }
}

fn key_of(execution: &CommandExecution) -> &'static str {
    if execution.command().is_evacuation() {
        EVACUATIONS
    } else {
        CONFIGURATION
    }
}

impl Cluster {
    pub fn handle_command(&mut self, member: usize, attempt: CommandAttempt) {
        let command = self.oracle.command(attempt.command).clone();
        assert!(command.version == version_of(&command.body));
        self.propose(
            member,
            attempt,
            CommandExecution::new(command),
            Change::Read,
        );
    }

    fn propose(
        &mut self,
        member: usize,
        attempt: CommandAttempt,
        execution: CommandExecution,
        change: Change,
    ) {
        let tag = self.random.random::<u64>() | 1;
        let voters = self.voters.len();
        let ballot = self.members[member].next_ballot(Ballot::default());
        let key = key_of(&execution);
        let (proposal, operation) = Proposal::start(key, change, tag, ballot, voters);
        let started_at = self.now;
        let running = RunningCommand {
            attempt,
            execution,
            proposal,
            request: 0,
            started_at,
            set_version: self.set.version(),
        };
        self.members[member].running.insert(attempt.number, running);
        self.send_to_voters(member, attempt.number, &operation);
    }

    fn send_to_voters(&mut self, member: usize, attempt: u64, operation: &VoterOperation) {
        let sender = &mut self.members[member];
        sender.last_request += 1;
        let (incarnation, number) = (sender.incarnation, sender.last_request);
        let Some(running) = sender.running.get_mut(&attempt) else {
            return;
        };
        running.request = number;
        let set_version = running.set_version;
        for voter in 0..self.voters.len() {
            let message = VoterRequest {
                set_version,
                operation: operation.clone(),
            };
            self.send(Envelope::VoterRequest {
                member,
                incarnation,
                number,
                voter,
                message,
            });
        }
    }

    pub fn handle_voter_response(
        &mut self,
        member: usize,
        incarnation: u64,
        number: u64,
        voter: usize,
        reply: VoterResponse,
    ) {
        if self.members[member].incarnation != incarnation {
            return;
        }
        let mut running = self.members[member].running.values_mut();
        let Some(running) = running.find(|running| running.request == number) else {
            return;
        };
        let attempt = running.attempt.number;
        match running.proposal.on_response(voter, reply) {
            ProposalStep::Wait => {}
            ProposalStep::Send(operation) => self.send_to_voters(member, attempt, &operation),
            ProposalStep::Retry(above) => {
                let ballot = self.members[member].next_ballot(above);
                let Some(running) = self.members[member].running.get_mut(&attempt) else {
                    return;
                };
                let operation = running.proposal.retry(ballot);
                self.send_to_voters(member, attempt, &operation);
            }
            ProposalStep::Done(outcome) => self.advance_execution(member, attempt, outcome),
        }
    }

    fn advance_execution(&mut self, member: usize, attempt: u64, outcome: ChangeOutcome) {
        let Some(mut running) = self.members[member].running.remove(&attempt) else {
            return;
        };
        let attempt = running.attempt;
        match running.execution.on_outcome(outcome, &TestFormat) {
            ExecutionStep::Write { expected, bytes } => {
                let change = Change::Write { expected, bytes };
                self.propose(member, attempt, running.execution, change);
            }
            ExecutionStep::Reply(reply) => {
                self.oracle.check_reply(attempt.command, &reply);
                self.send(Envelope::Reply { attempt, reply });
            }
        }
    }

    /// Abandons proposals that have timed out.
    pub fn expire_proposals(&mut self) {
        for member in 0..self.members.len() {
            let running = self.members[member].running.iter();
            let late = running
                .filter(|(_, running)| running.started_at + PROPOSAL_TIMEOUT_STEPS < self.now);
            let late: Vec<u64> = late.map(|(attempt, _)| *attempt).collect();
            for attempt in late {
                let outcome = self.members[member].running[&attempt].proposal.abandon();
                self.advance_execution(member, attempt, outcome);
            }
        }
    }

    /// Reads the configuration through a member, without message loss.
    pub fn read_now(&mut self, member: usize) -> CommandReply {
        let ballot = self.members[member].next_ballot(Ballot {
            counter: 1 << 40,
            proposer: 0,
        });
        let count = self.voters.len();
        let (mut proposal, mut operation) =
            Proposal::start(CONFIGURATION, Change::Read, 1, ballot, count);
        'rounds: loop {
            for voter in 0..count {
                let message = VoterRequest {
                    set_version: self.set.version(),
                    operation: operation.clone(),
                };
                let (_, reply) = self.voters[voter].handle(message);
                self.oracle.observe(&self.voters);
                match proposal.on_response(voter, reply) {
                    ProposalStep::Wait => {}
                    ProposalStep::Send(next) => {
                        operation = next;
                        continue 'rounds;
                    }
                    ProposalStep::Retry(above) => {
                        operation = proposal.retry(self.members[member].next_ballot(above));
                        continue 'rounds;
                    }
                    ProposalStep::Done(outcome) => {
                        let mut execution = CommandExecution::new(super::operators::read_command());
                        let step = execution.on_outcome(outcome, &TestFormat);
                        let ExecutionStep::Reply(reply) = step else {
                            panic!("a read command requests a write");
                        };
                        return reply;
                    }
                }
            }
            panic!("a read does not complete");
        }
    }
}
