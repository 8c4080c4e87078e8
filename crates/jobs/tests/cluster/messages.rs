use super::gateway::RequestPhase;
use super::{ClientOutcome, Cluster, Event};
use jobs::JobAction;
use protocol::{JobResult, JobVerdict, Message};
use seat_leases::LeaseAction;

impl Cluster {
    pub fn receive(&mut self, index: usize, from: usize, message: Message) {
        if !self.nodes[index].is_up {
            return;
        }
        let now = self.now_ms();
        let name = self.nodes[from].name.clone();
        let node = &mut self.nodes[index];
        node.suspects.remove(&name);
        match message {
            Message::LeaseRequest(lease_request) => {
                node.jobs.request_arrived(now, &name, "", lease_request)
            }
            Message::CancelRequest(request) => node.lease_owner.cancel(now, &name, request),
            Message::LeaseRelease(release) => node.lease_owner.release(now, &name, &release),
            Message::JobCompletion(report) => node.jobs.attempt_completed(now, &name, report),
            Message::SeatLease(lease) => self.lease_granted(index, &name, lease),
            Message::JobClaimed {
                request_id: request,
                attempt,
                register_version: version,
            } => self.claimed(index, &name, request.0, attempt, version),
            Message::JobJoined {
                request_id: request,
                attempt,
            } => self.joined(index, &name, request.0, attempt),
            Message::JobVerdict {
                request_id: request,
                attempt,
                verdict,
            } => self.verdict_received(index, &name, request.0, attempt, verdict),
            Message::JobPersisted(request) => node.unacknowledged_results.acknowledge(request),
            _ => {}
        }
        self.run_actions(index);
    }

    pub fn run_actions(&mut self, index: usize) {
        loop {
            let node = &mut self.nodes[index];
            let (lease_actions, job_actions) =
                (node.lease_owner.take_actions(), node.jobs.take_actions());
            if lease_actions.is_empty() && job_actions.is_empty() {
                return;
            }
            for action in lease_actions {
                self.lease_action(index, action);
            }
            for action in job_actions {
                self.job_action(index, action);
            }
        }
    }

    pub fn lease_action(&mut self, index: usize, action: LeaseAction) {
        let now = self.now_ms();
        match action {
            LeaseAction::Lease { gateway, lease } => {
                self.deliver(index, &gateway, Message::SeatLease(lease))
            }
            LeaseAction::Reject {
                gateway,
                request_id: request,
                retry_after_ms: after,
            } => {
                self.nodes[index]
                    .jobs
                    .lease_rejected(now, &gateway, request, after);
            }
            LeaseAction::Probe { .. } => {}
            LeaseAction::RequestHandover { .. }
            | LeaseAction::HandOver { .. }
            | LeaseAction::ConfirmLeases { .. } => {
                unreachable!(
                    "without an agreed ownership table there are no handovers or confirmations"
                )
            }
        }
    }

    /// Delivers a message to a gateway, possibly the sender itself.
    pub fn deliver(&mut self, index: usize, gateway: &str, message: Message) {
        if gateway == self.nodes[index].name {
            self.receive(index, index, message);
        } else if let Some(peer) = self.index_of(gateway) {
            self.send(index, peer, message);
        }
    }

    pub fn job_action(&mut self, index: usize, action: JobAction) {
        let now = self.now_ms();
        let node = &mut self.nodes[index];
        match action {
            JobAction::RequestLease {
                gateway,
                zone,
                request,
            } => node
                .lease_owner
                .request_lease(now, &gateway, &zone, request),
            JobAction::CancelLeaseRequest {
                gateway,
                request_id,
            } => node.lease_owner.cancel(now, &gateway, request_id),
            JobAction::AccessRegister {
                number,
                key,
                expected_version,
                value,
                retries,
            } => {
                let message = Message::JobRegisterRequest {
                    number,
                    key,
                    expected_version,
                    value,
                };
                self.access_register(index, retries as usize, message);
            }
            action => {
                let (gateway, message) = notification(action);
                self.deliver(index, &gateway, message);
            }
        }
    }

    fn access_register(&mut self, index: usize, retries: usize, message: Message) {
        let from = (index, self.nodes[index].incarnation);
        let controller = (index + retries) % self.controllers.len();
        let delay = self.hop();
        self.schedule(delay, Event::RegisterRequest(controller, from, message));
    }

    pub fn claimed(&mut self, index: usize, from: &str, number: u64, attempt: u32, version: u64) {
        let request = self.nodes[index].requests.get_mut(&number);
        let Some(request) =
            request.filter(|request| request.admission.is_current_attempt(from, attempt))
        else {
            return;
        };
        request.admission.set_claimed(version);
        self.send_to_runner(index, number);
    }

    pub fn joined(&mut self, index: usize, from: &str, number: u64, attempt: u32) {
        let request = self.nodes[index].requests.get_mut(&number);
        let Some(request) =
            request.filter(|request| request.admission.is_current_attempt(from, attempt))
        else {
            return;
        };
        if !matches!(request.phase, RequestPhase::Sent(_, true, _)) {
            request.admission.set_joined();
            request.phase = RequestPhase::Waiting(from.into());
        }
    }

    pub fn verdict_received(
        &mut self,
        index: usize,
        from: &str,
        number: u64,
        attempt: u32,
        verdict: JobVerdict,
    ) {
        let request = self.nodes[index].requests.get_mut(&number);
        let Some(request) =
            request.filter(|request| request.admission.is_current_attempt(from, attempt))
        else {
            return;
        };
        if matches!(request.phase, RequestPhase::Sent(_, true, _)) {
            return;
        }
        let outcome = match verdict {
            JobVerdict::Answer(answer) => ClientOutcome::Answer(answer),
            JobVerdict::TooLarge | JobVerdict::MayHaveRun => ClientOutcome::MayHaveRun,
            JobVerdict::OtherRequest => ClientOutcome::KeyReused,
            JobVerdict::NotRun(_) if request.may_have_run => ClientOutcome::MayHaveRun,
            JobVerdict::NotRun(_) => ClientOutcome::NotRun,
        };
        self.release_seat(index, number);
        self.finish(index, number, outcome, JobResult::NotRun);
    }
}

/// Returns the message of a notification action, with the name of the gateway that it is for.
fn notification(action: JobAction) -> (String, Message) {
    match action {
        JobAction::NotifyClaimed {
            gateway,
            request_id,
            attempt,
            register_version,
        } => (
            gateway,
            Message::JobClaimed {
                request_id,
                attempt,
                register_version,
            },
        ),
        JobAction::NotifyJoined {
            gateway,
            request_id,
            attempt,
        } => (
            gateway,
            Message::JobJoined {
                request_id,
                attempt,
            },
        ),
        action => result_notification(action),
    }
}

fn result_notification(action: JobAction) -> (String, Message) {
    match action {
        JobAction::NotifyVerdict {
            gateway,
            request_id,
            attempt,
            verdict,
        } => (
            gateway,
            Message::JobVerdict {
                request_id,
                attempt,
                verdict,
            },
        ),
        JobAction::NotifyPersisted {
            gateway,
            request_id,
        } => (gateway, Message::JobPersisted(request_id)),
        action => panic!("{action:?} is not a notification"),
    }
}
