//! One job at its owner.

use crate::claim::ClaimHolder;
use protocol::{JobAttempt, JobVerdict, LeaseRequest};

/// Most milliseconds of a request's time that go into claiming its job; half of its time where that is less, so that
/// the rest is left for a retry elsewhere.
const MAX_CLAIM_MS: u64 = 2_000;
/// Milliseconds without a response after which another controller is asked the first time.
const REGISTER_TIMEOUT_MS: u64 = 100;
/// The time-out for a register doubles with each retry, this often.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// Milliseconds for which a write is retried.
const WRITE_RETRY_LIMIT_MS: u64 = 60_000;

/// One of the requests of a job.
#[derive(Clone, Debug)]
pub(crate) struct JobRequest {
    /// The request, as claims name it.
    pub holder: ClaimHolder,
    /// Number of its attempt.
    pub attempt: u32,
    /// Zone of its gateway.
    pub zone: String,
    /// Its lease request, as it arrived.
    pub request: LeaseRequest,
    /// Time after which nothing is of use to it.
    pub deadline: u64,
    /// Time until which it waits for the claim.
    pub claim_deadline: u64,
}

impl JobRequest {
    pub fn new(
        now: u64,
        gateway: &str,
        zone: &str,
        request: LeaseRequest,
        attempt: &JobAttempt,
    ) -> Self {
        let timeout_ms = u64::from(request.timeout_ms);
        Self {
            holder: ClaimHolder {
                gateway: gateway.into(),
                incarnation: attempt.incarnation,
                request_id: request.request_id,
            },
            attempt: attempt.number,
            zone: zone.into(),
            deadline: now + timeout_ms,
            claim_deadline: now + (timeout_ms / 2).min(MAX_CLAIM_MS),
            request,
        }
    }

    /// Its lease request, with the time that is left.
    pub fn lease_request(&self, now: u64) -> LeaseRequest {
        LeaseRequest {
            timeout_ms: self.deadline.saturating_sub(now) as u32,
            ..self.request.clone()
        }
    }
}

/// What is known of a job's run.
#[derive(Clone, Debug, Default)]
pub(crate) enum JobState {
    /// Nobody runs it, and nobody ran it.
    #[default]
    Idle,
    /// The claim for the request is being written; the request was not told that it may run.
    Claiming {
        request: JobRequest,
        claim_number: u64,
        asked_at: u64,
        retries: u32,
        /// Set where the request got no seat: the milliseconds after which a retry is worthwhile. It is told once the
        /// claim is known.
        rejected: Option<u32>,
    },
    /// The request may run, or runs.
    Running {
        request: JobRequest,
        checked_at: u64,
    },
    /// A request that this coordinator did not admit, or whose gateway is lost, may be running it.
    RunningElsewhere {
        holder: ClaimHolder,
        /// Number of the holder's attempt; 0 where it is not known.
        claimed_attempt: u32,
        since: u64,
        checked_at: u64,
        /// The attempt that this coordinator itself admitted, where it did.
        attempt: Option<u32>,
    },
    /// It ran; its deflated response, none where it was too large.
    Completed {
        response: Option<Vec<u8>>,
        /// Set until the result is in the register.
        unpersisted: Option<UnpersistedResult>,
    },
    /// It may have run, and no response will come.
    Lost,
}

/// A result that is being written to its job's register.
#[derive(Clone, Debug)]
pub(crate) struct UnpersistedResult {
    /// The request that ran the job.
    pub holder: ClaimHolder,
    /// When the write is retried.
    pub retry: WriteRetry,
}

/// A write to a register that is retried until it succeeds or its time is over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteRetry {
    asked_at: u64,
    retries: u32,
    expires_at: u64,
}

impl WriteRetry {
    pub fn new(now: u64) -> Self {
        Self {
            asked_at: now,
            retries: 0,
            expires_at: now + WRITE_RETRY_LIMIT_MS,
        }
    }

    /// How often it was retried.
    pub fn retries(&self) -> u32 {
        self.retries
    }

    pub fn is_expired(&self, now: u64) -> bool {
        now >= self.expires_at
    }

    /// Whether it is to be retried now; counts the retry.
    pub fn is_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.asked_at + register_timeout_ms(self.retries);
        if is_due {
            self.asked_at = now;
            self.retries += 1;
        }
        is_due
    }
}

/// Milliseconds without a response after which another controller is asked, after so many retries.
pub(crate) fn register_timeout_ms(retries: u32) -> u64 {
    REGISTER_TIMEOUT_MS << retries.min(MAX_TIMEOUT_DOUBLINGS)
}

/// What the requests of a completed job are told.
pub(crate) fn completed_verdict(response: Option<&Vec<u8>>) -> JobVerdict {
    response.map_or(JobVerdict::TooLarge, |response| {
        JobVerdict::Answer(response.clone())
    })
}

/// One job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Job {
    /// Digest of what its requests ask for.
    pub digest: [u8; 16],
    /// Whether it may run once at most.
    pub at_most_once: bool,
    /// Newest known version of its register.
    pub register_version: u64,
    /// What is known of its run.
    pub state: JobState,
    /// Requests that wait for the result, in the order of their arrival.
    pub waiting: Vec<JobRequest>,
    /// Numbers of this coordinator's claims under which nobody runs, unless one is in force.
    pub issued_claims: Vec<u64>,
    /// Set while the register may hold a claim under which nobody runs, which is being released.
    pub release: Option<WriteRetry>,
    /// When a request or a completion of it came last.
    pub used_at: u64,
}

impl Job {
    /// Whether time alone may change it.
    pub fn is_busy(&self) -> bool {
        let is_unpersisted = matches!(
            self.state,
            JobState::Completed {
                unpersisted: Some(_),
                ..
            }
        );
        let is_claiming = matches!(self.state, JobState::Claiming { .. });
        is_unpersisted || is_claiming || self.release.is_some() || !self.waiting.is_empty()
    }

    /// Whether it may be forgotten: its register tells what is to be known of it.
    pub fn is_over(&self) -> bool {
        let is_final = matches!(
            self.state,
            JobState::Idle
                | JobState::Completed {
                    unpersisted: None,
                    ..
                }
                | JobState::Lost
        );
        is_final && self.release.is_none() && self.waiting.is_empty()
    }

    /// Whether a request is late: this attempt of it, or a later one, is known.
    pub fn is_late(&self, request: &JobRequest) -> bool {
        let is_later =
            |known: &JobRequest| known.holder == request.holder && known.attempt >= request.attempt;
        if self.waiting.iter().any(is_later) || self.admitted().is_some_and(is_later) {
            return true;
        }
        matches!(&self.state, JobState::RunningElsewhere { holder, claimed_attempt, .. }
            if *holder == request.holder && *claimed_attempt >= request.attempt)
    }

    /// The request that this coordinator lets run, or will.
    pub fn admitted(&self) -> Option<&JobRequest> {
        match &self.state {
            JobState::Claiming { request, .. } | JobState::Running { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Bytes of the response that it keeps in memory.
    pub fn response_bytes(&self) -> usize {
        match &self.state {
            JobState::Completed { response, .. } => response.as_ref().map_or(0, Vec::len),
            _ => 0,
        }
    }
}
