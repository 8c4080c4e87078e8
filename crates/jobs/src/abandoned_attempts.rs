//! Attempts of a gateway's requests that ended without having run.

use protocol::{JobCompletion, JobResult, RequestId};
use std::collections::BTreeMap;

/// Maximum number of requests whose attempts are recorded; those with the lowest ids, the oldest, are dropped first.
const MAX_REQUESTS: usize = 4_096;

/// The last attempt of each request that is known not to have run. The same holds for all earlier attempts of that request.
///
/// A delayed lease request may reach an owner long after its attempt was abandoned. When that owner claims the job for it, the
/// record is used to reply that the attempt will not run.
#[derive(Default)]
pub struct AbandonedAttempts {
    completions: BTreeMap<RequestId, JobCompletion>,
}

impl AbandonedAttempts {
    /// Records an attempt that ended, if it belongs to an at-most-once job and has not run.
    pub fn record(&mut self, completion: &JobCompletion) {
        if completion.result != JobResult::NotRun || !completion.attempt.at_most_once {
            return;
        }
        let id = completion.request_id;
        self.completions.insert(id, completion.clone());
        if self.completions.len() > MAX_REQUESTS {
            self.completions.pop_first();
        }
    }

    /// Returns the completion that states that an attempt has not run and never will, or `None` if this is not known.
    #[must_use]
    pub fn find(&self, request_id: RequestId, attempt: u32) -> Option<&JobCompletion> {
        let completion = self.completions.get(&request_id);
        completion.filter(|completion| completion.attempt.number >= attempt)
    }
}
