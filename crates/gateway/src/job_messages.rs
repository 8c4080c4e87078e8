//! Messages about jobs. Requests with the same idempotency key are copies of one job: the function's owner lets one
//! copy run and sends its response to the others.

use crate::client_response::{has_one_seal, is_success, ClientResponse, Header};
use crate::gateway::Gateway;
use crate::pending_request::{PendingRequest, RequestPhase};
use crate::request_accounting::RequestEnd;
use crate::stored_response::{pack, unpack, StoredResponse};
use http1::{ErrorStatus, Request, Response};
use jobs::{is_valid_idempotency_key, job_key, JobAdmission, RequestIdentity};
use protocol::{JobCompletion, JobResult, JobVerdict, Message, RequestId};
use routing::Binding;
use std::sync::Arc;

const SERVER_ERROR_MIN: u16 = 500;

/// The idempotency key is invalid, or there are several.
pub(crate) struct InvalidIdempotencyKey;

impl Gateway {
    /// Returns a request's participation in a job, or `None` without an idempotency key in the header that its binding
    /// names. The same key of different tenants denotes different jobs.
    pub fn job_admission(
        &self,
        request: &Request,
        binding: &Binding,
        function: &str,
        tenant: Option<&Arc<str>>,
    ) -> Result<Option<Box<JobAdmission>>, InvalidIdempotencyKey> {
        let Some(header) = &binding.idempotency_header else {
            return Ok(None);
        };
        let mut keys = request.headers.get_all(header);
        let Some(key) = keys.next() else {
            return Ok(None);
        };
        let text = std::str::from_utf8(key).map_err(|_| InvalidIdempotencyKey)?;
        if keys.next().is_some() || !is_valid_idempotency_key(key) {
            return Err(InvalidIdempotencyKey);
        }
        let tenant = tenant.map(AsRef::as_ref);
        let identity = RequestIdentity {
            tenant,
            host: &binding.host,
            route: &binding.name,
            function,
            method: &request.method,
            target: &request.target,
            body: &request.body,
        };
        let digest = identity.digest();
        let incarnation = self.identity.incarnation;
        let key = job_key(tenant, text);
        let job = JobAdmission::new(key, digest, binding.at_most_once, incarnation);
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

    /// Handles a message about a job, from another gateway or from the job coordinator of this one.
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

    /// Handles a claim granted to a request, which may now be sent to its runner.
    fn job_claimed(&mut self, owner: &str, id: RequestId, attempt: u32, register_version: u64) {
        let Some(job) = self.job_waiting_for(owner, id, attempt) else {
            return self.release_stale_claim(owner, id, attempt);
        };
        job.set_claimed(register_version);
        if !job.is_connected() {
            return;
        }
        let request = self.requests.get(id);
        let attempt = request.and_then(|request| request.attempt());
        if let Some(connection) = attempt.map(|attempt| attempt.connection) {
            self.send_upstream_request(connection);
        }
    }

    /// Handles a claim for an attempt that no longer waits for it. If the attempt was voided before it was sent, the
    /// completion is sent to the owner again, because the lease request may have arrived after the first completion.
    fn release_stale_claim(&mut self, owner: &str, id: RequestId, attempt: u32) {
        let completion = self.abandoned_attempts.find(id, attempt).cloned();
        if let Some(completion) = completion {
            self.send_completion(owner, completion);
        }
    }

    /// Handles the notice that another copy of the request may be running: the request waits for that copy's
    /// response.
    fn job_joined(&mut self, owner: &str, id: RequestId, attempt: u32) {
        let Some(job) = self.job_waiting_for(owner, id, attempt) else {
            return;
        };
        job.set_joined();
        self.abandon_attempt(id);
        let since = self.now;
        if let Some(request) = self.requests.get(id) {
            request.phase = RequestPhase::AwaitingLease {
                owner: owner.into(),
                since,
            };
        }
    }

    /// Handles the outcome of a job: the request gets its response.
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
            JobVerdict::Answer(packed) => match self.unpack_sealed(&packed) {
                Some(stored) => self.respond_with_stored(id, &stored),
                None => {
                    let reason = "it has run, and its answer cannot be read";
                    self.end_with_error(id, ErrorStatus::CONFLICT, reason);
                }
            },
            JobVerdict::TooLarge => {
                let reason = "it has run, and its answer was not kept";
                self.end_with_error(id, ErrorStatus::CONFLICT, reason);
            }
            JobVerdict::MayHaveRun => {
                let reason = "it may have run, and is not run again";
                self.end_with_error(id, ErrorStatus::CONFLICT, reason);
            }
            JobVerdict::OtherRequest => {
                let reason = "the key was used with another request";
                self.end_with_error(id, ErrorStatus::UNPROCESSABLE_CONTENT, reason);
            }
        }
    }

    /// Returns the job participation of an unsent request, if the owner's message refers to its current lease
    /// request.
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

    fn end_with_error(&mut self, id: RequestId, status: ErrorStatus, reason: &'static str) {
        if let Some(request) = self.requests.remove(id, RequestEnd::Rejected) {
            self.respond_with_error(&request, status, reason);
        }
    }

    /// Unpacks a stored response. A success without a seal cannot be forwarded and counts as unreadable.
    fn unpack_sealed(&self, packed: &[u8]) -> Option<StoredResponse> {
        let stored = unpack(packed)?;
        let is_sealed = has_one_seal(stored.headers(), self.options.conventions.seal);
        (is_sealed || !is_success(stored.status)).then_some(stored)
    }

    fn respond_with_stored(&mut self, id: RequestId, stored: &StoredResponse) {
        let Some(request) = self.requests.remove(id, RequestEnd::Answered) else {
            return;
        };
        let request_id = self.options.conventions.request_id;
        let kept = stored.headers();
        let kept = kept.filter(|(name, _)| !name.eq_ignore_ascii_case(request_id));
        let mut headers: Vec<Header<'_>> = kept.collect();
        headers.push((request_id, &request.client_request_id));
        let response = ClientResponse::from_stored_result(stored.status, headers, &stored.body);
        self.respond(&request, response);
    }

    /// Sends the result of a request of a job, which has ended, to the owners that may know the job.
    pub fn complete_job(&mut self, request: &PendingRequest, result: JobResult) {
        let Some(job) = &request.job else {
            return;
        };
        let completion = job.completion(request.id, &request.function, result);
        self.unacknowledged_results.record(self.now, &completion);
        self.abandoned_attempts.record(&completion);
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

    /// Completes a job with a runner's response.
    pub fn complete_job_with(&mut self, request: &PendingRequest, response: &Response) {
        let Some(job) = &request.job else {
            return;
        };
        // An idempotent job is run again after a server error. A response that must stay in certain regions is not
        // stored, because the function's owner and the controllers may be in other regions.
        let is_restricted = !request.allowed_regions.is_empty();
        let result = if !job.attempt().at_most_once && response.status >= SERVER_ERROR_MIN {
            JobResult::Lost
        } else if is_restricted {
            JobResult::TooLarge
        } else {
            let protected = self.options.conventions.protected_headers();
            pack(response, &protected).map_or(JobResult::TooLarge, JobResult::Answer)
        };
        self.complete_job(request, result);
    }

    /// Voids the current attempt of a request whose lease request is cancelled at its owner: later messages about it
    /// are ignored.
    pub fn void_job_attempt(&mut self, owner: &str, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let function = request.function.clone();
        let Some(job) = &mut request.job else {
            return;
        };
        let completion = job.completion(id, &function, JobResult::NotRun);
        job.abandon_attempt();
        self.abandoned_attempts.record(&completion);
        self.send_completion(owner, completion);
    }

    /// Advances the job coordinator and resends results that no owner has acknowledged.
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
