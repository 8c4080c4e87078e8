//! A seeded simulation of operators, members and voters, in which messages are lost, delayed and reordered. Voters, proposals
//! and command executions are production code.

#![allow(dead_code)]

pub mod documents;
mod faults;
mod members;
mod operators;
mod oracle;

use members::Member;
use operators::Operator;
use oracle::Oracle;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{Acceptor, VoterRef, VoterRequest, VoterResponse, VoterSet};

pub const CONFIGURATION: &str = "configuration";
pub const EVACUATIONS: &str = "evacuations";
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const VOTERS: u64 = 3;
const MEMBERS: usize = 4;

/// One transmission of a command to one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CommandAttempt {
    pub command: u64,
    pub number: u64,
}

pub enum Envelope {
    Command {
        member: usize,
        attempt: CommandAttempt,
    },
    Reply {
        attempt: CommandAttempt,
        reply: operator_commands::CommandReply,
    },
    VoterRequest {
        member: usize,
        incarnation: u64,
        number: u64,
        voter: usize,
        message: VoterRequest,
    },
    VoterResponse {
        member: usize,
        incarnation: u64,
        number: u64,
        voter: usize,
        reply: VoterResponse,
    },
}

pub struct Settings {
    pub operators: usize,
    pub steps: usize,
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Maximum number of acknowledged commands for which an operator pauses.
    pub max_pause: u64,
    pub has_faults: bool,
}

pub struct Cluster {
    pub random: StdRng,
    pub settings: Settings,
    pub set: VoterSet,
    pub voters: Vec<Acceptor>,
    pub members: Vec<Member>,
    pub operators: Vec<Operator>,
    pub in_transit: Vec<Envelope>,
    pub oracle: Oracle,
    pub now: u64,
    pub last_incarnation: u64,
    pub last_command: u64,
    pub last_attempt: u64,
    pub is_ending: bool,
}

impl Cluster {
    pub fn new(seed: u64, settings: Settings) -> Self {
        let voters = (0..VOTERS).map(|disk| VoterRef {
            disk,
            address: String::new(),
        });
        let set = VoterSet {
            epoch: 1,
            number: 1,
            voters: voters.collect(),
        };
        let mut voter = Acceptor::default();
        voter.bootstrap(set.clone());
        let operators = (0..settings.operators).map(|_| Operator::default());
        Self {
            random: StdRng::seed_from_u64(seed),
            operators: operators.collect(),
            settings,
            set,
            voters: vec![voter; VOTERS as usize],
            members: (0..MEMBERS)
                .map(|index| Member::new(index as u64 + 1))
                .collect(),
            in_transit: Vec::new(),
            oracle: Oracle::default(),
            now: 0,
            last_incarnation: MEMBERS as u64,
            last_command: 0,
            last_attempt: 0,
            is_ending: false,
        }
    }

    /// Runs the simulation with faults, then without faults until all commands have ended, and checks the final state.
    pub fn run(&mut self) {
        for _ in 0..self.settings.steps {
            self.step();
        }
        self.settings.loss = 0.0;
        self.settings.has_faults = false;
        self.is_ending = true;
        for _ in 0..self.settings.steps {
            self.step();
            if self.in_transit.is_empty() && self.operators.iter().all(Operator::is_idle) {
                break;
            }
        }
        self.check_reads();
        self.oracle.check_end();
    }

    fn step(&mut self) {
        self.now += 1;
        if self.settings.has_faults {
            self.inject_fault();
        }
        let index = self.random.random_range(0..self.operators.len());
        self.advance_operator(index);
        for _ in 0..self.random.random_range(1..=24) {
            self.deliver_random_message();
        }
        self.expire_proposals();
    }

    fn deliver_random_message(&mut self) {
        if self.in_transit.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.in_transit.len());
        let envelope = self.in_transit.swap_remove(index);
        self.deliver(envelope);
    }

    fn deliver(&mut self, envelope: Envelope) {
        match envelope {
            Envelope::Command { member, attempt } => self.handle_command(member, attempt),
            Envelope::Reply { attempt, reply } => self.handle_reply(attempt, &reply),
            Envelope::VoterRequest {
                member,
                incarnation,
                number,
                voter,
                message,
            } => {
                let (_, reply) = self.voters[voter].handle(message);
                self.oracle.observe(&self.voters);
                self.send(Envelope::VoterResponse {
                    member,
                    incarnation,
                    number,
                    voter,
                    reply,
                });
            }
            Envelope::VoterResponse {
                member,
                incarnation,
                number,
                voter,
                reply,
            } => {
                self.handle_voter_response(member, incarnation, number, voter, reply);
            }
        }
    }

    pub fn send(&mut self, envelope: Envelope) {
        if !self.random.random_bool(self.settings.loss) {
            self.in_transit.push(envelope);
        }
    }

    fn check_reads(&mut self) {
        for member in 0..self.members.len() {
            let reply = self.read_now(member);
            self.oracle.check_read(&reply);
        }
    }
}
