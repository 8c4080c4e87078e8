//! Members: each executes commands over rounds of the register.

use super::documents::{version_of, TestDocuments};
use super::{Cluster, Copy, Parcel, CONFIGURATION, EVACUATIONS};
use operator_commands::{CommandExecution, CommandReply, ExecutionStep};
use rand::Rng;
use register::{
    Ballot, Change, ChangeOutcome, Proposal, ProposalStep, SetVersion, VoterOperation,
    VoterRequest, VoterResponse,
};
use std::collections::BTreeMap;

/// Steps after which a round that has not ended is given up.
const ROUND_STEPS: u64 = 40;

pub struct Running {
    copy: Copy,
    execution: CommandExecution,
    proposal: Proposal,
    ask: u64,
    began_at: u64,
    /// Set of voters that the round was begun under; it ends with it.
    set_version: SetVersion,
}

pub struct Member {
    pub life: u64,
    counter: u64,
    last_ask: u64,
    pub running: BTreeMap<u64, Running>,
}

impl Member {
    pub fn new(life: u64) -> Self {
        Self {
            life,
            counter: 0,
            last_ask: 0,
            running: BTreeMap::new(),
        }
    }

    fn next_ballot(&mut self, above: Ballot) -> Ballot {
        self.counter = self.counter.max(above.counter) + 1;
        Ballot {
            counter: self.counter,
            proposer: self.life,
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
    pub fn take_command(&mut self, member: usize, copy: Copy) {
        let command = self.oracle.command(copy.command).clone();
        assert!(command.version == version_of(&command.body));
        self.propose(member, copy, CommandExecution::new(command), Change::Read);
    }

    fn propose(&mut self, member: usize, copy: Copy, execution: CommandExecution, change: Change) {
        let tag = self.random.random::<u64>() | 1;
        let voters = self.voters.len();
        let ballot = self.members[member].next_ballot(Ballot::default());
        let key = key_of(&execution);
        let (proposal, ask) = Proposal::start(key, change, tag, ballot, voters);
        let began_at = self.now;
        let running = Running {
            copy,
            execution,
            proposal,
            ask: 0,
            began_at,
            set_version: self.set.version(),
        };
        self.members[member].running.insert(copy.number, running);
        self.ask_voters(member, copy.number, &ask);
    }

    fn ask_voters(&mut self, member: usize, copy: u64, ask: &VoterOperation) {
        let asking = &mut self.members[member];
        asking.last_ask += 1;
        let (life, number) = (asking.life, asking.last_ask);
        let Some(running) = asking.running.get_mut(&copy) else {
            return;
        };
        running.ask = number;
        let set_version = running.set_version;
        for voter in 0..self.voters.len() {
            let message = VoterRequest {
                set_version,
                operation: ask.clone(),
            };
            self.send(Parcel::Ask {
                member,
                life,
                number,
                voter,
                message,
            });
        }
    }

    pub fn take_voter_answer(
        &mut self,
        member: usize,
        life: u64,
        number: u64,
        voter: usize,
        reply: VoterResponse,
    ) {
        if self.members[member].life != life {
            return;
        }
        let mut running = self.members[member].running.values_mut();
        let Some(running) = running.find(|running| running.ask == number) else {
            return;
        };
        let copy = running.copy.number;
        match running.proposal.on_response(voter, reply) {
            ProposalStep::Wait => {}
            ProposalStep::Send(ask) => self.ask_voters(member, copy, &ask),
            ProposalStep::Retry(above) => {
                let ballot = self.members[member].next_ballot(above);
                let Some(running) = self.members[member].running.get_mut(&copy) else {
                    return;
                };
                let ask = running.proposal.retry(ballot);
                self.ask_voters(member, copy, &ask);
            }
            ProposalStep::Done(outcome) => self.go_on(member, copy, outcome),
        }
    }

    fn go_on(&mut self, member: usize, copy: u64, outcome: ChangeOutcome) {
        let Some(mut running) = self.members[member].running.remove(&copy) else {
            return;
        };
        let copy = running.copy;
        match running.execution.on_outcome(outcome, &TestDocuments) {
            ExecutionStep::Write { expected, bytes } => {
                let change = Change::Write { expected, bytes };
                self.propose(member, copy, running.execution, change);
            }
            ExecutionStep::Reply(reply) => {
                self.oracle.replied(copy.command, &reply);
                self.send(Parcel::Answer { copy, reply });
            }
        }
    }

    /// Gives up rounds that have not ended in time.
    pub fn tend_members(&mut self) {
        for member in 0..self.members.len() {
            let running = self.members[member].running.iter();
            let late = running.filter(|(_, running)| running.began_at + ROUND_STEPS < self.now);
            let late: Vec<u64> = late.map(|(copy, _)| *copy).collect();
            for copy in late {
                let outcome = self.members[member].running[&copy].proposal.abandon();
                self.go_on(member, copy, outcome);
            }
        }
    }

    /// Reads the configuration at a member, with every message delivered.
    pub fn read_now(&mut self, member: usize) -> CommandReply {
        let ballot = self.members[member].next_ballot(Ballot {
            counter: 1 << 40,
            proposer: 0,
        });
        let count = self.voters.len();
        let (mut proposal, mut ask) =
            Proposal::start(CONFIGURATION, Change::Read, 1, ballot, count);
        'asking: loop {
            for voter in 0..count {
                let message = VoterRequest {
                    set_version: self.set.version(),
                    operation: ask.clone(),
                };
                let (_, reply) = self.voters[voter].handle(message);
                self.oracle.look(&self.voters);
                match proposal.on_response(voter, reply) {
                    ProposalStep::Wait => {}
                    ProposalStep::Send(next) => {
                        ask = next;
                        continue 'asking;
                    }
                    ProposalStep::Retry(above) => {
                        ask = proposal.retry(self.members[member].next_ballot(above));
                        continue 'asking;
                    }
                    ProposalStep::Done(outcome) => {
                        let mut execution = CommandExecution::new(super::operators::read_command());
                        let step = execution.on_outcome(outcome, &TestDocuments);
                        let ExecutionStep::Reply(reply) = step else {
                            panic!("a read wants to write");
                        };
                        return reply;
                    }
                }
            }
            panic!("a read does not end");
        }
    }
}
