//! Requests with an idempotency key are copies of one job: the function's owner lets one copy run it and gives the
//! others its response. Here the messages about jobs are sent and received.

use crate::gateway::Gateway;
use crate::pending_request::{PendingRequest, RequestPhase};
use crate::request_accounting::RequestEnd;
use crate::stored_response::{pack, unpack, StoredResponse};
use http1::{Request, Response};
use jobs::{digest, is_key, job_key, JobAdmission};
use protocol::{JobCompletion, JobResult, JobVerdict, Message, RequestId};
use std::sync::Arc;

/// Header by which a client names the job that its request asks for.
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

const CONFLICT: u16 = 409;
const UNPROCESSABLE: u16 = 422;
const SERVER_ERROR_MIN: u16 = 500;

/// The idempotency key is no key, or there are several.
pub(crate) struct InvalidIdempotencyKey;

impl Gateway {
    /// A request's part in the job that its client named, if any. Keys of different tenants name different jobs.
    pub fn job_admission(
        &self,
        request: &Request,
        at_most_once: bool,
        tenant: Option<&Arc<str>>,
    ) -> Result<Option<Box<JobAdmission>>, InvalidIdempotencyKey> {
        let mut keys = request.headers.get_all(IDEMPOTENCY_KEY);
        let Some(key) = keys.next() else {
            return Ok(None);
        };
        let text = std::str::from_utf8(key).map_err(|_| InvalidIdempotencyKey)?;
        if keys.next().is_some() || !is_key(key) {
            return Err(InvalidIdempotencyKey);
        }
        let digest = digest(&request.method, &request.target, &request.body);
        let incarnation = self.identity.incarnation;
        let key = job_key(tenant.map(AsRef::as_ref), text);
        let job = JobAdmission::new(key, digest, at_most_once, incarnation);
        Ok(Some(Box::new(job)))
    }

    /// Sends a message about a job to a gateway, which may be this one.
    pub fn send_job_message(&mut self, gateway: &str, message: Message) {
        if gateway == self.options.name {
            self.job_message(gateway, message);
        } else {
            self.send_to_peer(gateway, &message);
        }
    }

    /// A message about a job has come from another gateway, or from the coordination here.
    pub fn job_message(&mut self, name: &str, message: Message) {
        match message {
            Message::JobCompletion(completion) => {
                self.jobs.attempt_completed(self.now, name, completion)
            }
            Message::JobPersisted(id) => self.unacknowledged_results.acknowledge(id),
            Message::JobClaimed {
                request_id,
                attempt,
                register_version,
            } => self.job_claimed(name, request_id, attempt, register_version),
            Message::JobJoined {
                request_id,
                attempt,
            } => self.job_joined(name, request_id, attempt),
            Message::JobVerdict {
                request_id,
                attempt,
                verdict,
            } => self.job_decided(name, request_id, attempt, verdict),
            _ => {}
        }
    }

    /// A request has the claim on its job, and may be sent to its runner.
    fn job_claimed(&mut self, owner: &str, id: RequestId, attempt: u32, register_version: u64) {
        let Some(job) = self.job_waiting_for(owner, id, attempt) else {
            return self.release_stale_claim(owner, id, attempt);
        };
        job.claimed(register_version);
        if !job.is_connected() {
            return;
        }
        let request = self.requests.get(id);
        let attempt = request.and_then(|request| request.attempt());
        if let Some(connection) = attempt.map(|attempt| attempt.connection) {
            self.send_upstream_request(connection);
        }
    }

    /// A job was claimed for an attempt that is not waited for. Where it was given up before it was sent, its owner hears so once
    /// more: the lease request may have come after the word of its end.
    fn release_stale_claim(&mut self, owner: &str, id: RequestId, attempt: u32) {
        let completion = self.voided_attempts.find(id, attempt).cloned();
        if let Some(completion) = completion {
            self.send_completion(owner, completion);
        }
    }

    /// Another copy of the request may be running; it waits for that copy's response.
    fn job_joined(&mut self, owner: &str, id: RequestId, attempt: u32) {
        let Some(job) = self.job_waiting_for(owner, id, attempt) else {
            return;
        };
        job.joined();
        self.abandon_attempt(id);
        let since = self.now;
        if let Some(request) = self.requests.get(id) {
            request.phase = RequestPhase::AwaitingLease {
                owner: owner.into(),
                since,
            };
        }
    }

    /// It is known what came of the job: the request gets its response.
    fn job_decided(&mut self, owner: &str, id: RequestId, attempt: u32, verdict: JobVerdict) {
        if self.job_waiting_for(owner, id, attempt).is_none() {
            return;
        }
        self.abandon_attempt(id);
        match verdict {
            JobVerdict::NotRun(retry_after_ms) => {
                let reason = "no seat in time, or no claim on the job";
                self.reject(id, u64::from(retry_after_ms), reason);
            }
            JobVerdict::Answer(packed) => match unpack(&packed) {
                Some(stored) => self.respond_with_stored(id, &stored),
                None => {
                    let reason = "it has run, and its answer cannot be read";
                    self.end_with_error(id, CONFLICT, reason);
                }
            },
            JobVerdict::TooLarge => {
                let reason = "it has run, and its answer was not kept";
                self.end_with_error(id, CONFLICT, reason);
            }
            JobVerdict::MayHaveRun => {
                let reason = "it may have run, and is not run again";
                self.end_with_error(id, CONFLICT, reason);
            }
            JobVerdict::OtherRequest => {
                let reason = "the key was used with another request";
                self.end_with_error(id, UNPROCESSABLE, reason);
            }
        }
    }

    /// The part in its job of a request that was not sent, where a message of an owner is about the lease request that
    /// stands.
    fn job_waiting_for(
        &mut self,
        owner: &str,
        id: RequestId,
        attempt: u32,
    ) -> Option<&mut JobAdmission> {
        let request = self.requests.get(id)?;
        let is_sent = request.is_sent();
        let job = request.job.as_mut().filter(|_| !is_sent)?;
        job.is_current_attempt(owner, attempt)
            .then_some(job.as_mut())
    }

    fn end_with_error(&mut self, id: RequestId, status: u16, reason: &'static str) {
        if let Some(request) = self.requests.remove(id, RequestEnd::Rejected) {
            self.respond_with_error(&request, status, reason);
        }
    }

    fn respond_with_stored(&mut self, id: RequestId, stored: &StoredResponse) {
        let Some(request) = self.requests.remove(id, RequestEnd::Answered) else {
            return;
        };
        let request_id = self.options.conventions.request_id;
        let kept = stored.headers.iter();
        let kept = kept.filter(|(name, _)| !name.eq_ignore_ascii_case(request_id));
        let mut headers: Vec<(&str, &[u8])> = kept
            .map(|(name, value)| (name.as_str(), value.as_slice()))
            .collect();
        headers.push((request_id, &request.client_request_id));
        self.respond(&request, stored.status, &headers, &stored.body);
    }

    /// A request of a job ends: its result goes to the owners that may know of the job.
    pub fn complete_job(&mut self, request: &PendingRequest, result: JobResult) {
        let Some(job) = &request.job else {
            return;
        };
        let completion = job.completion(request.id, &request.function, result);
        self.unacknowledged_results.record(self.now, &completion);
        self.voided_attempts.record(&completion);
        let leased_from = match &request.phase {
            RequestPhase::AwaitingLease { owner, .. } => Some(owner.clone()),
            RequestPhase::Upstream(attempt) => Some(attempt.owner.clone()),
            RequestPhase::Backoff => None,
        };
        let owner = self.owner_of(&request.function);
        let owner = owner.filter(|owner| leased_from.as_ref() != Some(owner));
        for name in leased_from.into_iter().chain(owner) {
            self.send_completion(&name, completion.clone());
        }
    }

    fn send_completion(&mut self, name: &str, completion: JobCompletion) {
        self.send_job_message(name, Message::JobCompletion(completion));
    }

    /// A runner responded to the request of a job.
    pub fn complete_job_with(&mut self, request: &PendingRequest, response: &Response) {
        let Some(job) = &request.job else {
            return;
        };
        // Work that may run twice is run anew after a failure. What must not leave some regions is kept nowhere else: the owner of
        // the function and the controllers may stand in others.
        let is_restricted = !request.allowed_regions.is_empty();
        let result = if !job.attempt().at_most_once && response.status >= SERVER_ERROR_MIN {
            JobResult::Lost
        } else if is_restricted {
            JobResult::TooLarge
        } else {
            pack(response).map_or(JobResult::TooLarge, JobResult::Answer)
        };
        self.complete_job(request, result);
    }

    /// A lease request is cancelled at its owner: nothing that was said about it holds any more.
    pub fn void_job_attempt(&mut self, owner: &str, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let function = request.function.clone();
        let Some(job) = &mut request.job else {
            return;
        };
        let completion = job.completion(id, &function, JobResult::NotRun);
        job.void_attempt();
        self.voided_attempts.record(&completion);
        self.send_completion(owner, completion);
    }

    /// Advances the coordination of jobs, and sends results again that no owner has acknowledged.
    pub fn advance_jobs(&mut self) {
        let identity = &self.identity;
        let configuration = &self.configuration;
        self.jobs.advance_clock(self.now, |gateway, incarnation| {
            if gateway == identity.name {
                return incarnation != identity.incarnation;
            }
            let member = configuration.member(gateway);
            let is_gone = member.is_none_or(|member| member.incarnation != incarnation);
            !configuration.members().is_empty() && is_gone
        });
        for completion in self.unacknowledged_results.take_due(self.now) {
            if let Some(owner) = self.owner_of(&completion.function) {
                self.send_completion(&owner, completion);
            }
        }
    }
}
