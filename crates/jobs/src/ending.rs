use crate::claim::{register_key, Claim, ClaimState, RunnerId, KEPT_MAX};
use crate::job::{Copy, Debt, Job, State};
use crate::jobs::{answer, Jobs, Purpose};
use crate::JobAction;
use protocol::{JobCompletion, JobResult, JobVerdict};
use std::collections::BTreeSet;

impl Jobs {
    /// A gateway tells how a request of a job ended.
    pub fn ended(&mut self, now: u64, gateway: &str, end: JobCompletion) {
        let name = register_key(&end.function, &end.attempt.key);
        let id = RunnerId {
            gateway: gateway.into(),
            incarnation: end.attempt.incarnation,
            ticket: end.request_id,
        };
        let has_run = end.result != JobResult::NotRun;
        let known = self.take_out(&name);
        let Some(mut job) = known.or_else(|| {
            let job = has_run.then(|| self.begin(now, &name))??;
            Some(Job {
                digest: end.attempt.digest,
                is_once: end.attempt.at_most_once,
                version: end.register_version,
                state: State::Elsewhere {
                    runner: id.clone(),
                    since: now,
                    looked_at: now,
                    attempt: None,
                },
                ..job
            })
        }) else {
            return;
        };
        job.touched = now;
        let attempt = end.attempt.number;
        let is_copy = |copy: &Copy| copy.id == id && copy.attempt <= attempt;
        job.copies.retain(|copy| !is_copy(copy));
        // It ran under a claim that this keeper has not heard of yet.
        let is_newer = has_run && end.register_version > job.version;
        let is_runner = match &job.state {
            State::Claiming { runner, .. } | State::Running { runner, .. } if is_copy(runner) => {
                true
            }
            State::Running { .. } | State::Answered { debt: Some(_), .. } => false,
            _ if is_newer && !matches!(job.state, State::Answered { .. }) => true,
            State::Elsewhere {
                runner,
                attempt: own,
                ..
            } => *runner == id && (has_run || own.is_some_and(|own| own <= attempt)),
            // Told again, since its answer is not known to be kept.
            State::Answered { debt: None, .. } if has_run && job.is_once => {
                self.actions
                    .push(JobAction::Kept(gateway.into(), end.request_id));
                false
            }
            State::Lost => matches!(end.result, JobResult::Answer(_) | JobResult::TooLarge),
            _ => false,
        };
        if is_runner {
            self.unlist(&id);
            if let State::Claiming { runner, .. } = &job.state {
                if runner.id != id {
                    let runner = runner.clone();
                    self.unseat(&runner);
                    job.copies.insert(0, runner);
                }
            }
            job.version = job.version.max(end.register_version);
            self.runner_ended(now, &name, &mut job, id, end.result);
        }
        self.put(&name, job);
    }

    fn runner_ended(
        &mut self,
        now: u64,
        name: &str,
        job: &mut Job,
        id: RunnerId,
        result: JobResult,
    ) {
        let packed = match result {
            JobResult::NotRun => return self.not_run(now, name, job),
            JobResult::Lost => return self.lost(now, name, job),
            // Who may run too does so.
            JobResult::TooLarge if !job.is_once => return self.not_run(now, name, job),
            JobResult::Answer(packed) => Some(packed),
            JobResult::TooLarge => None,
        };
        // Copies that wait get the answer also where it is too large to be kept.
        self.tell_all(job, &answer(packed.as_ref()));
        let kept = packed.filter(|packed| packed.len() <= KEPT_MAX);
        if !job.is_once && kept.is_none() {
            job.state = State::Idle;
            return;
        }
        job.state = State::Answered {
            packed: kept,
            debt: job.is_once.then(|| (id, Debt::new(now))),
        };
        self.ask_keep(now, name, job);
    }

    pub(crate) fn ask_keep(&mut self, now: u64, name: &str, job: &Job) {
        let State::Answered {
            packed,
            debt: Some((runner, debt)),
        } = &job.state
        else {
            return;
        };
        let value = Claim {
            digest: job.digest,
            runner: runner.clone(),
            by: (self.life, 0),
            state: ClaimState::Done(packed.clone()),
        };
        self.ask(
            now,
            name,
            Purpose::Keep,
            Some((job.version, value)),
            debt.tries,
        );
    }

    /// No answer will come. Work that may run twice is run by the next copy.
    pub(crate) fn lost(&mut self, now: u64, name: &str, job: &mut Job) {
        if !job.is_once {
            return self.not_run(now, name, job);
        }
        job.state = State::Lost;
        self.tell_all(job, &JobVerdict::MayHaveRun);
    }

    /// A gateway is gone: what it wanted is off, and what it was let run may be running.
    pub fn forget_gateway(&mut self, now: u64, gateway: &str) {
        let tickets = self.tickets.iter().filter(|((name, _), _)| name == gateway);
        let names: BTreeSet<String> = tickets.map(|(_, name)| name.clone()).collect();
        self.tickets.retain(|(name, _), _| name != gateway);
        for name in names {
            let Some(mut job) = self.take_out(&name) else {
                continue;
            };
            job.copies.retain(|copy| copy.id.gateway != gateway);
            match &job.state {
                State::Claiming { runner, .. } if runner.id.gateway == gateway => {
                    self.not_run(now, &name, &mut job);
                }
                State::Running { runner, .. } if runner.id.gateway == gateway => {
                    let (id, attempt) = (runner.id.clone(), runner.attempt);
                    if job.is_once {
                        job.issued.clear();
                        job.state = State::Elsewhere {
                            runner: id,
                            since: now,
                            looked_at: now,
                            attempt: Some(attempt),
                        };
                    } else {
                        self.not_run(now, &name, &mut job);
                    }
                }
                _ => {}
            }
            self.put(&name, job);
        }
    }
}
