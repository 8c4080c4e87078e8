//! The registers of one voter, and state derived from them that is not stored.

use crate::claims::{claim_keys, claim_time};
use crate::job_window::{is_job_key, JobWindow, EXPIRED_JOBS_KEY};
use crate::message::{VoterOperation, VoterResponse};
use crate::value::{Ballot, RegisterState};
use anti_entropy::{range_of, RangeDigests};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Maximum number of keys of a voter.
pub const MAX_KEYS: usize = 200_000;

/// All registers by key. Every change goes through this type, which keeps the digests and the job window up to date.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub(crate) struct RegisterTable {
    registers: BTreeMap<String, RegisterState>,
    #[speedy(skip)]
    digests: RangeDigests,
    #[speedy(skip)]
    job_window: JobWindow,
}

impl RegisterTable {
    pub fn len(&self) -> usize {
        self.registers.len()
    }

    pub fn get(&self, key: &str) -> Option<&RegisterState> {
        self.registers.get(key)
    }

    pub fn contains(&self, key: &str) -> bool {
        self.registers.contains_key(key)
    }

    /// Whether the key exists or can be added.
    pub fn has_room_for(&self, key: &str) -> bool {
        self.contains(key) || self.registers.len() < MAX_KEYS
    }

    pub fn digests(&self) -> &RangeDigests {
        &self.digests
    }

    /// All registers in one range of the digests.
    pub fn in_range(&self, range: u16) -> Vec<(String, RegisterState)> {
        let registers = self.registers.iter();
        registers
            .filter(|(key, _)| range_of(key) == range)
            .map(|(key, state)| (key.clone(), state.clone()))
            .collect()
    }

    /// All registers whose keys sort after `key`.
    pub fn after(&self, key: &str) -> impl Iterator<Item = (&String, &RegisterState)> {
        let after = (Bound::Excluded(key), Bound::Unbounded);
        self.registers.range::<str, _>(after)
    }

    /// Sets the state of a key. For the key that covers expired jobs, first removes the jobs up to its promise.
    pub fn insert(&mut self, key: String, state: RegisterState) {
        if key == EXPIRED_JOBS_KEY {
            self.remove_jobs_up_to(state.promised.counter);
        }
        let old = self.registers.get(&key);
        self.job_window.on_change(&key, old, Some(&state));
        let new_version = Some(state.entry_version());
        let old = self.registers.insert(key.clone(), state);
        let old_version = old.as_ref().map(RegisterState::entry_version);
        self.digests.update(&key, old_version, new_version);
    }

    fn remove_jobs_up_to(&mut self, counter: u64) {
        self.retain(|key, state| !is_job_key(key) || state.promised.counter > counter);
    }

    /// Removes the claims that were issued before `time`.
    pub fn remove_claims_before(&mut self, time: u64) {
        self.retain(|key, _| claim_time(key).is_none_or(|issued| issued >= time));
    }

    fn retain(&mut self, is_kept: impl Fn(&str, &RegisterState) -> bool) {
        let (digests, job_window) = (&mut self.digests, &mut self.job_window);
        self.registers.retain(|key, state| {
            let is_kept = is_kept(key, state);
            if !is_kept {
                digests.update(key, Some(state.entry_version()), None);
                job_window.on_change(key, Some(state), None);
            }
            is_kept
        });
    }

    /// Times of issue of the first and the last claim in key order.
    pub fn claim_times(&self) -> Option<(u64, u64)> {
        let mut claims = self.registers.range(claim_keys());
        let oldest = claims.next().and_then(|(key, _)| claim_time(key))?;
        let newest = claims.next_back().and_then(|(key, _)| claim_time(key));
        Some((oldest, newest.unwrap_or(oldest)))
    }

    /// See [`JobWindow::advance`].
    pub fn advance_job_window(&mut self) -> Option<RegisterState> {
        self.job_window.advance(&self.registers)
    }

    /// See [`JobWindow::is_expired`].
    pub fn is_expired_job(&self, key: &str, ballot: Ballot) -> bool {
        self.job_window.is_expired(&self.registers, key, ballot)
    }

    /// See [`JobWindow::rejection`].
    pub fn job_rejection(&self, operation: &VoterOperation) -> Option<VoterResponse> {
        self.job_window.rejection(&self.registers, operation)
    }

    /// See [`JobWindow::from_registers`].
    pub fn restart_job_window(&mut self) {
        self.job_window = JobWindow::from_registers(&self.registers);
    }

    /// Rebuilds the derived state after the registers were read back.
    pub fn rebuild_indexes(&mut self) {
        self.restart_job_window();
        self.digests = RangeDigests::default();
        for (key, state) in &self.registers {
            self.digests.update(key, None, Some(state.entry_version()));
        }
    }
}
