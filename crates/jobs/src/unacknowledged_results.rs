//! Job results that a gateway resends until they are persisted.

use protocol::{JobCompletion, JobResult, RequestId};
use std::collections::BTreeMap;

/// Interval in milliseconds at which a result is resent. The owner persists a result in far less, unless the owner is
/// replaced.
const RESEND_INTERVAL_MS: u64 = 300;
/// How long a result is resent, in milliseconds. A majority of controllers that is unreachable for longer is considered lost.
const RESEND_LIMIT_MS: u64 = 30_000;
/// Maximum number of results that are held for resending; bounds the memory.
const MAX_RESULTS: usize = 4_096;

/// Results of at-most-once jobs that are not known to be persisted on a majority of controllers. Until then each is resent
/// to the function's current owner, which may have changed since the last time.
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
    /// Records a completion that was just sent. Ignored unless it is the response of an at-most-once job, or if the table is
    /// full.
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

    /// Removes a result that is persisted on a majority of controllers.
    pub fn acknowledge(&mut self, request_id: RequestId) {
        self.results.remove(&request_id);
    }

    /// Returns the results that are due to be resent, and schedules their next resend. Drops expired ones.
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

    /// Number of results that have not been acknowledged.
    #[must_use]
    pub fn len(&self) -> usize {
        self.results.len()
    }

    /// Whether every result has been acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }
}
