//! Entry point: dispatches every message and tick to the module that handles it.

use crate::configuration;
use crate::ending::expire_runners;
use crate::evaluation::evaluate;
use crate::function_status::{self, FunctionStatus};
use crate::listings;
use crate::options::AutoscalerOptions;
use crate::platform::{RunnerCommand, RunnerListing, StartError, StartedRunner, WorkerListing};
use crate::reports;
use crate::runner_commands;
use crate::scaling_decision::decide_due;
use crate::state::ClusterState;
use crate::updates;
use protocol::{FunctionReport, FunctionUpdate, UpdateVersion};
use routing::RoutingConfiguration;
use std::collections::BTreeSet;

/// Milliseconds between two evaluations of a function without new reports. Equals the interval at which arrivals are
/// sampled.
const EVALUATION_INTERVAL_MS: u64 = 250;

/// Decides how many runners each function has, on which worker each is started and how many requests each may hold.
///
/// It performs no I/O and has no clock or threads. The caller passes the time in milliseconds of a monotonic clock, sends
/// the commands from [`Autoscaler::take_commands`] to the platform and the updates from [`Autoscaler::take_updates`] to
/// the functions' owners. Both must be polled after every other call.
pub struct Autoscaler {
    state: ClusterState,
    evaluated_at: u64,
}

impl Autoscaler {
    /// Creates an autoscaler without state. It makes no decisions until it has received the configuration, the list of
    /// workers and the list of runners.
    #[must_use]
    pub fn new(options: AutoscalerOptions, now: u64) -> Self {
        Self {
            state: ClusterState::new(options, now),
            evaluated_at: now,
        }
    }

    /// Evaluates the active functions, makes the scaling decisions that are due and handles expired timeouts. Must be
    /// called every 50 to 100 ms.
    pub fn tick(&mut self, now: u64) {
        let state = &mut self.state;
        state.advance_clock(now);
        if now >= self.evaluated_at + EVALUATION_INTERVAL_MS {
            self.evaluated_at = now;
            for name in state.functions.active().clone() {
                evaluate(state, &name);
            }
        }
        decide_due(state);
        expire_runners(state);
    }

    /// Applies the operator's configuration. New sizes, priorities and timeouts take effect immediately; runners of
    /// functions that it no longer contains are drained. The scaling decisions follow with the next tick.
    pub fn apply_configuration(&mut self, now: u64, configuration: &RoutingConfiguration) {
        self.state.advance_clock(now);
        configuration::apply_configuration(&mut self.state, configuration);
    }

    /// Sets the evacuated zones. No runner is placed in them, and their runners are drained. The scaling decisions are
    /// made immediately.
    pub fn set_evacuated_zones(&mut self, now: u64, zones: &BTreeSet<String>) {
        self.state.advance_clock(now);
        configuration::set_evacuated_zones(&mut self.state, zones);
    }

    /// Replaces the list of workers. A worker that is missing from it counts as down, and starts on it are withdrawn.
    /// Runners on a draining worker are replaced.
    pub fn update_workers(&mut self, now: u64, listings: Vec<WorkerListing>) {
        self.state.advance_clock(now);
        listings::update_workers(&mut self.state, listings);
    }

    /// Reconciles the known runners with the platform's complete list. Unknown runners are adopted, and runners that have
    /// been missing for longer than lists may lag are removed.
    pub fn update_runners(&mut self, now: u64, listings: Vec<RunnerListing>) {
        self.state.advance_clock(now);
        listings::update_runners(&mut self.state, listings);
    }

    /// Handles an owner's report on a function: arrivals, waiting requests and the state of each runner. If requests are
    /// waiting, a scaling decision is made immediately. Reports on unknown functions are ignored.
    pub fn handle_report(&mut self, now: u64, owner: &str, report: &FunctionReport) {
        self.state.advance_clock(now);
        reports::handle_report(&mut self.state, owner, report);
    }

    /// Discards all reports of an owner that is gone or that restarted and thereby reset its counters.
    pub fn remove_owner(&mut self, owner: &str) {
        self.state.functions.remove_owner(owner);
    }

    /// Returns the commands to send to the platform now, in this order and within its rate limit. The caller reports the
    /// result of each with [`Autoscaler::handle_start_result`] or [`Autoscaler::handle_stop_result`].
    #[must_use]
    pub fn take_commands(&mut self) -> Vec<RunnerCommand> {
        runner_commands::take_commands(&mut self.state)
    }

    /// Handles the platform's response to a start, even if it is late. Responses to unknown nonces are ignored.
    pub fn handle_start_result(
        &mut self,
        now: u64,
        nonce: &str,
        result: Result<StartedRunner, StartError>,
    ) {
        self.state.advance_clock(now);
        runner_commands::handle_start_result(&mut self.state, nonce, result);
    }

    /// Handles the platform's response to a stop. `is_done` is also true if the platform does not know the runner. If it is
    /// false, the stop is retried.
    pub fn handle_stop_result(&mut self, now: u64, id: &str, is_done: bool) {
        self.state.advance_clock(now);
        runner_commands::handle_stop_result(&mut self.state, id, is_done);
    }

    /// Returns updates for the owners of the functions whose runners changed since the last call, sorted by function name.
    pub fn take_updates(&mut self) -> Vec<FunctionUpdate> {
        updates::take_updates(&mut self.state)
    }

    /// Returns the current update of a function, for an owner that does not have it. Until both lists have been received,
    /// it is empty and its version supersedes no other.
    #[must_use]
    pub fn update_for(&self, function: &str, now: u64) -> FunctionUpdate {
        updates::update_for(&self.state, function, now)
    }

    /// Returns the version of the update from [`Autoscaler::update_for`]; zero until both lists have been received.
    #[must_use]
    pub fn update_version(&self, function: &str) -> UpdateVersion {
        updates::update_version(&self.state, function)
    }

    /// Returns the status of each active function, sorted by name.
    #[must_use]
    pub fn function_statuses(&self) -> Vec<FunctionStatus> {
        function_status::function_statuses(&self.state)
    }
}
