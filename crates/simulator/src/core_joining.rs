use crate::core_node::{CoreNode, Purpose};
use crate::net::{Net, Parcel};
use register::{merged, Change, Held, Outcome, VoterRef, VoterSet, VOTERS_KEY};
use speedy::{Readable, Writable};
use std::collections::{BTreeMap, BTreeSet};
use voter::{Installing, JoinStep, Joining};
use wire::{Copy, Message};

const CYCLE: u64 = 500;
const PATIENCE: u64 = 12_000;
/// Numbers of questions for ranges begin here.
const RANGE_BASE: u64 = 1 << 40;

#[derive(Default)]
struct Pulled {
    floors: (u64, u64),
    missing: BTreeSet<u16>,
    keys: Vec<(String, Held)>,
}

/// An empty core's way into the set, as far as it has come.
#[derive(Default)]
pub(crate) struct Join {
    joining: Joining,
    next_at: u64,
    heard: BTreeMap<String, (u64, VoterSet)>,
    pulled: BTreeMap<String, Pulled>,
}

impl CoreNode {
    pub fn learn_set(&mut self, set: &VoterSet) {
        if set.mark() > self.set.mark() {
            self.set = set.clone();
            self.join.pulled.clear();
        }
    }

    fn say(&self, net: &mut Net, to: &str, number: u64, body: Message) {
        let parcel = self.parcel(number, body);
        net.send(&self.peer.name, to, parcel);
    }

    pub fn tell_adopt(&self, net: &mut Net, next: &VoterSet) {
        for voter in &self.set.voters {
            self.say(net, &voter.address, 2, Message::Adopt(next.clone()));
        }
    }

    /// Asks who is there, and goes on from what was heard since the last time.
    pub fn tend_membership(&mut self, net: &mut Net) {
        if net.now < self.join.next_at || !self.voter.is_open() {
            return;
        }
        self.join.next_at = net.now + CYCLE;
        let heard = std::mem::take(&mut self.join.heard);
        for (_, set) in heard.values() {
            self.learn_set(set);
        }
        for voter in &self.set.voters {
            self.say(net, &voter.address, 2, Message::Hello);
        }
        for (name, (disk, set)) in &heard {
            let is_member = self.set.voters.iter().any(|voter| voter.disk == *disk);
            if is_member && set.era == self.set.era && set.no < self.set.no {
                self.say(net, name, 2, Message::Adopt(self.set.clone()));
            }
        }
        if self.voter.held().set().era != 0 {
            return;
        }
        let answering: Vec<u64> = heard.values().map(|(disk, _)| *disk).collect();
        if !answering.is_empty() {
            let purpose = Purpose::JoinRead(answering);
            self.propose(net, VOTERS_KEY, Change::Read, purpose);
        }
    }

    pub fn join_read(&mut self, net: &mut Net, answering: &[u64], outcome: &Outcome) {
        let Outcome::Settled(stored) = outcome else {
            return;
        };
        let set = self.set.clone();
        let newest = VoterSet::read_from_buffer(&stored.bytes).unwrap_or_else(|_| set.clone());
        let me = VoterRef {
            disk: self.disk,
            address: self.peer.name.clone(),
        };
        let settled = (stored.version, &newest);
        let now = net.now;
        let step = self
            .join
            .joining
            .decide(now, PATIENCE, &me, &set, answering, settled);
        match step {
            JoinStep::Wait => {}
            JoinStep::Adopt(next) => self.tell_adopt(net, &next),
            JoinStep::Claim(expected, next) => {
                let bytes = next.write_to_vec().unwrap_or_default();
                let change = Change::Write { expected, bytes };
                self.propose(net, VOTERS_KEY, change, Purpose::JoinWrite(next));
            }
            JoinStep::Install => {
                for voter in set.voters.iter().filter(|voter| voter.disk != self.disk) {
                    self.ask_for_copy(net, &voter.address);
                }
            }
        }
    }

    /// Asks for what is still missing of a member's copy. Each range may be of its own time, as
    /// long as the member was in the set by then.
    fn ask_for_copy(&self, net: &mut Net, member: &str) {
        let Some(pulled) = self.join.pulled.get(member) else {
            return self.say(net, member, 2, Message::Digests);
        };
        for range in &pulled.missing {
            let number = RANGE_BASE + u64::from(*range);
            self.say(net, member, number, Message::Range(*range));
        }
    }

    /// Takes the messages that have to do with sets and copies.
    pub fn on_membership(&mut self, net: &mut Net, parcel: &Parcel, message: Message) {
        let from = parcel.from.name.clone();
        let held = self.voter.held();
        match message {
            Message::Hello => {
                let answer = Message::HelloAnswer {
                    disk: self.disk,
                    set: held.set().clone(),
                };
                self.say(net, &from, parcel.number, answer);
            }
            Message::HelloAnswer { disk, set } => {
                self.join.heard.insert(from, (disk, set));
            }
            Message::Adopt(set) => {
                self.voter.adopt(set.clone());
                if self.voter.sync() {
                    self.learn_set(&set);
                }
            }
            Message::Digests => {
                let copy = Copy {
                    set: held.set().clone(),
                    floors: held.floors(),
                    ranges: held.digests().all().to_vec(),
                };
                self.say(net, &from, parcel.number, Message::DigestsAnswer(copy));
            }
            Message::DigestsAnswer(copy) => self.pull(net, &from, &copy),
            Message::Range(range) => {
                let answer = Message::RangeAnswer(held.range(range));
                self.say(net, &from, parcel.number, answer);
            }
            Message::RangeAnswer(keys) => {
                let range = parcel.number.wrapping_sub(RANGE_BASE) as u16;
                if let Some(pulled) = self.join.pulled.get_mut(&from) {
                    if pulled.missing.remove(&range) {
                        pulled.keys.extend(keys);
                    }
                }
                self.install();
            }
            _ => {}
        }
    }

    fn pull(&mut self, net: &mut Net, from: &str, copy: &Copy) {
        let is_wanted = self.voter.held().set().era == 0 && copy.set.mark() == self.set.mark();
        if !is_wanted || self.join.pulled.contains_key(from) {
            return;
        }
        let ranges = copy.ranges.iter().enumerate();
        let missing: BTreeSet<u16> = ranges
            .filter(|(_, digest)| **digest != 0)
            .map(|(range, _)| range as u16)
            .collect();
        let pulled = Pulled {
            floors: copy.floors,
            missing,
            keys: Vec::new(),
        };
        self.join.pulled.insert(from.to_string(), pulled);
        self.ask_for_copy(net, from);
    }

    /// Votes from now on, where a majority of the other members' copies is whole.
    fn install(&mut self) {
        let is_member = self.set.voters.iter().any(|voter| voter.disk == self.disk);
        let whole = self.join.pulled.values();
        let whole: Vec<&Pulled> = whole.filter(|pulled| pulled.missing.is_empty()).collect();
        if !is_member || whole.len() < self.set.majority() {
            return;
        }
        let floors = whole.iter().fold((0, 0), |floors: (u64, u64), pulled| {
            (floors.0.max(pulled.floors.0), floors.1.max(pulled.floors.1))
        });
        let copies = whole.iter().map(|pulled| pulled.keys.clone()).collect();
        let given = Installing {
            set: self.set.clone(),
            floors,
            keys: merged(copies),
        };
        self.voter.install(given);
        self.voter.sync();
        self.join.pulled.clear();
    }
}
