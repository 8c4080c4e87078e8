use super::oracle::at_most_once;
use super::sign_request::sign_request;
use super::{ClientOutcome, Cluster, Event, FUNCTION, MS};
use jobs::{JobAdmission, JobCoordinator, UnacknowledgedResults};
use protocol::{
    FunctionUpdate, JobResult, LeaseOutcome, LeaseRequest, Message, RequestId, RunnerStage,
    RunnerUpdate, UpdateVersion,
};
use rand::Rng;
use seat_leases::{LeaseOwner, OwnershipTable};
use std::collections::BTreeMap;

const SUSPECT_TIMEOUT_MS: u64 = 1_500;

#[derive(Clone, PartialEq)]
pub enum RequestPhase {
    Waiting(String),
    /// The request holds a seat lease. Fields: the lease's owner, whether the request was sent to the runner, and when the
    /// connection was established.
    Sent(String, bool, u64),
    BackingOff,
}

pub struct PendingRequest {
    pub client_request: usize,
    pub has_client: bool,
    pub phase: RequestPhase,
    pub admission: JobAdmission,
    pub deadline: u64,
    pub sends: u32,
    pub may_have_run: bool,
}

/// A gateway, which serves requests, owns functions and coordinates their jobs.
pub struct GatewayNode {
    pub name: String,
    pub incarnation: u64,
    pub is_up: bool,
    pub jobs: JobCoordinator,
    pub lease_owner: LeaseOwner,
    pub requests: BTreeMap<u64, PendingRequest>,
    pub suspects: BTreeMap<String, u64>,
    pub unacknowledged_results: UnacknowledgedResults,
    last_request: u64,
}

/// Digest of the requests of a job.
fn request_digest(job: usize) -> [u8; 16] {
    let body = format!("body {job}");
    sign_request(body.as_bytes()).digest()
}

impl GatewayNode {
    pub fn new(index: usize) -> Self {
        Self {
            name: format!("g{index}"),
            incarnation: 0,
            is_up: false,
            jobs: JobCoordinator::new(0, 1),
            lease_owner: LeaseOwner::default(),
            requests: BTreeMap::new(),
            suspects: BTreeMap::new(),
            unacknowledged_results: UnacknowledgedResults::default(),
            last_request: 0,
        }
    }
}

fn runners() -> FunctionUpdate {
    let runner = |index: usize| RunnerUpdate {
        id: format!("r{index}"),
        address: format!("r{index}"),
        zone: String::new(),
        quota: 4,
        stage: RunnerStage::Serving,
        starts_in_ms: 0,
    };
    FunctionUpdate {
        function: FUNCTION.into(),
        version: UpdateVersion { term: 1, number: 1 },
        runners: (0..3).map(runner).collect(),
        start_block: None,
    }
}

impl Cluster {
    pub fn boot(&mut self, index: usize) {
        if self.nodes[index].is_up {
            return;
        }
        self.last_incarnation += 1;
        let (incarnation, retention_ms) = (self.last_incarnation, self.fault_rates.retention_ms);
        let now = self.now_ms();
        let mut node = GatewayNode::new(index);
        node.incarnation = incarnation;
        node.is_up = true;
        node.jobs = JobCoordinator::new(incarnation, retention_ms);
        node.lease_owner.update_runners(now, runners());
        self.nodes[index] = node;
        self.schedule(300 * MS, Event::MembershipChanged);
        self.schedule(50 * MS, Event::Tick(index, incarnation));
    }

    pub fn tick(&mut self, index: usize, incarnation: u64) {
        if self.nodes[index].incarnation != incarnation || !self.nodes[index].is_up {
            return;
        }
        let now = self.now_ms();
        let membership = &self.membership;
        let node = &mut self.nodes[index];
        node.lease_owner.tick(now);
        node.jobs.advance_clock(now, |gateway, incarnation| {
            let member = membership.iter().find(|member| member.name == gateway);
            member.is_none_or(|member| member.incarnation != incarnation)
        });
        for completion in node.unacknowledged_results.take_due(now) {
            if let Some(owner) = self.owner_of(index) {
                self.send_completion(index, &owner, completion);
            }
        }
        self.run_actions(index);
        self.schedule(50 * MS, Event::Tick(index, incarnation));
    }

    pub fn owner_of(&self, index: usize) -> Option<String> {
        let (node, now) = (&self.nodes[index], self.now_ms());
        let is_suspect = |name: &str| node.suspects.get(name).is_some_and(|until| now < *until);
        let table = OwnershipTable::not_agreed(UpdateVersion::default(), self.membership.clone());
        let owner = table.owner_among(FUNCTION, |member| !is_suspect(&member.name));
        owner.map(|member| member.name.clone())
    }

    /// Starts a client's request for a job.
    pub fn client_request(&mut self, index: usize, job: usize) {
        if !self.nodes[index].is_up {
            return;
        }
        let client_request = self.oracle.add_request(job);
        let timeout_ms = self.random.random_range(800..4_000);
        let now = self.now_ms();
        let node = &mut self.nodes[index];
        node.last_request += 1;
        let number = node.last_request;
        let admission = JobAdmission::new(
            format!("key {job}"),
            request_digest(job),
            at_most_once(job),
            node.incarnation,
        );
        let request = PendingRequest {
            client_request,
            has_client: true,
            phase: RequestPhase::BackingOff,
            admission,
            deadline: now + timeout_ms,
            sends: 0,
            may_have_run: false,
        };
        node.requests.insert(number, request);
        let incarnation = node.incarnation;
        self.schedule(timeout_ms * MS, Event::Deadline(index, incarnation, number));
        if self.random.random_bool(self.fault_rates.client_left) {
            let leaves_after = self.random.random_range(0..timeout_ms * MS);
            self.schedule(leaves_after, Event::ClientLeft(index, incarnation, number));
        }
        self.request_lease(index, number);
    }

    pub fn request_lease(&mut self, index: usize, number: u64) {
        let Some(owner) = self.owner_of(index) else {
            let incarnation = self.nodes[index].incarnation;
            return self.schedule(30 * MS, Event::BackoffOver(index, incarnation, number));
        };
        let now = self.now_ms();
        let node = &mut self.nodes[index];
        let Some(request) = node.requests.get_mut(&number) else {
            return;
        };
        request.phase = RequestPhase::Waiting(owner.clone());
        let lease_request = LeaseRequest {
            request_id: RequestId(number),
            function: FUNCTION.into(),
            priority: 0,
            timeout_ms: request.deadline.saturating_sub(now) as u32,
            excluded_runners: Vec::new(),
            job: Some(request.admission.begin_attempt(&owner)),
            allowed_regions: Vec::new(),
            tenant: None,
        };
        if owner == node.name {
            node.jobs.request_arrived(now, &owner, "", lease_request);
            return self.run_actions(index);
        }
        let peer = self.index_of(&owner).unwrap();
        self.send(index, peer, Message::LeaseRequest(lease_request));
    }

    pub fn backoff_over(&mut self, index: usize, incarnation: u64, number: u64) {
        let node = &self.nodes[index];
        let request = node
            .requests
            .get(&number)
            .filter(|_| node.incarnation == incarnation);
        if request.is_some_and(|request| request.phase == RequestPhase::BackingOff) {
            self.request_lease(index, number);
        }
    }

    /// Cancels a request's lease request at the owner that it was sent to, and reports its attempt as not run.
    pub fn cancel_lease_request(&mut self, index: usize, number: u64) {
        let now = self.now_ms();
        let node = &mut self.nodes[index];
        let Some(request) = node.requests.get_mut(&number) else {
            return;
        };
        let asked_owner = match &request.phase {
            RequestPhase::Waiting(asked_owner) | RequestPhase::Sent(asked_owner, false, _) => {
                asked_owner.clone()
            }
            _ => return,
        };
        request.phase = RequestPhase::BackingOff;
        let completion =
            request
                .admission
                .completion(RequestId(number), FUNCTION, JobResult::NotRun);
        request.admission.abandon_attempt();
        if asked_owner == node.name {
            node.lease_owner
                .cancel(now, &asked_owner, RequestId(number));
        } else {
            let peer = self.index_of(&asked_owner).unwrap();
            self.send(index, peer, Message::CancelRequest(RequestId(number)));
        }
        self.send_completion(index, &asked_owner, completion);
    }

    pub fn move_waiting(&mut self, index: usize) {
        if !self.nodes[index].is_up {
            return;
        }
        let owner = self.owner_of(index);
        let to_move = self.nodes[index].requests.iter().filter(|(_, request)| {
            let asked_owner = match &request.phase {
                RequestPhase::Waiting(asked_owner) | RequestPhase::Sent(asked_owner, false, _) => {
                    asked_owner
                }
                _ => return false,
            };
            owner.as_ref() != Some(asked_owner)
        });
        let to_move: Vec<u64> = to_move.map(|(number, _)| *number).collect();
        for number in to_move {
            self.cancel_lease_request(index, number);
            self.request_lease(index, number);
        }
        self.run_actions(index);
    }

    pub fn peer_lost(&mut self, index: usize, peer: usize) {
        let now = self.now_ms();
        let name = self.nodes[peer].name.clone();
        let node = &mut self.nodes[index];
        node.suspects.insert(name.clone(), now + SUSPECT_TIMEOUT_MS);
        node.lease_owner.remove_gateway(now, &name);
        node.jobs.gateway_lost(now, &name);
        self.move_waiting(index);
    }

    pub fn release_seat(&mut self, index: usize, number: u64) {
        let request = &self.nodes[index].requests[&number];
        if let RequestPhase::Sent(asked_owner, false, _) = request.phase.clone() {
            self.release(index, &asked_owner, number, LeaseOutcome::Unused);
        }
    }

    pub fn deadline_passed(&mut self, index: usize, incarnation: u64, number: u64) {
        let node = &self.nodes[index];
        let Some(request) = node
            .requests
            .get(&number)
            .filter(|_| node.incarnation == incarnation)
        else {
            return;
        };
        if let RequestPhase::Sent(asked_owner, true, _) = request.phase.clone() {
            self.release(index, &asked_owner, number, LeaseOutcome::Lost);
            return self.finish(index, number, ClientOutcome::MayHaveRun, JobResult::Lost);
        }
        let may_have_run_before =
            request.may_have_run || request.admission.may_have_run_elsewhere();
        let outcome = if may_have_run_before {
            ClientOutcome::MayHaveRun
        } else {
            ClientOutcome::NotRun
        };
        self.cancel_lease_request(index, number);
        self.finish(index, number, outcome, JobResult::NotRun);
        self.run_actions(index);
    }

    pub fn client_left(&mut self, index: usize, incarnation: u64, number: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.incarnation != incarnation {
            return;
        }
        let Some(request) = node
            .requests
            .get_mut(&number)
            .filter(|request| request.has_client)
        else {
            return;
        };
        request.has_client = false;
        self.oracle
            .record_outcome(request.client_request, now, ClientOutcome::NoResponse);
        if matches!(
            request.phase,
            RequestPhase::Waiting(_) | RequestPhase::BackingOff
        ) {
            self.cancel_lease_request(index, number);
            self.nodes[index].requests.remove(&number);
            self.run_actions(index);
        }
    }
}
