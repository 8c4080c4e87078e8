//! Responses of controllers about the registers of jobs.

use crate::claim::{Claim, ClaimHolder, ClaimState, StoredClaim};
use crate::coordinator::{JobCoordinator, RETRY_AFTER_MS};
use crate::job::{completed_verdict, Job, JobRequest, JobState};
use crate::register_requests::RegisterPurpose;
use protocol::{JobVerdict, RegisterResponse};
use speedy::Readable;

/// A register's value with its version.
struct FoundClaim {
    version: u64,
    claim: Claim,
    /// Number of the holder's attempt; 0 where it is not told.
    attempt: u32,
}

impl FoundClaim {
    fn read(version: u64, value: &[u8]) -> Self {
        // A register that was never written, or was forgotten, is free; so is one that nobody can read.
        let stored = StoredClaim::read_from_buffer(value).unwrap_or_default();
        Self {
            version,
            claim: stored.claim,
            attempt: stored.attempt,
        }
    }

    /// Whether the register was never written, or was forgotten.
    fn is_blank(&self) -> bool {
        self.claim.state == ClaimState::Free && self.version == 0
    }
}

impl JobCoordinator {
    /// A controller responds to a request about a register.
    pub fn register_responded(&mut self, now: u64, number: u64, response: RegisterResponse) {
        let Some((key, purpose)) = self.registers.complete(number) else {
            return;
        };
        let Some(mut job) = self.table.take(&key) else {
            return;
        };
        match purpose {
            RegisterPurpose::Claim(number) => {
                self.claim_responded(now, &key, &mut job, number, response);
            }
            RegisterPurpose::Release => self.release_responded(now, &key, &mut job, response),
            RegisterPurpose::StoreResult => self.store_responded(now, &key, &mut job, response),
            RegisterPurpose::Check { is_holder_gone } => {
                if let RegisterResponse::Found(version, value) = response {
                    let found = FoundClaim::read(version, &value);
                    self.checked(now, &key, &mut job, is_holder_gone, found);
                }
            }
        }
        self.table.put(&key, job);
    }

    fn claim_responded(
        &mut self,
        now: u64,
        key: &str,
        job: &mut Job,
        number: u64,
        response: RegisterResponse,
    ) {
        let is_wanted = matches!(
            job.state,
            JobState::Claiming { claim_number, .. } if claim_number == number
        );
        if !is_wanted {
            return;
        }
        match response {
            RegisterResponse::Written(version) => self.claim_written(now, key, job, version),
            RegisterResponse::Found(version, value) => {
                let found = FoundClaim::read(version, &value);
                self.claim_conflicted(now, key, job, found);
            }
            // The write is retried in time.
            RegisterResponse::Unavailable | RegisterResponse::Indeterminate => {}
        }
    }

    /// The register holds the claim of the request that wants to run.
    fn claim_written(&mut self, now: u64, key: &str, job: &mut Job, version: u64) {
        job.register_version = version;
        let JobState::Claiming {
            request, rejected, ..
        } = std::mem::take(&mut job.state)
        else {
            return;
        };
        let timed_out = (request.deadline <= now).then_some(RETRY_AFTER_MS);
        if let Some(retry_after_ms) = rejected.or(timed_out) {
            self.reject(&request, retry_after_ms);
            self.admit_next(now, key, job);
            return;
        }
        self.outbox.notify_claimed(&request, version);
        job.state = JobState::Running {
            request,
            checked_at: now,
        };
    }

    /// Tells an admitted request that it was not run.
    pub(crate) fn reject(&mut self, request: &JobRequest, retry_after_ms: u32) {
        self.outbox.cancel_lease_request(request);
        self.table.forget_request(&request.holder);
        let verdict = JobVerdict::NotRun(retry_after_ms);
        self.outbox.notify_verdict(request, verdict);
    }

    /// The register holds something else than what the claim builds on.
    fn claim_conflicted(&mut self, now: u64, key: &str, job: &mut Job, found: FoundClaim) {
        let JobState::Claiming {
            request,
            claim_number,
            ..
        } = &job.state
        else {
            return;
        };
        let writer = found.claim.writer;
        let is_taken = found.claim.state == ClaimState::Taken;
        let is_own = is_taken && writer.incarnation == self.incarnation;
        if is_own && writer.claim_number == *claim_number {
            return self.claim_written(now, key, job, found.version);
        }
        // Nobody runs under a claim of this coordinator that is not in force, nor under one of a request that makes
        // another attempt since. A request may also come late, when a later attempt of it has the claim.
        let is_void = is_own && job.issued_claims.contains(&writer.claim_number);
        let is_same =
            is_taken && found.claim.holder == request.holder && found.attempt < request.attempt;
        if found.claim.state == ClaimState::Free || is_void || is_same {
            job.register_version = found.version;
            if let JobState::Claiming { asked_at, .. } = &mut job.state {
                *asked_at = now;
            }
            return self.write_claim(now, key, job);
        }
        self.yield_to(now, job, found);
    }

    /// The request that wanted to run waits for the one that the register tells of.
    fn yield_to(&mut self, now: u64, job: &mut Job, found: FoundClaim) {
        let JobState::Claiming { request, .. } = std::mem::take(&mut job.state) else {
            return;
        };
        self.outbox.cancel_lease_request(&request);
        job.waiting.insert(0, request);
        self.learn(now, job, found);
        if let Some(request) = job.waiting.first() {
            self.outbox.notify_joined(request);
        }
    }

    fn release_responded(
        &mut self,
        now: u64,
        key: &str,
        job: &mut Job,
        response: RegisterResponse,
    ) {
        if job.release.is_none() || !matches!(job.state, JobState::Idle) {
            return;
        }
        let found = match response {
            RegisterResponse::Written(version) => FoundClaim {
                version,
                claim: Claim::default(),
                attempt: 0,
            },
            RegisterResponse::Found(version, value) => FoundClaim::read(version, &value),
            RegisterResponse::Unavailable | RegisterResponse::Indeterminate => return,
        };
        let writer = found.claim.writer;
        let is_void = writer.incarnation == self.incarnation
            && job.issued_claims.contains(&writer.claim_number);
        match found.claim.state {
            ClaimState::Free => {
                job.register_version = found.version;
                job.release = None;
                job.issued_claims.clear();
            }
            ClaimState::Taken if is_void => {
                job.register_version = found.version;
                self.release_claim(now, key, job);
            }
            ClaimState::Taken | ClaimState::Done(_) => self.learn(now, job, found),
        }
    }

    /// The register tells that another request runs the job, or ran it.
    fn learn(&mut self, now: u64, job: &mut Job, found: FoundClaim) {
        job.register_version = found.version;
        job.release = None;
        job.issued_claims.clear();
        if found.claim.digest != job.digest {
            self.resolve_waiting(job, &JobVerdict::OtherRequest);
            job.digest = found.claim.digest;
        }
        if let ClaimState::Done(response) = found.claim.state {
            self.resolve_waiting(job, &completed_verdict(response.as_ref()));
            job.state = JobState::Completed {
                response,
                unpersisted: None,
            };
            return;
        }
        job.state = JobState::RunningElsewhere {
            holder: found.claim.holder,
            claimed_attempt: found.attempt,
            since: now,
            checked_at: now,
            attempt: None,
        };
    }

    fn store_responded(&mut self, now: u64, key: &str, job: &mut Job, response: RegisterResponse) {
        let JobState::Completed {
            unpersisted: Some(unpersisted),
            ..
        } = &job.state
        else {
            return;
        };
        let holder = unpersisted.holder.clone();
        match response {
            RegisterResponse::Written(version) => job.register_version = version,
            RegisterResponse::Found(version, value) => {
                let found = FoundClaim::read(version, &value);
                if may_store_over(&found, &holder) && version != job.register_version {
                    job.register_version = version;
                    return self.store_result(now, key, job);
                }
                if !matches!(found.claim.state, ClaimState::Done(_)) {
                    log::error!("jobs: claim of a finished job overwritten");
                }
            }
            RegisterResponse::Unavailable | RegisterResponse::Indeterminate => return,
        }
        if let JobState::Completed { unpersisted, .. } = &mut job.state {
            *unpersisted = None;
        }
        self.outbox.notify_persisted(holder);
    }

    /// A register was read to learn what became of a job.
    fn checked(
        &mut self,
        now: u64,
        key: &str,
        job: &mut Job,
        is_holder_gone: bool,
        found: FoundClaim,
    ) {
        let holder = match &job.state {
            JobState::Running { request, .. } if job.at_most_once => &request.holder,
            JobState::RunningElsewhere { holder, .. } => holder,
            _ => return,
        };
        let is_outdated = found.version < job.register_version && found.version > 0;
        if is_outdated {
            return;
        }
        match found.claim.state {
            // Forgotten while it runs: it goes on, for running takes less time than forgetting.
            ClaimState::Free if found.version == 0 && job.admitted().is_some() => {}
            ClaimState::Free => {
                job.register_version = found.version;
                self.admit_next(now, key, job);
            }
            ClaimState::Taken if found.claim.holder == *holder => {
                let is_elsewhere = matches!(job.state, JobState::RunningElsewhere { .. });
                if is_holder_gone && is_elsewhere {
                    self.result_lost(now, key, job);
                }
            }
            ClaimState::Taken | ClaimState::Done(_) => self.learn(now, job, found),
        }
    }
}

/// Whether the result of a holder's run may be stored in place of a value.
fn may_store_over(found: &FoundClaim, holder: &ClaimHolder) -> bool {
    let is_own_claim = found.claim.holder == *holder && found.claim.state == ClaimState::Taken;
    is_own_claim || found.is_blank()
}
