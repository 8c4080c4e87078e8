use super::gateway::RequestPhase;
use super::{ClientOutcome, Cluster, Event, Reply, FUNCTION, MS};
use protocol::{JobResult, LeaseOutcome, LeaseRelease, Message, RequestId, SeatLease};
use rand::Rng;

const MAX_SENDS: u32 = 3;

impl Cluster {
    pub fn lease_granted(&mut self, index: usize, asked_owner: &str, lease: SeatLease) {
        let number = lease.request_id.0;
        let delay = self.hop();
        let node = &mut self.nodes[index];
        let request = node.requests.get_mut(&number);
        let is_waiting = request
            .as_ref()
            .is_some_and(|request| request.phase == RequestPhase::Waiting(asked_owner.into()));
        let Some(request) = request.filter(|_| is_waiting) else {
            return self.release(index, asked_owner, number, LeaseOutcome::Unused);
        };
        request.phase = RequestPhase::Sent(asked_owner.into(), false, 0);
        let (incarnation, attempt) = (node.incarnation, request.admission.attempt().number);
        self.schedule(delay, Event::Connected(index, incarnation, number, attempt));
    }

    pub fn release(
        &mut self,
        index: usize,
        asked_owner: &str,
        request: u64,
        outcome: LeaseOutcome,
    ) {
        let now = self.now_ms();
        let release = LeaseRelease {
            request_id: RequestId(request),
            outcome,
            duration_ms: 20,
        };
        if asked_owner == self.nodes[index].name {
            self.nodes[index]
                .lease_owner
                .release(now, asked_owner, &release);
        } else if let Some(peer) = self.index_of(asked_owner) {
            self.send(index, peer, Message::LeaseRelease(release));
        }
    }

    pub fn connection_opened(&mut self, index: usize, incarnation: u64, number: u64, attempt: u32) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.incarnation != incarnation {
            return;
        }
        let Some(request) = node.requests.get_mut(&number) else {
            return;
        };
        let is_current = request.admission.attempt().number == attempt;
        if let RequestPhase::Sent(_, false, connected_at) = &mut request.phase {
            if is_current {
                *connected_at = now;
                request.admission.set_connected();
                self.send_to_runner(index, number);
            }
        }
    }

    /// Sends a request to its runner if the connection is established and, for an at-most-once job, the claim is held.
    pub fn send_to_runner(&mut self, index: usize, number: u64) {
        let now = self.now;
        let delay = self.hop();
        let node = &mut self.nodes[index];
        let Some(request) = node.requests.get_mut(&number) else {
            return;
        };
        let RequestPhase::Sent(_, is_sent, connected_at) = &mut request.phase else {
            return;
        };
        if *is_sent || !request.admission.is_connected() || !request.admission.may_be_sent() {
            return;
        }
        *is_sent = true;
        request.sends += 1;
        let (from, send, claim_delay) = (
            (index, node.incarnation),
            request.sends,
            now - *connected_at,
        );
        let client_request = request.client_request;
        if request.admission.attempt().at_most_once {
            self.oracle.claim_delays.push(claim_delay);
        }
        self.schedule(delay, Event::Run(client_request, from, number, send));
    }

    pub fn run_at_runner(
        &mut self,
        client_request: usize,
        from: (usize, u64),
        number: u64,
        send: u32,
    ) {
        let fault_rates = self.fault_rates;
        let duration = self.random.random_range(5..300) * MS;
        let reply = if self.random.random_bool(fault_rates.rejected) {
            Reply::Rejected
        } else {
            let answer = self.oracle.record_run(client_request, self.now);
            match self.random.random_bool(fault_rates.connection_lost) {
                true => Reply::ConnectionLost,
                false => Reply::Answer(answer),
            }
        };
        let duration = if matches!(reply, Reply::Rejected) {
            MS
        } else {
            duration
        };
        self.schedule(duration, Event::Reply(from.0, from.1, number, send, reply));
    }

    pub fn runner_replied(
        &mut self,
        index: usize,
        incarnation: u64,
        number: u64,
        send: u32,
        reply: Reply,
    ) {
        let node = &mut self.nodes[index];
        if node.incarnation != incarnation || !node.is_up {
            return;
        }
        let Some(request) = node.requests.get_mut(&number) else {
            return;
        };
        let RequestPhase::Sent(asked_owner, true, _) = request.phase.clone() else {
            return;
        };
        if request.sends != send {
            return;
        }
        let at_most_once = request.admission.attempt().at_most_once;
        match reply {
            Reply::Answer(answer) => {
                self.release(index, &asked_owner, number, LeaseOutcome::Succeeded);
                let result = JobResult::Answer(answer.clone());
                self.finish(index, number, ClientOutcome::Answer(answer), result);
            }
            Reply::Rejected => {
                self.release(index, &asked_owner, number, LeaseOutcome::Rejected);
                if !self.retry(index, number) {
                    self.finish(index, number, ClientOutcome::NotRun, JobResult::NotRun);
                }
            }
            Reply::ConnectionLost => {
                request.may_have_run = true;
                self.release(index, &asked_owner, number, LeaseOutcome::Lost);
                if at_most_once || !self.retry(index, number) {
                    self.finish(index, number, ClientOutcome::MayHaveRun, JobResult::Lost);
                }
            }
        }
        self.run_actions(index);
    }

    pub fn retry(&mut self, index: usize, number: u64) -> bool {
        let now = self.now_ms();
        let request = &self.nodes[index].requests[&number];
        if request.sends >= MAX_SENDS || request.deadline <= now + 5 || !request.has_client {
            return false;
        }
        self.request_lease(index, number);
        true
    }

    /// Ends a request: records the outcome for its client, and sends the completion to the owners that may know the request.
    pub fn finish(&mut self, index: usize, number: u64, outcome: ClientOutcome, result: JobResult) {
        let Some(request) = self.nodes[index].requests.remove(&number) else {
            return;
        };
        if request.has_client {
            self.oracle
                .record_outcome(request.client_request, self.now, outcome);
        }
        let completion = request
            .admission
            .completion(RequestId(number), FUNCTION, result);
        self.nodes[index]
            .unacknowledged_results
            .record(self.now / MS, &completion);
        let asked_owner = match &request.phase {
            RequestPhase::Waiting(asked_owner) | RequestPhase::Sent(asked_owner, ..) => {
                Some(asked_owner.clone())
            }
            RequestPhase::BackingOff => None,
        };
        let owner = self
            .owner_of(index)
            .filter(|owner| asked_owner.as_ref() != Some(owner));
        for name in asked_owner.into_iter().chain(owner) {
            self.send_completion(index, &name, completion.clone());
        }
    }
}
