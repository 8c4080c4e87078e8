use crate::claim::{Claim, ClaimState};
use crate::job::{pause, Copy, Job, State};
use crate::jobs::{answer, Jobs, Purpose, RETRY_AFTER_MS};
use protocol::{JobVerdict, RegisterResponse};
use speedy::Readable;

/// Milliseconds between looks at the register of a job that others wait for.
const LOOK_MS: u64 = 250;
/// Milliseconds after which a gateway that is on no roster counts as gone.
const GONE_MS: u64 = 2_000;
/// Milliseconds for which an answer of a controller is waited for.
const ANSWER_MS: u64 = 10_000;

fn read(bytes: &[u8]) -> Claim {
    // A register that was never written, or forgotten, is free; so is one that nobody can read.
    Claim::read_from_buffer(bytes).unwrap_or_default()
}

impl Jobs {
    /// A controller's answer to a question.
    pub fn said(&mut self, now: u64, number: u64, said: RegisterResponse) {
        let Some((name, purpose, _)) = self.asks.remove(&number) else {
            return;
        };
        let Some(mut job) = self.take_out(&name) else {
            return;
        };
        match purpose {
            Purpose::Claim(claim) => self.claim_said(now, &name, &mut job, claim, said),
            Purpose::Free => self.free_said(now, &name, &mut job, said),
            Purpose::Keep => self.keep_said(now, &name, &mut job, said),
            Purpose::Look(is_gone) => {
                if let RegisterResponse::Found(version, bytes) = said {
                    self.looked(now, &name, &mut job, is_gone, version, read(&bytes));
                }
            }
        }
        self.put(&name, job);
    }

    fn claim_said(&mut self, now: u64, name: &str, job: &mut Job, no: u64, said: RegisterResponse) {
        let wanted = match &job.state {
            State::Claiming { claim, .. } => *claim,
            _ => return,
        };
        match said {
            RegisterResponse::Written(version) if no == wanted => {
                self.claimed(now, name, job, version);
            }
            RegisterResponse::Found(version, bytes) if no == wanted => {
                self.found(now, name, job, version, read(&bytes));
            }
            // Asked again by and by.
            _ => {}
        }
    }

    /// The register bears the claim of the copy that wants to run.
    fn claimed(&mut self, now: u64, name: &str, job: &mut Job, version: u64) {
        job.version = version;
        let State::Claiming {
            runner, refused, ..
        } = std::mem::take(&mut job.state)
        else {
            return;
        };
        let given_up = refused.or((runner.ends_at <= now).then_some(RETRY_AFTER_MS));
        if let Some(after) = given_up {
            self.turn_away(&runner, after);
            return self.not_run(now, name, job);
        }
        self.actions.push(crate::JobAction::Claimed {
            gateway: runner.id.gateway.clone(),
            ticket: runner.id.ticket,
            attempt: runner.attempt,
            version,
        });
        job.state = State::Running {
            runner,
            looked_at: now,
        };
    }

    fn turn_away(&mut self, runner: &Copy, after_ms: u32) {
        self.unseat(runner);
        self.unlist(&runner.id);
        self.tell(runner, JobVerdict::NotRun(after_ms));
    }

    /// The register holds something else than what the claim builds on.
    fn found(&mut self, now: u64, name: &str, job: &mut Job, version: u64, value: Claim) {
        let State::Claiming { runner, claim, .. } = &job.state else {
            return;
        };
        let is_own = value.by.0 == self.life && value.state == ClaimState::Taken;
        if is_own && value.by.1 == *claim {
            return self.claimed(now, name, job, version);
        }
        // Nobody runs under a claim of this keeper's that is not in force, nor under one of a request that bids.
        let is_void = is_own && job.issued.contains(&value.by.1);
        let is_same = value.state == ClaimState::Taken && value.runner == runner.id;
        if value.state == ClaimState::Free || is_void || is_same {
            job.version = version;
            if let State::Claiming { asked_at, .. } = &mut job.state {
                *asked_at = now;
            }
            return self.ask_claim(now, name, job);
        }
        let State::Claiming { runner, .. } = std::mem::take(&mut job.state) else {
            return;
        };
        self.unseat(&runner);
        job.copies.insert(0, runner);
        self.learn(now, job, version, value);
        if let Some(copy) = job.copies.first().cloned() {
            self.join(&copy);
        }
    }

    fn free_said(&mut self, now: u64, name: &str, job: &mut Job, said: RegisterResponse) {
        if job.unfreed.is_none() || !matches!(job.state, State::Idle) {
            return;
        }
        let (version, value) = match said {
            RegisterResponse::Written(version) => (version, Claim::default()),
            RegisterResponse::Found(version, bytes) => (version, read(&bytes)),
            _ => return,
        };
        let is_void = value.by.0 == self.life && job.issued.contains(&value.by.1);
        match value.state {
            ClaimState::Free => {
                job.version = version;
                job.unfreed = None;
                job.issued.clear();
            }
            ClaimState::Taken if is_void => {
                job.version = version;
                self.ask_free(now, name, job);
            }
            _ => self.learn(now, job, version, value),
        }
    }

    /// The register tells that another request has the job, or had it.
    fn learn(&mut self, now: u64, job: &mut Job, version: u64, value: Claim) {
        job.version = version;
        job.unfreed = None;
        job.issued.clear();
        if value.digest != job.digest {
            self.tell_all(job, &JobVerdict::OtherRequest);
            job.digest = value.digest;
        }
        if let ClaimState::Done(packed) = value.state {
            self.tell_all(job, &answer(packed.as_ref()));
            job.state = State::Answered { packed, debt: None };
            return;
        }
        job.state = State::Elsewhere {
            runner: value.runner,
            since: now,
            looked_at: now,
            attempt: None,
        };
    }

    fn keep_said(&mut self, now: u64, name: &str, job: &mut Job, said: RegisterResponse) {
        let State::Answered {
            debt: Some((id, _)),
            ..
        } = &job.state
        else {
            return;
        };
        let id = id.clone();
        let is_kept = match said {
            RegisterResponse::Written(version) => {
                job.version = version;
                true
            }
            RegisterResponse::Found(version, bytes) => {
                let value = read(&bytes);
                let is_same = value.runner == id && value.state == ClaimState::Taken;
                let is_forgotten = value.state == ClaimState::Free && version == 0;
                if (is_same || is_forgotten) && version != job.version {
                    job.version = version;
                    return self.ask_keep(now, name, job);
                }
                if !matches!(value.state, ClaimState::Done(_)) {
                    log::error!("jobs: the claim of a job that ran is not its own any more");
                }
                true
            }
            _ => false,
        };
        if !is_kept {
            return;
        }
        if let State::Answered { debt, .. } = &mut job.state {
            *debt = None;
        }
        self.actions
            .push(crate::JobAction::Kept(id.gateway, id.ticket));
    }

    fn looked(
        &mut self,
        now: u64,
        name: &str,
        job: &mut Job,
        is_gone: bool,
        version: u64,
        value: Claim,
    ) {
        let known = match &job.state {
            State::Running { runner, .. } if job.is_once => runner.id.clone(),
            State::Elsewhere { runner, .. } => runner.clone(),
            _ => return,
        };
        let is_old = version < job.version && version > 0;
        if is_old {
            return;
        }
        match value.state {
            ClaimState::Done(_) => self.learn(now, job, version, value),
            // Forgotten while it runs: it is let run, which takes less time than forgetting.
            ClaimState::Free if version == 0 && job.runner().is_some() => {}
            ClaimState::Free => {
                job.version = version;
                self.not_run(now, name, job);
            }
            ClaimState::Taken if value.runner == known => {
                let is_elsewhere = matches!(job.state, State::Elsewhere { .. });
                if is_gone && is_elsewhere {
                    self.lost(now, name, job);
                }
            }
            ClaimState::Taken => self.learn(now, job, version, value),
        }
    }

    /// Sees to what is due; called often. `is_gone` says whether a gateway is surely not in a life any more.
    pub fn tick(&mut self, now: u64, is_gone: impl Fn(&str, u64) -> bool) {
        self.asks.retain(|_, (_, _, at)| now < *at + ANSWER_MS);
        let names: Vec<String> = self.busy.iter().cloned().collect();
        for name in names {
            let Some(mut job) = self.take_out(&name) else {
                self.busy.remove(&name);
                continue;
            };
            self.drop_late(now, &mut job);
            self.tend(now, &name, &mut job, &is_gone);
            self.put(&name, job);
        }
        self.age_out(now);
    }

    fn drop_late(&mut self, now: u64, job: &mut Job) {
        let late = job.copies.iter().filter(|copy| copy.ends_at <= now);
        let late: Vec<Copy> = late.cloned().collect();
        for copy in &late {
            self.unlist(&copy.id);
        }
        job.copies.retain(|copy| copy.ends_at > now);
    }

    fn tend(&mut self, now: u64, name: &str, job: &mut Job, is_gone: &impl Fn(&str, u64) -> bool) {
        let is_once = job.is_once;
        match &mut job.state {
            State::Claiming {
                runner,
                asked_at,
                tries,
                ..
            } => {
                if now >= runner.claims_until {
                    let runner = runner.clone();
                    self.turn_away(&runner, RETRY_AFTER_MS);
                    return self.not_run(now, name, job);
                }
                if now >= *asked_at + pause(*tries) {
                    *asked_at = now;
                    *tries += 1;
                    self.ask_claim(now, name, job);
                }
            }
            State::Answered {
                debt: Some((_, debt)),
                ..
            } => {
                if now >= debt.until {
                    if let State::Answered { debt, .. } = &mut job.state {
                        *debt = None;
                    }
                } else if debt.is_due(now) {
                    self.ask_keep(now, name, job);
                }
            }
            State::Running { runner, looked_at } if !job.copies.is_empty() => {
                if !is_once {
                    if now >= runner.ends_at + LOOK_MS {
                        self.not_run(now, name, job);
                    }
                } else if now >= *looked_at + LOOK_MS {
                    *looked_at = now;
                    self.ask(now, name, Purpose::Look(false), None, 0);
                }
            }
            State::Elsewhere {
                runner,
                since,
                looked_at,
                ..
            } if !job.copies.is_empty() && now >= *looked_at + LOOK_MS => {
                *looked_at = now;
                let is_old = now >= *since + GONE_MS;
                let is_gone = is_old && is_gone(&runner.gateway, runner.incarnation);
                self.ask(now, name, Purpose::Look(is_gone), None, 0);
            }
            State::Idle => self.tend_free(now, name, job),
            _ => {}
        }
    }

    fn tend_free(&mut self, now: u64, name: &str, job: &mut Job) {
        let Some(debt) = &mut job.unfreed else {
            return;
        };
        if now >= debt.until {
            job.unfreed = None;
        } else if debt.is_due(now) {
            self.ask_free(now, name, job);
        }
    }
}
