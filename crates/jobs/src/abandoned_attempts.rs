//! Attempts of a gateway's requests that were given up before they were sent.

use protocol::{JobCompletion, JobResult, RequestId};
use std::collections::BTreeMap;

/// Most requests whose attempts are remembered; the oldest are forgotten first.
const MAX_REQUESTS: usize = 4_096;

/// The last attempt of each request that surely has not run, and with it all earlier ones.
///
/// A lease request may come late, when its attempt was given up long ago. Whoever claims a job for it hears that nobody will run it.
#[derive(Default)]
pub struct AbandonedAttempts {
    completions: BTreeMap<RequestId, JobCompletion>,
}

impl AbandonedAttempts {
    /// An attempt ended. Only one that has not run is remembered.
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

    /// That an attempt of a request has not run and never will, if it is known.
    #[must_use]
    pub fn find(&self, request_id: RequestId, attempt: u32) -> Option<&JobCompletion> {
        let completion = self.completions.get(&request_id);
        completion.filter(|completion| completion.attempt.number >= attempt)
    }
}
