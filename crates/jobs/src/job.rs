//! The state of one job at the gateway that owns its function.

use crate::claim::ClaimHolder;
use protocol::{JobAttempt, JobVerdict, LeaseRequest};

/// Maximum time in milliseconds that a request waits for the claim on its job. At most half of the request's timeout is
/// used, so that the rest remains for a retry elsewhere.
const MAX_CLAIM_MS: u64 = 2_000;
/// Milliseconds without a response after which the first retry is sent, to another controller.
const REGISTER_TIMEOUT_MS: u64 = 100;
/// The timeout of a register access doubles with each retry, up to this many times.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// How long a write is retried, in milliseconds.
const WRITE_RETRY_LIMIT_MS: u64 = 60_000;

/// One request of a job.
#[derive(Clone, Debug)]
pub(crate) struct JobRequest {
    /// Identifies the request in claims.
    pub holder: ClaimHolder,
    /// Number of the request's attempt.
    pub attempt: u32,
    /// Zone of the request's gateway.
    pub zone: String,
    /// The lease request, as it arrived.
    pub request: LeaseRequest,
    /// Time at which the request times out.
    pub deadline: u64,
    /// Time until which the request waits for the claim.
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

    /// Returns the lease request, with the remaining time as its timeout.
    pub fn lease_request(&self, now: u64) -> LeaseRequest {
        LeaseRequest {
            timeout_ms: self.deadline.saturating_sub(now) as u32,
            ..self.request.clone()
        }
    }
}

/// What the coordinator knows about the run of a job.
#[derive(Clone, Debug, Default)]
pub(crate) enum JobState {
    /// No request is running the job, and none has run it.
    #[default]
    Idle,
    /// The claim for the request is being written. The request has not been told that it may run.
    Claiming {
        request: JobRequest,
        claim_number: u64,
        sent_at: u64,
        retries: u32,
        /// Set if the lease request was rejected: the suggested retry delay in milliseconds. The rejection is passed on
        /// once the claim is known.
        rejected: Option<u32>,
    },
    /// The request may run or is running.
    Running {
        request: JobRequest,
        checked_at: u64,
    },
    /// A request that this coordinator did not admit, or whose gateway is lost, may be running the job.
    RunningElsewhere {
        holder: ClaimHolder,
        /// Number of the holder's attempt; 0 if unknown.
        claimed_attempt: u32,
        since: u64,
        checked_at: u64,
        /// The holder's attempt that this coordinator itself admitted, if it did.
        admitted_attempt: Option<u32>,
    },
    /// The job ran. Holds its deflated response, or `None` if that was too large.
    Completed {
        response: Option<Vec<u8>>,
        /// Set until the result is in the register.
        unpersisted: Option<UnpersistedResult>,
    },
    /// The job may have run, and its response is lost.
    Lost,
}

/// State of a result that is being written to its job's register.
#[derive(Clone, Debug)]
pub(crate) struct UnpersistedResult {
    /// The request that ran the job.
    pub holder: ClaimHolder,
    /// Retry schedule of the write.
    pub retry: WriteRetry,
}

/// Retry schedule of a register write, which is retried until it succeeds or the retry limit is over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteRetry {
    sent_at: u64,
    retries: u32,
    expires_at: u64,
}

impl WriteRetry {
    pub fn new(now: u64) -> Self {
        Self {
            sent_at: now,
            retries: 0,
            expires_at: now + WRITE_RETRY_LIMIT_MS,
        }
    }

    /// Number of retries so far.
    pub fn retries(&self) -> u32 {
        self.retries
    }

    pub fn is_expired(&self, now: u64) -> bool {
        now >= self.expires_at
    }

    /// Whether a retry is due. If so, counts it and restarts its timeout.
    pub fn is_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.sent_at + register_timeout_ms(self.retries);
        if is_due {
            self.sent_at = now;
            self.retries += 1;
        }
        is_due
    }
}

/// Timeout in milliseconds of a register access that has been retried `retries` times; then another controller is tried.
pub(crate) fn register_timeout_ms(retries: u32) -> u64 {
    REGISTER_TIMEOUT_MS << retries.min(MAX_TIMEOUT_DOUBLINGS)
}

/// Returns the verdict for the requests of a completed job.
pub(crate) fn completed_verdict(response: Option<&Vec<u8>>) -> JobVerdict {
    response.map_or(JobVerdict::TooLarge, |response| {
        JobVerdict::Answer(response.clone())
    })
}

/// A job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Job {
    /// Digest of the job's requests. A request with another digest reuses the key for different content.
    pub digest: [u8; 16],
    /// Whether the job may run at most once.
    pub at_most_once: bool,
    /// Newest known version of the job's register.
    pub register_version: u64,
    /// What the coordinator knows about the job's run.
    pub state: JobState,
    /// Requests that wait for the result, in order of arrival.
    pub waiting: Vec<JobRequest>,
    /// Numbers of the claims that this coordinator has issued. Except for the one in force, if any, no request runs under them.
    pub issued_claims: Vec<u64>,
    /// Set while a claim that the register may hold, and under which no request runs, is being released.
    pub release: Option<WriteRetry>,
    /// When the last request or completion of the job arrived.
    pub used_at: u64,
}

impl Job {
    /// Whether the job has work that a timer may trigger, even without another event.
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

    /// Whether the job may be evicted: the register of an at-most-once job holds all that must be kept, and no request or
    /// write is pending.
    pub fn is_evictable(&self) -> bool {
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

    /// Whether a request is stale: the same attempt of it, or a later one, is already known.
    pub fn is_stale(&self, request: &JobRequest) -> bool {
        let is_later =
            |known: &JobRequest| known.holder == request.holder && known.attempt >= request.attempt;
        if self.waiting.iter().any(is_later) || self.admitted().is_some_and(is_later) {
            return true;
        }
        matches!(&self.state, JobState::RunningElsewhere { holder, claimed_attempt, .. }
            if *holder == request.holder && *claimed_attempt >= request.attempt)
    }

    /// The request that this coordinator has admitted, if any: it may run, or its claim is being written.
    pub fn admitted(&self) -> Option<&JobRequest> {
        match &self.state {
            JobState::Claiming { request, .. } | JobState::Running { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Size in bytes of the response that is held in memory.
    pub fn response_bytes(&self) -> usize {
        match &self.state {
            JobState::Completed { response, .. } => response.as_ref().map_or(0, Vec::len),
            _ => 0,
        }
    }
}
