//! All runners, with their indexes and their memory usage on each worker.

use crate::memory_account::MemoryAccount;
use crate::runner::{DrainReason, Runner, RunnerState};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Describes a state change to the parts of the state that depend on it.
#[derive(Clone, Debug)]
pub(crate) struct StateChange {
    /// Name of the runner's function.
    pub function: String,
    /// Whether the stage in updates to owners changed.
    pub has_new_stage: bool,
}

/// Changes that an owner observed at a runner since its previous report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunnerObservation {
    /// Number of successful responses.
    pub responses: u64,
    /// Total duration of these responses in milliseconds.
    pub total_ms: u64,
    /// Whether requests are in flight.
    pub has_requests_in_flight: bool,
    /// Whether the runner has been reached.
    pub is_up: bool,
    /// Whether the runner cannot be reached any more.
    pub is_unreachable: bool,
}

/// Runners by serial. A runner keeps its serial throughout its lifecycle.
///
/// Runners are modified only through this table, so that the indexes by id, nonce, worker and state and the memory accounts
/// of workers always match the runners.
#[derive(Debug, Default)]
pub(crate) struct RunnerTable {
    runners: BTreeMap<u64, Runner>,
    last_serial: u64,
    by_id: HashMap<String, u64>,
    by_nonce: BTreeMap<String, u64>,
    by_worker: BTreeMap<String, BTreeSet<u64>>,
    /// Runners that no longer count as capacity.
    ending: BTreeSet<u64>,
    /// Runners that have been started but are not known to be up yet.
    starting: BTreeSet<u64>,
    /// Memory accounts by worker. An account is removed when a runner on the worker changes, and computed again when needed.
    accounts: BTreeMap<String, MemoryAccount>,
}

impl RunnerTable {
    /// The runner with this serial.
    pub fn get(&self, serial: u64) -> Option<&Runner> {
        self.runners.get(&serial)
    }

    /// Serial of the runner with this id.
    pub fn serial_of_id(&self, id: &str) -> Option<u64> {
        self.by_id.get(id).copied()
    }

    /// Serial of the runner that was started with this nonce.
    pub fn serial_of_nonce(&self, nonce: &str) -> Option<u64> {
        self.by_nonce.get(nonce).copied()
    }

    /// Serial that the next inserted runner will get.
    pub fn next_serial(&self) -> u64 {
        self.last_serial + 1
    }

    /// All serials, oldest first.
    pub fn serials(&self) -> Vec<u64> {
        self.runners.keys().copied().collect()
    }

    /// The runners with these serials, oldest first.
    pub fn select<'a>(
        &'a self,
        serials: &'a BTreeSet<u64>,
    ) -> impl Iterator<Item = (u64, &'a Runner)> {
        let serials = serials.iter();
        serials.filter_map(|serial| Some((*serial, self.runners.get(serial)?)))
    }

    /// The known runners on a worker, including those whose start has not been commanded yet.
    pub fn on_worker(&self, worker: &str) -> impl Iterator<Item = (u64, &Runner)> {
        let serials = self.by_worker.get(worker).into_iter().flatten();
        serials.filter_map(|serial| Some((*serial, self.runners.get(serial)?)))
    }

    /// Serials of the runners that no longer count as capacity.
    pub fn ending(&self) -> Vec<u64> {
        self.ending.iter().copied().collect()
    }

    /// Runners that have been started but are not known to be up yet.
    pub fn starting(&self) -> impl Iterator<Item = (u64, &Runner)> {
        self.select(&self.starting)
    }

    /// Adds a runner and returns its serial.
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

    /// Removes a runner and returns it.
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

    /// Changes the state of a runner. Returns `None` if it does not exist or is already in that state.
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

    /// Records that the start of a runner is commanded, for the first time or again.
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

    /// Records that a commanded start allocated no memory.
    pub fn clear_start_request(&mut self, serial: u64) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.start_requested_at = None;
        }
    }

    /// Counts a failed attempt to start a runner. Returns the number of failed attempts so far.
    pub fn count_failed_attempt(&mut self, serial: u64) -> u32 {
        let Some(runner) = self.runners.get_mut(&serial) else {
            return 0;
        };
        runner.failed_attempts += 1;
        runner.failed_attempts
    }

    /// Schedules the start to be commanded again with the same nonce.
    pub fn retry_start(&mut self, serial: u64, not_before: u64) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.state = RunnerState::StartPending { not_before };
        }
    }

    /// Records the id and address of a runner that the platform has started.
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

    /// Records that the stop of a runner is commanded.
    pub fn request_stop(&mut self, serial: u64) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.state = RunnerState::StopRequested;
        }
    }

    /// Schedules the stop to be commanded again.
    pub fn retry_stop(&mut self, serial: u64, not_before: u64) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.state = RunnerState::StopPending { not_before };
        }
    }

    /// Changes the reason why a runner is draining. The start time of the drain is kept.
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

    /// Sets the number of concurrent requests that owners may send to a runner.
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

    /// Applies an owner's observation of a runner. Returns the runner's state, or `None` if the function has no such runner.
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
            responses,
            total_ms,
            ..
        } = observation;
        runner.service_time.observe(responses, total_ms);
        if responses > 0 || observation.has_requests_in_flight {
            runner.last_used_at = now;
        }
        runner.is_up |= observation.is_up;
        runner.is_unreachable |= observation.is_unreachable;
        Some(runner.state)
    }

    /// Records that a runner was reached or listed.
    pub fn mark_up(&mut self, serial: u64) {
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.is_up = true;
        }
    }

    /// Records that a list shows a runner. Returns its state.
    pub fn mark_listed(&mut self, serial: u64) -> Option<RunnerState> {
        let runner = self.runners.get_mut(&serial)?;
        runner.was_listed = true;
        runner.unlisted_since = None;
        Some(runner.state)
    }

    /// Records which runners are missing from a list. Returns those that are gone: they were listed before and have been
    /// missing for longer than lists may lag. A terminating runner is gone as soon as it is missing.
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

    /// Computes the memory account of a worker. The newest list shows all starts before `listed_until`.
    pub fn sum_account(&self, worker: &str, listed_until: u64) -> MemoryAccount {
        let runners = self.on_worker(worker).map(|(_, runner)| runner);
        MemoryAccount::sum(runners, listed_until)
    }

    /// Computes the memory account of a worker again if a runner on it has changed.
    pub fn refresh_account(&mut self, worker: &str, listed_until: u64) {
        if !self.accounts.contains_key(worker) {
            let account = self.sum_account(worker, listed_until);
            self.accounts.insert(worker.to_owned(), account);
        }
    }

    /// The memory account of a worker; `None` if a runner on it has changed since the last refresh.
    pub fn account(&self, worker: &str) -> Option<&MemoryAccount> {
        self.accounts.get(worker)
    }

    /// Removes the memory account of a worker that is no longer listed.
    pub fn forget_account(&mut self, worker: &str) {
        self.accounts.remove(worker);
    }
}
