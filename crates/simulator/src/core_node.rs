use crate::core_bootstrap::BootstrapState;
use crate::core_membership::MembershipState;
use crate::core_puts::PendingPut;
use crate::net::{Event, Net, Packet};
use crate::oracle::Oracle;
use crate::platform::SimulatedPlatform;
use configuration::{Configuration, PeerRef, Plan, Version};
use journal::MemoryFolder;
use leader_election::{ElectionStep, LeaderElection, Leadership};
use rand::Rng;
use register::{Ballot, Change, ChangeOutcome, Proposal, ProposalStep, VoterOperation, VoterSet};
use request_queue::FrontMessage;
use scaler::{CommandPlanner, FrontObservation, Scaler};
use speedy::Writable;
use std::collections::BTreeMap;
use std::sync::Arc;
use transport::{ConfigurationUpdate, PeerMessage, PlanUpdate, StateUpdate};
use voter::Voter;

const PROPOSAL_TIMEOUT_MS: u64 = 500;

pub(crate) enum Purpose {
    JoinRead(Vec<u64>),
    JoinWrite(VoterSet),
    Role(u64, Option<Leadership>),
    Refresh,
    Certain(Box<Packet>),
    Plan,
    PutRead(PendingPut),
    PutWrite(PendingPut),
}

struct RunningProposal {
    proposal: Proposal,
    /// The voter set the proposal started under; its responses must not be counted under another set.
    set: VoterSet,
    key: String,
    number: u64,
    deadline: u64,
    purpose: Purpose,
}

/// The newest committed configuration and plan that a core knows.
#[derive(Clone)]
pub(crate) struct InForce {
    pub configuration_version: Version,
    pub configuration: Arc<Configuration>,
    pub text: String,
    pub plan_version: Version,
    pub plan: Arc<Plan>,
}

/// A simulated core: voter, leader election and scaler with minimal glue code.
pub(crate) struct CoreNode {
    pub peer: PeerRef,
    pub voter: Voter,
    /// The disk contents, which survive restarts, and below it the disk id that was created with them.
    pub folder: MemoryFolder,
    pub disk: u64,
    pub membership: MembershipState,
    pub bootstrap: BootstrapState,
    pub set: VoterSet,
    pub seeds: Vec<String>,
    pub in_force: InForce,
    pub fronts: BTreeMap<String, FrontObservation>,
    pub puts: Vec<(PendingPut, Version, u64)>,
    proposals: BTreeMap<u64, RunningProposal>,
    pub scaler_role: LeaderElection,
    pub scaler: Scaler,
    pub commands: CommandPlanner,
    counter: u64,
    refreshed_at: u64,
    pub claims_expired_at: u64,
    pub is_planning: bool,
    /// Whether the plan was read from a majority in this incarnation.
    pub is_certain: bool,
}

impl CoreNode {
    pub fn new(
        peer: PeerRef,
        folder: MemoryFolder,
        disk: u64,
        seeds: Vec<String>,
        now: u64,
    ) -> Self {
        // A disk that is full now is opened at the next start, once space is free.
        let voter = Voter::open(Box::new(folder.clone())).unwrap_or_else(|_| Voter::unreadable());
        let lease = Configuration::empty().bounds.role_lease_ms();
        let mut fresh = 0u64;
        let fresh_key = move || {
            fresh += 1;
            fresh.to_le_bytes().to_vec()
        };
        Self {
            scaler_role: LeaderElection::new(peer.clone(), lease, now),
            peer,
            folder,
            disk,
            membership: MembershipState::default(),
            bootstrap: BootstrapState::default(),
            set: voter.acceptor().set().clone(),
            seeds,
            voter,
            in_force: InForce {
                configuration_version: Version::default(),
                configuration: Arc::new(Configuration::empty()),
                text: String::new(),
                plan_version: Version::default(),
                plan: Arc::default(),
            },
            fronts: BTreeMap::new(),
            puts: Vec::new(),
            proposals: BTreeMap::new(),
            scaler: Scaler::new(Box::new(fresh_key)),
            commands: CommandPlanner::default(),
            counter: 0,
            refreshed_at: now,
            claims_expired_at: now,
            is_planning: false,
            is_certain: false,
        }
    }

    pub fn handle(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        platform: &SimulatedPlatform,
        event: Event,
    ) {
        match event {
            Event::Tick(_) => self.tick(net, oracle, platform),
            Event::Deliver(packet) => self.deliver(net, oracle, packet),
            Event::CommandDone(command, result) => self.commands.on_result(&command, result),
            Event::PendingPut => self.begin_put(net),
            _ => {}
        }
    }

    pub fn packet(&self, number: u64, body: PeerMessage) -> Packet {
        Packet {
            from: self.peer.clone(),
            number,
            body,
        }
    }

    fn deliver(&mut self, net: &mut Net, oracle: &mut Oracle, packet: Packet) {
        match packet.body.clone() {
            PeerMessage::Voter(message) => {
                let reply = self.voter.handle(message);
                let reply = if self.voter.sync() {
                    reply
                } else {
                    Voter::disk_failed_response()
                };
                let answer = self.packet(packet.number, PeerMessage::VoterResponse(reply));
                net.send(&self.peer.name, &packet.from.name, answer);
            }
            PeerMessage::VoterResponse(reply) => {
                let mut found = self.proposals.iter_mut();
                let found = found.find(|(_, running)| running.number == packet.number);
                let Some((id, running)) = found else {
                    return;
                };
                let id = *id;
                let mut voters = running.set.voters.iter();
                let voter_index = voters.position(|voter| voter.address == packet.from.name);
                let Some(voter_index) = voter_index else {
                    return;
                };
                match running.proposal.on_response(voter_index, reply) {
                    ProposalStep::Wait => {}
                    ProposalStep::Send(operation) => self.send_to_voters(net, id, &operation),
                    ProposalStep::Retry(above) => {
                        self.counter = self.counter.max(above.counter);
                        let ballot = self.next_ballot();
                        if let Some(running) = self.proposals.get_mut(&id) {
                            let operation = running.proposal.retry(ballot);
                            self.send_to_voters(net, id, &operation);
                        }
                    }
                    ProposalStep::Done(outcome) => self.on_proposal_done(net, oracle, id, outcome),
                }
            }
            PeerMessage::AwaitUpdate {
                configuration,
                plan,
                wants_certain,
            } => {
                if wants_certain {
                    let purpose = Purpose::Certain(Box::new(packet));
                    self.propose(net, "blueprint", Change::Read, purpose);
                } else {
                    self.send_update(net, &packet, configuration, plan, false);
                }
            }
            PeerMessage::Front(FrontMessage::Heartbeat { stamp, .. }) => {
                self.respond_to_heartbeat(net, &packet, stamp)
            }
            PeerMessage::StateUpdate(update) => self.on_update(update),
            PeerMessage::Report(report) => {
                if !report.is_witness {
                    let clock_offset_ms = report.wall_ms as i64 - net.wall as i64;
                    self.bootstrap
                        .record_clock_offset(&packet.from.name, clock_offset_ms);
                }
                let observation = FrontObservation {
                    peer: packet.from.clone(),
                    heard_at: net.now,
                    report,
                };
                self.fronts.insert(packet.from.name, observation);
            }
            message => self.on_membership(net, oracle, &packet, message),
        }
    }

    fn send_update(
        &mut self,
        net: &mut Net,
        packet: &Packet,
        configuration: Version,
        plan: Version,
        is_certain: bool,
    ) {
        let in_force = &self.in_force;
        let update = StateUpdate {
            configuration: (in_force.configuration_version > configuration).then(|| {
                ConfigurationUpdate {
                    version: in_force.configuration_version,
                    text: in_force.text.clone(),
                }
            }),
            plan: (in_force.plan_version > plan).then(|| PlanUpdate {
                version: in_force.plan_version,
                plan: (*in_force.plan).clone(),
            }),
            set: self.set.clone(),
            is_certain,
            ..StateUpdate::default()
        };
        let answer = self.packet(packet.number, PeerMessage::StateUpdate(update));
        net.send(&self.peer.name, &packet.from.name, answer);
    }

    fn next_ballot(&mut self) -> Ballot {
        self.counter += 1;
        Ballot {
            counter: self.counter,
            proposer: self.peer.incarnation,
        }
    }

    fn send_to_voters(&mut self, net: &mut Net, id: u64, operation: &VoterOperation) {
        self.counter += 1;
        let number = self.counter;
        let Some(running) = self.proposals.get_mut(&id) else {
            return;
        };
        running.number = number;
        net.send_to_voters(&self.peer, &running.set, number, operation);
    }

    pub fn propose(&mut self, net: &mut Net, key: &str, change: Change, purpose: Purpose) {
        let ballot = self.next_ballot();
        let tag = self.peer.incarnation ^ ballot.counter.rotate_left(32);
        let voters = self.set.voters.len();
        let (proposal, operation) = Proposal::start(key, change, tag, ballot, voters);
        let running = RunningProposal {
            proposal,
            set: self.set.clone(),
            key: key.to_string(),
            number: 0,
            deadline: net.now + PROPOSAL_TIMEOUT_MS,
            purpose,
        };
        self.proposals.insert(ballot.counter, running);
        self.send_to_voters(net, ballot.counter, &operation);
    }

    fn tick(&mut self, net: &mut Net, oracle: &mut Oracle, platform: &SimulatedPlatform) {
        let now = net.now;
        let expired = self.proposals.iter();
        let expired: Vec<u64> = expired
            .filter(|(_, running)| running.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let Some(running) = self.proposals.get(&id) else {
                continue;
            };
            let outcome = running.proposal.abandon();
            self.on_proposal_done(net, oracle, id, outcome);
        }
        if self.set.epoch > 0 && now >= self.refreshed_at + 300 {
            self.refreshed_at = now;
            for key in ["blueprint", "plan"] {
                self.propose(net, key, Change::Read, Purpose::Refresh);
            }
        }
        let key = "duty/scaler";
        self.scaler_role.enter_epoch(self.set.epoch);
        self.expire_claims(net, oracle);
        match self.scaler_role.next_step(now) {
            ElectionStep::Wait => {}
            ElectionStep::Read => self.propose(net, key, Change::Read, Purpose::Role(now, None)),
            ElectionStep::Write(expected, tenure) => {
                let bytes = tenure.write_to_vec().unwrap_or_default();
                let change = Change::Write { expected, bytes };
                self.propose(net, key, change, Purpose::Role(now, Some(tenure)));
            }
        }
        self.report_versions(net);
        self.advance_membership(net, oracle);
        self.acknowledge(net, oracle);
        self.scale(net, platform);
    }

    fn on_proposal_done(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        id: u64,
        outcome: ChangeOutcome,
    ) {
        let Some(running) = self.proposals.remove(&id) else {
            return;
        };
        let key = running.key;
        if let ChangeOutcome::SetMismatch(set) = &outcome {
            self.learn_set(set);
        }
        if let ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) = &outcome {
            let epoch = running.set.epoch;
            oracle.on_committed(&key, epoch, stored.version, stored.tag, &stored.bytes);
            self.apply_committed_value(&key, epoch, stored);
        }
        match running.purpose {
            Purpose::Refresh => {
                self.is_certain |= key == "plan" && matches!(outcome, ChangeOutcome::Committed(_));
            }
            Purpose::JoinRead(answering) => self.on_voters_read(net, &answering, &outcome),
            Purpose::JoinWrite(next) => {
                if matches!(outcome, ChangeOutcome::Committed(_)) {
                    self.announce_adoption(net, &next);
                }
            }
            Purpose::Plan => self.is_planning = false,
            Purpose::Role(began, tenure) => self.on_role_result(net.now, began, tenure, outcome),
            Purpose::Certain(packet) if key == "blueprint" => {
                if matches!(outcome, ChangeOutcome::Committed(_)) {
                    self.propose(net, "plan", Change::Read, Purpose::Certain(packet));
                }
            }
            Purpose::Certain(packet) => {
                let PeerMessage::AwaitUpdate {
                    configuration,
                    plan,
                    ..
                } = packet.body.clone()
                else {
                    return;
                };
                let is_certain = matches!(outcome, ChangeOutcome::Committed(_));
                self.send_update(net, &packet, configuration, plan, is_certain);
            }
            Purpose::PutRead(put) => self.on_put_read(net, oracle, put, outcome),
            Purpose::PutWrite(put) => self.on_put_written(net, oracle, put, outcome),
        }
    }

    /// Random seed that selects what a put changes.
    pub fn random_put_seed(&self, net: &mut Net) -> u64 {
        net.random.random()
    }
}
