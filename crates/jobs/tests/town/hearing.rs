use super::gateway::Stage;
use super::{Event, Told, Town};
use jobs::JobAction;
use protocol::{JobResult, JobVerdict, Message, RequestId};
use seat_leases::LeaseAction;

impl Town {
    pub fn hear(&mut self, place: usize, from: usize, message: Message) {
        if !self.nodes[place].is_up {
            return;
        }
        let now = self.now_ms();
        let name = self.nodes[from].name.clone();
        let node = &mut self.nodes[place];
        node.suspects.remove(&name);
        match message {
            Message::LeaseRequest(bid) => node.jobs.request_arrived(now, &name, "", bid),
            Message::CancelRequest(ticket) => node.keeper.cancel(now, &name, ticket),
            Message::LeaseRelease(release) => node.keeper.release(now, &name, &release),
            Message::JobCompletion(end) => node.jobs.attempt_completed(now, &name, end),
            Message::SeatLease(grant) => self.granted(place, &name, grant),
            Message::JobClaimed {
                request_id: ticket,
                attempt,
                register_version: version,
            } => self.claimed(place, &name, ticket.0, attempt, version),
            Message::JobJoined {
                request_id: ticket,
                attempt,
            } => self.joined(place, &name, ticket.0, attempt),
            Message::JobVerdict {
                request_id: ticket,
                attempt,
                verdict,
            } => self.told(place, &name, ticket.0, attempt, verdict),
            Message::JobPersisted(ticket) => node.ends.acknowledge(RequestId(ticket.0)),
            _ => {}
        }
        self.run_actions(place);
    }

    pub fn run_actions(&mut self, place: usize) {
        loop {
            let node = &mut self.nodes[place];
            let (seats, jobs) = (node.keeper.take_actions(), node.jobs.take_actions());
            if seats.is_empty() && jobs.is_empty() {
                return;
            }
            for action in seats {
                self.seat_action(place, action);
            }
            for action in jobs {
                self.job_action(place, action);
            }
        }
    }

    pub fn seat_action(&mut self, place: usize, action: LeaseAction) {
        let now = self.now_ms();
        match action {
            LeaseAction::Lease {
                gateway,
                lease: grant,
            } => self.deliver(place, &gateway, Message::SeatLease(grant)),
            LeaseAction::Reject {
                gateway,
                request_id: ticket,
                retry_after_ms: after,
            } => {
                self.nodes[place]
                    .jobs
                    .lease_rejected(now, &gateway, RequestId(ticket.0), after);
            }
            LeaseAction::Probe { .. } => {}
        }
    }

    /// Gives word to a gateway, which may be this node itself.
    pub fn deliver(&mut self, place: usize, gateway: &str, message: Message) {
        if gateway == self.nodes[place].name {
            self.hear(place, place, message);
        } else if let Some(peer) = self.place_of(gateway) {
            self.send(place, peer, message);
        }
    }

    pub fn job_action(&mut self, place: usize, action: JobAction) {
        let now = self.now_ms();
        let node = &mut self.nodes[place];
        match action {
            JobAction::RequestLease {
                gateway,
                zone: district,
                request: bid,
            } => node.keeper.request_lease(now, &gateway, &district, bid),
            JobAction::CancelLeaseRequest {
                gateway,
                request_id: ticket,
            } => node.keeper.cancel(now, &gateway, RequestId(ticket.0)),
            JobAction::NotifyClaimed {
                gateway,
                request_id: ticket,
                attempt,
                register_version: version,
            } => {
                let message = Message::JobClaimed {
                    request_id: RequestId(ticket.0),
                    attempt,
                    register_version: version,
                };
                self.deliver(place, &gateway, message);
            }
            JobAction::NotifyJoined {
                gateway,
                request_id: ticket,
                attempt,
            } => {
                self.deliver(
                    place,
                    &gateway,
                    Message::JobJoined {
                        request_id: RequestId(ticket.0),
                        attempt,
                    },
                );
            }
            JobAction::NotifyVerdict {
                gateway,
                request_id: ticket,
                attempt,
                verdict,
            } => {
                let message = Message::JobVerdict {
                    request_id: RequestId(ticket.0),
                    attempt,
                    verdict,
                };
                self.deliver(place, &gateway, message);
            }
            JobAction::NotifyPersisted {
                gateway,
                request_id: ticket,
            } => {
                self.deliver(place, &gateway, Message::JobPersisted(RequestId(ticket.0)));
            }
            JobAction::AccessRegister {
                number,
                key,
                expected_version: expected,
                value: bytes,
                retries: tries,
            } => {
                let from = (place, node.life);
                let controller = (place + tries as usize) % self.controllers.len();
                let way = self.hop();
                let message = Message::JobRegisterRequest {
                    number,
                    key,
                    expected_version: expected,
                    value: bytes,
                };
                self.later(way, Event::ControllerAsk(controller, from, message));
            }
        }
    }

    pub fn claimed(&mut self, place: usize, from: &str, number: u64, attempt: u32, version: u64) {
        let ticket = self.nodes[place].tickets.get_mut(&number);
        let Some(ticket) = ticket.filter(|ticket| ticket.pass.is_current_attempt(from, attempt))
        else {
            return;
        };
        ticket.pass.claimed(version);
        self.leave(place, number);
    }

    pub fn joined(&mut self, place: usize, from: &str, number: u64, attempt: u32) {
        let ticket = self.nodes[place].tickets.get_mut(&number);
        let Some(ticket) = ticket.filter(|ticket| ticket.pass.is_current_attempt(from, attempt))
        else {
            return;
        };
        if !matches!(ticket.stage, Stage::Sent(_, true, _)) {
            ticket.pass.joined();
            ticket.stage = Stage::Waiting(from.into());
        }
    }

    pub fn told(
        &mut self,
        place: usize,
        from: &str,
        number: u64,
        attempt: u32,
        verdict: JobVerdict,
    ) {
        let ticket = self.nodes[place].tickets.get_mut(&number);
        let Some(ticket) = ticket.filter(|ticket| ticket.pass.is_current_attempt(from, attempt))
        else {
            return;
        };
        if matches!(ticket.stage, Stage::Sent(_, true, _)) {
            return;
        }
        let told = match verdict {
            JobVerdict::Answer(answer) => Told::Answer(answer),
            JobVerdict::TooLarge | JobVerdict::MayHaveRun => Told::MayHaveRun,
            JobVerdict::OtherRequest => Told::Other,
            JobVerdict::NotRun(_) if ticket.may_have_run => Told::MayHaveRun,
            JobVerdict::NotRun(_) => Told::NotRun,
        };
        self.withdraw_seat(place, number);
        self.finish(place, number, told, JobResult::NotRun);
    }
}
