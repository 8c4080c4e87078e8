use crate::claim::{register_key, Claim, ClaimState, RunnerId, KEPT_MAX};
use crate::errand::JobErrand;
use crate::job::{Copy, Debt, Job, State};
use dispatch::{Bid, JobEnd, JobResult, JobVerdict};
use speedy::Writable;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Most jobs that one keeper knows.
const JOBS_MAX: usize = 50_000;
/// Most copies of one job that wait.
const COPIES_MAX: usize = 256;
/// Most bytes of answers that one keeper holds.
const BYTES_MAX: usize = 32 << 20;
/// Milliseconds after which a request comes back that was not run.
pub(crate) const RETRY_AFTER_MS: u32 = 250;

/// What a question to a core was for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// The claim of this number.
    Claim(u64),
    /// To take back claims under which nobody runs.
    Free,
    /// To keep the answer.
    Keep,
    /// To see what became of a job; whether its runner's front is known to be gone.
    Look(bool),
}

/// The keeper of jobs of all functions that fell to one front. A pure machine: `now` is a steady clock in
/// milliseconds.
pub struct Jobs {
    pub(crate) life: u64,
    remembered_ms: u64,
    pub(crate) jobs: HashMap<String, Job>,
    tickets: HashMap<(String, u64), String>,
    pub(crate) asks: HashMap<u64, (String, Purpose, u64)>,
    pub(crate) busy: BTreeSet<String>,
    queue: VecDeque<(u64, String)>,
    pub(crate) errands: Vec<JobErrand>,
    number: u64,
    bytes: usize,
}

impl Jobs {
    /// The keeper of jobs in one life of a front. No job may run for as long as jobs are remembered.
    pub fn new(life: u64, remembered_ms: u64) -> Self {
        Self {
            life,
            remembered_ms,
            jobs: HashMap::new(),
            tickets: HashMap::new(),
            asks: HashMap::new(),
            busy: BTreeSet::new(),
            queue: VecDeque::new(),
            errands: Vec::new(),
            number: 0,
            bytes: 0,
        }
    }

    /// What is to be done now.
    pub fn errands(&mut self) -> Vec<JobErrand> {
        std::mem::take(&mut self.errands)
    }

    /// Jobs known here.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is known here.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Bytes of the answers that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// A front's request of a job wants to run. A bid without a mark is not for this machine.
    pub fn arrive(&mut self, now: u64, front: &str, district: &str, bid: Bid) {
        let Some(mark) = bid.job.clone() else {
            return;
        };
        let name = register_key(&bid.function, &mark.key);
        let copy = Copy::new(now, front, district, bid, &mark);
        let Some(mut job) = self.take_out(&name).or_else(|| self.begin(now, &name)) else {
            return self.tell(&copy, JobVerdict::NotRun(RETRY_AFTER_MS));
        };
        job.touched = now;
        job.copies.retain(|known| known.id != copy.id);
        if matches!(job.state, State::Idle) && job.copies.is_empty() {
            job.digest = mark.digest;
            job.is_once = mark.is_once;
        }
        if job.digest == mark.digest {
            self.admit(now, &name, &mut job, copy);
        } else {
            self.tell(&copy, JobVerdict::OtherRequest);
        }
        self.put(&name, job);
    }

    fn admit(&mut self, now: u64, name: &str, job: &mut Job, copy: Copy) {
        let holder = (copy.id.front.clone(), copy.id.ticket);
        match &job.state {
            State::Idle => self.start(now, name, job, copy),
            State::Answered { packed, .. } => {
                let verdict = answer(packed.as_ref());
                return self.tell(&copy, verdict);
            }
            State::Lost => return self.tell(&copy, JobVerdict::MayHaveRun),
            State::Running { runner, .. } if runner.id == copy.id => {
                self.start(now, name, job, copy);
            }
            // The claim that is on its way names the same request.
            State::Claiming { runner, .. } if runner.id == copy.id => {
                self.seat(now, &copy);
                if let State::Claiming {
                    runner, refused, ..
                } = &mut job.state
                {
                    *runner = copy;
                    *refused = None;
                }
            }
            // Its front bids again, so that it is not running.
            State::Elsewhere { runner, .. } if *runner == copy.id => {
                self.start(now, name, job, copy);
            }
            _ if job.copies.len() >= COPIES_MAX => {
                let verdict = if job.is_once {
                    JobVerdict::MayHaveRun
                } else {
                    JobVerdict::NotRun(RETRY_AFTER_MS)
                };
                return self.tell(&copy, verdict);
            }
            _ => {
                self.join(&copy);
                job.copies.push(copy);
            }
        }
        self.tickets.insert(holder, name.to_string());
    }

    /// Lets a copy be the one that runs: it bids for a seat, and the claim is written meanwhile.
    pub(crate) fn start(&mut self, now: u64, name: &str, job: &mut Job, copy: Copy) {
        self.seat(now, &copy);
        job.unfreed = None;
        if !job.is_once {
            job.state = State::Running {
                runner: copy,
                looked_at: now,
            };
            return;
        }
        self.number += 1;
        let claim = self.number;
        job.issued.push(claim);
        job.state = State::Claiming {
            runner: copy,
            claim,
            asked_at: now,
            tries: 0,
            refused: None,
        };
        self.ask_claim(now, name, job);
    }

    /// Asks a core for the claim that is wanted.
    pub(crate) fn ask_claim(&mut self, now: u64, name: &str, job: &Job) {
        let State::Claiming {
            runner,
            claim,
            tries,
            ..
        } = &job.state
        else {
            return;
        };
        let value = Claim {
            digest: job.digest,
            runner: runner.id.clone(),
            by: (self.life, *claim),
            state: ClaimState::Taken,
        };
        let purpose = Purpose::Claim(*claim);
        self.ask(now, name, purpose, Some((job.version, value)), *tries);
    }

    pub(crate) fn ask(
        &mut self,
        now: u64,
        name: &str,
        purpose: Purpose,
        write: Option<(u64, Claim)>,
        tries: u32,
    ) {
        self.number += 1;
        let number = self.number;
        self.asks.insert(number, (name.to_string(), purpose, now));
        let bytes = write
            .as_ref()
            .and_then(|(_, value)| value.write_to_vec().ok());
        self.errands.push(JobErrand::Ask {
            number,
            key: name.to_string(),
            expected: write.map(|(expected, _)| expected),
            bytes: bytes.unwrap_or_default(),
            tries,
        });
    }

    /// The runner is known not to have run: the next copy runs, or the claim is taken back.
    pub(crate) fn not_run(&mut self, now: u64, name: &str, job: &mut Job) {
        job.state = State::Idle;
        if !job.copies.is_empty() {
            let next = job.copies.remove(0);
            self.start(now, name, job, next);
        } else if job.is_once && (job.version > 0 || !job.issued.is_empty()) {
            job.unfreed = Some(Debt::new(now));
            self.ask_free(now, name, job);
        }
    }

    pub(crate) fn ask_free(&mut self, now: u64, name: &str, job: &Job) {
        let tries = job.unfreed.map_or(0, |debt| debt.tries);
        let value = Claim {
            digest: job.digest,
            by: (self.life, 0),
            ..Claim::default()
        };
        self.ask(now, name, Purpose::Free, Some((job.version, value)), tries);
    }

    /// A front's request got no seat from its keeper. Whether this machine sees to it.
    pub fn refused(&mut self, now: u64, front: &str, ticket: u64, after_ms: u32) -> bool {
        let holder = (front.to_string(), ticket);
        let Some(name) = self.tickets.get(&holder).cloned() else {
            return false;
        };
        let Some(mut job) = self.take_out(&name) else {
            return false;
        };
        let is_holder = |copy: &Copy| copy.id.front == front && copy.id.ticket == ticket;
        let is_runner = job.runner().is_some_and(is_holder);
        match &mut job.state {
            // Another copy may have run it before, which the claim tells.
            State::Claiming { refused, .. } if is_runner => *refused = Some(after_ms),
            // Its front alone knows that it has not left, and says so.
            State::Running { runner, .. } if is_runner => {
                let runner = runner.clone();
                self.tell(&runner, JobVerdict::NotRun(after_ms));
            }
            _ => {}
        }
        job.touched = now;
        self.put(&name, job);
        is_runner
    }

    /// A front tells how a request of a job ended.
    pub fn ended(&mut self, now: u64, front: &str, end: JobEnd) {
        let name = register_key(&end.function, &end.mark.key);
        let id = RunnerId {
            front: front.into(),
            incarnation: end.mark.incarnation,
            ticket: end.ticket,
        };
        let has_run = end.result != JobResult::NotRun;
        let known = self.take_out(&name);
        let Some(mut job) = known.or_else(|| {
            let job = has_run.then(|| self.begin(now, &name))??;
            Some(Job {
                digest: end.mark.digest,
                is_once: end.mark.is_once,
                version: end.version,
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
        let attempt = end.mark.attempt;
        let is_copy = |copy: &Copy| copy.id == id && copy.attempt <= attempt;
        job.copies.retain(|copy| !is_copy(copy));
        // It ran under a claim that this keeper has not heard of yet.
        let is_newer = has_run && end.version > job.version;
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
                self.errands.push(JobErrand::Kept(front.into(), end.ticket));
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
            job.version = job.version.max(end.version);
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

    /// A front is gone: what it wanted is off, and what it was let run may be running.
    pub fn forget_front(&mut self, now: u64, front: &str) {
        let tickets = self.tickets.iter().filter(|((name, _), _)| name == front);
        let names: BTreeSet<String> = tickets.map(|(_, name)| name.clone()).collect();
        self.tickets.retain(|(name, _), _| name != front);
        for name in names {
            let Some(mut job) = self.take_out(&name) else {
                continue;
            };
            job.copies.retain(|copy| copy.id.front != front);
            match &job.state {
                State::Claiming { runner, .. } if runner.id.front == front => {
                    self.not_run(now, &name, &mut job);
                }
                State::Running { runner, .. } if runner.id.front == front => {
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

    pub(crate) fn seat(&mut self, now: u64, copy: &Copy) {
        let front = copy.id.front.clone();
        let errand = JobErrand::Seat(front, copy.district.clone(), copy.bid_now(now));
        self.errands.push(errand);
    }

    pub(crate) fn unseat(&mut self, copy: &Copy) {
        let errand = JobErrand::Withdraw(copy.id.front.clone(), copy.id.ticket);
        self.errands.push(errand);
    }

    pub(crate) fn join(&mut self, copy: &Copy) {
        let front = copy.id.front.clone();
        let errand = JobErrand::Joined(front, copy.id.ticket, copy.attempt);
        self.errands.push(errand);
    }

    /// Tells a copy what came of the job; it waits no more.
    pub(crate) fn tell(&mut self, copy: &Copy, verdict: JobVerdict) {
        let front = copy.id.front.clone();
        let errand = JobErrand::Tell(front, copy.id.ticket, copy.attempt, verdict);
        self.errands.push(errand);
    }

    /// Tells all copies that wait.
    pub(crate) fn tell_all(&mut self, job: &mut Job, verdict: &JobVerdict) {
        for copy in std::mem::take(&mut job.copies) {
            self.unlist(&copy.id);
            self.tell(&copy, verdict.clone());
        }
    }

    pub(crate) fn unlist(&mut self, id: &RunnerId) {
        self.tickets.remove(&(id.front.clone(), id.ticket));
    }

    pub(crate) fn take_out(&mut self, name: &str) -> Option<Job> {
        let job = self.jobs.remove(name)?;
        self.bytes -= job.packed_len();
        Some(job)
    }

    pub(crate) fn put(&mut self, name: &str, job: Job) {
        if job.is_busy() {
            self.busy.insert(name.to_string());
        } else {
            self.busy.remove(name);
        }
        self.bytes += job.packed_len();
        self.jobs.insert(name.to_string(), job);
        while self.bytes > BYTES_MAX && self.evict() {}
    }

    /// A new job, where there is room for one.
    fn begin(&mut self, now: u64, name: &str) -> Option<Job> {
        if self.jobs.len() >= JOBS_MAX && !self.evict() {
            return None;
        }
        self.queue.push_back((now, name.to_string()));
        Some(Job {
            touched: now,
            ..Job::default()
        })
    }

    /// Forgets the oldest job that is over. Once-work is known again from its register.
    fn evict(&mut self) -> bool {
        let jobs = &self.jobs;
        let mut queue = self.queue.iter();
        let is_over = |name: &String| jobs.get(name).is_some_and(Job::is_over);
        let Some(place) = queue.position(|(_, name)| is_over(name)) else {
            return false;
        };
        let Some((_, name)) = self.queue.remove(place) else {
            return false;
        };
        self.take_out(&name).is_some()
    }

    /// Forgets what was not touched for as long as jobs are remembered.
    pub(crate) fn age_out(&mut self, now: u64) {
        while let Some((at, name)) = self.queue.front().cloned() {
            if now < at + self.remembered_ms {
                return;
            }
            self.queue.pop_front();
            let Some(job) = self.jobs.get(&name) else {
                continue;
            };
            if job.is_busy() || now < job.touched + self.remembered_ms {
                let again = if job.is_busy() { now } else { job.touched };
                self.queue.push_back((again, name));
                continue;
            }
            if let Some(copy) = job.runner() {
                let id = copy.id.clone();
                self.unlist(&id);
            }
            self.take_out(&name);
        }
    }
}

pub(crate) fn answer(packed: Option<&Vec<u8>>) -> JobVerdict {
    packed.map_or(JobVerdict::TooLarge, |packed| {
        JobVerdict::Answer(packed.clone())
    })
}
