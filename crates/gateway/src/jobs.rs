use crate::answers::{pack, unpack, TOLD_MAX};
use crate::gateway::Gateway;
use crate::tickets::{Stage, Ticket};
use http1::{Request, Response};
use jobs::{digest, is_key, JobAction, Pass};
use protocol::{JobCompletion, JobResult, JobVerdict, LeaseOutcome, LeaseRequest, Message};

/// Header by which a caller names the job that its request asks for.
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

impl Gateway {
    /// The pass of a request whose caller named its job; an error where the name is none.
    pub fn pass_of(&self, request: &Request, is_once: bool) -> Result<Option<Box<Pass>>, ()> {
        let mut keys = request.headers.get_all(IDEMPOTENCY_KEY);
        let Some(key) = keys.next() else {
            return Ok(None);
        };
        let text = std::str::from_utf8(key).map_err(|_| ())?;
        if keys.next().is_some() || !is_key(key) {
            return Err(());
        }
        let what = digest(&request.method, &request.target, &request.body);
        let life = self.links.incarnation();
        Ok(Some(Box::new(Pass::new(text.into(), what, is_once, life))))
    }

    /// A bid comes in, from a gateway that may be this one. Bids without a job go straight for a seat.
    pub fn take_bid(&mut self, gateway: &str, district: &str, bid: LeaseRequest) {
        if bid.job.is_some() {
            self.jobs.arrive(self.now, gateway, district, bid);
        } else {
            self.keeper.request_lease(self.now, gateway, district, bid);
        }
    }

    /// Does what the keeper of jobs wants done; whether there was anything.
    pub fn run_job_actions(&mut self) -> bool {
        let actions = self.jobs.actions();
        let has_any = !actions.is_empty();
        for action in actions {
            self.run_job_action(action);
        }
        has_any
    }

    fn run_job_action(&mut self, action: JobAction) {
        let now = self.now;
        match action {
            JobAction::Seat(gateway, district, bid) => {
                self.keeper.request_lease(now, &gateway, &district, bid)
            }
            JobAction::Withdraw(gateway, ticket) => self.keeper.cancel(now, &gateway, ticket),
            JobAction::Claimed {
                gateway,
                ticket,
                attempt,
                version,
            } => {
                let message = Message::JobClaimed {
                    request_id: ticket,
                    attempt,
                    register_version: version,
                };
                self.deliver(&gateway, message);
            }
            JobAction::Joined(gateway, ticket, attempt) => {
                self.deliver(
                    &gateway,
                    Message::JobJoined {
                        request_id: ticket,
                        attempt,
                    },
                );
            }
            JobAction::Tell(gateway, ticket, attempt, verdict) => {
                let message = Message::JobVerdict {
                    request_id: ticket,
                    attempt,
                    verdict,
                };
                self.deliver(&gateway, message);
            }
            JobAction::Kept(gateway, ticket) => {
                self.deliver(&gateway, Message::JobPersisted(ticket))
            }
            JobAction::Ask {
                number,
                key,
                expected,
                bytes,
                tries,
            } => {
                let Some(controller) = self.links.controller_for(&self.options.zone, tries) else {
                    return;
                };
                let message = Message::JobRegisterRequest {
                    number,
                    key,
                    expected_version: expected,
                    value: bytes,
                };
                self.tell_controller(&controller, &message);
            }
        }
    }

    /// Gives word about a job to a gateway, which may be this one.
    fn deliver(&mut self, gateway: &str, message: Message) {
        if gateway == self.options.name {
            self.hear_job(gateway, message);
        } else {
            self.tell(gateway, &message);
        }
    }

    /// Word about a job from another gateway, or from the keeper here.
    pub fn hear_job(&mut self, name: &str, message: Message) {
        match message {
            Message::JobCompletion(end) => self.jobs.ended(self.now, name, end),
            Message::JobPersisted(ticket) => self.ends.kept(ticket),
            Message::JobClaimed {
                request_id: ticket,
                attempt,
                register_version: version,
            } => {
                let Some(pass) = self.meant(name, ticket, attempt) else {
                    return;
                };
                pass.claimed(version);
                if !pass.is_ready {
                    return;
                }
                let stage = self.tickets.get(ticket).map(|ticket| &ticket.stage);
                if let Some(Stage::Sent(sent)) = stage {
                    let line = sent.line;
                    self.send_to_runner(line);
                }
            }
            Message::JobJoined {
                request_id: ticket,
                attempt,
            } => {
                let Some(pass) = self.meant(name, ticket, attempt) else {
                    return;
                };
                pass.joined();
                self.leave_runner(ticket);
                let since = self.now;
                if let Some(ticket) = self.tickets.get(ticket) {
                    ticket.stage = Stage::Waiting {
                        lender: name.into(),
                        since,
                    };
                }
            }
            Message::JobVerdict {
                request_id: ticket,
                attempt,
                verdict,
            } if self.meant(name, ticket, attempt).is_some() => {
                self.leave_runner(ticket);
                self.told(ticket, verdict);
            }
            _ => {}
        }
    }

    /// The pass of a request that has not left, where word from a keeper is about the bid that stands.
    fn meant(&mut self, keeper: &str, number: u64, attempt: u32) -> Option<&mut Pass> {
        let ticket = self.tickets.get(number)?;
        let has_left = matches!(&ticket.stage, Stage::Sent(sent) if sent.has_left);
        let pass = ticket.job.as_mut().filter(|_| !has_left)?;
        pass.is_meant(keeper, attempt).then_some(pass.as_mut())
    }

    /// A request that has not left gives up its line to a runner, and its seat.
    pub fn leave_runner(&mut self, number: u64) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        let Stage::Sent(sent) = &ticket.stage else {
            return;
        };
        let (line, lender, runner) = (sent.line, sent.lender.clone(), sent.runner.clone());
        let function = ticket.function.clone();
        self.drop_runner_line(line, &runner);
        self.give_back(&lender, &function, number, LeaseOutcome::Unused, 0);
    }

    /// The keeper tells what came of the job.
    fn told(&mut self, number: u64, verdict: JobVerdict) {
        let (status, text) = match verdict {
            JobVerdict::NotRun(after) => {
                let reason = "no seat in time, or no claim on the job";
                return self.give_up(number, u64::from(after), reason);
            }
            JobVerdict::Answer(packed) => {
                if let Some(told) = unpack(&packed) {
                    return self.tell_again(number, &told);
                }
                (409, "it has run, and its answer cannot be read")
            }
            JobVerdict::TooLarge => (409, "it has run, and its answer was too large to be kept"),
            JobVerdict::MayHaveRun => (409, "it may have run, and is not run again"),
            JobVerdict::OtherRequest => (422, "the key was used with another request"),
        };
        let Some(ticket) = self.tickets.remove(number) else {
            return;
        };
        let id = self.options.conventions.request_id;
        self.note_refusal(&ticket, status, text);
        self.answer(&ticket, status, &[(id, &ticket.id)], text.as_bytes());
    }

    fn tell_again(&mut self, number: u64, told: &crate::answers::Told) {
        let Some(ticket) = self.tickets.remove(number) else {
            return;
        };
        let id = self.options.conventions.request_id;
        let kept = told.headers.iter();
        let kept = kept.filter(|(name, _)| !name.eq_ignore_ascii_case(id));
        let mut headers: Vec<(&str, &[u8])> = kept
            .map(|(name, value)| (name.as_str(), value.as_slice()))
            .collect();
        headers.push((id, &ticket.id));
        self.answer(&ticket, told.status, &headers, &told.body);
    }

    /// A request ends: the keepers that may think of its job are told.
    pub fn end_job(&mut self, number: u64, ticket: &Ticket, result: JobResult) {
        let Some(pass) = &ticket.job else {
            return;
        };
        let end = pass.end(number, &ticket.function, result);
        self.ends.note(self.now, &end);
        let lender = match &ticket.stage {
            Stage::Waiting { lender, .. } => Some(lender.clone()),
            Stage::Sent(sent) => Some(sent.lender.clone()),
            Stage::Resting => None,
        };
        let keeper = self.keeper_of(&ticket.function);
        let keeper = keeper.filter(|keeper| lender.as_ref() != Some(keeper));
        for name in lender.into_iter().chain(keeper) {
            self.tell_end(&name, end.clone());
        }
    }

    fn tell_end(&mut self, name: &str, end: JobCompletion) {
        self.deliver(name, Message::JobCompletion(end));
    }

    /// A runner answered the request of a job.
    pub fn job_answered(&mut self, number: u64, ticket: &Ticket, response: &Response) {
        let Some(pass) = &ticket.job else {
            return;
        };
        // Work that may run twice is run anew after a failure.
        if !pass.mark().at_most_once && response.status >= 500 {
            return self.end_job(number, ticket, JobResult::Lost);
        }
        let packed = pack(response).filter(|packed| packed.len() <= TOLD_MAX);
        let result = packed.map_or(JobResult::TooLarge, JobResult::Answer);
        self.end_job(number, ticket, result);
    }

    /// A bid is taken back at its keeper: nothing that was told about it holds any more.
    pub fn void_bid(&mut self, lender: &str, number: u64) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        let function = ticket.function.clone();
        let Some(pass) = &mut ticket.job else {
            return;
        };
        let end = pass.end(number, &function, JobResult::NotRun);
        pass.void();
        self.tell_end(lender, end);
    }

    /// Sees to jobs that are due.
    pub fn tend_jobs(&mut self) {
        let members = self.control.members();
        let (name, life) = (self.options.name.as_str(), self.links.incarnation());
        self.jobs.tick(self.now, |gateway, incarnation| {
            if gateway == name {
                return incarnation != life;
            }
            let member = members.iter().find(|member| member.name == gateway);
            !members.is_empty() && member.is_none_or(|member| member.incarnation != incarnation)
        });
        for end in self.ends.due(self.now) {
            if let Some(keeper) = self.keeper_of(&end.function) {
                self.tell_end(&keeper, end);
            }
        }
    }
}
