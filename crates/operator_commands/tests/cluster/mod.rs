//! Operators, members and voters in a seeded world whose messages are lost, late and out of order. Voters and rounds are
//! the product's own; members run the product's own executions of commands.

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

/// One sending of a command to one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Copy {
    pub command: u64,
    pub number: u64,
}

pub enum Parcel {
    Command {
        member: usize,
        copy: Copy,
    },
    Answer {
        copy: Copy,
        reply: operator_commands::CommandReply,
    },
    Ask {
        member: usize,
        life: u64,
        number: u64,
        voter: usize,
        message: VoterRequest,
    },
    VoterAnswer {
        member: usize,
        life: u64,
        number: u64,
        voter: usize,
        reply: VoterResponse,
    },
}

pub struct Settings {
    pub operators: usize,
    pub steps: usize,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Commands after which a paused operator goes on, at most.
    pub longest_pause: u64,
    pub has_faults: bool,
}

pub struct Cluster {
    pub random: StdRng,
    pub settings: Settings,
    pub set: VoterSet,
    pub voters: Vec<Acceptor>,
    pub members: Vec<Member>,
    pub operators: Vec<Operator>,
    pub parcels: Vec<Parcel>,
    pub oracle: Oracle,
    pub now: u64,
    pub last_life: u64,
    pub last_command: u64,
    pub last_copy: u64,
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
                .map(|place| Member::new(place as u64 + 1))
                .collect(),
            parcels: Vec::new(),
            oracle: Oracle::default(),
            now: 0,
            last_life: MEMBERS as u64,
            last_command: 0,
            last_copy: 0,
            is_ending: false,
        }
    }

    /// Runs the troubled part, then lets everything come to an end and reads back.
    pub fn run(&mut self) {
        for _ in 0..self.settings.steps {
            self.step();
        }
        self.settings.loss = 0.0;
        self.settings.has_faults = false;
        self.is_ending = true;
        for _ in 0..self.settings.steps {
            self.step();
            if self.parcels.is_empty() && self.operators.iter().all(Operator::is_idle) {
                break;
            }
        }
        self.read_back();
        self.oracle.end();
    }

    fn step(&mut self) {
        self.now += 1;
        if self.settings.has_faults {
            self.befall();
        }
        let place = self.random.random_range(0..self.operators.len());
        self.tend_operator(place);
        for _ in 0..self.random.random_range(1..=24) {
            self.deliver_any();
        }
        self.tend_members();
    }

    fn deliver_any(&mut self) {
        if self.parcels.is_empty() {
            return;
        }
        let place = self.random.random_range(0..self.parcels.len());
        let parcel = self.parcels.swap_remove(place);
        self.deliver(parcel);
    }

    fn deliver(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Command { member, copy } => self.take_command(member, copy),
            Parcel::Answer { copy, reply } => self.take_answer(copy, &reply),
            Parcel::Ask {
                member,
                life,
                number,
                voter,
                message,
            } => {
                let (_, reply) = self.voters[voter].handle(message);
                self.oracle.look(&self.voters);
                self.send(Parcel::VoterAnswer {
                    member,
                    life,
                    number,
                    voter,
                    reply,
                });
            }
            Parcel::VoterAnswer {
                member,
                life,
                number,
                voter,
                reply,
            } => {
                self.take_voter_answer(member, life, number, voter, reply);
            }
        }
    }

    pub fn send(&mut self, parcel: Parcel) {
        if !self.random.random_bool(self.settings.loss) {
            self.parcels.push(parcel);
        }
    }

    fn read_back(&mut self) {
        for member in 0..self.members.len() {
            let reply = self.read_now(member);
            self.oracle.read_back(&reply);
        }
    }
}
