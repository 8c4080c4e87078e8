//! Handling of requests of jobs that arrive, and of rejected lease requests.

use crate::claim::register_key;
use crate::coordinator::{JobCoordinator, RETRY_AFTER_MS};
use crate::job::{completed_verdict, Job, JobRequest, JobState};
use protocol::{JobVerdict, LeaseRequest, RequestId};

/// Maximum number of waiting requests per job.
const MAX_WAITING_REQUESTS: usize = 256;

impl JobCoordinator {
    /// Handles a gateway's lease request for a request of a job. Ignores a lease request without a job.
    pub fn request_arrived(&mut self, now: u64, gateway: &str, zone: &str, request: LeaseRequest) {
        let Some(attempt) = request.job.clone() else {
            return;
        };
        let key = register_key(&request.function, &attempt.key);
        let request = JobRequest::new(now, gateway, zone, request, &attempt);
        let known = self.table.take(&key);
        let Some(mut job) = known.or_else(|| self.table.create(now, &key)) else {
            let verdict = JobVerdict::NotRun(RETRY_AFTER_MS);
            self.outbox.notify_verdict(&request, verdict);
            return;
        };
        if job.is_stale(&request) {
            return self.table.put(&key, job);
        }
        job.used_at = now;
        job.waiting.retain(|known| known.holder != request.holder);
        if matches!(job.state, JobState::Idle) && job.waiting.is_empty() {
            job.digest = attempt.digest;
            job.at_most_once = attempt.at_most_once;
        }
        if job.digest == attempt.digest {
            self.admit_or_join(now, &key, &mut job, request);
        } else {
            self.outbox
                .notify_verdict(&request, JobVerdict::OtherRequest);
        }
        self.table.put(&key, job);
    }

    fn admit_or_join(&mut self, now: u64, key: &str, job: &mut Job, request: JobRequest) {
        let holder = (request.holder.gateway.clone(), request.holder.request_id);
        match &job.state {
            JobState::Idle => self.admit(now, key, job, request),
            JobState::Completed { response, .. } => {
                let verdict = completed_verdict(response.as_ref());
                return self.outbox.notify_verdict(&request, verdict);
            }
            JobState::Lost => {
                return self.outbox.notify_verdict(&request, JobVerdict::MayHaveRun);
            }
            JobState::Running { request: known, .. } if known.holder == request.holder => {
                self.admit(now, key, job, request);
            }
            JobState::Claiming { request: known, .. } if known.holder == request.holder => {
                self.replace_claiming(now, job, request);
            }
            // A new attempt by the holder's gateway implies that the earlier attempt is not running.
            JobState::RunningElsewhere { holder, .. } if *holder == request.holder => {
                self.admit(now, key, job, request);
            }
            _ if job.waiting.len() >= MAX_WAITING_REQUESTS => {
                return self.outbox.notify_verdict(&request, overload_verdict(job));
            }
            _ => {
                self.outbox.notify_joined(&request);
                job.waiting.push(request);
            }
        }
        self.table.index_request(holder, key);
    }

    /// Replaces the request that is being claimed by a new attempt of it. The claim write in flight stays valid, since it names
    /// the same request.
    fn replace_claiming(&mut self, now: u64, job: &mut Job, new: JobRequest) {
        self.outbox.request_lease(now, &new);
        if let JobState::Claiming {
            request, rejected, ..
        } = &mut job.state
        {
            *request = new;
            *rejected = None;
        }
    }

    /// The lease owner rejected a request. Returns whether the coordinator notifies the gateway; otherwise the caller does.
    pub fn lease_rejected(
        &mut self,
        now: u64,
        gateway: &str,
        request_id: RequestId,
        retry_after_ms: u32,
    ) -> bool {
        let Some(key) = self.table.key_of(gateway, request_id) else {
            return false;
        };
        let Some(mut job) = self.table.take(&key) else {
            return false;
        };
        let is_rejected = |request: &JobRequest| {
            request.holder.gateway == gateway && request.holder.request_id == request_id
        };
        let is_admitted = job.admitted().is_some_and(is_rejected);
        match &mut job.state {
            // Another request may have run the job before, so the verdict waits until the claim is known.
            JobState::Claiming { rejected, .. } if is_admitted => *rejected = Some(retry_after_ms),
            // The next request is not admitted yet: only the gateway knows that this one was not sent, and reports it with
            // a completion.
            JobState::Running { request, .. } if is_admitted => {
                let verdict = JobVerdict::NotRun(retry_after_ms);
                self.outbox.notify_verdict(request, verdict);
            }
            _ => {}
        }
        job.used_at = now;
        self.table.put(&key, job);
        is_admitted
    }
}

/// Returns the verdict for a request that arrives when the job's queue is full.
fn overload_verdict(job: &Job) -> JobVerdict {
    if job.at_most_once {
        JobVerdict::MayHaveRun
    } else {
        JobVerdict::NotRun(RETRY_AFTER_MS)
    }
}
