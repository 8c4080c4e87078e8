//! Handling of completed attempts and of lost gateways.

use crate::claim::{register_key, ClaimHolder, MAX_STORED_RESPONSE_BYTES};
use crate::coordinator::JobCoordinator;
use crate::job::{completed_verdict, Job, JobRequest, JobState, UnpersistedResult, WriteRetry};
use protocol::{JobCompletion, JobResult};

/// An attempt that ended, in the terms of the coordinator's state.
struct EndedAttempt {
    holder: ClaimHolder,
    number: u32,
    /// Digest of its request.
    digest: [u8; 16],
    register_version: u64,
    result: JobResult,
}

impl EndedAttempt {
    fn has_run(&self) -> bool {
        self.result != JobResult::NotRun
    }

    /// Whether a request is at this attempt or an earlier one of the same request.
    fn covers_request(&self, request: &JobRequest) -> bool {
        request.holder == self.holder && request.attempt <= self.number
    }

    /// Whether this attempt ends the current run of a job.
    fn ends_run_of(&self, job: &Job) -> bool {
        // The attempt ran under a claim that this coordinator has not seen yet.
        let is_newer = self.has_run() && self.register_version > job.register_version;
        match &job.state {
            JobState::Claiming { request, .. } | JobState::Running { request, .. }
                if self.covers_request(request) =>
            {
                true
            }
            JobState::Running { .. } | JobState::Completed { .. } => false,
            _ if is_newer => true,
            JobState::RunningElsewhere {
                holder,
                admitted_attempt,
                ..
            } => *holder == self.holder && (self.has_run() || self.covers(*admitted_attempt)),
            JobState::Lost => matches!(self.result, JobResult::Answer(_) | JobResult::TooLarge),
            JobState::Idle | JobState::Claiming { .. } => false,
        }
    }

    fn covers(&self, attempt: Option<u32>) -> bool {
        attempt.is_some_and(|attempt| attempt <= self.number)
    }
}

impl JobCoordinator {
    /// Handles a gateway's report of how an attempt ended.
    pub fn attempt_completed(&mut self, now: u64, gateway: &str, completion: JobCompletion) {
        let key = register_key(&completion.function, &completion.attempt.key);
        let attempt = EndedAttempt {
            holder: ClaimHolder {
                gateway: gateway.into(),
                incarnation: completion.attempt.incarnation,
                request_id: completion.request_id,
            },
            number: completion.attempt.number,
            digest: completion.attempt.digest,
            register_version: completion.register_version,
            result: completion.result,
        };
        let known = self.table.take(&key);
        let at_most_once = completion.attempt.at_most_once;
        let Some(mut job) =
            known.or_else(|| self.create_completed(now, &key, &attempt, at_most_once))
        else {
            return;
        };
        job.used_at = now;
        job.waiting
            .retain(|request| !attempt.covers_request(request));
        if is_persisted(&job) && attempt.has_run() {
            self.outbox.notify_persisted(attempt.holder.clone());
        }
        if attempt.ends_run_of(&job) {
            self.end_run(now, &key, &mut job, attempt);
        }
        self.table.put(&key, job);
    }

    /// Creates the job of an attempt that ran under another coordinator. Returns `None` if the attempt has not run, or the
    /// table is full.
    fn create_completed(
        &mut self,
        now: u64,
        key: &str,
        attempt: &EndedAttempt,
        at_most_once: bool,
    ) -> Option<Job> {
        if !attempt.has_run() {
            return None;
        }
        let job = self.table.create(now, key)?;
        Some(Job {
            digest: attempt.digest,
            at_most_once,
            register_version: attempt.register_version,
            state: JobState::RunningElsewhere {
                holder: attempt.holder.clone(),
                claimed_attempt: attempt.number,
                since: now,
                checked_at: now,
                admitted_attempt: None,
            },
            ..job
        })
    }

    fn end_run(&mut self, now: u64, key: &str, job: &mut Job, attempt: EndedAttempt) {
        self.table.forget_request(&attempt.holder);
        if let JobState::Claiming { request, .. } = &job.state {
            if request.holder != attempt.holder {
                let request = request.clone();
                self.outbox.cancel_lease_request(&request);
                job.waiting.insert(0, request);
            }
        }
        self.set_digest(job, attempt.digest);
        job.register_version = job.register_version.max(attempt.register_version);
        let response = match attempt.result {
            JobResult::NotRun => return self.admit_next(now, key, job),
            JobResult::Lost => return self.result_lost(now, key, job),
            // The job may run again, so the waiting requests can run it themselves.
            JobResult::TooLarge if !job.at_most_once => return self.admit_next(now, key, job),
            JobResult::Answer(response) => Some(response),
            JobResult::TooLarge => None,
        };
        self.complete(now, key, job, attempt.holder, response);
    }

    fn complete(
        &mut self,
        now: u64,
        key: &str,
        job: &mut Job,
        holder: ClaimHolder,
        response: Option<Vec<u8>>,
    ) {
        // Waiting requests receive the response even if it is too large to be stored.
        self.resolve_waiting(job, &completed_verdict(response.as_ref()));
        let stored = response.filter(|response| response.len() <= MAX_STORED_RESPONSE_BYTES);
        if !job.at_most_once && stored.is_none() {
            job.state = JobState::Idle;
            return;
        }
        let unpersisted = job.at_most_once.then(|| UnpersistedResult {
            holder,
            retry: WriteRetry::new(now),
        });
        job.state = JobState::Completed {
            response: stored,
            unpersisted,
        };
        self.store_result(now, key, job);
    }

    /// Handles the loss of a gateway: its waiting requests are dropped, and its admitted ones may still be running.
    pub fn gateway_lost(&mut self, now: u64, gateway: &str) {
        for key in self.table.forget_gateway(gateway) {
            let Some(mut job) = self.table.take(&key) else {
                continue;
            };
            job.waiting
                .retain(|request| request.holder.gateway != gateway);
            self.admitted_request_lost(now, &key, &mut job, gateway);
            self.table.put(&key, job);
        }
    }

    fn admitted_request_lost(&mut self, now: u64, key: &str, job: &mut Job, gateway: &str) {
        let admitted = job.admitted();
        let Some(request) = admitted.filter(|request| request.holder.gateway == gateway) else {
            return;
        };
        let (holder, attempt) = (request.holder.clone(), request.attempt);
        if matches!(job.state, JobState::Claiming { .. }) || !job.at_most_once {
            self.admit_next(now, key, job);
            return;
        }
        job.issued_claims.clear();
        job.state = JobState::RunningElsewhere {
            holder,
            claimed_attempt: attempt,
            since: now,
            checked_at: now,
            admitted_attempt: Some(attempt),
        };
    }
}

/// Whether the job is at-most-once and its result is in its register.
fn is_persisted(job: &Job) -> bool {
    let is_persisted = matches!(
        job.state,
        JobState::Completed {
            unpersisted: None,
            ..
        }
    );
    is_persisted && job.at_most_once
}
