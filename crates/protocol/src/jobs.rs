//! Jobs: requests with the same idempotency key, of which only one is run.

use crate::identifiers::RequestId;
use speedy::{Readable, Writable};

/// One attempt of a request to run its job, or to get the result from the request that ran it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct JobAttempt {
    /// The client's idempotency key, unique within the client's tenant.
    pub key: String,
    /// Digest of the request's method, target and body.
    pub digest: [u8; 16],
    /// Whether the job may run at most once.
    pub at_most_once: bool,
    /// Incarnation of the gateway that received the request.
    pub incarnation: u64,
    /// Number of the attempt within its request. A newer attempt makes all messages about earlier attempts invalid.
    pub number: u32,
}

/// How an attempt of a job ended at its gateway.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum JobResult {
    /// The job ran; holds the compressed response.
    Answer(Vec<u8>),
    /// The job ran, but its response is too large to be shared with other requests.
    TooLarge,
    /// The job may have run, but no response will arrive.
    Lost,
    /// The job did not run in this attempt, and this attempt will never run it.
    NotRun,
}

/// Reports the end of an attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct JobCompletion {
    /// The request that made the attempt.
    pub request_id: RequestId,
    /// Name of the function.
    pub function: String,
    /// The attempt that ended.
    pub attempt: JobAttempt,
    /// Version of the register that held the attempt's claim; 0 if it had no claim.
    pub register_version: u64,
    /// How the attempt ended.
    pub result: JobResult,
}

/// The outcome of a job, as its owner reports it to the requests for the job.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum JobVerdict {
    /// The job ran; holds the compressed response.
    Answer(Vec<u8>),
    /// The job ran, but its response was too large to be stored.
    TooLarge,
    /// The job may have run, but its response is lost. The job is never run again.
    MayHaveRun,
    /// The idempotency key was already used for a different request.
    OtherRequest,
    /// This request was not run; it may be retried after this number of milliseconds.
    NotRun(u32),
}

/// A controller's response to a register request.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum RegisterResponse {
    /// The value was committed at this version.
    Written(u64),
    /// The register's current version and value.
    Found(u64, Vec<u8>),
    /// No quorum was reached: nothing was written, and the register's value is unknown.
    Unavailable,
    /// The value may or may not have been written.
    Indeterminate,
}
