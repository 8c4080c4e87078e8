use crate::acceptor::RegisterState;
use crate::message::{Ballot, VoterOperation, VoterResponse};
use std::collections::BTreeMap;

/// What the keys of jobs begin with.
pub const JOB_KEY_PREFIX: &str = "job/";
/// Key under which the promise stands that a voter gave for all jobs which it does not hold.
pub(crate) const FORGOTTEN_KEY: &str = "job";
/// Bytes of jobs up to which answers are taken.
const ANSWER_BYTES_MAX: usize = 12 << 20;
/// Bytes of jobs up to which claims are taken. Two snapshots and a full log must fit on a disk of 64 MB.
const CLAIM_BYTES_MAX: usize = 16 << 20;
/// Bytes that a job takes on the disk beside its key and its value.
const JOB_OVERHEAD: usize = 80;
/// Most bytes of one job's value.
const VALUE_MAX: usize = 40 << 10;
/// Bytes up to which a value counts as a claim, which is taken also where there is no room for answers any more.
const SMALL: usize = 1 << 10;

/// Whether a key is a job's.
pub fn is_job_key(key: &str) -> bool {
    key.starts_with(JOB_KEY_PREFIX)
}

/// A voter's memory of jobs. Jobs carry no time, so ballots count it: a turn forgets what was promised before the
/// turn before it, and from then on all that is not held counts as promised up to there, so that nothing old is
/// ever taken for new.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct JobWindow {
    /// Highest counter of any ballot for a job.
    seen: u64,
    /// What was seen at the last turn. New jobs need ballots above it, so that the next turn spares them.
    rising: u64,
    bytes: usize,
}

impl JobWindow {
    /// What a voter knows that was just opened: all that it holds is as if it were new.
    pub fn of(keys: &BTreeMap<String, RegisterState>) -> Self {
        let jobs = keys.iter().filter(|(key, _)| is_job_key(key));
        let (mut seen, mut bytes) = (forgotten(keys), 0);
        for (key, held) in jobs {
            seen = seen.max(held.promised.counter);
            bytes += size_of(key, held);
        }
        Self {
            seen,
            rising: seen,
            bytes,
        }
    }

    pub fn note(&mut self, key: &str, old: Option<&RegisterState>, new: Option<&RegisterState>) {
        if !is_job_key(key) {
            return;
        }
        let size = |held: Option<&RegisterState>| held.map_or(0, |held| size_of(key, held));
        self.bytes = (self.bytes + size(new)).saturating_sub(size(old));
        let promised = new.map_or(0, |held| held.promised.counter);
        self.seen = self.seen.max(promised);
    }

    /// The promise that stands for all jobs below it, once a turn has come; none where nothing falls under it.
    pub fn turn(&mut self, keys: &BTreeMap<String, RegisterState>) -> Option<RegisterState> {
        let floor = self.rising;
        self.rising = self.seen;
        let mut jobs = keys.iter().filter(|(key, _)| is_job_key(key));
        let has_old = jobs.any(|(_, held)| held.promised.counter <= floor);
        has_old.then(|| RegisterState {
            promised: ballot(floor),
            ..RegisterState::default()
        })
    }

    /// Whether another copy's value for a job that is not held is one that was forgotten here.
    pub fn has_forgotten(
        &self,
        keys: &BTreeMap<String, RegisterState>,
        key: &str,
        theirs: Ballot,
    ) -> bool {
        is_job_key(key)
            && !keys.contains_key(key)
            && theirs.counter <= self.rising.max(forgotten(keys))
    }

    /// Why a question about a job is refused, if it is.
    pub fn rejection(
        &self,
        keys: &BTreeMap<String, RegisterState>,
        operation: &VoterOperation,
    ) -> Option<VoterResponse> {
        let (key, asked) = match operation {
            VoterOperation::Query { .. } => return None,
            VoterOperation::Prepare { key, ballot }
            | VoterOperation::Accept { key, ballot, .. } => (key, ballot),
        };
        if !is_job_key(key) {
            return None;
        }
        let floor = self.rising.max(forgotten(keys));
        if !keys.contains_key(key) && asked.counter <= floor {
            let promised = ballot(floor);
            return Some(VoterResponse::Rejected { promised });
        }
        let size = match operation {
            VoterOperation::Accept { value, .. } => value.bytes.len(),
            _ => 0,
        };
        let bytes_max = match size {
            0..=SMALL => CLAIM_BYTES_MAX,
            _ => ANSWER_BYTES_MAX,
        };
        let is_full = self.bytes + key.len() + JOB_OVERHEAD + size > bytes_max;
        (size > VALUE_MAX || is_full).then(|| VoterResponse::Unavailable {
            reason: "there is no room for the value".into(),
        })
    }
}

fn size_of(key: &str, held: &RegisterState) -> usize {
    key.len() + JOB_OVERHEAD + held.value.bytes.len()
}

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: u64::MAX,
    }
}

fn forgotten(keys: &BTreeMap<String, RegisterState>) -> u64 {
    let held = keys.get(FORGOTTEN_KEY);
    held.map_or(0, |held| held.promised.counter)
}
