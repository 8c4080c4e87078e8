//! Decides whether a gateway may send a request of a job to a runner.

use protocol::{JobAttempt, JobCompletion, JobResult, RequestId};

/// The state of one request of a job at the gateway that received it: whether the request may be sent to a runner. A new
/// attempt invalidates all messages about earlier ones.
#[derive(Clone, Debug)]
pub struct JobAdmission {
    attempt: JobAttempt,
    owner: String,
    /// Version of the register that holds the request's claim; 0 without a claim.
    register_version: u64,
    is_joined: bool,
    is_connected: bool,
}

impl JobAdmission {
    /// Creates the admission of a request that has made no attempt yet.
    #[must_use]
    pub fn new(key: String, digest: [u8; 16], at_most_once: bool, incarnation: u64) -> Self {
        let attempt = JobAttempt {
            key,
            digest,
            at_most_once,
            incarnation,
            number: 0,
        };
        Self {
            attempt,
            owner: String::new(),
            register_version: 0,
            is_joined: false,
            is_connected: false,
        }
    }

    /// Begins an attempt at the given owner, and ends the current one.
    pub fn begin_attempt(&mut self, owner: &str) -> JobAttempt {
        self.abandon_attempt();
        self.owner = owner.into();
        self.attempt.clone()
    }

    /// Ends the current attempt. Messages about it no longer apply.
    pub fn abandon_attempt(&mut self) {
        self.attempt.number += 1;
        self.register_version = 0;
        self.is_joined = false;
        self.is_connected = false;
    }

    /// Whether a message from an owner refers to the current attempt.
    #[must_use]
    pub fn is_current_attempt(&self, owner: &str, attempt: u32) -> bool {
        self.owner == owner && self.attempt.number == attempt
    }

    /// Records that the request holds the claim, as the owner reported.
    pub fn set_claimed(&mut self, register_version: u64) {
        self.register_version = register_version;
        self.is_joined = false;
    }

    /// Records that another request holds the claim, as the owner reported.
    pub fn set_joined(&mut self) {
        self.register_version = 0;
        self.is_joined = true;
        self.is_connected = false;
    }

    /// Records that the connection to a runner is open, so that the request waits only for the claim.
    pub fn set_connected(&mut self) {
        self.is_connected = true;
    }

    /// Whether the connection to a runner is open, so that the request waits only for the claim.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Whether the request may be sent to a runner.
    #[must_use]
    pub fn may_be_sent(&self) -> bool {
        !self.attempt.at_most_once || self.register_version > 0
    }

    /// Whether, as far as this gateway knows, another request may have run the job.
    #[must_use]
    pub fn may_have_run_elsewhere(&self) -> bool {
        self.is_joined || !self.may_be_sent()
    }

    /// The current attempt.
    #[must_use]
    pub fn attempt(&self) -> &JobAttempt {
        &self.attempt
    }

    /// Returns the completion to send to the owner when the request, or its current attempt, ends.
    #[must_use]
    pub fn completion(
        &self,
        request_id: RequestId,
        function: &str,
        result: JobResult,
    ) -> JobCompletion {
        JobCompletion {
            request_id,
            function: function.into(),
            attempt: self.attempt.clone(),
            register_version: self.register_version,
            result,
        }
    }
}
