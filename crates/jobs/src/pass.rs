use protocol::{JobAttempt, JobCompletion, JobResult, RequestId};

/// A gateway's part in the job of one of its requests: whether the request may leave for a runner. Each bid takes
/// back all that was told about an earlier one.
#[derive(Clone, Debug)]
pub struct Pass {
    mark: JobAttempt,
    keeper: String,
    version: u64,
    is_joined: bool,
    /// The line to a runner is open and waits for the claim.
    pub is_ready: bool,
}

impl Pass {
    /// The pass of a request that has not bid yet.
    pub fn new(key: String, digest: [u8; 16], is_once: bool, incarnation: u64) -> Self {
        let mark = JobAttempt {
            key,
            digest,
            at_most_once: is_once,
            incarnation,
            number: 0,
        };
        Self {
            mark,
            keeper: String::new(),
            version: 0,
            is_joined: false,
            is_ready: false,
        }
    }

    /// The request bids at a keeper.
    pub fn bid(&mut self, keeper: &str) -> JobAttempt {
        self.void();
        self.keeper = keeper.into();
        self.mark.clone()
    }

    /// The request takes its bid back.
    pub fn void(&mut self) {
        self.mark.number += 1;
        self.version = 0;
        self.is_joined = false;
        self.is_ready = false;
    }

    /// Whether word from a keeper is about the bid that stands.
    pub fn is_meant(&self, keeper: &str, attempt: u32) -> bool {
        self.keeper == keeper && self.mark.number == attempt
    }

    /// The keeper says that the request has the claim.
    pub fn claimed(&mut self, version: u64) {
        self.version = version;
        self.is_joined = false;
    }

    /// The keeper says that another request has the claim.
    pub fn joined(&mut self) {
        self.version = 0;
        self.is_joined = true;
        self.is_ready = false;
    }

    /// Whether the request may leave for a runner.
    pub fn may_leave(&self) -> bool {
        !self.mark.at_most_once || self.version > 0
    }

    /// Whether a copy of it may have run, for all that is known here.
    pub fn is_unsure(&self) -> bool {
        self.is_joined || !self.may_leave()
    }

    /// Life of the gateway and number of the bid.
    pub fn mark(&self) -> &JobAttempt {
        &self.mark
    }

    /// What the keeper is told at the end of the request, or of its bid.
    pub fn end(&self, ticket: RequestId, function: &str, result: JobResult) -> JobCompletion {
        JobCompletion {
            request_id: ticket,
            function: function.into(),
            attempt: self.mark.clone(),
            register_version: self.version,
            result,
        }
    }
}
