//! All runners, with their indexes and the memory that they take on each worker.

use crate::memory_account::MemoryAccount;
use crate::runner::{DrainReason, Runner, RunnerState};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Effect of a state change on other parts of the state.
#[derive(Clone, Debug)]
pub(crate) struct StateChange {
    /// Function of the runner.
    pub function: String,
    /// The stage in updates to owners changed.
    pub has_new_stage: bool,
}

/// What an owner observed of a runner since its last report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunnerObservation {
    /// Good answers that came.
    pub answers: u64,
    /// Milliseconds that these took together.
    pub total_ms: u64,
    /// Requests are in flight at it.
    pub holds_requests: bool,
    /// It was reached.
    pub is_up: bool,
    /// It cannot be reached any more.
    pub is_unreachable: bool,
}

/// Runners by serial. A runner has the same serial throughout its lifecycle.
///
/// All changes of runners go through this table, so that the indexes by id, nonce, worker and state, and the memory
/// accounts of workers, match the runners at any time.
#[derive(Debug, Default)]
pub(crate) struct RunnerTable {
    runners: BTreeMap<u64, Runner>,
    last_serial: u64,
    by_id: HashMap<String, u64>,
    by_nonce: BTreeMap<String, u64>,
    by_worker: BTreeMap<String, BTreeSet<u64>>,
    /// Runners that do not count as capacity any more.
    ending: BTreeSet<u64>,
    /// Runners that were started and are not known to be up.
    starting: BTreeSet<u64>,
    /// Accounts of workers, but for those where something has changed since they were summed.
    accounts: BTreeMap<String, MemoryAccount>,
}

impl RunnerTable {
    /// The runner of a serial.
    pub fn get(&self, serial: u64) -> Option<&Runner> {
        self.runners.get(&serial)
    }

    /// Serial of the runner with an id.
    pub fn serial_of_id(&self, id: &str) -> Option<u64> {
        self.by_id.get(id).copied()
    }

    /// Serial of the runner that was started under a nonce.
    pub fn serial_of_nonce(&self, nonce: &str) -> Option<u64> {
        self.by_nonce.get(nonce).copied()
    }

    /// The serial that the next runner gets.
    pub fn next_serial(&self) -> u64 {
        self.last_serial + 1
    }

    /// All serials, the oldest first.
    pub fn serials(&self) -> Vec<u64> {
        self.runners.keys().copied().collect()
    }

    /// The runners of these serials, the oldest first.
    pub fn select<'a>(
        &'a self,
        serials: &'a BTreeSet<u64>,
    ) -> impl Iterator<Item = (u64, &'a Runner)> {
        let serials = serials.iter();
        serials.filter_map(|serial| Some((*serial, self.runners.get(serial)?)))
    }

    /// Runners that take memory on a worker, as far as is known.
    pub fn on_worker(&self, worker: &str) -> impl Iterator<Item = (u64, &Runner)> {
        let serials = self.by_worker.get(worker).into_iter().flatten();
        serials.filter_map(|serial| Some((*serial, self.runners.get(serial)?)))
    }

    /// Serials of runners that do not count as capacity any more.
    pub fn ending(&self) -> Vec<u64> {
        self.ending.iter().copied().collect()
    }

    /// Runners that were started and are not known to be up.
    pub fn starting(&self) -> impl Iterator<Item = (u64, &Runner)> {
        self.select(&self.starting)
    }

    /// Adds a runner and gives its serial.
    pub fn insert(&mut self, runner: Runner) -> u64 {
        self.last_serial += 1;
        let serial = self.last_serial;
        self.accounts.remove(&runner.worker);
        let placed = self.by_worker.entry(runner.worker.clone()).or_default();
        placed.insert(serial);
        if let Some(id) = &runner.id {
            self.by_id.insert(id.clone(), serial);
        }
        if !runner.nonce.is_empty() {
            self.by_nonce.insert(runner.nonce.clone(), serial);
        }
        self.runners.insert(serial, runner);
        serial
    }

    /// Removes a runner.
    pub fn remove(&mut self, serial: u64) -> Option<Runner> {
        let runner = self.runners.remove(&serial)?;
        self.accounts.remove(&runner.worker);
        if let Some(placed) = self.by_worker.get_mut(&runner.worker) {
            placed.remove(&serial);
            if placed.is_empty() {
                self.by_worker.remove(&runner.worker);
            }
        }
        if let Some(id) = &runner.id {
            self.by_id.remove(id);
        }
        self.by_nonce.remove(&runner.nonce);
        self.ending.remove(&serial);
        self.starting.remove(&serial);
        Some(runner)
    }

    /// Puts a runner into another state; none where it is gone or in that state already.
    pub fn set_state(&mut self, serial: u64, state: RunnerState) -> Option<StateChange> {
        let runner = self.runners.get_mut(&serial)?;
        if runner.state == state {
            return None;
        }
        let before = runner.stage();
        runner.state = state;
        runner.drain_update = 0;
        self.accounts.remove(&runner.worker);
        if state == RunnerState::Starting {
            self.starting.insert(serial);
        } else {
            self.starting.remove(&serial);
        }
        if state.counts_as_capacity() {
            self.ending.remove(&serial);
        } else {
            runner.quota = 0;
            self.ending.insert(serial);
        }
        Some(StateChange {
            function: runner.function.clone(),
            has_new_stage: before != runner.stage(),
        })
    }

    /// The start of a runner is commanded, for the first time or again.
    pub fn request_start(&mut self, serial: u64, now: u64) {
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        if runner.start_requested_at.is_none() {
            runner.start_requested_at = Some(now);
            runner.started_at = now;
            self.accounts.remove(&runner.worker);
        }
        runner.state = RunnerState::StartRequested;
    }

    /// A start that was commanded took no memory.
    pub fn clear_start_request(&mut self, serial: u64) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.start_requested_at = None;
        }
    }

    /// Counts a failed attempt to start a runner; returns their number.
    pub fn count_failed_attempt(&mut self, serial: u64) -> u32 {
        let Some(runner) = self.runners.get_mut(&serial) else {
            return 0;
        };
        runner.failed_attempts += 1;
        runner.failed_attempts
    }

    /// The start is to be commanded again, under the same nonce.
    pub fn retry_start(&mut self, serial: u64, not_before: u64) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.state = RunnerState::StartPending { not_before };
        }
    }

    /// The platform started a runner under this id.
    pub fn assign_id(&mut self, serial: u64, id: &str, address: String, now: u64) {
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        runner.id = Some(id.to_owned());
        runner.address = address;
        runner.id_known_at = now;
        if runner.quota == 0 {
            runner.quota = runner.max_quota;
        }
        self.accounts.remove(&runner.worker);
        self.by_id.insert(id.to_owned(), serial);
    }

    /// The stop of a runner is commanded.
    pub fn request_stop(&mut self, serial: u64) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.state = RunnerState::StopRequested;
        }
    }

    /// The stop is to be commanded again.
    pub fn retry_stop(&mut self, serial: u64, not_before: u64) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.state = RunnerState::StopPending { not_before };
        }
    }

    /// A runner that drains does so for another reason; since when stays.
    pub fn set_drain_reason(&mut self, serial: u64, reason: DrainReason) {
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        if let RunnerState::Draining { since, .. } = runner.state {
            runner.state = RunnerState::Draining { reason, since };
        }
    }

    /// Records the first update that includes a runner as draining.
    pub fn record_drain_update(&mut self, serial: u64, number: u64) {
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        let is_draining = matches!(runner.state, RunnerState::Draining { .. });
        if is_draining && runner.drain_update == 0 {
            runner.drain_update = number;
        }
    }

    /// Sets how many requests owners may send a runner at once.
    pub fn set_quota(&mut self, serial: u64, quota: u32) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.quota = quota;
            self.accounts.remove(&runner.worker);
        }
    }

    /// Applies the memory and concurrency of a new configuration. Returns whether the quota was lowered.
    pub fn resize(&mut self, serial: u64, memory_mb: u64, concurrency: u32) -> bool {
        let Some(runner) = self.runners.get_mut(&serial) else {
            return false;
        };
        self.accounts.remove(&runner.worker);
        runner.memory_mb = memory_mb;
        runner.max_quota = runner.capacity.min(concurrency);
        let exceeds_max = runner.quota > runner.max_quota;
        if exceeds_max {
            runner.quota = runner.max_quota;
        }
        exceeds_max
    }

    /// Applies what an owner observed of a runner. Returns the runner's state, or none if the function has no such runner.
    pub fn observe(
        &mut self,
        serial: u64,
        function: &str,
        observation: RunnerObservation,
        now: u64,
    ) -> Option<RunnerState> {
        let runner = self.runners.get_mut(&serial)?;
        if runner.function != function {
            return None;
        }
        let RunnerObservation {
            answers, total_ms, ..
        } = observation;
        runner.service_time.observe(answers, total_ms);
        if answers > 0 || observation.holds_requests {
            runner.last_used_at = now;
        }
        runner.is_up |= observation.is_up;
        runner.is_unreachable |= observation.is_unreachable;
        Some(runner.state)
    }

    /// A runner was reached or listed.
    pub fn mark_up(&mut self, serial: u64) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.is_up = true;
        }
    }

    /// A list shows a runner. Returns its state.
    pub fn mark_listed(&mut self, serial: u64) -> Option<RunnerState> {
        let runner = self.runners.get_mut(&serial)?;
        runner.was_listed = true;
        runner.unlisted_since = None;
        Some(runner.state)
    }

    /// Records which runners are missing from a list. Returns those that are gone: they were listed once, and have been
    /// missing for longer than lists lag.
    pub fn mark_unlisted(
        &mut self,
        listed: &HashSet<&str>,
        unlisted_ms: u64,
        now: u64,
    ) -> Vec<(u64, String)> {
        let mut gone = Vec::new();
        for (&serial, runner) in &mut self.runners {
            let Some(id) = &runner.id else {
                continue;
            };
            if listed.contains(id.as_str()) {
                continue;
            }
            let unlisted_since = *runner.unlisted_since.get_or_insert(now);
            let is_missing = now >= unlisted_since + unlisted_ms;
            let is_gone = match runner.state {
                RunnerState::Terminating { .. } => true,
                RunnerState::Unreachable { since } => now >= since + unlisted_ms,
                RunnerState::Serving | RunnerState::Draining { .. } => is_missing,
                _ => false,
            };
            if runner.was_listed && is_gone {
                gone.push((serial, id.clone()));
            }
        }
        gone
    }

    /// Sums the runners on a worker whose newest list shows all starts before `listed_until`.
    pub fn sum_account(&self, worker: &str, listed_until: u64) -> MemoryAccount {
        let runners = self.on_worker(worker).map(|(_, runner)| runner);
        MemoryAccount::sum(runners, listed_until)
    }

    /// Sums the account of a worker where something has changed since it was summed last.
    pub fn refresh_account(&mut self, worker: &str, listed_until: u64) {
        if !self.accounts.contains_key(worker) {
            let account = self.sum_account(worker, listed_until);
            self.accounts.insert(worker.to_owned(), account);
        }
    }

    /// The account of a worker as it was refreshed; none where something has changed since.
    pub fn account(&self, worker: &str) -> Option<&MemoryAccount> {
        self.accounts.get(worker)
    }

    /// Forgets the account of a worker that is not listed any more.
    pub fn forget_account(&mut self, worker: &str) {
        self.accounts.remove(worker);
    }
}
