//! The complete state of the autoscaler, and the changes that affect several of its parts.

use crate::function::{Function, DEFAULT_SERVICE_TIME_MS};
use crate::function_table::FunctionTable;
use crate::options::AutoscalerOptions;
use crate::runner::{Runner, RunnerState};
use crate::runner_table::RunnerTable;
use crate::start_queue::{QueuedStart, StartQueue, StartUrgency};
use crate::stopped_runners::StoppedRunners;
use crate::token_bucket::TokenBucket;
use crate::update_log::UpdateLog;
use crate::worker_capacity::{Worker, WorkerCapacity};

/// The parts of the state. Each part maintains its own invariant. Changes that affect several parts are methods of this type.
pub(crate) struct ClusterState {
    /// Settings.
    pub options: AutoscalerOptions,
    /// Time at which this autoscaler was created, in milliseconds of the caller's clock.
    pub created_at: u64,
    /// Current time in milliseconds of the caller's clock. It never decreases.
    pub now: u64,
    /// Time of the first report of any owner.
    pub observed_since: Option<u64>,
    /// Functions, with their configuration and demand.
    pub functions: FunctionTable,
    /// Runners that are pending, running or ending.
    pub runners: RunnerTable,
    /// Time at which the list of runners was last received.
    pub runners_listed_at: Option<u64>,
    /// Runners that ended recently.
    pub stopped_runners: StoppedRunners,
    /// Workers, with their memory.
    pub workers: WorkerCapacity,
    /// Starts that have not been commanded yet.
    pub start_queue: StartQueue,
    /// Rate limiter for commands to the platform.
    pub command_rate: TokenBucket,
    /// Versions of the updates sent to owners.
    pub updates: UpdateLog,
}

impl ClusterState {
    /// Creates an empty state.
    pub fn new(options: AutoscalerOptions, now: u64) -> Self {
        Self {
            created_at: now,
            now,
            observed_since: None,
            functions: FunctionTable::default(),
            runners: RunnerTable::default(),
            runners_listed_at: None,
            stopped_runners: StoppedRunners::default(),
            workers: WorkerCapacity::new(options.list_lag_ms),
            start_queue: StartQueue::default(),
            command_rate: TokenBucket::new(options.commands_per_s, now),
            updates: UpdateLog::new(options.term),
            options,
        }
    }

    /// Advances the clock. Earlier times are ignored.
    pub fn advance_clock(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    /// Whether both lists have been received, so that the existing runners and the free memory are known.
    pub fn has_lists(&self) -> bool {
        self.workers.has_list() && self.runners_listed_at.is_some()
    }

    /// The runners of a function, oldest first.
    pub fn runners_of<'a>(
        &'a self,
        function: &'a Function,
    ) -> impl Iterator<Item = (u64, &'a Runner)> {
        self.runners.select(function.runners())
    }

    /// Requests per second that one seat of a runner can serve.
    pub fn seat_rate(&self, runner: &Runner) -> f64 {
        let measured_ms = runner.service_time.measured_ms();
        let function = self.functions.get(&runner.function);
        let expected_ms = measured_ms.or(function.map(Function::service_time_ms));
        1_000.0 / expected_ms.unwrap_or(DEFAULT_SERVICE_TIME_MS).max(1.0)
    }

    /// Free memory of a worker, in megabytes.
    pub fn free_mb(&self, worker: &Worker) -> u64 {
        let listed_until = self.workers.listed_until(worker);
        let account = self
            .runners
            .sum_account(&worker.listing().name, listed_until);
        self.workers.free_mb(worker, &account)
    }

    /// Adds a runner to the table and to its function. Returns its serial.
    pub fn add_runner(&mut self, runner: Runner) -> u64 {
        let name = runner.function.clone();
        let serial = self.runners.insert(runner);
        if let Some(function) = self.functions.get_mut(&name) {
            function.add_runner(serial);
        }
        self.functions.activate(&name);
        serial
    }

    /// Removes a runner. Its memory counts as free from now on.
    pub fn forget_runner(&mut self, serial: u64) {
        let Some(runner) = self.runners.remove(serial) else {
            return;
        };
        if runner.stage().is_some() {
            self.updates.mark_changed(&runner.function);
        }
        if let Some(function) = self.functions.get_mut(&runner.function) {
            function.remove_runner(serial);
        }
        self.start_queue.remove_runner(serial);
        if runner.start_requested_at.is_some() || runner.id.is_some() {
            let (worker, memory_mb) = (&runner.worker, runner.memory_mb);
            self.workers.record_freed(worker, memory_mb, self.now);
        }
        self.functions.make_due(&runner.function);
    }

    /// Changes the state of a runner and makes its function due.
    pub fn set_runner_state(&mut self, serial: u64, state: RunnerState) {
        let Some(change) = self.runners.set_state(serial, state) else {
            return;
        };
        if change.has_new_stage {
            self.updates.mark_changed(&change.function);
        }
        self.functions.make_due(&change.function);
    }

    /// Queues the start of a runner.
    pub fn queue_start(&mut self, serial: u64, function: &str, urgency: StartUrgency) {
        let function = self.functions.get(function);
        let priority = function.map_or(u8::MAX, |function| function.configuration().priority);
        self.start_queue.push(QueuedStart {
            urgency,
            priority,
            serial,
        });
    }

    /// Records the last scaling decision for a function, to be shown to operators.
    pub fn record_decision(&mut self, name: &str, decision: &'static str) {
        if let Some(function) = self.functions.get_mut(name) {
            function.set_last_decision(decision);
        }
    }
}
