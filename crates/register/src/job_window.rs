//! How long a voter retains jobs.
//!
//! Keys of jobs contain no time, so ballots serve as the clock: the end of a retention period deletes the jobs that were
//! promised nothing above the highest ballot known when the period began. From then on, all unknown jobs count as promised up
//! to that ballot, so that a late request for a deleted job is never mistaken for a new job.

use crate::message::{VoterOperation, VoterResponse};
use crate::value::{Ballot, RegisterState};
use std::collections::BTreeMap;

/// Prefix of the keys of jobs.
pub const JOB_KEY_PREFIX: &str = "job/";
/// Key of the register whose promise stands for all jobs that the voter does not have.
pub(crate) const EXPIRED_JOBS_KEY: &str = "job";
/// Total size of jobs, in bytes, above which results are rejected.
const MAX_BYTES_FOR_RESULTS: usize = 12 << 20;
/// Total size of jobs, in bytes, above which claims are rejected too. Two snapshots and a full log must fit on a 64 MB disk.
const MAX_BYTES_FOR_CLAIMS: usize = 16 << 20;
/// Bytes that a job takes on the disk in addition to its key and value.
const RECORD_OVERHEAD_BYTES: usize = 80;
/// Maximum size of a job's value, in bytes.
const MAX_VALUE_BYTES: usize = 40 << 10;
/// Size, in bytes, up to which a value counts as a claim, which is accepted even when there is no room left for results.
const MAX_CLAIM_BYTES: usize = 1 << 10;

/// Whether the key belongs to a job.
pub fn is_job_key(key: &str) -> bool {
    key.starts_with(JOB_KEY_PREFIX)
}

/// Retention state of a voter's jobs, derived from its registers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct JobWindow {
    /// Highest counter of any ballot promised for a job.
    highest: u64,
    /// Value of `highest` at the start of the current period. New jobs need ballots above it, so that they outlive the period.
    floor: u64,
    /// Bytes that all jobs take on the disk.
    bytes: usize,
}

impl JobWindow {
    /// Starts a retention period in which all existing jobs count as just promised, so that they are retained until its end.
    pub fn from_registers(keys: &BTreeMap<String, RegisterState>) -> Self {
        let jobs = keys.iter().filter(|(key, _)| is_job_key(key));
        let (mut highest, mut bytes) = (expired_counter(keys), 0);
        for (key, state) in jobs {
            highest = highest.max(state.promised.counter);
            bytes += stored_size(key, state);
        }
        Self {
            highest,
            floor: highest,
            bytes,
        }
    }

    /// Accounts for the change of one register. Without an old state it is created, without a new one deleted.
    pub fn on_change(
        &mut self,
        key: &str,
        old: Option<&RegisterState>,
        new: Option<&RegisterState>,
    ) {
        if !is_job_key(key) {
            return;
        }
        let size = |state: Option<&RegisterState>| state.map_or(0, |state| stored_size(key, state));
        self.bytes = (self.bytes + size(new)).saturating_sub(size(old));
        let promised = new.map_or(0, |state| state.promised.counter);
        self.highest = self.highest.max(promised);
    }

    /// Ends the retention period. Returns the promise that replaces all jobs up to it, or `None` if there are no such jobs.
    pub fn advance(&mut self, keys: &BTreeMap<String, RegisterState>) -> Option<RegisterState> {
        let floor = self.floor;
        self.floor = self.highest;
        let mut jobs = keys.iter().filter(|(key, _)| is_job_key(key));
        let has_expired_jobs = jobs.any(|(_, state)| state.promised.counter <= floor);
        has_expired_jobs.then(|| RegisterState {
            promised: highest_ballot(floor),
            ..RegisterState::default()
        })
    }

    /// Whether another replica's value, accepted under ballot `theirs`, belongs to a job that has expired here.
    pub fn is_expired(
        &self,
        keys: &BTreeMap<String, RegisterState>,
        key: &str,
        theirs: Ballot,
    ) -> bool {
        is_job_key(key)
            && !keys.contains_key(key)
            && theirs.counter <= self.floor.max(expired_counter(keys))
    }

    /// The response if an operation on a job is rejected.
    pub fn rejection(
        &self,
        keys: &BTreeMap<String, RegisterState>,
        operation: &VoterOperation,
    ) -> Option<VoterResponse> {
        let (key, ballot) = match operation {
            VoterOperation::Query { .. } => return None,
            VoterOperation::Prepare { key, ballot }
            | VoterOperation::Accept { key, ballot, .. } => (key, ballot),
        };
        if !is_job_key(key) {
            return None;
        }
        let floor = self.floor.max(expired_counter(keys));
        if !keys.contains_key(key) && ballot.counter <= floor {
            let promised = highest_ballot(floor);
            return Some(VoterResponse::Rejected { promised });
        }
        let size = match operation {
            VoterOperation::Accept { value, .. } => value.bytes.len(),
            _ => 0,
        };
        let max_bytes = match size {
            0..=MAX_CLAIM_BYTES => MAX_BYTES_FOR_CLAIMS,
            _ => MAX_BYTES_FOR_RESULTS,
        };
        let is_full = self.bytes + key.len() + RECORD_OVERHEAD_BYTES + size > max_bytes;
        (size > MAX_VALUE_BYTES || is_full)
            .then(|| VoterResponse::unavailable("there is no room for the value"))
    }
}

fn stored_size(key: &str, state: &RegisterState) -> usize {
    key.len() + RECORD_OVERHEAD_BYTES + state.value.bytes.len()
}

/// The highest possible ballot with this counter.
fn highest_ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: u64::MAX,
    }
}

/// Ballot counter up to which jobs have expired.
fn expired_counter(keys: &BTreeMap<String, RegisterState>) -> u64 {
    let state = keys.get(EXPIRED_JOBS_KEY);
    state.map_or(0, |state| state.promised.counter)
}
