use speedy::{Readable, Writable};

/// The job of which a request is a copy, as its gateway marks it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct JobAttempt {
    /// The caller's key.
    pub key: String,
    /// Digest of the request's method, target and body.
    pub digest: [u8; 16],
    /// It may run once at most.
    pub at_most_once: bool,
    /// Random number of the gateway's life.
    pub incarnation: u64,
    /// Number of the bid among those of its ticket. A later bid takes all word of an earlier one back.
    pub number: u32,
}

/// How a request of a job ended at its gateway.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum JobResult {
    /// It ran, and this is the answer, packed.
    Answer(Vec<u8>),
    /// It ran, and its answer is too large to be told again.
    TooLarge,
    /// It may have run, and no answer will come.
    Lost,
    /// It was not run under this bid, and never will be.
    NotRun,
}

/// The end of a request of a job.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct JobCompletion {
    /// The request's ticket.
    pub request_id: u64,
    /// The function.
    pub function: String,
    /// Its mark, with the bid that ended.
    pub attempt: JobAttempt,
    /// Version of the register that bore its claim; 0 where it had none.
    pub register_version: u64,
    /// How it ended.
    pub result: JobResult,
}

/// What the keeper tells the copies of a job.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum JobVerdict {
    /// The job ran, and this is its answer, packed.
    Answer(Vec<u8>),
    /// The job ran, and its answer was too large to be kept.
    TooLarge,
    /// The job may have run, and its answer is lost. It is never run again.
    MayHaveRun,
    /// The key was used with another request.
    OtherRequest,
    /// This request was not run; it pays to come back after so many milliseconds.
    NotRun(u32),
}

/// A controller's answer about a register.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum RegisterResponse {
    /// The value was written and is settled, at this version.
    Written(u64),
    /// This version and value were found.
    Found(u64, Vec<u8>),
    /// Nothing was written and nothing is known.
    Unavailable,
    /// It is not known whether the value was written.
    Indeterminate,
}
