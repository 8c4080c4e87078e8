use crate::net::{CallerRequest, Event, Net, Packet, ScheduledEvent};
use crate::oracle::Oracle;
use crate::platform::{attempt_id, RunnerRequest, RunnerResponse};
use configuration::{parse, Configuration, PeerRef, Version};
use idempotency_keys::Claim;
use register::{Proposal, VoterSet};
use request_queue::{
    Action, AttemptOutcome, FrontMessage, QueuedRequest, SeatGrant, SeatScheduler,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use transport::{ConfigurationUpdate, PeerMessage, PlanUpdate, StateUpdate};

pub(crate) struct OpenCall {
    pub caller_request: CallerRequest,
    /// Attempts whose bytes may have reached a runner.
    pub sent: u32,
    pub claimed: Option<u64>,
    pub register: String,
}

pub(crate) struct PendingClaim {
    pub proposal: Proposal,
    pub set: VoterSet,
    pub number: u64,
    pub deadline: u64,
    pub purpose: Purpose,
}

pub(crate) enum Purpose {
    Claim(u64),
    RecordResult,
}

/// A simulated front: the seat scheduler with minimal glue code.
pub(crate) struct FrontNode {
    pub peer: PeerRef,
    pub zone: String,
    pub scheduler: SeatScheduler,
    pub cores: Vec<String>,
    pub set: VoterSet,
    pub open_calls: BTreeMap<u64, OpenCall>,
    pub pending_claims: BTreeMap<u64, PendingClaim>,
    pub next_slot: u64,
    pub counter: u64,
}

impl FrontNode {
    pub fn new(peer: PeerRef, zone: &str, cores: Vec<String>) -> Self {
        Self {
            scheduler: SeatScheduler::new(peer.clone()),
            zone: zone.to_string(),
            peer,
            cores,
            set: VoterSet::default(),
            open_calls: BTreeMap::new(),
            pending_claims: BTreeMap::new(),
            next_slot: 0,
            counter: 0,
        }
    }

    pub fn packet(&self, number: u64, body: PeerMessage) -> Packet {
        Packet {
            from: self.peer.clone(),
            number,
            body,
        }
    }

    pub fn handle(&mut self, net: &mut Net, oracle: &mut Oracle, event: Event) {
        let now = net.now;
        match event {
            Event::Tick(_) => self.tick(net, oracle),
            Event::Deliver(packet) => self.deliver(net, oracle, packet),
            Event::CallerRequest(caller_request) => {
                self.on_caller_request(net, oracle, caller_request)
            }
            Event::AttemptStart(queued_request, seat) => {
                self.start_attempt(net, &queued_request, &seat)
            }
            Event::AttemptOutcome(queued_request, seat, outcome, answer) => {
                self.on_attempt_outcome(net, oracle, queued_request, &seat, outcome, answer);
            }
            Event::BudgetExpired(slot) => self.on_budget_expired(oracle, slot),
            Event::ProbeDone(runner, is_reachable) => {
                self.scheduler.probe_finished(now, &runner, is_reachable)
            }
            _ => {}
        }
        self.run_actions(net, oracle);
    }

    fn tick(&mut self, net: &mut Net, oracle: &mut Oracle) {
        let now = net.now;
        self.scheduler.tick(now);
        let (configuration, plan) = self.scheduler.versions();
        let wants_certain = !self.scheduler.is_ready();
        let mut report = self.scheduler.report(now, &self.zone);
        report.wall_ms = net.wall;
        for core in self.cores.clone() {
            let ask = PeerMessage::AwaitUpdate {
                configuration,
                plan,
                wants_certain,
            };
            let packet = self.packet(1, ask);
            net.send(&self.peer.name, &core, packet);
            let packet = self.packet(0, PeerMessage::Report(report.clone()));
            net.send(&self.peer.name, &core, packet);
        }
        if self.scheduler.has_quorum(now) {
            oracle.check_no_rollback(&self.peer.name, configuration);
            oracle.check_staleness(&self.peer.name, configuration);
        }
        let expired = self.pending_claims.iter();
        let expired: Vec<u64> = expired
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(pending) = self.pending_claims.remove(&id) {
                let outcome = pending.proposal.abandon();
                self.on_claim_done(net, oracle, pending.purpose, outcome);
            }
        }
    }

    fn deliver(&mut self, net: &mut Net, oracle: &mut Oracle, packet: Packet) {
        let now = net.now;
        match packet.body.clone() {
            PeerMessage::Front(message) => {
                self.request_newer_versions(net, &packet.from.name, &message);
                self.scheduler.on_message(now, &packet.from, message);
            }
            PeerMessage::StateUpdate(update) => self.apply_update(now, oracle, update),
            PeerMessage::AwaitUpdate {
                configuration,
                plan,
                ..
            } => {
                let update = self.update_for(configuration, plan);
                let answer = self.packet(packet.number, PeerMessage::StateUpdate(update));
                net.send(&self.peer.name, &packet.from.name, answer);
            }
            PeerMessage::VoterResponse(reply) => {
                self.on_voter_response(net, oracle, &packet, reply)
            }
            _ => {}
        }
    }

    /// If a message announces newer versions, requests them from its sender.
    fn request_newer_versions(&mut self, net: &mut Net, from: &str, message: &FrontMessage) {
        let Some((configuration, plan)) = message.versions() else {
            return;
        };
        let own = self.scheduler.versions();
        if configuration > own.0 || plan > own.1 {
            let ask = PeerMessage::AwaitUpdate {
                configuration: own.0,
                plan: own.1,
                wants_certain: false,
            };
            let packet = self.packet(1, ask);
            net.send(&self.peer.name, from, packet);
        }
    }

    fn apply_update(&mut self, now: u64, oracle: &mut Oracle, update: StateUpdate) {
        if let Some(newer) = update.configuration {
            if let Ok(configuration) = parse(&newer.text) {
                oracle.check_not_rejected(&self.peer.name, &newer.text);
                self.scheduler
                    .set_configuration(now, Arc::new(configuration), newer.version);
            }
        }
        if let Some(newer) = update.plan {
            self.scheduler
                .set_plan(now, Arc::new(newer.plan), newer.version);
        }
        if update.set.version() > self.set.version() {
            self.set = update.set;
        }
        if update.is_certain {
            self.scheduler.set_ready();
        }
    }

    fn update_for(&self, configuration: Version, plan: Version) -> StateUpdate {
        let (own_configuration, own_plan) = self.scheduler.versions();
        let text = |configuration: &Configuration| {
            serde_json::to_string(configuration).unwrap_or_default()
        };
        StateUpdate {
            configuration: (own_configuration > configuration).then(|| ConfigurationUpdate {
                version: own_configuration,
                text: text(&self.scheduler.configuration()),
            }),
            plan: (own_plan > plan).then(|| PlanUpdate {
                version: own_plan,
                plan: (*self.scheduler.plan()).clone(),
            }),
            ..StateUpdate::default()
        }
    }

    fn start_attempt(&mut self, net: &mut Net, queued_request: &QueuedRequest, seat: &SeatGrant) {
        let now = net.now;
        let may_send = self.scheduler.permit(now, queued_request, seat);
        let Some(open) = self.open_calls.get_mut(&queued_request.slot) else {
            return self
                .scheduler
                .attempt_done(now, seat, AttemptOutcome::Unsent);
        };
        if !may_send {
            self.scheduler
                .attempt_done(now, seat, AttemptOutcome::Unsent);
            return self.scheduler.requeue_unsent(now, queued_request.clone());
        }
        if open.sent == 0 {
            self.scheduler.count_first_attempt(now);
        }
        open.sent += 1;
        let request = RunnerRequest {
            front: self.peer.name.clone(),
            incarnation: self.peer.incarnation,
            queued_request: queued_request.clone(),
            seat: seat.clone(),
            call: open.caller_request.call,
            idempotency_key: open.caller_request.idempotency_key,
            budget_ms: queued_request.budget_end.saturating_sub(now).max(1),
        };
        let time = net.random_time_within(4);
        net.schedule(time, ScheduledEvent::RunnerRequest(Box::new(request)));
    }

    fn on_attempt_outcome(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        queued_request: QueuedRequest,
        seat: &SeatGrant,
        outcome: AttemptOutcome,
        answer: Option<RunnerResponse>,
    ) {
        let now = net.now;
        let call = self
            .open_calls
            .get(&queued_request.slot)
            .map(|open| open.caller_request.call);
        let outcome = match answer.as_ref().zip(call) {
            Some((answer, call)) if !has_valid_seal(answer, call, seat) => AttemptOutcome::Bad,
            _ => outcome,
        };
        self.scheduler.attempt_done(now, seat, outcome);
        let slot = queued_request.slot;
        let Some(open) = self.open_calls.get_mut(&slot) else {
            return;
        };
        let (key, claimed) = (open.caller_request.idempotency_key, open.claimed);
        let register = open.register.clone();
        match outcome {
            AttemptOutcome::Answered(_) => {
                if let Some(answer) = &answer {
                    oracle.check_answer(open.caller_request.call, answer.call, answer.took_ms);
                }
                self.finish_call(oracle, slot, "answered");
                if let Some(version) = claimed {
                    let digest = String::new();
                    let claim = Claim::Unknown { digest };
                    self.propose(net, &register, version, &claim, Purpose::RecordResult);
                }
            }
            AttemptOutcome::Absent => {
                open.sent -= 1;
                self.scheduler.requeue_unreached(now, queued_request);
            }
            AttemptOutcome::Unsent => self.scheduler.requeue_unsent(now, queued_request),
            AttemptOutcome::Lost | AttemptOutcome::Broken | AttemptOutcome::Bad => {
                if key.is_some() || !self.scheduler.retry(now, queued_request) {
                    self.finish_call(oracle, slot, "unknown");
                }
            }
        }
    }

    fn run_actions(&mut self, net: &mut Net, oracle: &mut Oracle) {
        loop {
            let actions = self.scheduler.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.run_action(net, oracle, action);
            }
        }
    }

    fn run_action(&mut self, net: &mut Net, oracle: &mut Oracle, action: Action) {
        match action {
            Action::Send(to, message) => {
                if let FrontMessage::SeatAssignment(assignment) = &message {
                    oracle.check_lease_epoch(&assignment.runner, assignment.epoch);
                }
                let packet = self.packet(0, PeerMessage::Front(message));
                net.send(&self.peer.name.clone(), &to, packet);
            }
            Action::Launch(queued_request, seat) => {
                if seat.owner == self.peer {
                    oracle.check_lease_epoch(&seat.runner, seat.epoch);
                }
                let time = net.random_time_within(3);
                let incarnation = self.peer.incarnation;
                let event = Event::AttemptStart(queued_request, seat);
                net.schedule_at_node(time, &self.peer.name, incarnation, event);
            }
            Action::Refuse(queued_request, _) => {
                let is_sent = self
                    .open_calls
                    .get(&queued_request.slot)
                    .is_some_and(|open| open.sent > 0);
                let outcome = if is_sent { "unknown" } else { "not-run" };
                self.finish_call(oracle, queued_request.slot, outcome);
            }
            Action::Probe { runner, address } => {
                let time = net.random_time_within(5);
                let probe = ScheduledEvent::Probe(self.peer.name.clone(), runner, address);
                net.schedule(time, probe);
            }
        }
    }
}

/// Verifies the seal of a response the way a front does.
fn has_valid_seal(answer: &RunnerResponse, call: u64, seat: &SeatGrant) -> bool {
    let (name, body) = (attempt_id(call, seat), answer.call.to_le_bytes());
    idempotency_keys::seal(&seat.key, &name, &seat.runner, 200, "", &body) == answer.seal
}
