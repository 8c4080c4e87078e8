//! Handling of controllers' responses to register requests.

use crate::claim::{Claim, ClaimHolder, ClaimState, StoredClaim};
use crate::coordinator::{JobCoordinator, RETRY_AFTER_MS};
use crate::job::{completed_verdict, Job, JobRequest, JobState};
use crate::register_requests::RegisterPurpose;
use protocol::{JobVerdict, RegisterResponse};
use speedy::Readable;

/// The claim found in a register, with the register's version.
struct FoundClaim {
    version: u64,
    claim: Claim,
    /// Number of the holder's attempt; 0 if unknown.
    attempt: u32,
}

impl FoundClaim {
    fn read(version: u64, value: &[u8]) -> Self {
        // An empty register (never written, or its value was dropped) decodes to a free claim; so does a malformed value.
        let stored = StoredClaim::read_from_buffer(value).unwrap_or_default();
        Self {
            version,
            claim: stored.claim,
            attempt: stored.attempt,
        }
    }

    /// Whether the register is empty: never written, or its value was dropped after the retention time.
    fn is_empty(&self) -> bool {
        self.claim.state == ClaimState::Free && self.version == 0
    }
}

impl JobCoordinator {
    /// Handles a controller's response to a register request.
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
                    self.check_responded(now, &key, &mut job, is_holder_gone, found);
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
        let is_current = matches!(
            job.state,
            JobState::Claiming { claim_number, .. } if claim_number == number
        );
        if !is_current {
            return;
        }
        match response {
            RegisterResponse::Written(version) => self.claim_written(now, key, job, version),
            RegisterResponse::Found(version, value) => {
                let found = FoundClaim::read(version, &value);
                self.claim_conflicted(now, key, job, found);
            }
            // The write is retried by a timer.
            RegisterResponse::Unavailable | RegisterResponse::Indeterminate => {}
        }
    }

    /// The claim of the admitted request is in the register.
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

    /// Rejects an admitted request that was not run: cancels its lease request and notifies its gateway.
    pub(crate) fn reject(&mut self, request: &JobRequest, retry_after_ms: u32) {
        self.outbox.cancel_lease_request(request);
        self.table.forget_request(&request.holder);
        let verdict = JobVerdict::NotRun(retry_after_ms);
        self.outbox.notify_verdict(request, verdict);
    }

    /// The claim was not written, since the register holds another version than expected.
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
        // The claim found can be replaced if no request runs under it. This is so for an earlier claim of this coordinator
        // that is no longer in force, and for a claim of an earlier attempt of the same request. It is not so for a claim
        // of a later attempt of it, which is found when this lease request was delayed.
        let is_superseded = is_own && job.issued_claims.contains(&writer.claim_number);
        let is_earlier_attempt =
            is_taken && found.claim.holder == request.holder && found.attempt < request.attempt;
        if found.claim.state == ClaimState::Free || is_superseded || is_earlier_attempt {
            job.register_version = found.version;
            if let JobState::Claiming { sent_at, .. } = &mut job.state {
                *sent_at = now;
            }
            return self.write_claim(now, key, job);
        }
        self.join_found_claim(now, job, found);
    }

    /// The claim in the register prevails: the admitted request joins the waiting requests, at the front.
    fn join_found_claim(&mut self, now: u64, job: &mut Job, found: FoundClaim) {
        let JobState::Claiming { request, .. } = std::mem::take(&mut job.state) else {
            return;
        };
        self.outbox.cancel_lease_request(&request);
        job.waiting.insert(0, request);
        self.apply_found_claim(now, job, found);
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
        let is_superseded = writer.incarnation == self.incarnation
            && job.issued_claims.contains(&writer.claim_number);
        match found.claim.state {
            ClaimState::Free => {
                job.register_version = found.version;
                job.release = None;
                job.issued_claims.clear();
            }
            ClaimState::Taken if is_superseded => {
                job.register_version = found.version;
                self.release_claim(now, key, job);
            }
            ClaimState::Taken | ClaimState::Done(_) => self.apply_found_claim(now, job, found),
        }
    }

    /// Takes over the state found in the register: another request is running the job, or ran it.
    fn apply_found_claim(&mut self, now: u64, job: &mut Job, found: FoundClaim) {
        job.register_version = found.version;
        job.release = None;
        job.issued_claims.clear();
        self.set_digest(job, found.claim.digest);
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
            admitted_attempt: None,
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

    /// Handles the state of a job as read from its register by a check.
    fn check_responded(
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
            // The register's value was dropped while the job is running. The run is left to finish: it takes less time than the
            // retention time after which values are dropped.
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
            ClaimState::Taken | ClaimState::Done(_) => self.apply_found_claim(now, job, found),
        }
    }
}

/// Whether the result of the holder's run may replace the claim found in the register.
fn may_store_over(found: &FoundClaim, holder: &ClaimHolder) -> bool {
    let is_own_claim = found.claim.holder == *holder && found.claim.state == ClaimState::Taken;
    is_own_claim || found.is_empty()
}
