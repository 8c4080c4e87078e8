use crate::action::JobAction;
use crate::claim::{register_key, Claim, ClaimState};
use crate::job::{Copy, Debt, Job, State};
use protocol::{JobVerdict, LeaseRequest, RequestId};
use speedy::Writable;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Most copies of one job that wait.
const COPIES_MAX: usize = 256;
/// Milliseconds after which a request comes back that was not run.
pub(crate) const RETRY_AFTER_MS: u32 = 250;

/// What a question to a controller was for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// The claim of this number.
    Claim(u64),
    /// To take back claims under which nobody runs.
    Free,
    /// To keep the answer.
    Keep,
    /// To see what became of a job; whether its runner's gateway is known to be gone.
    Look(bool),
}

/// The keeper of jobs of all functions that fell to one gateway. A pure machine: `now` is a steady clock in
/// milliseconds.
pub struct Jobs {
    pub(crate) life: u64,
    pub(crate) remembered_ms: u64,
    pub(crate) jobs: HashMap<String, Job>,
    pub(crate) tickets: HashMap<(String, RequestId), String>,
    pub(crate) asks: HashMap<u64, (String, Purpose, u64)>,
    pub(crate) busy: BTreeSet<String>,
    pub(crate) queue: VecDeque<(u64, String)>,
    pub(crate) actions: Vec<JobAction>,
    number: u64,
    pub(crate) bytes: usize,
}

impl Jobs {
    /// The keeper of jobs in one life of a gateway. No job may run for as long as jobs are remembered.
    pub fn new(life: u64, remembered_ms: u64) -> Self {
        Self {
            life,
            remembered_ms,
            jobs: HashMap::new(),
            tickets: HashMap::new(),
            asks: HashMap::new(),
            busy: BTreeSet::new(),
            queue: VecDeque::new(),
            actions: Vec::new(),
            number: 0,
            bytes: 0,
        }
    }

    /// What is to be done now.
    pub fn actions(&mut self) -> Vec<JobAction> {
        std::mem::take(&mut self.actions)
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

    /// A gateway's request of a job wants to run. A bid without a mark is not for this machine.
    pub fn arrive(&mut self, now: u64, gateway: &str, district: &str, bid: LeaseRequest) {
        let Some(mark) = bid.job.clone() else {
            return;
        };
        let name = register_key(&bid.function, &mark.key);
        let copy = Copy::new(now, gateway, district, bid, &mark);
        let Some(mut job) = self.take_out(&name).or_else(|| self.begin(now, &name)) else {
            return self.tell(&copy, JobVerdict::NotRun(RETRY_AFTER_MS));
        };
        job.touched = now;
        job.copies.retain(|known| known.id != copy.id);
        if matches!(job.state, State::Idle) && job.copies.is_empty() {
            job.digest = mark.digest;
            job.is_once = mark.at_most_once;
        }
        if job.digest == mark.digest {
            self.admit(now, &name, &mut job, copy);
        } else {
            self.tell(&copy, JobVerdict::OtherRequest);
        }
        self.put(&name, job);
    }

    fn admit(&mut self, now: u64, name: &str, job: &mut Job, copy: Copy) {
        let holder = (copy.id.gateway.clone(), copy.id.ticket);
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
            // Its gateway bids again, so that it is not running.
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

    /// Asks a controller for the claim that is wanted.
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
        self.actions.push(JobAction::Ask {
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

    /// A gateway's request got no seat from its keeper. Whether this machine sees to it.
    pub fn refused(&mut self, now: u64, gateway: &str, ticket: RequestId, after_ms: u32) -> bool {
        let holder = (gateway.to_string(), ticket);
        let Some(name) = self.tickets.get(&holder).cloned() else {
            return false;
        };
        let Some(mut job) = self.take_out(&name) else {
            return false;
        };
        let is_holder = |copy: &Copy| copy.id.gateway == gateway && copy.id.ticket == ticket;
        let is_runner = job.runner().is_some_and(is_holder);
        match &mut job.state {
            // Another copy may have run it before, which the claim tells.
            State::Claiming { refused, .. } if is_runner => *refused = Some(after_ms),
            // Its gateway alone knows that it has not left, and says so.
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
}

pub(crate) fn answer(packed: Option<&Vec<u8>>) -> JobVerdict {
    packed.map_or(JobVerdict::TooLarge, |packed| {
        JobVerdict::Answer(packed.clone())
    })
}
