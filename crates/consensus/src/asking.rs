use crate::action::ConsensusAction;
use crate::consensus::{Consensus, REQUIRED_KEYS, SCALER_ROLE_KEY};
use crate::disk::DiskWork;
use crate::duty::is_role_round;
use crate::job::{Job, Purpose};
use crate::message::ConsensusMessage;
use rand::Rng;
use register::{
    Ballot, Change, ChangeOutcome, Proposal, ProposalStep, VoterOperation, VoterRef, VoterRequest,
    VoterResponse, VoterSet,
};

/// Time in which a change ends.
const BUDGET: u64 = 1_500;
/// Time after which a voter that did not answer is asked again.
const ASK_AGAIN: u64 = 250;
/// Pause after too few voters could answer.
const PAUSE: u64 = 100;

impl Consensus {
    /// Starts a change of a register under the set that is known.
    pub(crate) fn propose(&mut self, now: u64, purpose: Purpose, key: &str, change: Change) {
        let set = self.set.clone();
        if set.epoch == 0 {
            let outcome = ChangeOutcome::NoQuorum("no voters are known yet".into());
            return self.on_outcome(now, purpose, key, outcome);
        }
        let tag = self.random.random::<u64>() | 1;
        let ballot = self.next_ballot(Ballot::default());
        let count = set.voters.len();
        let (proposal, ask) = Proposal::start(key, change.clone(), tag, ballot, count);
        let is_early = self.is_early(now, &purpose, key);
        let job = Job {
            purpose,
            key: key.to_string(),
            change,
            tag,
            proposal,
            ask,
            number: 0,
            set,
            has_answered: Vec::new(),
            begun_at: now,
            asked_at: now,
            until: now + BUDGET,
            paused: is_early.then_some((now + PAUSE, Ballot::default())),
            has_proposed: false,
            known: self.newest_value(key),
        };
        let id = self.next_number();
        self.jobs.insert(id, job);
        if !is_early {
            self.ask_all(now, id);
        }
    }

    /// Whether a caller's change had better wait until this controller has the value that is on its way to it.
    fn is_early(&self, now: u64, purpose: &Purpose, key: &str) -> bool {
        let is_client = matches!(purpose, Purpose::Client(_));
        is_client && REQUIRED_KEYS.contains(&key) && self.awaits_value(now, key)
    }

    pub(crate) fn next_ballot(&mut self, above: Ballot) -> Ballot {
        self.counter = self.counter.max(above.counter) + 1;
        Ballot {
            counter: self.counter,
            proposer: self.incarnation,
        }
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Asks every voter something new.
    fn ask_all(&mut self, now: u64, id: u64) {
        let number = self.next_number();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.number = number;
            job.has_answered = vec![false; job.set.voters.len()];
        }
        self.ask_missing(now, id);
    }

    /// Asks those voters that have not answered yet.
    fn ask_missing(&mut self, now: u64, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.asked_at = now;
        let number = job.number;
        let known = job.known.as_ref().map_or((0, 0), |value| value.mark());
        let message = VoterRequest {
            set_version: job.set.version(),
            operation: job.ask.clone(),
        };
        let voters = job.set.voters.iter().zip(&job.has_answered);
        let missing = voters.filter(|(_, has_answered)| !**has_answered);
        let missing: Vec<VoterRef> = missing.map(|(voter, _)| voter.clone()).collect();
        for voter in missing {
            let message = message.clone();
            let to = self.locate(&voter);
            if voter.disk == self.options.disk_id {
                self.take_ask(now, &to, number, known, message);
                continue;
            }
            let message = ConsensusMessage::VoterRequest {
                number,
                known,
                message,
            };
            self.send(&to, message);
        }
    }

    /// Gives a question to this controller's voter, unless it is about a duty that is granted.
    pub(crate) fn take_ask(
        &mut self,
        now: u64,
        from: &str,
        number: u64,
        known: (u64, u64),
        message: VoterRequest,
    ) {
        let is_promise = matches!(message.operation, VoterOperation::Prepare { .. });
        let is_role_round = is_role_round(&message.operation);
        let lease = self.options.lease_ms;
        if is_role_round && is_promise && !self.duty.may_promise(now, from, lease) {
            if from != self.options.address {
                let reply = VoterResponse::Unavailable {
                    reason: "the duty is not vacant".into(),
                };
                self.answer(from, number, false, reply);
            }
            return;
        }
        self.duty_rounds += usize::from(is_role_round);
        let to = from.to_string();
        self.actions
            .push(ConsensusAction::Disk(DiskWork::VoterRequest {
                to,
                number,
                known,
                message,
            }));
    }

    pub(crate) fn answer(&mut self, to: &str, number: u64, is_known: bool, reply: VoterResponse) {
        let message = ConsensusMessage::VoterResponse {
            disk: self.options.disk_id,
            number,
            is_known,
            reply,
        };
        self.send(to, message);
    }

    /// Takes a voter's answer. It counts for the member whose disk gave it, wherever that is reached.
    pub(crate) fn on_answer(
        &mut self,
        now: u64,
        from: &str,
        disk: u64,
        number: u64,
        is_known: bool,
        mut reply: VoterResponse,
    ) {
        let job = self.jobs.iter_mut().find(|(_, job)| job.number == number);
        let Some((&id, job)) = job.filter(|(_, job)| job.paused.is_none()) else {
            return;
        };
        let mut voters = job.set.voters.iter();
        let Some(place) = voters.position(|voter| voter.disk == disk) else {
            return;
        };
        if let VoterResponse::SetMismatch { set } = &reply {
            let set = set.clone();
            return self.on_other_set(now, from, &set);
        }
        if job.has_answered[place] {
            return;
        }
        if let (true, VoterResponse::LastAccepted { value: stored, .. }) = (is_known, &mut reply) {
            let known = job.known.as_ref();
            let Some(value) = known.filter(|value| value.mark() == (stored.version, stored.tag))
            else {
                return;
            };
            stored.bytes = value.bytes.to_vec();
        }
        job.has_answered[place] = true;
        let step = job.proposal.on_response(place, reply);
        self.on_step(now, id, step);
    }

    /// A voter is in another set: one of the two is told of the newer. An empty voter is just not
    /// there yet. All of them are asked again.
    fn on_other_set(&mut self, now: u64, from: &str, set: &VoterSet) {
        if set.version() > self.set.version() {
            return self.learn_set(now, set);
        }
        if set.epoch != 0 && set.version() < self.set.version() && from != self.options.address {
            self.send(from, ConsensusMessage::VoterSet(self.set_news()));
        }
    }

    fn on_step(&mut self, now: u64, id: u64, step: ProposalStep) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match step {
            ProposalStep::Wait => {}
            ProposalStep::Send(ask) => {
                job.ask = ask;
                self.ask_all(now, id);
            }
            ProposalStep::Retry(above) => {
                let pause = self.random.random_range(1..=10);
                job.paused = Some((now + pause, above));
            }
            ProposalStep::Done(ChangeOutcome::NoQuorum(_) | ChangeOutcome::Indeterminate)
                if now + PAUSE < job.until && job.purpose != Purpose::Duty =>
            {
                job.paused = Some((now + PAUSE, Ballot::default()));
            }
            ProposalStep::Done(outcome) => self.finish(now, id, outcome),
        }
    }

    fn finish(&mut self, now: u64, id: u64, outcome: ChangeOutcome) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        if let ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) = &outcome {
            // Jobs come and go by the thousand; nobody keeps them up.
            if !register::is_job_key(&job.key) {
                self.learn_settled(now, &job.key, stored);
            }
        }
        if let (Purpose::Settle(key), ChangeOutcome::Committed(_)) = (job.purpose, &outcome) {
            self.on_read(key, job.begun_at);
        }
        let outcome = job.judge(outcome);
        self.on_outcome(now, job.purpose, &job.key, outcome);
    }

    fn on_outcome(&mut self, now: u64, purpose: Purpose, key: &str, outcome: ChangeOutcome) {
        match purpose {
            Purpose::Client(token) => {
                self.actions
                    .push(ConsensusAction::RequestCompleted { token, outcome });
            }
            Purpose::Settle(key) => {
                if let ChangeOutcome::Committed(_) = outcome {
                    self.unread.remove(key);
                }
                self.settle_at = now + PAUSE;
            }
            Purpose::Place => {
                self.place_at = now + PAUSE + self.random.random_range(0..400);
                if let ChangeOutcome::Committed(_) = outcome {
                    self.spread_set();
                }
            }
            Purpose::Duty => {
                debug_assert_eq!(key, SCALER_ROLE_KEY);
                self.on_contended(now, outcome);
            }
        }
    }

    /// Goes on with what has paused, asks again, and ends what has had its time.
    pub(crate) fn tend_jobs(&mut self, now: u64) {
        let ids: Vec<u64> = self.jobs.keys().copied().collect();
        for id in ids {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if now >= job.until {
                let outcome = job.proposal.abandon();
                self.finish(now, id, outcome);
                continue;
            }
            let (paused, asked_at) = (job.paused, job.asked_at);
            match paused {
                Some((at, above)) if now >= at => self.ask_again(now, id, above),
                None if now >= asked_at + ASK_AGAIN => self.ask_missing(now, id),
                _ => {}
            }
        }
    }

    fn ask_again(&mut self, now: u64, id: u64, above: Ballot) {
        let ballot = self.next_ballot(above);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let is_early = self.is_early(now, &job.purpose, &job.key);
        let known = self.newest_value(&job.key);
        if let Some(job) = self.jobs.get_mut(&id) {
            if is_early {
                job.paused = Some((now + PAUSE, above));
                return;
            }
            job.paused = None;
            job.known = known;
            job.ask = job.proposal.retry(ballot);
        }
        self.ask_all(now, id);
    }

    /// Begins all changes anew under a newer set. What was begun about the older one is dropped.
    pub(crate) fn move_jobs(&mut self, now: u64) {
        let is_kept = |job: &Job| !matches!(job.purpose, Purpose::Place | Purpose::Duty);
        self.jobs.retain(|_, job| is_kept(job));
        let ids: Vec<u64> = self.jobs.keys().copied().collect();
        for id in ids {
            let ballot = self.next_ballot(Ballot::default());
            if let Some(job) = self.jobs.get_mut(&id) {
                job.move_to(&self.set, ballot);
            }
            self.ask_all(now, id);
        }
    }
}
