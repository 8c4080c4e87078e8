//! A gateway of the model: the production `LeaseOwner`, and at most one client request at a time.

use super::scripts::Script;
use locality::Topology;
use policy::LeasingPolicy;
use protocol::{
    FunctionUpdate, LeaseOutcome, LeaseRelease, LeaseRequest, Message, RequestId, RunnerLeases,
    RunnerStage, RunnerUpdate, SeatLease, UpdateVersion,
};
use seat_leases::{CancelledRequests, LeaseOwner, OwnershipTable};
use std::sync::Arc;

/// Number of seats of the only runner.
pub(super) const QUOTA: u32 = 1;
const FUNCTION: &str = "f";
const RUNNER: &str = "r";
const TIMEOUT_MS: u32 = 1_000_000;

/// State of the gateway's client request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    Idle,
    Waiting { owner: usize },
    AtRunner { owners: Vec<usize> },
}

/// Messages to send, each with the index of its receiver.
type OutgoingMessages = Vec<(usize, Message)>;

#[derive(Clone)]
pub(super) struct Gateway {
    index: usize,
    pub owner: LeaseOwner,
    table: Option<Arc<OwnershipTable>>,
    pub phase: Phase,
    /// Number of client requests so far; also the id of the latest one.
    request_count: u64,
    /// The owner that was last asked for a lease or told of the lease in use; `None` after the link with it was lost.
    known_owner: Option<usize>,
    cancelled: CancelledRequests,
}

fn name(index: usize) -> String {
    format!("g{index}")
}

fn index_of(name: &str) -> usize {
    name[1..].parse().unwrap_or(usize::MAX)
}

impl Gateway {
    pub fn new(index: usize, script: &Script) -> Self {
        let owner = LeaseOwner::new(&name(index), LeasingPolicy::default(), Topology::default());
        let mut gateway = Self {
            index,
            owner,
            table: None,
            phase: Phase::Idle,
            request_count: 0,
            known_owner: None,
            cancelled: CancelledRequests::default(),
        };
        // A gateway that the first table names starts with that table.
        if let Some(table) = script.next_table(index, None) {
            if table.version().number == 1 {
                gateway.apply_table(table);
            }
        }
        gateway
    }

    pub fn version(&self) -> Option<UpdateVersion> {
        self.table.as_ref().map(|table| table.version())
    }

    pub fn has_table(&self) -> bool {
        self.table.is_some()
    }

    pub fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting { .. })
    }

    /// Everything that the gateway's next steps depend on.
    pub fn summary(&self) -> impl std::fmt::Debug {
        let state = (self.version(), self.phase.clone(), self.request_count);
        let known = (self.known_owner, self.cancelled.clone());
        (state, known, self.owner.snapshot())
    }

    fn owner_index(&self) -> Option<usize> {
        let owner = self.table.as_ref()?.owner_of(FUNCTION)?;
        Some(index_of(&owner.name))
    }

    fn id(&self) -> RequestId {
        RequestId(self.request_count)
    }

    /// Starts a client request.
    pub fn request(&mut self) -> OutgoingMessages {
        self.request_count += 1;
        self.request_lease()
    }

    fn request_lease(&mut self) -> OutgoingMessages {
        let Some(owner) = self.owner_index() else {
            return Vec::new();
        };
        self.phase = Phase::Waiting { owner };
        self.known_owner = Some(owner);
        let request = LeaseRequest {
            request_id: self.id(),
            function: FUNCTION.into(),
            timeout_ms: TIMEOUT_MS,
            ..LeaseRequest::default()
        };
        let message = Message::LeaseRequest(request);
        self.send(owner, message)
    }

    /// Returns a message for another gateway; handles a message to this gateway and returns the resulting messages.
    fn send(&mut self, to: usize, message: Message) -> OutgoingMessages {
        if to == self.index {
            return self.receive(to, message);
        }
        vec![(to, message)]
    }

    pub fn receive(&mut self, from: usize, message: Message) -> OutgoingMessages {
        let peer = name(from);
        match message {
            Message::LeaseRequest(request) => self.owner.request_lease(0, &peer, "", request),
            Message::CancelRequest(id) => {
                self.owner.cancel(0, &peer, id);
                let mut sent = self.run_actions();
                if from != self.index {
                    sent.push((from, Message::LeaseRequestCancelled(id)));
                }
                return sent;
            }
            Message::LeaseRequestCancelled(id) => self.cancelled.record_ack(&peer, id),
            Message::SeatLease(lease) if self.cancelled.is_cancelled(&peer, lease.request_id) => {}
            Message::LeaseRelease(release) => self.owner.release(0, &peer, &release),
            Message::LeasesInUse { function, runners } => {
                self.owner.adopt_leases(0, &peer, &function, &runners);
            }
            Message::RequestHandover(version) => self.owner.handover_requested(&peer, version),
            Message::SeatHandover(handover) => {
                // A hand-over made under another table is rejected; this gateway requests one under each table.
                let _ = self.owner.receive_handover(0, &peer, handover);
            }
            Message::ConfirmLeases(requests) => {
                let ended_requests = self.confirm_leases(from, &requests);
                return self.send(from, Message::LeasesEnded(ended_requests));
            }
            Message::LeasesEnded(requests) => self.owner.leases_ended(0, &peer, &requests),
            Message::SeatLease(lease) => return self.receive_lease(from, &lease),
            _ => {}
        }
        self.run_actions()
    }

    fn receive_lease(&mut self, from: usize, lease: &SeatLease) -> OutgoingMessages {
        if self.phase == (Phase::Waiting { owner: from }) && lease.request_id == self.id() {
            self.phase = Phase::AtRunner { owners: vec![from] };
            return Vec::new();
        }
        let release = release(lease.request_id, LeaseOutcome::Unused);
        self.send(from, release)
    }

    fn confirm_leases(&mut self, from: usize, requests: &[RequestId]) -> Vec<RequestId> {
        let (id, mut ended_requests) = (self.id(), Vec::new());
        for request in requests {
            match &mut self.phase {
                Phase::AtRunner { owners } if *request == id => {
                    if !owners.contains(&from) {
                        owners.push(from);
                    }
                }
                // Not reported as ended: a lease of the owner that was asked may still be in transit.
                Phase::Waiting { owner } if *request == id && *owner != from => {}
                _ => ended_requests.push(*request),
            }
        }
        ended_requests
    }

    fn run_actions(&mut self) -> OutgoingMessages {
        let mut sent = Vec::new();
        for action in self.owner.take_actions() {
            let Some((to, message)) = action.into_message() else {
                continue;
            };
            sent.extend(self.send(index_of(&to), message));
        }
        sent
    }

    pub fn apply_table(&mut self, table: Arc<OwnershipTable>) -> OutgoingMessages {
        self.table = Some(Arc::clone(&table));
        self.owner.apply_table(0, table);
        // The runner list comes from the scaler; it never changes in this model.
        self.owner.update_runners(0, runners());
        let mut sent = self.run_actions();
        let Some(owner) = self.owner_index() else {
            return sent;
        };
        match self.phase.clone() {
            Phase::Waiting {
                owner: former_owner,
            } if former_owner != owner => {
                let id = self.id();
                if former_owner != self.index {
                    self.cancelled.record_cancellation(&name(former_owner), id);
                }
                sent.extend(self.send(former_owner, Message::CancelRequest(id)));
                sent.extend(self.request_lease());
            }
            Phase::AtRunner { .. } if self.known_owner != Some(owner) => {
                sent.extend(self.report_leases(owner));
            }
            _ => {}
        }
        sent
    }

    fn report_leases(&mut self, owner: usize) -> OutgoingMessages {
        self.known_owner = Some(owner);
        let id = self.id();
        let Phase::AtRunner { owners } = &mut self.phase else {
            return Vec::new();
        };
        if !owners.contains(&owner) {
            owners.push(owner);
        }
        let leases = RunnerLeases {
            runner: RUNNER.into(),
            requests: vec![id],
            ..RunnerLeases::default()
        };
        let message = Message::LeasesInUse {
            function: FUNCTION.into(),
            runners: vec![leases],
        };
        self.send(owner, message)
    }

    /// Handles the loss of the link with a peer.
    pub fn link_lost(&mut self, peer: usize) -> OutgoingMessages {
        self.owner.gateway_disconnected(0, &name(peer));
        self.cancelled.remove_owner(&name(peer));
        let mut sent = self.run_actions();
        if self.known_owner == Some(peer) {
            self.known_owner = None;
        }
        match &self.phase {
            Phase::Waiting { owner } if *owner == peer => sent.extend(self.request_lease()),
            Phase::AtRunner { .. } if self.owner_index() == Some(peer) => {
                sent.extend(self.report_leases(peer));
            }
            _ => {}
        }
        sent
    }

    /// Returns the leases whose end may have been missed, with the gateways that hold them.
    pub fn unconfirmed(&self) -> Vec<(usize, RequestId)> {
        let leases = self.owner.snapshot().leases.into_iter();
        let unconfirmed = leases.filter(|lease| lease.is_unconfirmed);
        unconfirmed
            .map(|lease| (index_of(&lease.gateway), lease.request_id))
            .collect()
    }

    /// Asks the holders of unconfirmed leases again whether they still use them.
    pub fn request_confirmations(&mut self) -> OutgoingMessages {
        let unconfirmed = self.unconfirmed().into_iter();
        let messages = unconfirmed.map(|(to, id)| (to, Message::ConfirmLeases(vec![id])));
        let mut sent = Vec::new();
        for (to, message) in messages.collect::<Vec<_>>() {
            sent.extend(self.send(to, message));
        }
        sent
    }

    /// Handles the runner's response: releases the lease at every owner that knows of it.
    pub fn finish(&mut self) -> OutgoingMessages {
        let Phase::AtRunner { mut owners } = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return Vec::new();
        };
        let current = self.owner_index();
        owners.extend(current.filter(|owner| !owners.contains(owner)));
        let id = self.id();
        let mut sent = Vec::new();
        for owner in owners {
            sent.extend(self.send(owner, release(id, LeaseOutcome::Succeeded)));
        }
        sent
    }
}

fn release(request_id: RequestId, outcome: LeaseOutcome) -> Message {
    Message::LeaseRelease(LeaseRelease {
        request_id,
        outcome,
        duration_ms: 1,
    })
}

fn runners() -> FunctionUpdate {
    FunctionUpdate {
        function: FUNCTION.into(),
        version: UpdateVersion { term: 1, number: 1 },
        runners: vec![RunnerUpdate {
            id: RUNNER.into(),
            quota: QUOTA,
            stage: RunnerStage::Serving,
            ..RunnerUpdate::default()
        }],
        start_block: None,
    }
}
