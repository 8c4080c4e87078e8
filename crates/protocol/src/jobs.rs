//! Jobs: requests that clients marked with one idempotency key, of which one is run.

use crate::identifiers::RequestId;
use speedy::{Readable, Writable};

/// One attempt of a request to run its job, or to get the result of a request that ran it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct JobAttempt {
    /// The client's idempotency key, within the client's tenant.
    pub key: String,
    /// Digest of the request's method, target and body.
    pub digest: [u8; 16],
    /// Whether the job may run once at most.
    pub at_most_once: bool,
    /// Incarnation of the request's gateway.
    pub incarnation: u64,
    /// Number of the attempt among those of its request. A later attempt invalidates everything that was said about
    /// an earlier one.
    pub number: u32,
}

/// How a request of a job ended at its gateway.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum JobResult {
    /// It ran, and this is the response, deflated.
    Answer(Vec<u8>),
    /// It ran, and its response is too large for others to receive.
    TooLarge,
    /// It may have run, and no response will come.
    Lost,
    /// It did not run in this attempt, and never will.
    NotRun,
}

/// The end of an attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct JobCompletion {
    /// The request.
    pub request_id: RequestId,
    /// The function.
    pub function: String,
    /// The attempt that ended.
    pub attempt: JobAttempt,
    /// Version of the register that held its claim; 0 where it had none.
    pub register_version: u64,
    /// How it ended.
    pub result: JobResult,
}

/// What a job's owner tells the requests for it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum JobVerdict {
    /// The job ran, and this is its response, deflated.
    Answer(Vec<u8>),
    /// The job ran, and its response was too large to be stored.
    TooLarge,
    /// The job may have run, and its response is lost. It is never run again.
    MayHaveRun,
    /// The key was used with another request.
    OtherRequest,
    /// This request was not run; a retry is worthwhile after so many milliseconds.
    NotRun(u32),
}

/// A controller's response about a register.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum RegisterResponse {
    /// The value was written and is committed, at this version.
    Written(u64),
    /// This version and value were found.
    Found(u64, Vec<u8>),
    /// No majority of voters was reached: nothing was written and nothing is known.
    Unavailable,
    /// It is not known whether the value was written.
    Indeterminate,
}
