//! How long a voter remembers jobs.
//!
//! Jobs carry no time, so ballots count it: a span that ends forgets what was promised before the span before it. From then on
//! all that is not held counts as promised up to there, so that nothing old is ever taken for new.

use crate::message::{VoterOperation, VoterResponse};
use crate::value::{Ballot, RegisterState};
use std::collections::BTreeMap;

/// What the keys of jobs begin with.
pub const JOB_KEY_PREFIX: &str = "job/";
/// Key under which the promise stands that a voter gave for all jobs which it does not hold.
pub(crate) const FORGOTTEN_KEY: &str = "job";
/// Bytes of jobs up to which answers are taken.
const MAX_BYTES_FOR_RESULTS: usize = 12 << 20;
/// Bytes of jobs up to which claims are taken. Two snapshots and a full log must fit on a disk of 64 MB.
const MAX_BYTES_FOR_CLAIMS: usize = 16 << 20;
/// Bytes that a job takes on the disk beside its key and its value.
const RECORD_OVERHEAD_BYTES: usize = 80;
/// Most bytes of one job's value.
const MAX_VALUE_BYTES: usize = 40 << 10;
/// Bytes up to which a value counts as a claim, which is taken also where there is no room for answers any more.
const MAX_CLAIM_BYTES: usize = 1 << 10;

/// Whether a key is a job's.
pub fn is_job_key(key: &str) -> bool {
    key.starts_with(JOB_KEY_PREFIX)
}

/// What a voter knows of the jobs it remembers, derived from its registers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct JobWindow {
    /// Highest counter of any ballot for a job.
    highest: u64,
    /// What `highest` was when the present span began. New jobs need ballots above it, so that the end of the span spares them.
    floor: u64,
    /// Bytes that all jobs take on the disk.
    bytes: usize,
}

impl JobWindow {
    /// What a voter knows that was just opened: all that it holds is as if it were new.
    pub fn of(keys: &BTreeMap<String, RegisterState>) -> Self {
        let jobs = keys.iter().filter(|(key, _)| is_job_key(key));
        let (mut highest, mut bytes) = (forgotten_counter(keys), 0);
        for (key, state) in jobs {
            highest = highest.max(state.promised.counter);
            bytes += size_of(key, state);
        }
        Self {
            highest,
            floor: highest,
            bytes,
        }
    }

    /// Follows the change of one register; the old or the new state may be missing.
    pub fn on_change(
        &mut self,
        key: &str,
        old: Option<&RegisterState>,
        new: Option<&RegisterState>,
    ) {
        if !is_job_key(key) {
            return;
        }
        let size = |state: Option<&RegisterState>| state.map_or(0, |state| size_of(key, state));
        self.bytes = (self.bytes + size(new)).saturating_sub(size(old));
        let promised = new.map_or(0, |state| state.promised.counter);
        self.highest = self.highest.max(promised);
    }

    /// The promise that stands for all jobs below it, now that a span has ended; none where nothing falls under it.
    pub fn advance(&mut self, keys: &BTreeMap<String, RegisterState>) -> Option<RegisterState> {
        let floor = self.floor;
        self.floor = self.highest;
        let mut jobs = keys.iter().filter(|(key, _)| is_job_key(key));
        let has_old = jobs.any(|(_, state)| state.promised.counter <= floor);
        has_old.then(|| RegisterState {
            promised: highest_ballot_of(floor),
            ..RegisterState::default()
        })
    }

    /// Whether another replica's value for a job that is not held is one that was forgotten here.
    pub fn has_forgotten(
        &self,
        keys: &BTreeMap<String, RegisterState>,
        key: &str,
        theirs: Ballot,
    ) -> bool {
        is_job_key(key)
            && !keys.contains_key(key)
            && theirs.counter <= self.floor.max(forgotten_counter(keys))
    }

    /// Why an operation on a job is refused, if it is.
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
        let floor = self.floor.max(forgotten_counter(keys));
        if !keys.contains_key(key) && asked.counter <= floor {
            let promised = highest_ballot_of(floor);
            return Some(VoterResponse::Rejected { promised });
        }
        let size = match operation {
            VoterOperation::Accept { value, .. } => value.bytes.len(),
            _ => 0,
        };
        let bytes_max = match size {
            0..=MAX_CLAIM_BYTES => MAX_BYTES_FOR_CLAIMS,
            _ => MAX_BYTES_FOR_RESULTS,
        };
        let is_full = self.bytes + key.len() + RECORD_OVERHEAD_BYTES + size > bytes_max;
        (size > MAX_VALUE_BYTES || is_full)
            .then(|| VoterResponse::unavailable("there is no room for the value"))
    }
}

fn size_of(key: &str, state: &RegisterState) -> usize {
    key.len() + RECORD_OVERHEAD_BYTES + state.value.bytes.len()
}

/// The highest ballot that has this counter.
fn highest_ballot_of(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: u64::MAX,
    }
}

/// Highest counter whose jobs were forgotten.
fn forgotten_counter(keys: &BTreeMap<String, RegisterState>) -> u64 {
    let state = keys.get(FORGOTTEN_KEY);
    state.map_or(0, |state| state.promised.counter)
}
