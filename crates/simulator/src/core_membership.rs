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

const POLL_INTERVAL_MS: u64 = 500;
/// Interval between comparisons with the other members' replicas.
const REPAIR_INTERVAL_MS: u64 = 3_000;
const REPLACEMENT_TIMEOUT_MS: u64 = 12_000;
/// Packet numbers of range requests for an installation start here, those for repair at `REPAIR_REQUEST_BASE`.
const RANGE_REQUEST_BASE: u64 = 1 << 40;
const REPAIR_REQUEST_BASE: u64 = 1 << 41;

#[derive(Default)]
struct PulledReplica {
    claim_floors: ClaimFloors,
    missing: BTreeSet<u16>,
    keys: Vec<(String, RegisterState)>,
}

/// A core's progress in joining the voter set, and its schedule for polls and repair.
#[derive(Default)]
pub(crate) struct MembershipState {
    change: MembershipChange,
    next_poll_at: u64,
    next_repair_at: u64,
    peer_statuses: BTreeMap<String, PeerStatus>,
    pulled_replicas: BTreeMap<String, PulledReplica>,
}

impl CoreNode {
    pub fn learn_set(&mut self, set: &VoterSet) {
        if set.version() > self.set.version() {
            self.set = set.clone();
            self.membership.pulled_replicas.clear();
        }
    }

    fn send_message(&self, net: &mut Net, to: &str, number: u64, body: PeerMessage) {
        let packet = self.packet(number, body);
        net.send(&self.peer.name, to, packet);
    }

    pub fn announce_adoption(&self, net: &mut Net, next: &VoterSet) {
        for voter in &self.set.voters {
            self.send_message(net, &voter.address, 2, PeerMessage::Adopt(next.clone()));
        }
    }

    /// Polls all known cores and acts on the responses since the last poll.
    pub fn advance_membership(&mut self, net: &mut Net, oracle: &mut Oracle) {
        if net.now < self.membership.next_poll_at || !self.voter.is_open() {
            return;
        }
        self.membership.next_poll_at = net.now + POLL_INTERVAL_MS;
        let statuses = std::mem::take(&mut self.membership.peer_statuses);
        for one in statuses.values() {
            self.learn_set(&one.set);
        }
        let voters = self.set.voters.iter().map(|voter| voter.address.clone());
        let mut cores: Vec<String> = self.seeds.iter().cloned().chain(voters).collect();
        cores.sort();
        cores.dedup();
        for core in cores {
            self.send_message(net, &core, 2, PeerMessage::Hello);
        }
        let peers: Vec<PeerStatus> = statuses.into_values().collect();
        self.advance_bootstrap(net, oracle, &peers);
        self.advance_repair(net);
        for one in &peers {
            let (name, set) = (&one.address, &one.set);
            let is_member = self.set.voters.iter().any(|voter| voter.disk == one.disk);
            if is_member && set.epoch == self.set.epoch && set.number < self.set.number {
                self.send_message(net, name, 2, PeerMessage::Adopt(self.set.clone()));
            }
        }
        if self.voter.acceptor().set().epoch != 0 || self.set.epoch == 0 {
            return;
        }
        let answering: Vec<u64> = peers.iter().map(|peer| peer.disk).collect();
        if !answering.is_empty() {
            let purpose = Purpose::JoinRead(answering);
            self.propose(net, VOTERS_KEY, Change::Read, purpose);
        }
    }

    /// Requests the other members' digests once per repair interval.
    fn advance_repair(&mut self, net: &mut Net) {
        if net.now < self.membership.next_repair_at || self.voter.acceptor().set().epoch == 0 {
            return;
        }
        self.membership.next_repair_at = net.now + REPAIR_INTERVAL_MS;
        for voter in self
            .set
            .voters
            .iter()
            .filter(|voter| voter.disk != self.disk)
        {
            self.send_message(net, &voter.address, 2, PeerMessage::Digests);
        }
    }

    /// Requests the ranges in which another member's replica differs.
    fn request_differing_ranges(&self, net: &mut Net, from: &str, replica: &ReplicaDigest) {
        let held = self.voter.acceptor();
        if held.set().epoch == 0 || replica.set.version() != held.set().version() {
            return;
        }
        for range in held.digests().differing_ranges(&replica.ranges) {
            let number = REPAIR_REQUEST_BASE + u64::from(range);
            self.send_message(net, from, number, PeerMessage::Range(range));
        }
    }

    fn apply_repair(&mut self, oracle: &mut Oracle, keys: Vec<(String, RegisterState)>) {
        let before = self.voter.acceptor().digests().clone();
        self.voter.repair(keys);
        if self.voter.sync() && *self.voter.acceptor().digests() != before {
            oracle.count_case("mended");
        }
    }

    pub fn on_voters_read(&mut self, net: &mut Net, answering: &[u64], outcome: &ChangeOutcome) {
        let ChangeOutcome::Committed(stored) = outcome else {
            return;
        };
        let set = self.set.clone();
        let newest = VoterSet::read_from_buffer(&stored.bytes).unwrap_or_else(|_| set.clone());
        let own_ref = VoterRef {
            disk: self.disk,
            address: self.peer.name.clone(),
        };
        let view = MembershipView {
            now: net.now,
            replacement_timeout_ms: REPLACEMENT_TIMEOUT_MS,
            local_voter: &own_ref,
            set: &set,
            answering,
            committed_version: stored.version,
            committed_set: &newest,
        };
        match self.membership.change.decide(&view) {
            MembershipStep::Wait => {}
            MembershipStep::Adopt(next) => self.announce_adoption(net, &next),
            MembershipStep::Propose { expected, next } => {
                let bytes = next.write_to_vec().unwrap_or_default();
                let change = Change::Write { expected, bytes };
                self.propose(net, VOTERS_KEY, change, Purpose::JoinWrite(next));
            }
            MembershipStep::Install => {
                for voter in set.voters.iter().filter(|voter| voter.disk != self.disk) {
                    self.request_missing_ranges(net, &voter.address);
                }
            }
        }
    }

    /// Requests the ranges still missing from a member's replica. Ranges may be read at different times,
    /// as long as the member was in the set by then.
    fn request_missing_ranges(&self, net: &mut Net, member: &str) {
        let Some(pulled) = self.membership.pulled_replicas.get(member) else {
            return self.send_message(net, member, 2, PeerMessage::Digests);
        };
        for range in &pulled.missing {
            let number = RANGE_REQUEST_BASE + u64::from(*range);
            self.send_message(net, member, number, PeerMessage::Range(*range));
        }
    }

    /// Handles messages about voter sets and replicas.
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
                let response = PeerMessage::HelloResponse {
                    disk: self.disk,
                    set: held.set().clone(),
                    fronts_epoch: self.fronts_epoch(),
                };
                self.send_message(net, &from, packet.number, response);
            }
            PeerMessage::HelloResponse {
                disk,
                set,
                fronts_epoch,
            } => {
                let status = PeerStatus {
                    address: from.clone(),
                    disk,
                    set,
                    gateway_epoch: fronts_epoch,
                };
                self.membership.peer_statuses.insert(from, status);
            }
            PeerMessage::Adopt(set) => {
                self.voter.adopt_set(set.clone());
                if self.voter.sync() {
                    self.learn_set(&set);
                }
            }
            PeerMessage::Digests => {
                let replica = ReplicaDigest {
                    is_open: self.voter.is_open(),
                    set: held.set().clone(),
                    claim_floors: held.claim_floors(),
                    ranges: held.digests().as_slice().to_vec(),
                };
                self.send_message(
                    net,
                    &from,
                    packet.number,
                    PeerMessage::DigestsResponse(replica),
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
            PeerMessage::DigestsResponse(replica) => {
                self.request_differing_ranges(net, &from, &replica);
                self.start_pull(net, &from, &replica);
            }
            PeerMessage::Range(range) => {
                let response = PeerMessage::RangeResponse(held.registers_in_range(range));
                self.send_message(net, &from, packet.number, response);
            }
            PeerMessage::RangeResponse(keys) if packet.number >= REPAIR_REQUEST_BASE => {
                self.apply_repair(oracle, keys);
            }
            PeerMessage::RangeResponse(keys) => {
                let range = packet.number.wrapping_sub(RANGE_REQUEST_BASE) as u16;
                if let Some(pulled) = self.membership.pulled_replicas.get_mut(&from) {
                    if pulled.missing.remove(&range) {
                        pulled.keys.extend(keys);
                    }
                }
                self.install_if_complete();
            }
            _ => {}
        }
    }

    fn start_pull(&mut self, net: &mut Net, from: &str, replica: &ReplicaDigest) {
        let is_wanted =
            self.voter.acceptor().set().epoch == 0 && replica.set.version() == self.set.version();
        if !is_wanted || self.membership.pulled_replicas.contains_key(from) {
            return;
        }
        let ranges = replica.ranges.iter().enumerate();
        let missing: BTreeSet<u16> = ranges
            .filter(|(_, digest)| **digest != 0)
            .map(|(range, _)| range as u16)
            .collect();
        let pulled = PulledReplica {
            claim_floors: replica.claim_floors,
            missing,
            keys: Vec::new(),
        };
        self.membership
            .pulled_replicas
            .insert(from.to_string(), pulled);
        self.request_missing_ranges(net, from);
    }

    /// Starts voting once the replicas of a majority of the other members are complete.
    fn install_if_complete(&mut self) {
        let is_member = self.set.voters.iter().any(|voter| voter.disk == self.disk);
        let complete = self.membership.pulled_replicas.values();
        let complete: Vec<&PulledReplica> = complete
            .filter(|pulled| pulled.missing.is_empty())
            .collect();
        if !is_member || complete.len() < self.set.majority() {
            return;
        }
        let claim_floors = complete
            .iter()
            .fold(ClaimFloors::default(), |floors, pulled| {
                floors.max(pulled.claim_floors)
            });
        let replicas = complete.iter().map(|pulled| pulled.keys.clone()).collect();
        let installation = Installation {
            set: self.set.clone(),
            claim_floors,
            registers: merge_replicas(replicas),
        };
        self.voter.install(installation);
        self.voter.sync();
        self.membership.pulled_replicas.clear();
    }
}
