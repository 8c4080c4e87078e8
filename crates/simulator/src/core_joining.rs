use crate::core_node::{CoreNode, Purpose};
use crate::net::{Net, Packet};
use crate::oracle::Oracle;
use register::{
    merge_replicas, Change, ChangeOutcome, ClaimFloors, RegisterState, VoterRef, VoterSet,
    VOTERS_KEY,
};
use speedy::{Readable, Writable};
use std::collections::{BTreeMap, BTreeSet};
use transport::{PeerMessage, ReplicaDigest};
use voter::{Installation, MembershipChange, MembershipStep, MembershipView, PeerStatus};

const CYCLE: u64 = 500;
/// Time between comparisons with the other members' copies.
const REPAIR: u64 = 3_000;
const TIMEOUT: u64 = 12_000;
/// Numbers of questions for ranges begin here.
const RANGE_BASE: u64 = 1 << 40;
const REPAIR_BASE: u64 = 1 << 41;

#[derive(Default)]
struct PulledReplica {
    claim_floors: ClaimFloors,
    missing: BTreeSet<u16>,
    keys: Vec<(String, RegisterState)>,
}

/// An empty core's way into the set, as far as it has come.
#[derive(Default)]
pub(crate) struct Joining {
    joining: MembershipChange,
    next_at: u64,
    repair_at: u64,
    heard: BTreeMap<String, PeerStatus>,
    pulled: BTreeMap<String, PulledReplica>,
}

impl CoreNode {
    pub fn learn_set(&mut self, set: &VoterSet) {
        if set.version() > self.set.version() {
            self.set = set.clone();
            self.join.pulled.clear();
        }
    }

    fn say(&self, net: &mut Net, to: &str, number: u64, body: PeerMessage) {
        let packet = self.packet(number, body);
        net.send(&self.peer.name, to, packet);
    }

    pub fn announce_adoption(&self, net: &mut Net, next: &VoterSet) {
        for voter in &self.set.voters {
            self.say(net, &voter.address, 2, PeerMessage::Adopt(next.clone()));
        }
    }

    /// Asks who is there, and goes on from what was heard since the last time.
    pub fn advance_membership(&mut self, net: &mut Net, oracle: &mut Oracle) {
        if net.now < self.join.next_at || !self.voter.is_open() {
            return;
        }
        self.join.next_at = net.now + CYCLE;
        let heard = std::mem::take(&mut self.join.heard);
        for one in heard.values() {
            self.learn_set(&one.set);
        }
        let voters = self.set.voters.iter().map(|voter| voter.address.clone());
        let mut cores: Vec<String> = self.seeds.iter().cloned().chain(voters).collect();
        cores.sort();
        cores.dedup();
        for core in cores {
            self.say(net, &core, 2, PeerMessage::Hello);
        }
        let known: Vec<PeerStatus> = heard.into_values().collect();
        self.advance_founding(net, oracle, &known);
        self.advance_repair(net);
        for one in &known {
            let (name, set) = (&one.address, &one.set);
            let is_member = self.set.voters.iter().any(|voter| voter.disk == one.disk);
            if is_member && set.epoch == self.set.epoch && set.number < self.set.number {
                self.say(net, name, 2, PeerMessage::Adopt(self.set.clone()));
            }
        }
        if self.voter.acceptor().set().epoch != 0 || self.set.epoch == 0 {
            return;
        }
        let answering: Vec<u64> = known.iter().map(|one| one.disk).collect();
        if !answering.is_empty() {
            let purpose = Purpose::JoinRead(answering);
            self.propose(net, VOTERS_KEY, Change::Read, purpose);
        }
    }

    /// Asks the other members for their digests, now and then.
    fn advance_repair(&mut self, net: &mut Net) {
        if net.now < self.join.repair_at || self.voter.acceptor().set().epoch == 0 {
            return;
        }
        self.join.repair_at = net.now + REPAIR;
        for voter in self
            .set
            .voters
            .iter()
            .filter(|voter| voter.disk != self.disk)
        {
            self.say(net, &voter.address, 2, PeerMessage::Digests);
        }
    }

    /// Asks for the ranges in which another member's copy differs.
    fn compare(&self, net: &mut Net, from: &str, copy: &ReplicaDigest) {
        let held = self.voter.acceptor();
        if held.set().epoch == 0 || copy.set.version() != held.set().version() {
            return;
        }
        for range in held.digests().differing_ranges(&copy.ranges) {
            let number = REPAIR_BASE + u64::from(range);
            self.say(net, from, number, PeerMessage::Range(range));
        }
    }

    fn mend(&mut self, oracle: &mut Oracle, keys: Vec<(String, RegisterState)>) {
        let before = self.voter.acceptor().digests().clone();
        self.voter.repair(keys);
        if self.voter.sync() && *self.voter.acceptor().digests() != before {
            oracle.count_case("mended");
        }
    }

    pub fn join_read(&mut self, net: &mut Net, answering: &[u64], outcome: &ChangeOutcome) {
        let ChangeOutcome::Committed(stored) = outcome else {
            return;
        };
        let set = self.set.clone();
        let newest = VoterSet::read_from_buffer(&stored.bytes).unwrap_or_else(|_| set.clone());
        let me = VoterRef {
            disk: self.disk,
            address: self.peer.name.clone(),
        };
        let view = MembershipView {
            now: net.now,
            replacement_timeout_ms: TIMEOUT,
            local_voter: &me,
            set: &set,
            answering,
            committed_version: stored.version,
            committed_set: &newest,
        };
        match self.join.joining.decide(&view) {
            MembershipStep::Wait => {}
            MembershipStep::Adopt(next) => self.announce_adoption(net, &next),
            MembershipStep::Propose { expected, next } => {
                let bytes = next.write_to_vec().unwrap_or_default();
                let change = Change::Write { expected, bytes };
                self.propose(net, VOTERS_KEY, change, Purpose::JoinWrite(next));
            }
            MembershipStep::Install => {
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
            return self.say(net, member, 2, PeerMessage::Digests);
        };
        for range in &pulled.missing {
            let number = RANGE_BASE + u64::from(*range);
            self.say(net, member, number, PeerMessage::Range(*range));
        }
    }

    /// Takes the messages that have to do with sets and copies.
    pub fn on_membership(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        packet: &Packet,
        message: PeerMessage,
    ) {
        let from = packet.from.name.clone();
        let held = self.voter.acceptor();
        match message {
            PeerMessage::Hello => {
                let answer = PeerMessage::HelloResponse {
                    disk: self.disk,
                    set: held.set().clone(),
                    fronts_epoch: self.fronts_epoch(),
                };
                self.say(net, &from, packet.number, answer);
            }
            PeerMessage::HelloResponse {
                disk,
                set,
                fronts_epoch,
            } => {
                let heard = PeerStatus {
                    address: from.clone(),
                    disk,
                    set,
                    gateway_epoch: fronts_epoch,
                };
                self.join.heard.insert(from, heard);
            }
            PeerMessage::Adopt(set) => {
                self.voter.adopt_set(set.clone());
                if self.voter.sync() {
                    self.learn_set(&set);
                }
            }
            PeerMessage::Digests => {
                let copy = ReplicaDigest {
                    is_open: self.voter.is_open(),
                    set: held.set().clone(),
                    claim_floors: held.claim_floors(),
                    ranges: held.digests().as_slice().to_vec(),
                };
                self.say(
                    net,
                    &from,
                    packet.number,
                    PeerMessage::DigestsResponse(copy),
                );
            }
            PeerMessage::Form(set, floor)
                if set.voters.iter().any(|voter| voter.disk == self.disk) =>
            {
                self.voter.bootstrap(set.clone(), floor);
                if self.voter.sync() {
                    self.learn_set(&set);
                }
            }
            PeerMessage::DigestsResponse(copy) => {
                self.compare(net, &from, &copy);
                self.pull(net, &from, &copy);
            }
            PeerMessage::Range(range) => {
                let answer = PeerMessage::RangeResponse(held.registers_in_range(range));
                self.say(net, &from, packet.number, answer);
            }
            PeerMessage::RangeResponse(keys) if packet.number >= REPAIR_BASE => {
                self.mend(oracle, keys);
            }
            PeerMessage::RangeResponse(keys) => {
                let range = packet.number.wrapping_sub(RANGE_BASE) as u16;
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

    fn pull(&mut self, net: &mut Net, from: &str, copy: &ReplicaDigest) {
        let is_wanted =
            self.voter.acceptor().set().epoch == 0 && copy.set.version() == self.set.version();
        if !is_wanted || self.join.pulled.contains_key(from) {
            return;
        }
        let ranges = copy.ranges.iter().enumerate();
        let missing: BTreeSet<u16> = ranges
            .filter(|(_, digest)| **digest != 0)
            .map(|(range, _)| range as u16)
            .collect();
        let pulled = PulledReplica {
            claim_floors: copy.claim_floors,
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
        let whole: Vec<&PulledReplica> = whole.filter(|pulled| pulled.missing.is_empty()).collect();
        if !is_member || whole.len() < self.set.majority() {
            return;
        }
        let claim_floors = whole.iter().fold(ClaimFloors::default(), |floors, pulled| {
            floors.max(pulled.claim_floors)
        });
        let copies = whole.iter().map(|pulled| pulled.keys.clone()).collect();
        let given = Installation {
            set: self.set.clone(),
            claim_floors,
            registers: merge_replicas(copies),
        };
        self.voter.install(given);
        self.voter.sync();
        self.join.pulled.clear();
    }
}
