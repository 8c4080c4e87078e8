//! Results of jobs that a gateway resends until they are persisted.

use protocol::{JobCompletion, JobResult, RequestId};
use std::collections::BTreeMap;

/// Milliseconds between two sendings of a result. The owner persists a result in far less, unless it is replaced.
const RESEND_INTERVAL_MS: u64 = 300;
/// Milliseconds for which a result is resent. A majority of controllers that is away for longer counts as lost.
const RESEND_LIMIT_MS: u64 = 30_000;
/// Most results that are resent; it bounds the memory.
const MAX_RESULTS: usize = 4_096;

/// Results of at-most-once jobs that are not known to be on the disks of a majority of controllers. Each is resent to
/// the function's owner, which may be another than before, until it is.
#[derive(Default)]
pub struct UnacknowledgedResults {
    results: BTreeMap<RequestId, UnacknowledgedResult>,
}

struct UnacknowledgedResult {
    completion: JobCompletion,
    resend_at: u64,
    expires_at: u64,
}

impl UnacknowledgedResults {
    /// Records a completion that was just sent. Only the responses of at-most-once jobs are resent.
    pub fn record(&mut self, now: u64, completion: &JobCompletion) {
        let has_response = matches!(
            completion.result,
            JobResult::Answer(_) | JobResult::TooLarge
        );
        if !completion.attempt.at_most_once || !has_response || self.results.len() >= MAX_RESULTS {
            return;
        }
        let result = UnacknowledgedResult {
            completion: completion.clone(),
            resend_at: now + RESEND_INTERVAL_MS,
            expires_at: now + RESEND_LIMIT_MS,
        };
        self.results.insert(completion.request_id, result);
    }

    /// A result is on the disks of a majority of controllers.
    pub fn acknowledge(&mut self, request_id: RequestId) {
        self.results.remove(&request_id);
    }

    /// Results that are to be resent now.
    pub fn take_due(&mut self, now: u64) -> Vec<JobCompletion> {
        self.results.retain(|_, result| now < result.expires_at);
        let results = self.results.values_mut();
        let due = results.filter(|result| result.resend_at <= now);
        due.map(|result| {
            result.resend_at = now + RESEND_INTERVAL_MS;
            result.completion.clone()
        })
        .collect()
    }

    /// Number of results that are not acknowledged.
    #[must_use]
    pub fn len(&self) -> usize {
        self.results.len()
    }

    /// Whether every result is acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }
}
