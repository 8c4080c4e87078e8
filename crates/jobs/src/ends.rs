use protocol::{JobCompletion, JobResult, RequestId};
use std::collections::BTreeMap;

/// Milliseconds after which an end is told again.
const AGAIN_MS: u64 = 300;
/// Milliseconds for which an end is told at most.
const TELL_MS: u64 = 30_000;
/// Most ends that are told again.
const ENDS_MAX: usize = 4_096;

/// Answers of once-work that are not known to be on the controllers' disks yet; they are told until they are.
#[derive(Default)]
pub struct Ends {
    owed: BTreeMap<RequestId, (JobCompletion, u64, u64)>,
}

impl Ends {
    /// Notes an end that was just told.
    pub fn note(&mut self, now: u64, end: &JobCompletion) {
        let is_answer = matches!(end.result, JobResult::Answer(_) | JobResult::TooLarge);
        if end.attempt.at_most_once && is_answer && self.owed.len() < ENDS_MAX {
            let owed = (end.clone(), now + AGAIN_MS, now + TELL_MS);
            self.owed.insert(end.request_id, owed);
        }
    }

    /// An answer is on the controllers' disks.
    pub fn kept(&mut self, ticket: RequestId) {
        self.owed.remove(&ticket);
    }

    /// Ends that are to be told again.
    pub fn due(&mut self, now: u64) -> Vec<JobCompletion> {
        self.owed.retain(|_, (_, _, until)| now < *until);
        let owed = self.owed.values_mut();
        let due = owed.filter(|(_, at, _)| *at <= now);
        due.map(|(end, at, _)| {
            *at = now + AGAIN_MS;
            end.clone()
        })
        .collect()
    }

    /// Answers that are owed.
    pub fn len(&self) -> usize {
        self.owed.len()
    }

    /// Whether nothing is owed.
    pub fn is_empty(&self) -> bool {
        self.owed.is_empty()
    }
}
