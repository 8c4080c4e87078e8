//! The job coordinator, and the state transitions that more than one kind of event causes.

use crate::action::JobAction;
use crate::claim::{Claim, ClaimState, ClaimWriter, StoredClaim};
use crate::job::{Job, JobRequest, JobState, WriteRetry};
use crate::job_table::JobTable;
use crate::outbox::Outbox;
use crate::register_requests::{RegisterPurpose, RegisterRequests};
use protocol::JobVerdict;
use speedy::Writable;

/// Default retry delay, in milliseconds, that is suggested for a request that was not run.
pub(crate) const RETRY_AFTER_MS: u32 = 250;

/// Coordinates the jobs of all functions that one gateway owns. A state machine without I/O; `now` is a reading of a
/// monotonic clock in milliseconds.
pub struct JobCoordinator {
    pub(crate) incarnation: u64,
    pub(crate) table: JobTable,
    pub(crate) registers: RegisterRequests,
    pub(crate) outbox: Outbox,
}

impl JobCoordinator {
    /// Creates the coordinator for one incarnation of a gateway. Jobs are retained for `retention_ms` after their last use.
    /// This must be longer than any job may run.
    #[must_use]
    pub fn new(incarnation: u64, retention_ms: u64) -> Self {
        Self {
            incarnation,
            table: JobTable::new(retention_ms),
            registers: RegisterRequests::default(),
            outbox: Outbox::default(),
        }
    }

    /// Takes the pending actions, in the order in which they must be carried out.
    pub fn take_actions(&mut self) -> Vec<JobAction> {
        self.outbox.take()
    }

    /// Number of jobs in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether the table holds no job.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }

    /// Total size in bytes of the responses that are held in memory.
    #[must_use]
    pub fn response_bytes(&self) -> usize {
        self.table.response_bytes()
    }

    /// Admits a request to run the job: requests a seat lease for it and, for an at-most-once job, writes its claim in
    /// parallel.
    pub(crate) fn admit(&mut self, now: u64, key: &str, job: &mut Job, request: JobRequest) {
        self.outbox.request_lease(now, &request);
        job.release = None;
        if !job.at_most_once {
            job.state = JobState::Running {
                request,
                checked_at: now,
            };
            return;
        }
        let claim_number = self.registers.next_number();
        job.issued_claims.push(claim_number);
        job.state = JobState::Claiming {
            request,
            claim_number,
            sent_at: now,
            retries: 0,
            rejected: None,
        };
        self.write_claim(now, key, job);
    }

    /// The admitted request is known not to have run. Admits the next waiting request, or releases the claim if there is
    /// none.
    pub(crate) fn admit_next(&mut self, now: u64, key: &str, job: &mut Job) {
        job.state = JobState::Idle;
        if !job.waiting.is_empty() {
            let next = job.waiting.remove(0);
            self.admit(now, key, job, next);
            return;
        }
        let may_be_claimed = job.register_version > 0 || !job.issued_claims.is_empty();
        if job.at_most_once && may_be_claimed {
            job.release = Some(WriteRetry::new(now));
            self.release_claim(now, key, job);
        }
    }

    /// The admitted request may have run, but its response is lost. An at-most-once job is not run again; any other job is
    /// run by the next waiting request.
    pub(crate) fn result_lost(&mut self, now: u64, key: &str, job: &mut Job) {
        if !job.at_most_once {
            self.admit_next(now, key, job);
            return;
        }
        job.state = JobState::Lost;
        self.resolve_waiting(job, &JobVerdict::MayHaveRun);
    }

    /// Sends a verdict to all waiting requests and removes them from the queue.
    pub(crate) fn resolve_waiting(&mut self, job: &mut Job, verdict: &JobVerdict) {
        for request in std::mem::take(&mut job.waiting) {
            self.table.forget_request(&request.holder);
            self.outbox.notify_verdict(&request, verdict.clone());
        }
    }

    /// Records the digest of the request that runs the job, or ran it, as learned from elsewhere. Waiting requests with
    /// another digest reuse its key: they get a verdict, and never its response.
    pub(crate) fn set_digest(&mut self, job: &mut Job, digest: [u8; 16]) {
        if job.digest == digest {
            return;
        }
        self.resolve_waiting(job, &JobVerdict::OtherRequest);
        job.digest = digest;
    }

    /// Asks a controller to write the claim of the admitted request.
    pub(crate) fn write_claim(&mut self, now: u64, key: &str, job: &Job) {
        let JobState::Claiming {
            request,
            claim_number,
            retries,
            ..
        } = &job.state
        else {
            return;
        };
        let claim = Claim {
            digest: job.digest,
            holder: request.holder.clone(),
            writer: self.writer(*claim_number),
            state: ClaimState::Taken,
        };
        let purpose = RegisterPurpose::Claim(*claim_number);
        let stored = StoredClaim {
            claim,
            attempt: request.attempt,
        };
        self.write(now, key, purpose, job.register_version, &stored, *retries);
    }

    /// Asks a controller to release a claim under which no request runs.
    pub(crate) fn release_claim(&mut self, now: u64, key: &str, job: &Job) {
        let retries = job.release.map_or(0, |retry| retry.retries());
        let claim = Claim {
            digest: job.digest,
            writer: self.writer(0),
            ..Claim::default()
        };
        let purpose = RegisterPurpose::Release;
        let stored = StoredClaim { claim, attempt: 0 };
        self.write(now, key, purpose, job.register_version, &stored, retries);
    }

    /// Asks a controller to store the result of a job.
    pub(crate) fn store_result(&mut self, now: u64, key: &str, job: &Job) {
        let JobState::Completed {
            response,
            unpersisted: Some(unpersisted),
        } = &job.state
        else {
            return;
        };
        let claim = Claim {
            digest: job.digest,
            holder: unpersisted.holder.clone(),
            writer: self.writer(0),
            state: ClaimState::Done(response.clone()),
        };
        let purpose = RegisterPurpose::StoreResult;
        let retries = unpersisted.retry.retries();
        let stored = StoredClaim { claim, attempt: 0 };
        self.write(now, key, purpose, job.register_version, &stored, retries);
    }

    /// Reads a job's register to learn the current state of the job.
    pub(crate) fn check_register(&mut self, now: u64, key: &str, is_holder_gone: bool) {
        let purpose = RegisterPurpose::Check { is_holder_gone };
        let number = self.registers.add(now, key, purpose);
        self.outbox
            .access_register(number, key, None, Vec::new(), 0);
    }

    fn write(
        &mut self,
        now: u64,
        key: &str,
        purpose: RegisterPurpose,
        expected_version: u64,
        stored: &StoredClaim,
        retries: u32,
    ) {
        let number = self.registers.add(now, key, purpose);
        // Serialization into memory does not fail.
        let value = stored.write_to_vec().unwrap_or_default();
        self.outbox
            .access_register(number, key, Some(expected_version), value, retries);
    }

    fn writer(&self, claim_number: u64) -> ClaimWriter {
        ClaimWriter {
            incarnation: self.incarnation,
            claim_number,
        }
    }
}
